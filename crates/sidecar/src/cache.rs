//! Leases on programs' histories in the engine's cache.
//!
//! A program's history stays cached while the program runs at this target and until its lease
//! expires. Every other history that the engine lists is dropped, and the drop is repeated until
//! the engine no longer lists it, so a lost message or event leaves no history behind.

use compact_str::CompactString;
use coord::Map;
use coord::id::Tokens;
use coord::time::Millis;
use coord::time::Time;

/// Lease on a program's cache after a turn, unless its owner sets another.
pub const DEFAULT_HOLD: Millis = Millis(15_000);

/// Longest lease that an owner may request.
pub const MAX_HOLD: Millis = Millis(600_000);

/// Time for owners to renew leases after a start, before programs without a lease are dropped.
pub const STARTUP_GRACE: Millis = Millis(5_000);

#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    until: Time,
    /// Runs in progress.
    running: u32,
    /// Released by its owner: a run that ends later doesn't extend the lease.
    released: bool,
    /// Size of the history in the engine's last listing.
    cached_tokens: Tokens,
}

/// Leases by program.
#[derive(Debug, Default)]
pub struct Leases {
    leases: Map<CompactString, Lease>,
    /// Programs without a lease may be dropped from this moment on.
    grace_end: Time,
}

impl Leases {
    /// Creates an empty set and starts the grace period.
    pub fn new(now: Time) -> Leases {
        Leases {
            leases: Map::default(),
            grace_end: now + STARTUP_GRACE,
        }
    }

    /// Records the start of a program's run at this target.
    pub fn record_start(&mut self, program: &str) {
        let lease = self.leases.entry(program.into()).or_default();
        lease.running += 1;
    }

    /// Records the end of a program's run; `keep` extends the lease for the next turn.
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

    /// Sets a program's lease to `length`, at most `MAX_HOLD`; creates a missing lease.
    pub fn renew(&mut self, program: &str, length: Millis, now: Time) {
        let lease = self.leases.entry(program.into()).or_default();
        lease.until = now + length.min(MAX_HOLD);
        lease.released = false;
    }

    /// Ends a program's lease; creates a missing one, so that the grace period doesn't apply.
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

    /// Records the size of a program's history in the engine's listing.
    pub fn record_cached_tokens(&mut self, program: &str, cached_tokens: Tokens) {
        if let Some(lease) = self.leases.get_mut(program) {
            lease.cached_tokens = cached_tokens;
        }
    }

    /// Tokens of a program's history in the engine's last listing; 0 without a lease.
    pub fn cached_tokens(&self, program: &str) -> Tokens {
        self.leases
            .get(program)
            .map_or(Tokens(0), |lease| lease.cached_tokens)
    }

    /// Whether a program runs at this target.
    pub fn is_running(&self, program: &str) -> bool {
        self.leases
            .get(program)
            .is_some_and(|lease| lease.running > 0)
    }

    /// Removes expired leases of programs that the engine doesn't list, after the grace period.
    pub fn sweep(&mut self, listed: impl Fn(&str) -> bool, now: Time) {
        let grace_over = now >= self.grace_end;
        self.leases.retain(|program, lease| {
            let expired = lease.running == 0 && lease.until <= now;
            !expired || listed(program) || !grace_over
        });
    }

    /// Programs with the remaining time of their leases.
    pub fn remaining(&self, now: Time) -> impl Iterator<Item = (&str, Millis)> {
        self.leases
            .iter()
            .map(move |(program, lease)| (program.as_str(), lease.until.since(now)))
    }
}
