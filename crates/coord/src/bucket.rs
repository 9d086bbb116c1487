//! Token buckets that stay exact when their owner changes.
//!
//! The primary spends only what the standby has confirmed: a block of about 100 ms of rate. Each
//! block's record carries what the bucket held when the block was asked for, so that a new primary
//! can go on from there as if the whole block had been spent. It never counts refill from before
//! it received the record, so the two primaries together admit no more than one bucket would.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Burst;
use crate::id::Rate;
use crate::time::Millis;
use crate::time::Time;

/// Length of rate that one block covers.
const BLOCK_MS: u64 = 100;

/// A full bucket is spent in no more blocks than about this many, twice over.
const BLOCKS_OF_BURST: u64 = 8;

/// Parts of a request, so that slow rates add up exactly.
const UNIT: u64 = 1_000_000_000;

/// Answer to taking one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    Granted,
    /// Time until the next request is within the rate; the maximum: never.
    Wait(Millis),
    /// Ask the standby to confirm spending up to this level, then take again.
    NeedsBlock(u64),
}

/// One customer's bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    burst: Burst,
    cautious: bool,
    held: u64,
    at: Time,
    spent: u64,
    confirmed: u64,
}

impl Bucket {
    /// A bucket holding `level` requests at `now`, at most its burst.
    pub fn new(rate: Rate, burst: Burst, level: u64, now: Time) -> Bucket {
        let mut bucket = Bucket {
            rate,
            burst,
            cautious: false,
            held: level.saturating_mul(UNIT),
            at: now,
            spent: 0,
            confirmed: 0,
        };
        bucket.cap();
        bucket
    }

    /// The bucket of a new primary: it goes on from the newest confirmed block, assumed spent.
    ///
    /// `seen` is when this process received the block's record, `now` a moment at which the former
    /// primary can no longer act.
    pub fn after_failover(rate: Rate, burst: Burst, block: Block, seen: Time, now: Time) -> Bucket {
        let mut bucket = Bucket::new(rate, burst, block.available, seen);
        bucket.refill(now);
        bucket.held = bucket.held.saturating_sub(block.size.saturating_mul(UNIT));
        bucket.spent = block.level;
        bucket.confirmed = block.level;
        bucket
    }

    /// The bucket of a new primary without any record of the former one: empty.
    pub fn after_loss(rate: Rate, burst: Burst, now: Time) -> Bucket {
        Bucket::new(rate, burst, 0, now)
    }

    /// Changes the limits; what the bucket holds never grows by it.
    pub fn set_limits(&mut self, rate: Rate, burst: Burst, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.cap();
    }

    /// Goes on with half the limits, or with the whole again.
    pub fn set_cautious(&mut self, cautious: bool, now: Time) {
        self.refill(now);
        self.cautious = cautious;
        self.cap();
    }

    /// Takes one request.
    pub fn take(&mut self, now: Time) -> Take {
        self.refill(now);
        match () {
            () if self.held < UNIT => Take::Wait(self.time_to_hold(UNIT)),
            () if self.spent >= self.confirmed => Take::NeedsBlock(self.spent + self.block_size()),
            () => {
                self.held -= UNIT;
                self.spent += 1;
                Take::Granted
            }
        }
    }

    /// The standby has recorded that up to `level` may be spent.
    pub fn confirm(&mut self, level: u64) {
        self.confirmed = self.confirmed.max(level);
    }

    /// What to record for a level that [`Take::NeedsBlock`] asked for.
    pub fn block(&self, level: u64) -> Block {
        Block {
            level,
            size: level.saturating_sub(self.spent),
            available: self.held / UNIT,
        }
    }

    /// Time until a request behind `ahead` others is within the rate; the maximum: never.
    pub fn wait_time(&mut self, ahead: u32, now: Time) -> Millis {
        self.refill(now);
        match self.capacity() < UNIT {
            true => Millis(u64::MAX),
            false => self.time_to_hold(UNIT.saturating_mul(u64::from(ahead) + 1)),
        }
    }

    /// Whole requests held.
    pub fn held(&self) -> u64 {
        self.held / UNIT
    }

    /// Requests granted, and those that former owners may have granted.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    fn block_size(&self) -> u64 {
        let steady = self.per_ms().saturating_mul(BLOCK_MS) / UNIT;
        let burst = self.held() / BLOCKS_OF_BURST;
        steady.max(burst).max(1)
    }

    /// Units that flow in each millisecond.
    fn per_ms(&self) -> u64 {
        let units = self.rate.per_second() * (UNIT / 1000) as f64;
        match self.cautious {
            true => units as u64 / 2,
            false => units as u64,
        }
    }

    fn capacity(&self) -> u64 {
        let burst = u64::from(self.burst.0).saturating_mul(UNIT);
        match self.cautious {
            true => burst / 2,
            false => burst,
        }
    }

    fn cap(&mut self) {
        self.held = self.held.min(self.capacity());
    }

    fn refill(&mut self, now: Time) {
        let flow = self.per_ms().saturating_mul(now.since(self.at).0);
        self.held = self.held.saturating_add(flow);
        self.at = self.at.max(now);
        self.cap();
    }

    fn time_to_hold(&self, units: u64) -> Millis {
        let missing = units.saturating_sub(self.held);
        match self.per_ms() {
            _ if missing == 0 => Millis(0),
            _ if self.capacity() < UNIT => Millis(u64::MAX),
            0 => Millis(u64::MAX),
            rate => Millis(missing.div_ceil(rate)),
        }
    }
}

/// A block of requests that a primary may spend once its record is confirmed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// Requests spent in all once the block is used up.
    pub level: u64,
    /// Requests in the block.
    pub size: u64,
    /// Requests that the bucket held when it asked for the block.
    pub available: u64,
}

impl Block {
    /// The block that covers this one and a newer one, asked for before this one was used up.
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
