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
pub const HOLD: Millis = Millis(15_000);

/// Longest hold that an owner may ask for.
pub const LONGEST_HOLD: Millis = Millis(600_000);

/// After a start, owners have this long to renew leases before unknown programs are dropped.
pub const GRACE: Millis = Millis(5_000);

#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    until: Time,
    running: u32,
    /// Released by its owner: not held again after a run that was under way.
    ended: bool,
    /// Tokens that the engine is thought to hold.
    tokens: Tokens,
}

/// Leases on cached histories, by program.
#[derive(Debug, Default)]
pub struct Leases {
    leases: Map<CompactString, Lease>,
    /// Programs unknown here may be dropped from this moment on.
    strict_from: Time,
}

impl Leases {
    /// No leases, at the start of a process.
    pub fn new(now: Time) -> Leases {
        Leases {
            leases: Map::default(),
            strict_from: now + GRACE,
        }
    }

    /// Notes that a program runs here.
    pub fn begin(&mut self, program: &str) {
        let lease = self.leases.entry(program.into()).or_default();
        lease.running += 1;
    }

    /// Notes that a program's run is over, and whether its next turn may want the cache.
    pub fn finish(&mut self, program: &str, keep: bool, now: Time) {
        let Some(lease) = self.leases.get_mut(program) else {
            return;
        };
        lease.running = lease.running.saturating_sub(1);
        match keep && !lease.ended {
            true => lease.until = lease.until.max(now + HOLD),
            false => lease.until = now,
        }
    }

    /// Holds a program's cache for a while, also if it isn't known here.
    pub fn hold(&mut self, program: &str, length: Millis, now: Time) {
        let lease = self.leases.entry(program.into()).or_default();
        lease.until = now + length.min(LONGEST_HOLD);
        lease.ended = false;
    }

    /// Ends a program's lease.
    pub fn release(&mut self, program: &str, now: Time) {
        let lease = self.leases.entry(program.into()).or_default();
        lease.until = now;
        lease.ended = true;
    }

    /// Whether a program's cache may be dropped.
    pub fn may_drop(&self, program: &str, now: Time) -> bool {
        match self.leases.get(program) {
            Some(lease) => lease.running == 0 && lease.until <= now,
            None => now >= self.strict_from,
        }
    }

    /// Notes how much of a program's history the engine lists.
    pub fn listed(&mut self, program: &str, tokens: Tokens) {
        if let Some(lease) = self.leases.get_mut(program) {
            lease.tokens = tokens;
        }
    }

    /// Tokens of a program's history that the engine is thought to hold.
    pub fn cached(&self, program: &str) -> Tokens {
        self.leases
            .get(program)
            .map_or(Tokens(0), |lease| lease.tokens)
    }

    /// Whether a program runs here at present.
    pub fn is_running(&self, program: &str) -> bool {
        self.leases
            .get(program)
            .is_some_and(|lease| lease.running > 0)
    }

    /// Forgets leases that are over and whose programs the engine doesn't list.
    pub fn sweep(&mut self, listed: impl Fn(&str) -> bool, now: Time) {
        let strict = now >= self.strict_from;
        self.leases.retain(|program, lease| {
            let over = lease.running == 0 && lease.until <= now;
            !over || listed(program) || !strict
        });
    }

    /// Programs held, with the rest of their leases.
    pub fn listing(&self, now: Time) -> impl Iterator<Item = (&str, Millis)> {
        self.leases
            .iter()
            .map(move |(program, lease)| (program.as_str(), lease.until.since(now)))
    }
}
