//! Refusals of an attempt, with a stable code and whether it ran.

use coord::refusal::Code;
use coord::time::Millis;
use wire::Ran;
use wire::Refusal;

/// Name of this step in refusals.
const STEP: &str = "dispatch";

/// A refusal without advice on when to come back.
pub fn new(code: Code, ran: Ran, message: impl Into<String>) -> Refusal {
    Refusal {
        code: code.as_str().to_owned(),
        ran: ran.into(),
        message: message.into(),
        retry_after_ms: 0,
        step: STEP.to_owned(),
        peer: String::new(),
    }
}

/// A refusal of what never ran, worth sending again after a while.
pub fn retryable(code: Code, message: &str, after: Millis) -> Refusal {
    Refusal {
        retry_after_ms: after.0.max(1),
        ..new(code, Ran::No, message)
    }
}
