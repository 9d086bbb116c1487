//! Answers of the product's own, in place of a target's.

use std::fmt;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::quota::Exceeded;
use crate::serve::body::Body;

/// Why a request gets no target's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The request can't be understood; a client's mistake.
    Malformed(String),
    /// The body is too long.
    TooLong,
    /// No configuration is known yet, or it is too old to be sure.
    NotConfigured,
    NoRoute,
    NoKey,
    /// The customer is over its rate.
    OverRate(Duration),
    /// The program's budget doesn't hold the turn.
    BudgetSpent,
    /// The turn to continue doesn't exist.
    NoTurn,
    /// Nothing was sent to a target, or none of them ran it.
    Unavailable {
        cause: String,
        retry: Duration,
    },
    /// A target may have run the request, and its answer is lost.
    Lost(String),
    /// The caller's time is up; a target may have run the request.
    Timeout,
}

impl Refusal {
    /// The status that says so.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::Malformed(_) => StatusCode::BAD_REQUEST,
            Refusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::NotConfigured | Refusal::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NoRoute | Refusal::NoTurn => StatusCode::NOT_FOUND,
            Refusal::NoKey => StatusCode::UNAUTHORIZED,
            Refusal::OverRate(_) => StatusCode::TOO_MANY_REQUESTS,
            Refusal::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Refusal::Lost(_) => StatusCode::BAD_GATEWAY,
            Refusal::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// One word for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Refusal::Malformed(_) => "malformed",
            Refusal::TooLong => "too_long",
            Refusal::NotConfigured => "not_configured",
            Refusal::NoRoute => "no_route",
            Refusal::NoKey => "no_key",
            Refusal::OverRate(_) => "over_rate",
            Refusal::BudgetSpent => "budget_spent",
            Refusal::NoTurn => "no_turn",
            Refusal::Unavailable { .. } => "unavailable",
            Refusal::Lost(_) => "lost",
            Refusal::Timeout => "timeout",
        }
    }

    /// When to come back.
    pub fn retry(&self) -> Option<Duration> {
        const SOON: Duration = Duration::from_millis(300);
        match self {
            Refusal::OverRate(wait) => Some(*wait),
            Refusal::Unavailable { retry, .. } => Some(*retry),
            Refusal::NotConfigured => Some(SOON),
            _ => None,
        }
    }

    /// The answer.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::whole(format!("{self}\n")));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        if let Some(retry) = self.retry() {
            let seconds = format!("{:.2}", retry.as_secs_f64().max(0.01));
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

impl From<Exceeded> for Refusal {
    fn from(Exceeded(wait): Exceeded) -> Refusal {
        Refusal::OverRate(wait)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Malformed(cause) => write!(f, "malformed request: {cause}"),
            Refusal::TooLong => f.write_str("body too long"),
            Refusal::NotConfigured => f.write_str("not run: no configuration yet"),
            Refusal::NoRoute => f.write_str("no such route"),
            Refusal::NoKey => f.write_str("no such key"),
            Refusal::OverRate(_) => f.write_str("not run: over the customer's rate"),
            Refusal::BudgetSpent => f.write_str("not run: the program's budget is spent"),
            Refusal::NoTurn => f.write_str("no such turn"),
            Refusal::Unavailable { cause, .. } => write!(f, "not run: {cause}"),
            Refusal::Lost(cause) => write!(f, "outcome unknown: {cause}"),
            Refusal::Timeout => f.write_str("no answer in time"),
        }
    }
}
