//! Attempts that this process knows: each starts at most once, and never after it was fenced off.
//!
//! An attempt is remembered for a while after its end. A cancelled attempt that hasn't arrived
//! leaves a tombstone, which stops it should it still arrive. What was forgotten may be any attempt
//! made before the ledger's horizon: for such a one, a cancel never says "fenced", and a start is
//! refused.

use coord::Map;
use coord::id::Attempt;
use coord::id::Epoch;
use coord::id::Shard;
use coord::time::Millis;
use coord::time::Time;

/// Usual time for which an ended attempt is remembered.
pub const RETENTION: Millis = Millis(600_000);

/// Shortest time for which an ended attempt is remembered, when there are many.
pub const MIN_RETENTION: Millis = Millis(60_000);

/// Largest difference between the clocks of the hosts that name and run attempts.
pub const MAX_CLOCK_SKEW: Millis = Millis(30_000);

/// Attempts remembered at once.
pub const MAX_ATTEMPTS: usize = 200_000;

/// Number of attempts from which on they are remembered for a shorter time.
const SHORT_RETENTION_THRESHOLD: usize = MAX_ATTEMPTS / 2;

/// The ownership under which a message was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    pub shard: Shard,
    pub epoch: Epoch,
}

/// Name of an attempt and when it was made, if that is known.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRef<'a> {
    pub attempt: &'a Attempt,
    pub created: Option<Time>,
}

/// Why an attempt may not be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// A newer owner of the shard has been here.
    Superseded,
    /// Known already: waiting, running or ended; or so old that it may have been.
    Duplicate,
    /// Fenced off by a cancel.
    Fenced,
    /// The memory is full.
    Full,
}

/// Answer to a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// Never started and never will.
    Fenced,
    /// Started; its end is on the way.
    Running,
    /// Ended after it had started, or so old that it may have.
    Done,
    /// A newer owner of the shard has been here.
    Superseded,
    /// The memory is full: nothing is fenced off.
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
    /// When it came, or when it was fenced off.
    since: Time,
    /// Until when an ended attempt is to be remembered.
    until: Time,
}

/// All attempts known.
#[derive(Debug, Default)]
pub struct Ledger {
    attempts: Map<Attempt, Entry>,
    epochs: Map<Shard, Epoch>,
    /// Attempts that came until then may have been forgotten.
    horizon: Option<Time>,
}

impl Ledger {
    /// Enters an attempt as waiting.
    ///
    /// Errors: it may not be queued.
    pub fn admit(
        &mut self,
        attempt_ref: AttemptRef<'_>,
        authority: Authority,
        now: Time,
    ) -> Result<(), Denied> {
        let current = self.record_epoch(authority);
        match self
            .attempts
            .get(attempt_ref.attempt)
            .map(|entry| entry.phase)
        {
            Some(Phase::Fenced) => Err(Denied::Fenced),
            Some(_) => Err(Denied::Duplicate),
            None if self.may_have_forgotten(attempt_ref.created) => Err(Denied::Duplicate),
            None if !current => Err(Denied::Superseded),
            None if self.attempts.len() >= MAX_ATTEMPTS => Err(Denied::Full),
            None => {
                self.insert(attempt_ref.attempt, Phase::Queued, now, now);
                Ok(())
            }
        }
    }

    /// Starts a waiting attempt; false if it was fenced off or its owner superseded.
    pub fn start(&mut self, attempt: &Attempt, authority: Authority) -> bool {
        let current = self.record_epoch(authority);
        match self.attempts.get_mut(attempt) {
            Some(entry) if current && entry.phase == Phase::Queued => {
                entry.phase = Phase::Running;
                true
            }
            _ => false,
        }
    }

    /// Notes the end of an attempt that ran.
    pub fn record_end(&mut self, attempt: &Attempt, now: Time) {
        self.settle(attempt, Phase::Done, now);
    }

    /// Notes that an attempt ended before anything reached the target.
    pub fn record_unsent(&mut self, attempt: &Attempt, now: Time) {
        self.settle(attempt, Phase::Fenced, now);
    }

    fn settle(&mut self, attempt: &Attempt, phase: Phase, now: Time) {
        let Some(entry) = self.attempts.get_mut(attempt) else {
            return;
        };
        if matches!(entry.phase, Phase::Queued | Phase::Running) {
            entry.phase = phase;
            entry.until = now + RETENTION;
        }
    }

    /// Fences an attempt off, if it hasn't started.
    pub fn cancel(
        &mut self,
        attempt_ref: AttemptRef<'_>,
        authority: Authority,
        keep: Millis,
        now: Time,
    ) -> Cancelled {
        if !self.record_epoch(authority) {
            return Cancelled::Superseded;
        }
        let until = now + keep.max(RETENTION);
        match self
            .attempts
            .get(attempt_ref.attempt)
            .map(|entry| entry.phase)
        {
            Some(Phase::Running) => Cancelled::Running,
            Some(Phase::Done) => Cancelled::Done,
            None if self.may_have_forgotten(attempt_ref.created) => Cancelled::Done,
            None if self.attempts.len() >= MAX_ATTEMPTS => Cancelled::Full,
            Some(Phase::Queued | Phase::Fenced) | None => {
                self.insert(attempt_ref.attempt, Phase::Fenced, now, until);
                Cancelled::Fenced
            }
        }
    }

    /// Forgets attempts whose time is over, and earlier ones when there are many.
    pub fn sweep(&mut self, now: Time) {
        self.forget(|entry| entry.until <= now);
        let mut retention = RETENTION;
        while self.attempts.len() > SHORT_RETENTION_THRESHOLD && retention > MIN_RETENTION {
            retention = Millis(retention.0 / 2).max(MIN_RETENTION);
            self.forget(|entry| entry.since + retention <= now);
        }
    }

    /// Attempts remembered.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether the sender's ownership is the newest seen for its shard.
    pub fn record_epoch(&mut self, authority: Authority) -> bool {
        let newest = self.epochs.entry(authority.shard).or_default();
        *newest = authority.epoch.max(*newest);
        authority.epoch == *newest
    }

    /// The newest epoch seen for each shard.
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

    fn forget(&mut self, is_old: impl Fn(&Entry) -> bool) {
        let horizon = &mut self.horizon;
        self.attempts.retain(|_, entry| {
            let ended = matches!(entry.phase, Phase::Fenced | Phase::Done);
            let forgotten = ended && is_old(entry);
            if forgotten {
                *horizon = (*horizon).max(Some(entry.since));
            }
            !forgotten
        });
    }

    fn may_have_forgotten(&self, created: Option<Time>) -> bool {
        match (self.horizon, created) {
            (None, _) => false,
            (Some(horizon), Some(created)) => created <= horizon + MAX_CLOCK_SKEW,
            (Some(_), None) => true,
        }
    }
}
