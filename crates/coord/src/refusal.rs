//! Refusals: a stable code, whether the request ran, and when to retry.
//!
//! [`Ran::No`] is a guarantee: it is set only when the request was never dispatched or its attempt
//! was fenced off, that is, the target's sidecar confirmed that it hasn't run and can't run.

use std::fmt;

use compact_str::CompactString;
use compact_str::ToCompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Millis;

macro_rules! codes {
    ($($(#[$doc:meta])* $code:ident = $text:literal, $status:literal;)*) => {
        /// Why a request was refused; callers may rely on the text form.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Code {
            $($(#[$doc])* $code,)*
        }

        impl Code {
            /// All codes.
            pub const ALL: &[Code] = &[$(Code::$code),*];

            /// Text form sent to callers.
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
    /// The API key is missing, unknown or revoked.
    Unauthorized = "unauthorized", 401;
    /// The resource doesn't exist for this customer.
    NotFound = "not-found", 404;
    /// The path doesn't support this method.
    MethodNotAllowed = "method-not-allowed", 405;
    /// The step isn't the program's next one.
    OutOfOrder = "out-of-order", 409;
    /// The program's budget doesn't cover the request.
    Budget = "budget", 402;
    /// The program has ended.
    Ended = "ended", 410;
    /// The program repeated the same call too often.
    Looped = "looped", 410;
    /// The request has crashed targets.
    Quarantined = "quarantined", 422;
    /// The process is at capacity.
    Overloaded = "overloaded", 503;
    /// The request was dispatched and may have run; final.
    OutcomeUnknown = "outcome-unknown", 502;
    /// The request is confirmed not to have run.
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
    /// No shard owner or no target is available.
    Unavailable = "unavailable", 503;
    /// The answer ended prematurely.
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
    /// Time to wait before a retry; `None` if a retry can't succeed.
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

    /// Sets whether the request ran.
    pub fn with_ran(self, ran: Ran) -> Refusal {
        Refusal { ran, ..self }
    }

    /// Sets the time to wait before a retry.
    pub fn with_retry_after(self, wait: Millis) -> Refusal {
        let retry_after = Some(wait);
        Refusal {
            retry_after,
            ..self
        }
    }

    /// Refusal of a request that was dispatched and may have run.
    pub fn outcome_unknown() -> Refusal {
        Refusal::new(Code::OutcomeUnknown, "the request may have run").with_ran(Ran::Unknown)
    }

    /// Refusal of a name that doesn't exist for this customer; the same whether or not another
    /// customer has it.
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
