//! Refusals of an attempt, with a stable code and whether it ran.

use coord::time::Millis;
use wire::Ran;
use wire::Refusal;

/// Why an attempt got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The process is stopping.
    Draining,
    /// Too many wait already.
    Overloaded,
    /// Not started in time, or not finished in time.
    Deadline,
    /// Taken back before it started.
    NotRun,
    /// Sent under an ownership that has passed on.
    Conflict,
    /// Malformed.
    BadRequest,
    /// The answer is larger than allowed.
    TooLarge,
    /// The target doesn't answer, or lacks the model.
    Unavailable,
    /// Cancelled while it ran.
    Cancelled,
    /// May or may not have run.
    OutcomeUnknown,
}

impl Code {
    /// The stable text.
    pub fn as_str(self) -> &'static str {
        match self {
            Code::Draining => "draining",
            Code::Overloaded => "overloaded",
            Code::Deadline => "deadline",
            Code::NotRun => "not-run",
            Code::Conflict => "conflict",
            Code::BadRequest => "bad-request",
            Code::TooLarge => "too-large",
            Code::Unavailable => "unavailable",
            Code::Cancelled => "cancelled",
            Code::OutcomeUnknown => "outcome-unknown",
        }
    }
}

/// A refusal without advice on when to come back.
pub fn new(code: Code, ran: Ran, message: impl Into<String>) -> Refusal {
    Refusal {
        code: code.as_str().to_owned(),
        ran: ran.into(),
        message: message.into(),
        retry_after_ms: 0,
        step: "dispatch".to_owned(),
        peer: String::new(),
    }
}

/// A refusal of what never ran, worth sending again after a while.
pub fn later(code: Code, message: &str, after: Millis) -> Refusal {
    Refusal {
        retry_after_ms: after.0.max(1),
        ..new(code, Ran::No, message)
    }
}
