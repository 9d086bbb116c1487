//! Refusals: a stable code, whether the request ran, and when to come back.
//!
//! "Not run" is a statement: [`Ran::No`] is given only when the request has never been dispatched
//! or its attempt has been fenced off.

use std::fmt;

use compact_str::CompactString;
use compact_str::ToCompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Millis;

macro_rules! codes {
    ($($(#[$doc:meta])* $code:ident = $text:literal, $status:literal;)*) => {
        /// Why a request was refused; the text is stable for callers.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Code {
            $($(#[$doc])* $code,)*
        }

        impl Code {
            /// All codes.
            pub const ALL: &[Code] = &[$(Code::$code),*];

            /// The code as callers see it.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Code::$code => $text,)*
                }
            }

            /// HTTP status.
            pub fn status(self) -> u16 {
                match self {
                    $(Code::$code => $status,)*
                }
            }
        }
    };
}

codes! {
    /// Over the customer's rate and burst.
    RateLimited = "rate-limited", 429;
    /// No key, an unknown one or a withdrawn one.
    Unauthorized = "unauthorized", 401;
    /// No such thing for this customer.
    NotFound = "not-found", 404;
    /// The path exists, but not by this method.
    MethodNotAllowed = "method-not-allowed", 405;
    /// A step that isn't the program's next.
    OutOfOrder = "out-of-order", 409;
    /// The program's budget doesn't cover it.
    Budget = "budget", 402;
    /// The program has ended.
    Ended = "ended", 410;
    /// The program repeated one call too often.
    Looped = "looped", 410;
    /// The request has crashed targets.
    Quarantined = "quarantined", 422;
    /// No room at present.
    Overloaded = "overloaded", 503;
    /// Dispatched, and nobody knows whether it ran; final.
    OutcomeUnknown = "outcome-unknown", 502;
    /// Confirmed not to have run.
    NotRun = "not-run", 503;
    /// The process or target is stopping.
    Draining = "draining", 503;
    /// The deadline passed.
    Deadline = "deadline", 504;
    /// Malformed request.
    BadRequest = "bad-request", 400;
    /// Too many bytes or tokens.
    TooLarge = "too-large", 413;
    /// The name is taken by a request with other content.
    Conflict = "conflict", 409;
    /// No owner or no target at present.
    Unavailable = "unavailable", 503;
    /// The answer broke off.
    Broken = "broken", 502;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for Code {
    type Err = crate::id::Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = Code::ALL.iter().find(|code| code.as_str() == text);
        known.copied().ok_or(crate::id::Malformed {
            expected: "refusal code",
        })
    }
}

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    No,
    Yes,
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        })
    }
}

/// A refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub code: Code,
    pub ran: Ran,
    /// When to come back; none: coming back makes no sense.
    pub retry_after: Option<Millis>,
    pub message: CompactString,
}

impl Refusal {
    /// A final refusal of a request that hasn't run.
    pub fn new(code: Code, message: impl fmt::Display) -> Refusal {
        Refusal {
            code,
            ran: Ran::No,
            retry_after: None,
            message: message.to_compact_string(),
        }
    }

    /// The same with another statement on whether it ran.
    pub fn ran(self, ran: Ran) -> Refusal {
        Refusal { ran, ..self }
    }

    /// The same with a time to come back.
    pub fn after(self, wait: Millis) -> Refusal {
        let retry_after = Some(wait);
        Refusal {
            retry_after,
            ..self
        }
    }

    /// Dispatched, and nobody knows whether it ran.
    pub fn outcome_unknown() -> Refusal {
        Refusal::new(Code::OutcomeUnknown, "the request may have run").ran(Ran::Unknown)
    }

    /// No such thing for this customer, whether or not another customer has it.
    pub fn not_found() -> Refusal {
        Refusal::new(Code::NotFound, "no such program")
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (ran: {})", self.code, self.message, self.ran)
    }
}

impl std::error::Error for Refusal {}
