//! Which programs' histories may stay in the engine's cache.
//!
//! A program holds its cache while it runs here and until its lease ends. Whatever else the engine
//! lists is dropped, again and again until the engine no longer lists it, so that a lost message or
//! event leaves nothing behind.

use compact_str::CompactString;
use coord::Map;
use coord::id::Tokens;
use coord::time::Millis;
use coord::time::Time;

/// How long a program's cache is held after a turn, unless its owner says otherwise.
pub const DEFAULT_HOLD: Millis = Millis(15_000);

/// Longest hold that an owner may ask for.
pub const MAX_HOLD: Millis = Millis(600_000);

/// After a start, owners have this long to renew leases before unknown programs are dropped.
pub const STARTUP_GRACE: Millis = Millis(5_000);

#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    until: Time,
    running: u32,
    /// Released by its owner: not held again after a run that was under way.
    released: bool,
    /// Tokens that the engine is thought to hold.
    cached_tokens: Tokens,
}

/// Leases on cached histories, by program.
#[derive(Debug, Default)]
pub struct Leases {
    leases: Map<CompactString, Lease>,
    /// Programs unknown here may be dropped from this moment on.
    grace_end: Time,
}

impl Leases {
    /// No leases, at the start of a process.
    pub fn new(now: Time) -> Leases {
        Leases {
            leases: Map::default(),
            grace_end: now + STARTUP_GRACE,
        }
    }

    /// Notes that a program runs here.
    pub fn record_start(&mut self, program: &str) {
        let lease = self.leases.entry(program.into()).or_default();
        lease.running += 1;
    }

    /// Notes that a program's run is over, and whether its next turn may want the cache.
    pub fn record_finish(&mut self, program: &str, keep: bool, now: Time) {
        let Some(lease) = self.leases.get_mut(program) else {
            return;
        };
        lease.running = lease.running.saturating_sub(1);
        match keep && !lease.released {
            true => lease.until = lease.until.max(now + DEFAULT_HOLD),
            false => lease.until = now,
        }
    }

    /// Holds a program's cache for a while, also if it isn't known here.
    pub fn renew(&mut self, program: &str, length: Millis, now: Time) {
        let lease = self.leases.entry(program.into()).or_default();
        lease.until = now + length.min(MAX_HOLD);
        lease.released = false;
    }

    /// Ends a program's lease.
    pub fn release(&mut self, program: &str, now: Time) {
        let lease = self.leases.entry(program.into()).or_default();
        lease.until = now;
        lease.released = true;
    }

    /// Whether a program's cache may be dropped.
    pub fn may_drop(&self, program: &str, now: Time) -> bool {
        match self.leases.get(program) {
            Some(lease) => lease.running == 0 && lease.until <= now,
            None => now >= self.grace_end,
        }
    }

    /// Notes how much of a program's history the engine lists.
    pub fn record_cached_tokens(&mut self, program: &str, cached_tokens: Tokens) {
        if let Some(lease) = self.leases.get_mut(program) {
            lease.cached_tokens = cached_tokens;
        }
    }

    /// Tokens of a program's history that the engine is thought to hold.
    pub fn cached_tokens(&self, program: &str) -> Tokens {
        self.leases
            .get(program)
            .map_or(Tokens(0), |lease| lease.cached_tokens)
    }

    /// Whether a program runs here at present.
    pub fn is_running(&self, program: &str) -> bool {
        self.leases
            .get(program)
            .is_some_and(|lease| lease.running > 0)
    }

    /// Forgets leases that are over and whose programs the engine doesn't list.
    pub fn sweep(&mut self, listed: impl Fn(&str) -> bool, now: Time) {
        let strict = now >= self.grace_end;
        self.leases.retain(|program, lease| {
            let over = lease.running == 0 && lease.until <= now;
            !over || listed(program) || !strict
        });
    }

    /// Programs held, with the rest of their leases.
    pub fn remaining(&self, now: Time) -> impl Iterator<Item = (&str, Millis)> {
        self.leases
            .iter()
            .map(move |(program, lease)| (program.as_str(), lease.until.since(now)))
    }
}
