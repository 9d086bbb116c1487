//! Token buckets that keep their limits when a shard's primary changes.
//!
//! The primary grants only requests that the standby has confirmed, in blocks of about 100 ms of
//! rate. The record of a block contains the number of requests that were available when the block
//! was requested, so a new primary continues as if the whole block had been spent. It doesn't count
//! refill from before it received the record, so both primaries together admit no more than one
//! bucket would.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Burst;
use crate::id::Rate;
use crate::time::Millis;
use crate::time::Time;

/// Period whose refill one block covers.
const BLOCK_MS: u64 = 100;

/// A block is at least the available requests divided by this, so that a full bucket is used up in
/// at most about twice as many blocks.
const MIN_BLOCK_DIVISOR: u64 = 8;

/// Units per request, so that slow rates add up exactly.
const UNITS_PER_REQUEST: u64 = 1_000_000_000;

/// Result of taking one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    Granted,
    /// Time until the next request is within the rate; `u64::MAX` if never.
    Wait(Millis),
    /// The standby must first confirm spending up to this level; then the request is taken again.
    NeedsBlock(u64),
}

/// One customer's bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    burst: Burst,
    cautious: bool,
    available_units: u64,
    refilled_at: Time,
    spent: u64,
    confirmed_level: u64,
}

impl Bucket {
    /// Returns a bucket with `level` requests at `now`, at most its burst.
    pub fn new(rate: Rate, burst: Burst, level: u64, now: Time) -> Bucket {
        let mut bucket = Bucket {
            rate,
            burst,
            cautious: false,
            available_units: level.saturating_mul(UNITS_PER_REQUEST),
            refilled_at: now,
            spent: 0,
            confirmed_level: 0,
        };
        bucket.cap();
        bucket
    }

    /// Returns the bucket of a new primary, which assumes that the newest confirmed block is spent.
    ///
    /// `received` is the time when this process received the block's record, `now` a time at which
    /// the former primary can no longer act.
    pub fn after_failover(
        rate: Rate,
        burst: Burst,
        block: Block,
        received: Time,
        now: Time,
    ) -> Bucket {
        let mut bucket = Bucket::new(rate, burst, block.available, received);
        bucket.refill(now);
        bucket.available_units = bucket
            .available_units
            .saturating_sub(block.size.saturating_mul(UNITS_PER_REQUEST));
        bucket.spent = block.level;
        bucket.confirmed_level = block.level;
        bucket
    }

    /// Returns the empty bucket of a new primary that has no record of the former one.
    pub fn after_loss(rate: Rate, burst: Burst, now: Time) -> Bucket {
        Bucket::new(rate, burst, 0, now)
    }

    /// Changes the limits; the number of available requests never increases.
    pub fn set_limits(&mut self, rate: Rate, burst: Burst, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.cap();
    }

    /// Halves the limits, or restores them.
    pub fn set_cautious(&mut self, cautious: bool, now: Time) {
        self.refill(now);
        self.cautious = cautious;
        self.cap();
    }

    /// Takes one request.
    pub fn take(&mut self, now: Time) -> Take {
        self.refill(now);
        match () {
            () if self.available_units < UNITS_PER_REQUEST => {
                Take::Wait(self.time_until_available(UNITS_PER_REQUEST))
            }
            () if self.spent >= self.confirmed_level => {
                Take::NeedsBlock(self.spent + self.block_size())
            }
            () => {
                self.available_units -= UNITS_PER_REQUEST;
                self.spent += 1;
                Take::Granted
            }
        }
    }

    /// Records that the standby has confirmed spending up to `level`.
    pub fn confirm(&mut self, level: u64) {
        self.confirmed_level = self.confirmed_level.max(level);
    }

    /// Returns the block to record for a level from [`Take::NeedsBlock`].
    pub fn block(&self, level: u64) -> Block {
        Block {
            level,
            size: level.saturating_sub(self.spent),
            available: self.available_units / UNITS_PER_REQUEST,
        }
    }

    /// Time until a request behind `ahead` others is within the rate; `u64::MAX` if never.
    pub fn wait_time(&mut self, ahead: u32, now: Time) -> Millis {
        self.refill(now);
        match self.capacity() < UNITS_PER_REQUEST {
            true => Millis(u64::MAX),
            false => {
                self.time_until_available(UNITS_PER_REQUEST.saturating_mul(u64::from(ahead) + 1))
            }
        }
    }

    /// Number of whole requests available.
    pub fn held(&self) -> u64 {
        self.available_units / UNITS_PER_REQUEST
    }

    /// Number of requests granted, with those that former primaries may have granted.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    fn block_size(&self) -> u64 {
        let by_rate = self.units_per_ms().saturating_mul(BLOCK_MS) / UNITS_PER_REQUEST;
        let by_burst = self.held() / MIN_BLOCK_DIVISOR;
        by_rate.max(by_burst).max(1)
    }

    /// Units refilled per millisecond.
    fn units_per_ms(&self) -> u64 {
        let units = self.rate.per_second() * (UNITS_PER_REQUEST / 1000) as f64;
        match self.cautious {
            true => units as u64 / 2,
            false => units as u64,
        }
    }

    fn capacity(&self) -> u64 {
        let burst = u64::from(self.burst.0).saturating_mul(UNITS_PER_REQUEST);
        match self.cautious {
            true => burst / 2,
            false => burst,
        }
    }

    fn cap(&mut self) {
        self.available_units = self.available_units.min(self.capacity());
    }

    fn refill(&mut self, now: Time) {
        let refill = self
            .units_per_ms()
            .saturating_mul(now.since(self.refilled_at).0);
        self.available_units = self.available_units.saturating_add(refill);
        self.refilled_at = self.refilled_at.max(now);
        self.cap();
    }

    fn time_until_available(&self, units: u64) -> Millis {
        let missing = units.saturating_sub(self.available_units);
        match self.units_per_ms() {
            _ if missing == 0 => Millis(0),
            _ if self.capacity() < UNITS_PER_REQUEST => Millis(u64::MAX),
            0 => Millis(u64::MAX),
            rate => Millis(missing.div_ceil(rate)),
        }
    }
}

/// Requests that a primary may grant once the standby has confirmed their record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// Total of requests spent once the block is used up.
    pub level: u64,
    /// Requests in the block.
    pub size: u64,
    /// Requests available when the block was requested.
    pub available: u64,
}

impl Block {
    /// Merges this block with a newer one that was requested before this one was used up.
    pub fn merge(self, newer: Block) -> Block {
        let used = newer.level.saturating_sub(newer.size);
        let level = self.level.max(newer.level);
        Block {
            level,
            size: level - used,
            available: newer.available,
        }
    }
}
