//! Names that were used and must not be used again, each as a hash.
//!
//! What a name stood for is gone; a repeat of it gets a final refusal. Names are dropped in the order
//! in which they were noted, once no caller repeats them any more.

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
    /// The tomb of a request on its own.
    pub fn of_request(customer: &Customer, request: &Request) -> Tombstone {
        let parts = ["request", customer.as_str(), request.as_str()];
        Tombstone(fingerprint(&parts.map(str::as_bytes)))
    }

    /// The tomb of a customer's program.
    pub fn of_program(customer: &Customer, program: &Program) -> Tombstone {
        let parts = ["program", customer.as_str(), program.as_str()];
        Tombstone(fingerprint(&parts.map(str::as_bytes)))
    }
}

/// All used names of a shard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Tombstones {
    queue: VecDeque<(u64, Tombstone)>,
    names: Set<Tombstone>,
}

impl Tombstones {
    /// Notes a name as used since `at_ms`.
    pub fn insert(&mut self, tomb: Tombstone, at_ms: u64) {
        if self.names.insert(tomb) {
            self.queue.push_back((at_ms, tomb));
        }
    }

    /// Whether a name was used.
    pub fn contains(&self, tomb: Tombstone) -> bool {
        self.names.contains(&tomb)
    }

    /// Drops names used before a moment.
    pub fn prune(&mut self, before_ms: u64) {
        while let Some((_, tomb)) = self.queue.pop_front_if(|(at_ms, _)| *at_ms < before_ms) {
            self.names.remove(&tomb);
        }
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
