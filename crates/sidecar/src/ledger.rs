//! Attempts that this process knows: each starts at most once, and never after it was fenced off.
//!
//! An attempt is remembered for a while after its end. A cancelled attempt that hasn't arrived
//! leaves a tombstone, which stops it should it still arrive. When the memory is full, new attempts
//! and tombstones are turned away: nothing is forgotten early.

use coord::Map;
use coord::id::Attempt;
use coord::id::Epoch;
use coord::id::Shard;
use coord::time::Millis;
use coord::time::Time;

/// Shortest time for which an ended attempt is remembered.
pub const RETENTION: Millis = Millis(600_000);

/// Attempts remembered at once.
pub const LIMIT: usize = 200_000;

/// The ownership under which a message was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    pub shard: Shard,
    pub epoch: Epoch,
}

/// Why an attempt may not be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// A newer owner of the shard has been here.
    Superseded,
    /// Known already: waiting, running or ended.
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
    /// Ended after it had started.
    Done,
    /// A newer owner of the shard has been here.
    Superseded,
    /// The memory is full: nothing is fenced off.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Queued,
    Running,
    Fenced { until: Time },
    Done { until: Time },
}

/// All attempts known.
#[derive(Debug, Default)]
pub struct Ledger {
    attempts: Map<Attempt, State>,
    epochs: Map<Shard, Epoch>,
}

impl Ledger {
    /// Enters an attempt as waiting.
    ///
    /// Errors: it may not be queued.
    pub fn admit(&mut self, attempt: &Attempt, authority: Authority) -> Result<(), Denied> {
        let current = self.observe(authority);
        match self.attempts.get(attempt) {
            Some(State::Fenced { .. }) => Err(Denied::Fenced),
            Some(_) => Err(Denied::Duplicate),
            None if !current => Err(Denied::Superseded),
            None if self.attempts.len() >= LIMIT => Err(Denied::Full),
            None => {
                self.attempts.insert(attempt.clone(), State::Queued);
                Ok(())
            }
        }
    }

    /// Starts a waiting attempt; false if it was fenced off or its owner superseded.
    pub fn start(&mut self, attempt: &Attempt, authority: Authority) -> bool {
        let current = self.observe(authority);
        match self.attempts.get_mut(attempt) {
            Some(state @ State::Queued) if current => {
                *state = State::Running;
                true
            }
            _ => false,
        }
    }

    /// Notes the end of an attempt: one that ran is done, one that waited never runs.
    pub fn end(&mut self, attempt: &Attempt, now: Time) {
        let until = now + RETENTION;
        match self.attempts.get_mut(attempt) {
            Some(state @ State::Queued) => *state = State::Fenced { until },
            Some(state @ State::Running) => *state = State::Done { until },
            _ => {}
        }
    }

    /// Notes that an attempt ended before anything reached the target.
    pub fn end_unsent(&mut self, attempt: &Attempt, now: Time) {
        let until = now + RETENTION;
        let state = self.attempts.get_mut(attempt);
        if let Some(state @ (State::Queued | State::Running)) = state {
            *state = State::Fenced { until };
        }
    }

    /// Fences an attempt off, if it hasn't started.
    pub fn cancel(
        &mut self,
        attempt: &Attempt,
        authority: Authority,
        keep: Millis,
        now: Time,
    ) -> Cancelled {
        if !self.observe(authority) {
            return Cancelled::Superseded;
        }
        let until = now + keep.max(RETENTION);
        let full = self.attempts.len() >= LIMIT;
        match self.attempts.get_mut(attempt) {
            Some(State::Running) => Cancelled::Running,
            Some(State::Done { .. }) => Cancelled::Done,
            Some(state) => {
                *state = State::Fenced { until };
                Cancelled::Fenced
            }
            None if full => Cancelled::Full,
            None => {
                self.attempts
                    .insert(attempt.clone(), State::Fenced { until });
                Cancelled::Fenced
            }
        }
    }

    /// Forgets attempts whose time is over.
    pub fn sweep(&mut self, now: Time) {
        self.attempts.retain(|_, state| match state {
            State::Queued | State::Running => true,
            State::Fenced { until } | State::Done { until } => *until > now,
        });
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
    pub fn observe(&mut self, authority: Authority) -> bool {
        let newest = self.epochs.entry(authority.shard).or_default();
        *newest = authority.epoch.max(*newest);
        authority.epoch == *newest
    }

    /// The newest epoch seen for each shard.
    pub fn epochs(&self) -> impl Iterator<Item = (Shard, Epoch)> {
        self.epochs.iter().map(|(shard, epoch)| (*shard, *epoch))
    }
}
