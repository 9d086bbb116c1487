//! Tombstones: hashes of used names that must not be used again.
//!
//! The program or request behind a name is deleted; a repeat of the name gets a final refusal.
//! Tombstones are dropped in insertion order, once callers no longer repeat their names.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::Set;
use crate::id::Customer;
use crate::id::Program;
use crate::id::Request;
use crate::id::fingerprint;

/// Hash of a used name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tombstone(u64);

impl Tombstone {
    /// Tombstone of a single request.
    pub fn of_request(customer: &Customer, request: &Request) -> Tombstone {
        let parts = ["request", customer.as_str(), request.as_str()];
        Tombstone(fingerprint(&parts.map(str::as_bytes)))
    }

    /// Tombstone of a customer's program.
    pub fn of_program(customer: &Customer, program: &Program) -> Tombstone {
        let parts = ["program", customer.as_str(), program.as_str()];
        Tombstone(fingerprint(&parts.map(str::as_bytes)))
    }
}

/// All tombstones of a shard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Tombstones {
    /// Tombstones in insertion order, each with its Unix time in milliseconds.
    queue: VecDeque<(u64, Tombstone)>,
    hashes: Set<Tombstone>,
}

impl Tombstones {
    /// Inserts the tombstone of a name last used at `at_ms`; an existing one keeps its time.
    pub fn insert(&mut self, tombstone: Tombstone, at_ms: u64) {
        if self.hashes.insert(tombstone) {
            self.queue.push_back((at_ms, tombstone));
        }
    }

    /// Whether the tombstone is present.
    pub fn contains(&self, tombstone: Tombstone) -> bool {
        self.hashes.contains(&tombstone)
    }

    /// Drops tombstones inserted for a time before `before_ms`.
    pub fn prune(&mut self, before_ms: u64) {
        while let Some((_, tombstone)) = self.queue.pop_front_if(|(at_ms, _)| *at_ms < before_ms) {
            self.hashes.remove(&tombstone);
        }
    }

    /// Number of tombstones.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Whether there are no tombstones.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }
}
