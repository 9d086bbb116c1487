//! One customer's bucket at its owner, and the requests that wait for a token.

use std::time::Duration;

use coord::bucket::Block;
use coord::bucket::Bucket;
use coord::bucket::Take;
use coord::id::Burst;
use coord::id::Epoch;
use coord::id::Rate;
use coord::time::Millis;
use parking_lot::Mutex;

use crate::clock;

/// Limits of callers without a key, unless a customer `public` is configured.
const PUBLIC_RATE: f64 = 50.0;
const PUBLIC_BURST: Burst = Burst(100);
/// Requests of one customer that wait at once.
const WAITING_LIMIT: u32 = 256;

/// A customer's bucket under one epoch.
#[derive(Debug)]
pub struct Entry {
    pub epoch: Epoch,
    pub bucket: Bucket,
    pub limits: Limits,
    pub waiting: u32,
    /// Level up to which blocks have been confirmed.
    pub confirmed: u64,
}

/// What a customer may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    pub rate: Rate,
    pub burst: Burst,
    pub weight: u32,
}

/// Where a customer's bucket is kept; empty until the first request.
#[derive(Debug, Default)]
pub struct Slot {
    pub entry: Mutex<Option<Entry>>,
    /// Held while a block is being confirmed.
    pub block: tokio::sync::Mutex<()>,
}

impl Limits {
    /// Limits of callers without a key, unless a customer `public` is configured.
    pub fn public() -> Option<Limits> {
        Some(Limits {
            rate: Rate::try_from(PUBLIC_RATE).ok()?,
            burst: PUBLIC_BURST,
            weight: 1,
        })
    }
}

impl Entry {
    /// Notes a level that is confirmed.
    pub fn confirm(&mut self, level: u64) {
        self.bucket.confirm(level);
        self.confirmed = self.confirmed.max(level);
    }
}

/// What one look at the bucket gave.
pub enum Look {
    Granted,
    Sleep(Duration),
    Block(Block),
    Refuse(Millis),
}

/// One request's place among those that wait for a token.
pub struct Waiting<'a> {
    slot: &'a Slot,
    counted: bool,
}

impl<'a> Waiting<'a> {
    /// Not waiting yet.
    pub fn new(slot: &'a Slot) -> Waiting<'a> {
        Waiting {
            slot,
            counted: false,
        }
    }

    /// Takes a token, or says what to do instead; `left` is the longest wait.
    pub fn look(&mut self, entry: &mut Entry, now: coord::time::Time, left: Duration) -> Look {
        let ahead = match self.counted {
            true => 0,
            false => entry.waiting,
        };
        let take = match ahead {
            0 => entry.bucket.take(now),
            ahead => Take::Wait(entry.bucket.wait_time(ahead, now)),
        };
        match take {
            Take::Granted => Look::Granted,
            Take::NeedsBlock(level) => Look::Block(entry.bucket.block(level)),
            Take::Wait(wait) if clock::duration(wait) > left => Look::Refuse(wait),
            Take::Wait(wait) if !self.counted && entry.waiting >= WAITING_LIMIT => {
                Look::Refuse(wait)
            }
            Take::Wait(wait) => {
                entry.waiting += u32::from(!self.counted);
                self.counted = true;
                Look::Sleep(clock::duration(wait).max(Duration::from_millis(1)))
            }
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut held = self.slot.entry.lock();
        match held.as_mut() {
            Some(entry) if self.counted => entry.waiting = entry.waiting.saturating_sub(1),
            _ => {}
        }
    }
}
