//! Ways to hold a customer's rate across entries, each from the same bucket code.
//!
//! Every decision is checked against exact buckets. One takes each request that it can; a refusal
//! of such a request counts as within the rate. The other takes what was granted; a grant that it
//! has no token for counts as overshoot.

use coord::bucket::Block;
use coord::bucket::Bucket;
use coord::bucket::Take;
use coord::id::Burst;
use coord::id::Rate;
use coord::time::Millis;
use coord::time::Time;

use crate::trace::Account;

/// Longest wait for a token that a call is held for instead of refused.
const HOLD: Millis = Millis(1_000);

/// How long the customers' owner is away when it is killed.
const FAILOVER: Millis = Millis(4_000);

/// Who keeps a customer's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Its owner.
    Owner,
    /// Its owner, which is killed at this moment.
    OwnerKilled(Time),
    /// Each entry, with its part of the rate.
    Split,
    /// Each entry, with the whole rate less what the others told it of.
    Gossip,
}

/// Answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Goes on.
    Granted,
    /// Asks again after this time, in line.
    Held(Millis),
    /// Is refused; the client may ask again after this time.
    Refused(Millis),
}

/// What was decided wrongly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Errors {
    /// Calls granted.
    pub granted: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls refused within the rate.
    pub within: u64,
    /// Calls granted beyond it.
    pub overshoot: u64,
}

impl Errors {
    /// Share of the calls that were refused within the rate.
    pub fn share_within(&self) -> f64 {
        self.within as f64 / (self.granted + self.refused).max(1) as f64
    }
}

/// One customer's rate.
#[derive(Debug)]
pub struct Gate {
    mode: Mode,
    rate: Rate,
    burst: Burst,
    buckets: Vec<Bucket>,
    granted: Vec<u32>,
    block: Option<(Block, Time)>,
    entitled: Bucket,
    exact: Bucket,
    /// Counts so far.
    pub errors: Errors,
}

impl Gate {
    /// A full gate; `scale` multiplies the account's rate.
    pub fn new(mode: Mode, account: &Account, scale: f64, entries: u32) -> Gate {
        let rate = rate(account.rate * scale);
        let burst = Burst(account.burst);
        let full = |rate, burst: Burst| Bucket::new(rate, burst, u64::from(burst.0), Time(0));
        let part = |entry: u32| Burst(burst.0 / entries + u32::from(entry < burst.0 % entries));
        let split = rate_of(rate, entries);
        let buckets = match mode {
            Mode::Owner | Mode::OwnerKilled(_) => vec![full(rate, burst)],
            Mode::Split => (0..entries).map(|entry| full(split, part(entry))).collect(),
            Mode::Gossip => (0..entries).map(|_| full(rate, burst)).collect(),
        };
        Gate {
            mode,
            rate,
            burst,
            granted: vec![0; buckets.len()],
            buckets,
            block: None,
            entitled: full(rate, burst),
            exact: full(rate, burst),
            errors: Errors::default(),
        }
    }

    /// Decides on a call that came at this entry and has been held this long.
    pub fn admit(&mut self, entry: usize, held: Millis, now: Time) -> Admission {
        if let Some(left) = self.away(now) {
            return Admission::Held(left);
        }
        let index = entry % self.buckets.len();
        match self.take(index, now) {
            None => {
                granted(&mut self.entitled, now);
                self.granted[index] += 1;
                self.errors.granted += 1;
                self.errors.overshoot += u64::from(!granted(&mut self.exact, now));
                Admission::Granted
            }
            Some(wait) if held.0.saturating_add(wait.0) <= HOLD.0 => Admission::Held(wait),
            Some(wait) => {
                self.errors.refused += 1;
                self.errors.within += u64::from(granted(&mut self.entitled, now));
                Admission::Refused(wait)
            }
        }
    }

    /// Tells each entry what the others granted since the last time.
    pub fn exchange(&mut self, now: Time) {
        if self.mode != Mode::Gossip {
            return;
        }
        let total: u32 = self.granted.iter().sum();
        for (bucket, own) in self.buckets.iter_mut().zip(&self.granted) {
            for _ in *own..total {
                granted(bucket, now);
            }
        }
        self.granted.fill(0);
    }

    /// Time until a killed owner's standby takes over.
    fn away(&mut self, now: Time) -> Option<Millis> {
        let Mode::OwnerKilled(killed) = self.mode else {
            return None;
        };
        let back = killed + FAILOVER;
        if now < killed {
            return None;
        }
        if now < back {
            return Some(back.since(now));
        }
        self.mode = Mode::Owner;
        self.buckets[0] = match self.block {
            Some((block, seen)) => Bucket::after_failover(self.rate, self.burst, block, seen, back),
            None => Bucket::after_loss(self.rate, self.burst, back),
        };
        None
    }

    /// Takes a token; or how long until there is one.
    fn take(&mut self, index: usize, now: Time) -> Option<Millis> {
        let bucket = &mut self.buckets[index];
        match bucket.take(now) {
            Take::Granted => None,
            Take::Wait(wait) => Some(wait),
            Take::NeedsBlock(level) => {
                self.block = Some((bucket.block(level), now));
                bucket.confirm(level);
                self.take(index, now)
            }
        }
    }
}

fn granted(bucket: &mut Bucket, now: Time) -> bool {
    match bucket.take(now) {
        Take::Granted => true,
        Take::Wait(_) => false,
        Take::NeedsBlock(level) => {
            bucket.confirm(level);
            granted(bucket, now)
        }
    }
}

fn rate(a_second: f64) -> Rate {
    Rate::try_from(a_second).expect("rates in traces are positive")
}

fn rate_of(whole: Rate, parts: u32) -> Rate {
    rate(whole.per_second() / f64::from(parts))
}
