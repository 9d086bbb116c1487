//! Waiting until records stand in two places.

use std::fmt;
use std::sync::Arc;

use coord::id::Epoch;
use coord::id::Shard;
use tokio::time::timeout;

use super::slot::Slot;
use crate::lease::Lease;

/// Everything up to a point of a shard, to be waited for before anything rests on it.
#[derive(Debug)]
#[must_use]
pub struct Durable {
    slot: Arc<Slot>,
    lease: Arc<Lease>,
    epoch: Epoch,
    until: u64,
}

/// The records may not survive this node: nothing may rest on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lost {
    pub shard: Shard,
    pub epoch: Epoch,
}

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "shard {} lost in epoch {}", self.shard, self.epoch)
    }
}

impl std::error::Error for Lost {}

impl Durable {
    pub(super) fn new(slot: Arc<Slot>, lease: Arc<Lease>, epoch: Epoch, until: u64) -> Durable {
        Durable {
            slot,
            lease,
            epoch,
            until,
        }
    }

    /// The epoch in which the decision was made.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Waits until everything up to here stands in two places, one lease at the longest.
    ///
    /// # Errors
    ///
    /// This node lost the shard or its lease first, or found no second place.
    pub async fn wait(self) -> Result<(), Lost> {
        let lost = Lost {
            shard: self.slot.shard,
            epoch: self.epoch,
        };
        let mut progress = self.slot.progress.subscribe();
        let settled = progress.wait_for(|now| now.covers(self.epoch, self.until).is_some());
        let covered = match timeout(self.lease.duration(), settled).await {
            Ok(Ok(progress)) => progress.covers(self.epoch, self.until),
            _ => None,
        };
        match covered {
            Some(true) if self.lease.authority().is_some() => Ok(()),
            _ => Err(lost),
        }
    }
}
