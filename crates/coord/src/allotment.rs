//! Division of a target's limit among the entries, without an owner to ask.
//!
//! A limit is divided into units of about one request per second, and each unit belongs to one entry.
//! Weighted rendezvous hashing chooses the entry, in proportion to the entries' demand, so that all
//! entries come to the same division if they know the same entries and demands. Where they differ for
//! a moment, only the units differ that moved. An entry that doesn't hear the others keeps its units,
//! and the others leave them to it.
//!
//! The number of units, and with it the burst, depends on the limit and not on the number of entries.

use crate::id::Rate;
use crate::time::Millis;
use crate::time::Time;

/// Largest number of units of a limit.
const MAX_UNITS: u32 = 64;

/// Units for each request per second of a rate that holds for each second.
const SHORT_UNITS_PER_RATE: f64 = 0.4;

/// Requests per second that a target gets at least, so that its answers show when the limit ends.
const MIN_RATE: f64 = 0.25;

/// Time for which a unit saves up requests that it didn't send, in seconds, but at least one request.
const SAVED_S: f64 = 0.5;

/// Weight of an entry without demand, relative to one request per second.
const IDLE_WEIGHT: f64 = 0.05;

/// Steps of [`Demand`] in which the demand doubles.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Difference from which the reported demand changes, in steps; more than half a step, so that it
/// doesn't go to and fro.
const STEP_HYSTERESIS: f64 = 0.75;

/// Time over which demand is averaged, in seconds.
const DEMAND_AVERAGE_S: f64 = 2.0;

/// Number of units that a limit is divided into.
pub fn units(limit: Rate) -> u32 {
    let whole = limit.per_second().min(f64::from(MAX_UNITS - 1));
    1 + whole as u32
}

/// Number of units of a rate that holds for each second rather than for several: fewer, so that what the
/// units have saved up stays within half of the rate, the usual tolerance.
pub fn short_units(per_second: f64) -> u32 {
    let units = (per_second * SHORT_UNITS_PER_RATE).min(f64::from(MAX_UNITS));
    (units as u32).max(1)
}

/// An entry among which a limit is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Holder {
    pub entry: u64,
    /// Share of the units that it should get, relative to the others' weights; positive.
    pub weight: f64,
}

/// Number of units of a target's limit that an entry holds.
pub fn held_units(target: u32, limit: Rate, entry: u64, holders: &[Holder]) -> u32 {
    held_of(target, units(limit), entry, holders)
}

/// Number of a target's `units` that an entry holds.
pub fn held_of(target: u32, units: u32, entry: u64, holders: &[Holder]) -> u32 {
    let held = (0..units).filter(|unit| holder(target, *unit, holders) == Some(entry));
    held.count() as u32
}

/// The entry that holds a unit; none if there are no entries.
fn holder(target: u32, unit: u32, holders: &[Holder]) -> Option<u64> {
    let part = u64::from(target) << 32 | u64::from(unit);
    let score = |holder: &Holder| -uniform(mix(mix(part) ^ holder.entry)).ln() / holder.weight;
    let scored = holders.iter().map(|holder| (score(holder), holder.entry));
    let lowest = scored.min_by(|a, b| a.0.total_cmp(&b.0));
    lowest.map(|(_, entry)| entry)
}

/// Mixes the bits of a number (the last step of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Maps mixed bits to a number above 0, up to 1.
fn uniform(bits: u64) -> f64 {
    ((bits >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// Requests per second that an entry would send to targets, averaged and in steps, so that what it
/// reports changes rarely.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Requests since the last update.
    requests: u32,
    per_second: f64,
    step: u8,
    updated: Time,
}

impl Demand {
    /// Counts a request.
    pub fn record(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Averages what was counted since the last update, and returns the step to report.
    pub fn update(&mut self, now: Time) -> u8 {
        let elapsed_s = now.since(self.updated).0 as f64 / 1000.0;
        if elapsed_s > 0.0 {
            let current = f64::from(std::mem::take(&mut self.requests)) / elapsed_s;
            let weight = 1.0 - (-elapsed_s / DEMAND_AVERAGE_S).exp();
            self.per_second += weight * (current - self.per_second);
            self.updated = now;
        }
        let step = (1.0 + self.per_second).log2() * STEPS_PER_DOUBLING;
        if (step - f64::from(self.step)).abs() > STEP_HYSTERESIS {
            self.step = step.round() as u8;
        }
        self.step
    }
}

/// Weight of an entry that reports a step of [`Demand`].
pub fn weight(step: u8) -> f64 {
    (f64::from(step) / STEPS_PER_DOUBLING).exp2() - 1.0 + IDLE_WEIGHT
}

/// An entry's part of a target's limit: a token bucket that begins empty.
///
/// A request that waits to be sent reserves a token, which leaves the bucket only when the request is
/// sent. What waited together thus can't add to the burst.
#[derive(Debug, Clone, Copy, Default)]
pub struct Allotment {
    /// Requests per second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    /// Tokens of requests that haven't been sent yet.
    reserved: u32,
    refilled: Time,
}

impl Allotment {
    /// Returns an empty bucket without a part of any limit.
    pub fn new(now: Time) -> Allotment {
        Allotment {
            refilled: now,
            ..Allotment::default()
        }
    }

    /// Changes the limit and the number of units of it that this entry holds; tokens never increase.
    pub fn assign(&mut self, limit: Rate, held: u32, now: Time) {
        let unit_rate = limit.per_second().max(MIN_RATE) / f64::from(units(limit));
        self.assign_units(unit_rate, held, now);
    }

    /// Changes the rate of each unit and the number of units that this entry holds; tokens never increase.
    pub fn assign_units(&mut self, unit_rate: f64, held: u32, now: Time) {
        self.refill(now);
        self.rate = unit_rate * f64::from(held);
        self.capacity = (unit_rate * SAVED_S).max(1.0) * f64::from(held);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Number of tokens that aren't reserved.
    pub fn available(&self, now: Time) -> f64 {
        self.tokens_at(now) - f64::from(self.reserved)
    }

    /// Reserves a token for a request that will be sent soon; returns whether there was one.
    pub fn reserve(&mut self, now: Time) -> bool {
        let granted = self.available(now) >= 1.0;
        self.reserved += u32::from(granted);
        granted
    }

    /// Gives back a reserved token.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Takes a token for a request that is sent now; returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        let granted = self.available(now) >= 1.0;
        if granted {
            self.refill(now);
            self.tokens -= 1.0;
        }
        granted
    }

    /// Gives back the token of a request that couldn't be sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity);
    }

    /// Time until a token is available; none if this entry holds no unit.
    pub fn wait(&self, now: Time) -> Option<Millis> {
        let missing = (1.0 - self.available(now)).max(0.0);
        (self.rate > 0.0).then(|| Millis((missing / self.rate * 1000.0).ceil() as u64))
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let refill = self.rate * now.since(self.refilled).0 as f64 / 1000.0;
        (self.tokens + refill).min(self.capacity)
    }

    fn refill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.refilled = self.refilled.max(now);
    }
}
