//! Ledger of attempts: each starts at most once, and never after a cancel has fenced it off.
//!
//! An ended attempt is kept for a retention time. The cancel of an attempt that hasn't arrived
//! leaves a tombstone, which refuses the attempt if it arrives later. An attempt created before the
//! ledger's horizon may have been evicted: its cancel never returns `Fenced`, and its admission is
//! refused.

use coord::Map;
use coord::id::Attempt;
use coord::id::Epoch;
use coord::id::Shard;
use coord::time::Millis;
use coord::time::Time;

/// Retention of an ended attempt.
pub const RETENTION: Millis = Millis(600_000);

/// Shortest retention of an ended attempt, when the ledger is above its threshold.
pub const MIN_RETENTION: Millis = Millis(60_000);

/// Largest difference between the clocks of the hosts that create and run attempts.
pub const MAX_CLOCK_SKEW: Millis = Millis(30_000);

/// Largest number of attempts in the ledger.
pub const MAX_ATTEMPTS: usize = 200_000;

/// Number of attempts above which the retention is shortened.
const SHORT_RETENTION_THRESHOLD: usize = MAX_ATTEMPTS / 2;

/// Shard and epoch of the owner that sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    pub shard: Shard,
    pub epoch: Epoch,
}

/// Name of an attempt and its creation time, if the name contains one.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRef<'a> {
    pub attempt: &'a Attempt,
    pub created: Option<Time>,
}

/// Reason for which an attempt isn't admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The shard has a newer owner.
    Superseded,
    /// Queued, running or ended; or created so early that it may have been evicted.
    Duplicate,
    /// Fenced off by an earlier cancel.
    Fenced,
    /// The ledger is full.
    Full,
}

/// Result of a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// Never started, and refused from now on.
    Fenced,
    /// Started and not ended yet.
    Running,
    /// Ended after its start, or created so early that it may have been evicted.
    Done,
    /// The shard has a newer owner.
    Superseded,
    /// The ledger is full: the attempt isn't fenced off.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Queued,
    Running,
    Fenced,
    Done,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    phase: Phase,
    /// Time of arrival or, for a tombstone, of the cancel.
    since: Time,
    /// End of the retention.
    until: Time,
}

/// Attempts by name, and the newest epoch of each shard.
#[derive(Debug, Default)]
pub struct Ledger {
    attempts: Map<Attempt, Entry>,
    epochs: Map<Shard, Epoch>,
    /// Latest `since` of an evicted attempt; none before the first eviction.
    horizon: Option<Time>,
}

impl Ledger {
    /// Adds an attempt as queued.
    ///
    /// Errors: the reason for which it isn't admitted.
    pub fn admit(
        &mut self,
        attempt_ref: AttemptRef<'_>,
        authority: Authority,
        now: Time,
    ) -> Result<(), Denied> {
        let is_current = self.record_epoch(authority);
        match self
            .attempts
            .get(attempt_ref.attempt)
            .map(|entry| entry.phase)
        {
            Some(Phase::Fenced) => Err(Denied::Fenced),
            Some(_) => Err(Denied::Duplicate),
            None if self.may_be_evicted(attempt_ref.created) => Err(Denied::Duplicate),
            None if !is_current => Err(Denied::Superseded),
            None if self.attempts.len() >= MAX_ATTEMPTS => Err(Denied::Full),
            None => {
                self.insert(attempt_ref.attempt, Phase::Queued, now, now);
                Ok(())
            }
        }
    }

    /// Marks a queued attempt as running; false if it was fenced off or its owner superseded.
    pub fn start(&mut self, attempt: &Attempt, authority: Authority) -> bool {
        let is_current = self.record_epoch(authority);
        match self.attempts.get_mut(attempt) {
            Some(entry) if is_current && entry.phase == Phase::Queued => {
                entry.phase = Phase::Running;
                true
            }
            _ => false,
        }
    }

    /// Records the end of an attempt that ran.
    pub fn record_end(&mut self, attempt: &Attempt, now: Time) {
        self.record_phase(attempt, Phase::Done, now);
    }

    /// Records the end of an attempt of which nothing reached the target.
    pub fn record_unsent(&mut self, attempt: &Attempt, now: Time) {
        self.record_phase(attempt, Phase::Fenced, now);
    }

    fn record_phase(&mut self, attempt: &Attempt, phase: Phase, now: Time) {
        let Some(entry) = self.attempts.get_mut(attempt) else {
            return;
        };
        if matches!(entry.phase, Phase::Queued | Phase::Running) {
            entry.phase = phase;
            entry.until = now + RETENTION;
        }
    }

    /// Fences off an attempt that hasn't started; `retention` may lengthen the usual retention.
    pub fn cancel(
        &mut self,
        attempt_ref: AttemptRef<'_>,
        authority: Authority,
        retention: Millis,
        now: Time,
    ) -> Cancelled {
        if !self.record_epoch(authority) {
            return Cancelled::Superseded;
        }
        let until = now + retention.max(RETENTION);
        match self
            .attempts
            .get(attempt_ref.attempt)
            .map(|entry| entry.phase)
        {
            Some(Phase::Running) => Cancelled::Running,
            Some(Phase::Done) => Cancelled::Done,
            None if self.may_be_evicted(attempt_ref.created) => Cancelled::Done,
            None if self.attempts.len() >= MAX_ATTEMPTS => Cancelled::Full,
            Some(Phase::Queued | Phase::Fenced) | None => {
                self.insert(attempt_ref.attempt, Phase::Fenced, now, until);
                Cancelled::Fenced
            }
        }
    }

    /// Evicts attempts at the end of their retention, which is shortened above the threshold.
    pub fn sweep(&mut self, now: Time) {
        self.evict(|entry| entry.until <= now);
        let mut retention = RETENTION;
        while self.attempts.len() > SHORT_RETENTION_THRESHOLD && retention > MIN_RETENTION {
            retention = Millis(retention.0 / 2).max(MIN_RETENTION);
            self.evict(|entry| entry.since + retention <= now);
        }
    }

    /// Number of attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether the ledger holds no attempt.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Records the sender's epoch; returns whether it is the newest received for its shard.
    pub fn record_epoch(&mut self, authority: Authority) -> bool {
        let newest = self.epochs.entry(authority.shard).or_default();
        *newest = authority.epoch.max(*newest);
        authority.epoch == *newest
    }

    /// Newest epoch received for each shard.
    pub fn epochs(&self) -> impl Iterator<Item = (Shard, Epoch)> {
        self.epochs.iter().map(|(shard, epoch)| (*shard, *epoch))
    }

    fn insert(&mut self, attempt: &Attempt, phase: Phase, since: Time, until: Time) {
        let entry = Entry {
            phase,
            since,
            until,
        };
        self.attempts.insert(attempt.clone(), entry);
    }

    fn evict(&mut self, is_expired: impl Fn(&Entry) -> bool) {
        let horizon = &mut self.horizon;
        self.attempts.retain(|_, entry| {
            let ended = matches!(entry.phase, Phase::Fenced | Phase::Done);
            let evicted = ended && is_expired(entry);
            if evicted {
                *horizon = (*horizon).max(Some(entry.since));
            }
            !evicted
        });
    }

    fn may_be_evicted(&self, created: Option<Time>) -> bool {
        match (self.horizon, created) {
            (None, _) => false,
            (Some(horizon), Some(created)) => created <= horizon + MAX_CLOCK_SKEW,
            (Some(_), None) => true,
        }
    }
}
