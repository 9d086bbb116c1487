//! Attempts after the first one: when a call may be tried again, where not, and the refusals that
//! end it.

use coord::Set;
use coord::id;
use coord::refusal::Code;
use coord::time::Millis;
use sched::retry::Delay;
use wire::Refusal;

use crate::refusal;

const STEP: &str = "call";
/// Bounds of the delay before another attempt.
const DELAY_MIN: Millis = Millis(10);
const DELAY_MAX: Millis = Millis(250);
/// Attempts of one call at most.
pub const ATTEMPTS: usize = 8;
/// When to come back if no target can be had, in milliseconds.
const RETRY_AFTER: u64 = 1000;

/// Attempts of one call so far.
pub struct Trials {
    pub count: usize,
    pub barred: Set<id::Target>,
    pub delay: Delay,
}

/// A call without an answer that may be tried again.
pub struct Again {
    pub refusal: Refusal,
    /// Costs no target anything.
    pub free: bool,
    pub repeatable: bool,
}

impl Again {
    /// Confirmed not to have run.
    pub fn not_run(refusal: Refusal) -> Again {
        let code: Option<Code> = refusal.code.parse().ok();
        let hopeless = matches!(
            code,
            Some(Code::Unauthorized | Code::Deadline | Code::Quarantined | Code::BadRequest)
        );
        Again {
            free: true,
            repeatable: !hopeless,
            refusal,
        }
    }

    /// May have run, and may be repeated.
    pub fn lost(refusal: Refusal) -> Again {
        Again {
            refusal: refusal::retry_after(refusal, RETRY_AFTER),
            free: false,
            repeatable: true,
        }
    }
}

impl Default for Trials {
    fn default() -> Trials {
        Trials {
            count: 0,
            barred: Set::default(),
            delay: Delay::new(DELAY_MIN, DELAY_MAX),
        }
    }
}

/// The request has crashed targets.
pub fn quarantined() -> Refusal {
    refusal::not_run(
        Code::Quarantined,
        STEP,
        "this request has crashed its targets",
    )
}

/// The same for a request that may have run.
pub fn ran_when(refusal: Refusal) -> Refusal {
    Refusal {
        ran: wire::Ran::Unknown.into(),
        ..refusal
    }
}

/// The former owner of the shard may not know yet.
pub fn cautious() -> Refusal {
    let message = "only requests that may be repeated are taken at present";
    let refusal = refusal::not_run(Code::Unavailable, STEP, message);
    refusal::retry_after(refusal, RETRY_AFTER)
}

/// Nothing in service.
pub fn no_target() -> Refusal {
    let refusal = refusal::not_run(Code::Unavailable, STEP, "no target is in service");
    refusal::retry_after(refusal, RETRY_AFTER)
}

/// The target died.
pub fn crashed_under() -> Refusal {
    refusal::unknown(
        Code::OutcomeUnknown,
        STEP,
        "the target died while it ran the request",
    )
}

/// The outcome is unknown for good.
pub fn final_unknown(refusal: Refusal) -> Refusal {
    Refusal {
        code: Code::OutcomeUnknown.as_str().into(),
        retry_after_ms: 0,
        ..ran_when(refusal)
    }
}

/// The same request takes longer than the caller waits.
pub fn attached_too_long() -> Refusal {
    refusal::unknown(
        Code::Deadline,
        STEP,
        "the same request is still in progress",
    )
}

/// The step before takes longer than the caller waits.
pub fn too_early() -> Refusal {
    refusal::not_run(Code::OutOfOrder, STEP, "the step before has no answer yet")
}
