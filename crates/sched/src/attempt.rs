//! What may still be done with a request after attempts at targets failed.
//!
//! Several attempts may be under way at once, as a slow idempotent request is sent to a second
//! target too. A request that may not run twice is sent again only if every target that had it says
//! that it hasn't run it; "not run" is said of a request only if that holds of all its attempts.

/// Targets that may turn one request away before it is refused: more would take longer than the
/// caller needs to come back.
pub const REJECTION_LIMIT: u32 = 4;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target has not run the request and never will.
    NotRun,
    /// The target may have run the request, or may do so later.
    MaybeRun,
    /// The caller's time is up; as `MaybeRun` otherwise.
    Timeout,
}

/// What is known of a request that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No target has run it or ever will.
    NotRun,
    /// A target may have run it.
    Unknown,
    /// The caller's time is up, and a target may have run it.
    TimedOut,
}

/// What to do after an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send it to another target.
    Retry,
    /// Wait for the other attempts.
    Wait,
    GiveUp(Outcome),
}

/// Attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    idempotent: bool,
    /// Targets that may run the request at most.
    limit: u32,
    running: u32,
    runs: u32,
    turned_away: u32,
}

impl Attempts {
    /// Attempts of a request that wasn't sent yet.
    pub fn new(idempotent: bool, limit: u32) -> Attempts {
        Attempts {
            idempotent,
            limit,
            running: 0,
            runs: 0,
            turned_away: 0,
        }
    }

    /// Counts an attempt that begins.
    pub fn record_start(&mut self) {
        self.running += 1;
    }

    /// Whether a further target may run the request while others still may.
    pub fn may_hedge(&self) -> bool {
        self.idempotent
            && self.turned_away <= REJECTION_LIMIT
            && self.runs + self.running < self.limit
    }

    /// Takes the failure of an attempt that had begun.
    pub fn record_failure(&mut self, failure: Failure) -> Action {
        self.running = self.running.saturating_sub(1);
        match failure {
            Failure::NotRun => self.turned_away += 1,
            Failure::MaybeRun => self.runs += 1,
            Failure::Timeout => {
                self.runs += 1;
                return Action::GiveUp(Outcome::TimedOut);
            }
        }
        let spent = self.runs > 0 && (!self.idempotent || self.runs >= self.limit);
        match self.running {
            0 if spent || self.turned_away > REJECTION_LIMIT => Action::GiveUp(self.outcome()),
            0 => Action::Retry,
            _ => Action::Wait,
        }
    }

    /// What to say of the request if it is given up now.
    pub fn outcome(&self) -> Outcome {
        match self.runs + self.running {
            0 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}
