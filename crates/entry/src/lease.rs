//! This node's lease: one object in the platform, renewed every third of its length.
//!
//! The lease counts from before the renewal was sent, and before the configuration was read that
//! goes with it: who holds a valid lease knows a configuration no older than the lease is long. A
//! lapsed lease may be renewed as long as nobody has fenced it; a fenced one is lost for good, and
//! the node starts over under a fresh name.

use std::time::Duration;
use std::time::Instant;

use coord::id::Epoch;
use coord::id::Node;
use coord::id::Version;
use coord::lease::Holder;
use coord::time::Millis;
use coord::time::Time;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::clock::Clock;

/// Prefix of the lease objects.
pub const PREFIX: &str = "lease/";

/// A node's right to act for a shard, checked right before each effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    pub epoch: Epoch,
    /// End of the right on the process's monotonic clock.
    pub until: Instant,
    /// The former owner may not know yet: half of each rate, nothing that can't be repeated.
    pub cautious: bool,
}

/// What a lease object holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    pub node: Node,
    /// Makes each write differ from the ones before.
    pub counter: u64,
    /// Fenced by another node.
    pub revoked: bool,
}

#[derive(Debug)]
struct Held {
    node: Node,
    holder: Holder,
    /// When the newest renewal was sent.
    sent: Time,
    /// End of the promises that all members gave.
    promised: Time,
    counter: u64,
}

/// The lease as its holder sees it.
#[derive(Debug)]
pub struct Lease {
    clock: Clock,
    duration: Millis,
    margin: Millis,
    held: Mutex<Held>,
}

impl Lease {
    /// A lease that isn't held yet.
    pub fn new(clock: Clock, node: Node, duration: Millis, margin: Millis) -> Lease {
        let holder = Holder::new(duration, margin);
        let held = Held {
            node,
            holder,
            sent: Time(0),
            promised: Time(0),
            counter: 0,
        };
        Lease {
            clock,
            duration,
            margin,
            held: Mutex::new(held),
        }
    }

    /// The name under which this node holds its lease.
    pub fn node(&self) -> Node {
        self.held.lock().node.clone()
    }

    /// End of the lease less the margin; none: not valid right now.
    pub fn authority(&self) -> Option<Instant> {
        let held = self.held.lock();
        let end = Time(
            held.holder
                .expires_at()
                .max(held.promised)
                .0
                .saturating_sub(self.margin.0),
        );
        let valid = !held.holder.is_lost() && self.clock.now() < end;
        valid.then(|| self.clock.instant(end))
    }

    /// Length of the lease.
    pub fn duration(&self) -> Duration {
        clock::duration(self.duration)
    }

    /// Allowance for clocks that run at different rates.
    pub fn margin(&self) -> Millis {
        self.margin
    }

    /// Version of the lease object at the last renewal.
    pub fn version(&self) -> Option<Version> {
        self.held.lock().holder.version()
    }

    /// The clock by which the lease is measured.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The object's content for the next write.
    pub fn next_object(&self) -> Object {
        let mut held = self.held.lock();
        held.counter += 1;
        Object {
            node: held.node.clone(),
            counter: held.counter,
            revoked: false,
        }
    }

    /// Takes in a renewal that was begun at `sent`.
    pub fn renewed(&self, sent: Time, version: Version) {
        let mut held = self.held.lock();
        held.holder.record_renewal(sent, version);
        held.sent = sent;
    }

    /// Takes in the version of an earlier renewal whose reply was lost; extends nothing.
    pub fn adopted(&self, version: Version) {
        let mut held = self.held.lock();
        let sent = held.sent;
        held.holder.record_renewal(sent, version);
    }

    /// Takes in that all members promised not to write the shard map until then.
    pub fn promised(&self, until: Time) {
        let mut held = self.held.lock();
        held.promised = held.promised.max(until);
    }

    /// When the newest renewal in the platform was begun.
    pub fn sent(&self) -> Time {
        self.held.lock().sent
    }

    /// Starts over under a fresh name, without a lease.
    pub fn restart(&self, node: Node) {
        let mut held = self.held.lock();
        held.holder = Holder::new(self.duration, self.margin);
        held.node = node;
        held.sent = Time(0);
        held.promised = Time(0);
    }
}

/// Name of a node's lease object.
pub fn object_name(node: &Node) -> String {
    format!("{PREFIX}{node}")
}
