//! Responses that the entry generates itself instead of relaying a target's.

use std::fmt;
use std::time::Duration;

use coord::id::SoftwareVersion;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::config::Service;
use crate::quota::Exceeded;
use crate::serve::body::Body;
use crate::serve::memory::Exhausted;
use crate::serve::request::retry_delay;

/// Reason why a request gets no answer from a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The request can't be parsed or read; a client error.
    Malformed(String),
    /// The body exceeds the configured limit.
    TooLong,
    /// The turns that a turn continues take more memory than an entry of this size ever has for them.
    ChainTooLong,
    /// The body made no progress while others needed its memory.
    MadeRoom,
    /// The body didn't arrive before the request's deadline.
    SlowBody,
    /// This entry has no configuration yet, or its configuration may be outdated.
    NotConfigured,
    NoRoute,
    /// The request's API key is missing or unknown.
    NoKey,
    /// The customer exceeds its request rate; contains the time until it may retry.
    OverRate(Duration),
    /// The program's budget doesn't cover the turn.
    BudgetSpent,
    /// The turn to continue doesn't exist or belongs to another customer.
    NoTurn,
    /// No target has run the request, and none will.
    Unavailable {
        cause: String,
        retry: Duration,
    },
    /// The limits that the service's targets name don't allow the request now. No target has run it.
    Limited {
        service: Service,
        retry: Duration,
    },
    /// The request resumes a stream that can't go on. No target has run it, and a retry won't help.
    NotResumable(Unresumable),
    /// A target may have run the request, but its answer was lost.
    Lost(String),
    /// The deadline has passed; a target may have run the request.
    Timeout,
}

/// Reason why a stream can't go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unresumable {
    /// It isn't known which software version began it.
    OriginUnknown,
    /// No target of the software version that began it is left.
    VersionGone(SoftwareVersion),
}

impl fmt::Display for Unresumable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unresumable::OriginUnknown => {
                f.write_str("the software version that began the stream isn't known")
            }
            Unresumable::VersionGone(version) => write!(
                f,
                "no target is left of version {version}, which began the stream"
            ),
        }
    }
}

impl From<Exhausted> for Refusal {
    fn from(_: Exhausted) -> Refusal {
        Refusal::Unavailable {
            cause: "no memory for the request or its chain of turns".to_owned(),
            retry: retry_delay(),
        }
    }
}

impl Refusal {
    /// Returns the refusal of a request for which too few history hosts answer.
    pub fn history_unavailable(error: &history::error::Error) -> Refusal {
        Refusal::Unavailable {
            cause: error.to_string(),
            retry: retry_delay(),
        }
    }

    /// Returns the refusal of a request that a graceful shutdown leaves too little time for.
    pub fn stopping() -> Refusal {
        Refusal::Unavailable {
            cause: "this entry stops".to_owned(),
            retry: retry_delay(),
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::Malformed(_) => StatusCode::BAD_REQUEST,
            Refusal::TooLong | Refusal::ChainTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Refusal::NotConfigured
            | Refusal::MadeRoom
            | Refusal::Unavailable { .. }
            | Refusal::Limited { .. }
            | Refusal::NotResumable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NoRoute | Refusal::NoTurn => StatusCode::NOT_FOUND,
            Refusal::NoKey => StatusCode::UNAUTHORIZED,
            Refusal::OverRate(_) => StatusCode::TOO_MANY_REQUESTS,
            Refusal::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Refusal::Lost(_) => StatusCode::BAD_GATEWAY,
            Refusal::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the value of the metric label `cause`.
    pub fn label(&self) -> &'static str {
        match self {
            Refusal::Malformed(_) => "malformed",
            Refusal::TooLong => "too_long",
            Refusal::ChainTooLong => "chain_too_long",
            Refusal::MadeRoom => "made_room",
            Refusal::SlowBody => "slow_body",
            Refusal::NotConfigured => "not_configured",
            Refusal::NoRoute => "no_route",
            Refusal::NoKey => "no_key",
            Refusal::OverRate(_) => "over_rate",
            Refusal::BudgetSpent => "budget_spent",
            Refusal::NoTurn => "no_turn",
            Refusal::Unavailable { .. } => "unavailable",
            Refusal::Limited { .. } => "limited",
            Refusal::NotResumable(Unresumable::OriginUnknown) => "origin_unknown",
            Refusal::NotResumable(Unresumable::VersionGone(_)) => "version_gone",
            Refusal::Lost(_) => "lost",
            Refusal::Timeout => "timeout",
        }
    }

    /// Returns the delay after which the caller may retry; none if a retry wouldn't help.
    pub fn retry_after(&self) -> Option<Duration> {
        const NOT_CONFIGURED_DELAY: Duration = Duration::from_millis(300);
        match self {
            Refusal::OverRate(delay) => Some(*delay),
            Refusal::Unavailable { retry, .. } | Refusal::Limited { retry, .. } => Some(*retry),
            Refusal::NotConfigured => Some(NOT_CONFIGURED_DELAY),
            Refusal::MadeRoom => Some(retry_delay()),
            _ => None,
        }
    }

    /// Builds the response to the caller.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::buffered(format!("{self}\n")));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        if let Some(delay) = self.retry_after() {
            let seconds = format!("{:.2}", delay.as_secs_f64().max(0.01));
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

impl From<Exceeded> for Refusal {
    fn from(Exceeded(delay): Exceeded) -> Refusal {
        Refusal::OverRate(delay)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Malformed(cause) => write!(f, "malformed request: {cause}"),
            Refusal::TooLong => f.write_str("body too long"),
            Refusal::ChainTooLong => {
                f.write_str("not run: the turns that this one continues are too long")
            }
            Refusal::MadeRoom => {
                f.write_str("not run: the body stopped while others needed its memory")
            }
            Refusal::SlowBody => f.write_str("not run: the body didn't arrive in time"),
            Refusal::NotConfigured => f.write_str("not run: no configuration yet"),
            Refusal::NoRoute => f.write_str("no such route"),
            Refusal::NoKey => f.write_str("no such key"),
            Refusal::OverRate(_) => f.write_str("not run: over the customer's rate"),
            Refusal::BudgetSpent => f.write_str("not run: the program's budget is spent"),
            Refusal::NoTurn => f.write_str("no such turn"),
            Refusal::Unavailable { cause, .. } => write!(f, "not run: {cause}"),
            Refusal::Limited { service, .. } => {
                write!(
                    f,
                    "not run: the limits of all targets of {service} are used up"
                )
            }
            Refusal::NotResumable(cause) => write!(f, "not run: {cause}"),
            Refusal::Lost(cause) => write!(f, "outcome unknown: {cause}"),
            Refusal::Timeout => f.write_str("no answer in time"),
        }
    }
}
