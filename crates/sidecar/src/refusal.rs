//! Refusals of an attempt: a stable code, whether the attempt ran, and when to retry.

use coord::refusal::Code;
use coord::time::Millis;
use wire::Ran;
use wire::Refusal;

/// Value of the `step` field.
const STEP: &str = "dispatch";

/// Creates a refusal without a retry time.
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

/// Creates a refusal of an attempt that never ran and may be retried after `delay`.
pub fn retryable(code: Code, message: &str, delay: Millis) -> Refusal {
    Refusal {
        retry_after_ms: delay.0.max(1),
        ..new(code, Ran::No, message)
    }
}
