//! Decides whether a request may be retried after attempts at targets failed.
//!
//! Several attempts may be in flight at once, because a slow idempotent request is hedged. A
//! request that may not run twice is retried only if every target that received it reported that
//! it hasn't run it. A request is reported as not run only if that holds for all its attempts.

/// Number of rejections by targets after which a further one ends the request: more attempts would
/// take longer than a new request by the caller.
pub const REJECTION_LIMIT: u32 = 4;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target has not run the request and never will.
    NotRun,
    /// The target may have run the request, or may do so later.
    MaybeRun,
    /// The caller's deadline has passed; the target may have run the request, as with `MaybeRun`.
    Timeout,
}

/// Outcome of a request that gets no further attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No target has run the request, and none will.
    NotRun,
    /// A target may have run the request.
    Unknown,
    /// The caller's deadline has passed, and a target may have run the request.
    TimedOut,
}

/// Action to take after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to another target.
    Retry,
    /// Wait for the other attempts in flight.
    Wait,
    GiveUp(Outcome),
}

/// Attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    idempotent: bool,
    /// Maximum number of targets that may run the request.
    run_limit: u32,
    in_flight: u32,
    /// Failed attempts that may have run the request.
    possible_runs: u32,
    rejections: u32,
}

impl Attempts {
    /// Creates the state of an unsent request; at most `run_limit` targets may run it.
    pub fn new(idempotent: bool, run_limit: u32) -> Attempts {
        Attempts {
            idempotent,
            run_limit,
            in_flight: 0,
            possible_runs: 0,
            rejections: 0,
        }
    }

    /// Records that an attempt is sent to a target.
    pub fn record_start(&mut self) {
        self.in_flight += 1;
    }

    /// Returns whether the request may be sent to a further target while attempts are in flight.
    pub fn may_hedge(&self) -> bool {
        self.idempotent
            && self.rejections <= REJECTION_LIMIT
            && self.possible_runs + self.in_flight < self.run_limit
    }

    /// Records the failure of an attempt in flight and returns what to do next.
    pub fn record_failure(&mut self, failure: Failure) -> Action {
        self.in_flight = self.in_flight.saturating_sub(1);
        match failure {
            Failure::NotRun => self.rejections += 1,
            Failure::MaybeRun => self.possible_runs += 1,
            Failure::Timeout => {
                self.possible_runs += 1;
                return Action::GiveUp(Outcome::TimedOut);
            }
        }
        let runs_exhausted =
            self.possible_runs > 0 && (!self.idempotent || self.possible_runs >= self.run_limit);
        match self.in_flight {
            0 if runs_exhausted || self.rejections > REJECTION_LIMIT => {
                Action::GiveUp(self.outcome())
            }
            0 => Action::Retry,
            _ => Action::Wait,
        }
    }

    /// Returns the outcome to report if the request is given up now.
    pub fn outcome(&self) -> Outcome {
        match self.possible_runs + self.in_flight {
            0 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}
