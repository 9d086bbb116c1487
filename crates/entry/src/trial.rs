//! Attempts after the first one: when a call may be tried again, where not, and the refusals that
//! end it.

use std::time::Duration;

use coord::Set;
use coord::id;
use coord::refusal::Code;
use coord::time::Millis;
use sched::retry::Backoff;
use wire::Ran;
use wire::Refusal;

use crate::ledger::Stop;
use crate::refusal;

const STEP: &str = "call";
/// Bounds of the delay before another attempt.
const DELAY_MIN: Millis = Millis(10);
const DELAY_MAX: Millis = Millis(250);
/// A call with less time than this isn't tried again.
const LATE: Duration = Duration::from_millis(50);
/// Attempts of one call at most.
pub const ATTEMPTS: usize = 8;
/// When to come back if no target can be had, in milliseconds.
const RETRY_AFTER: u64 = 1000;

/// Attempts of one call so far.
pub struct Trials {
    pub count: usize,
    pub barred: Set<id::Target>,
    /// Whether one of them may have run.
    pub may_have_run: bool,
    pub delay: Backoff,
}

impl Trials {
    /// What a refusal says after these attempts.
    pub fn honest(&self, stop: Stop, recorded: bool) -> Stop {
        match stop {
            // The next owner knows only of what was recorded.
            Stop::Moved(_) if self.may_have_run && !recorded => Stop::Refused(moved_midway()),
            Stop::Refused(refusal) if self.may_have_run && refusal.ran() == Ran::No => {
                Stop::Refused(ran_when(refusal))
            }
            stop => stop,
        }
    }
}

/// A call without an answer that may be tried again.
pub struct Again {
    pub refusal: Refusal,
    /// Costs no target anything, so that it needs no retry budget.
    pub free: bool,
    pub may_have_run: bool,
    pub repeatable: bool,
}

impl Again {
    /// Confirmed not to have run.
    pub fn not_run(refusal: Refusal, left: Duration) -> Again {
        let hopeless = match refusal.code.parse() {
            Ok(Code::Unauthorized | Code::Quarantined | Code::BadRequest | Code::Ended) => true,
            // Otherwise it was this node's authority that ran out, not the call's time.
            Ok(Code::Deadline) => left < LATE,
            Ok(_) | Err(_) => false,
        };
        let free = matches!(
            refusal.code.parse(),
            Ok(Code::Draining | Code::NotRun | Code::Deadline | Code::Conflict)
        );
        Again {
            free,
            may_have_run: false,
            repeatable: !hopeless,
            refusal,
        }
    }

    /// May have run, and may be repeated.
    pub fn lost(refusal: Refusal) -> Again {
        let repeatable = !refusal::is(&refusal, Code::Ended);
        let retry_after = RETRY_AFTER * u64::from(repeatable);
        Again {
            repeatable,
            refusal: refusal::retry_after(refusal, retry_after),
            free: false,
            may_have_run: true,
        }
    }
}

impl Default for Trials {
    fn default() -> Trials {
        Trials {
            count: 0,
            barred: Set::default(),
            may_have_run: false,
            delay: Backoff::new(DELAY_MIN, DELAY_MAX),
        }
    }
}

/// The shard moved after an attempt that isn't recorded.
fn moved_midway() -> Refusal {
    let message = "the shard has moved; the request may have run";
    let refusal = refusal::unknown(Code::Unavailable, STEP, message);
    refusal::retry_after(refusal, RETRY_AFTER)
}

/// The call's program ended while it ran.
pub fn ended() -> Refusal {
    refusal::unknown(Code::Ended, STEP, "the program has ended")
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
        ran: Ran::Unknown.into(),
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
