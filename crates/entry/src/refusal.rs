//! Refusals on their way to a caller: the message between processes and its form in HTTP.
//!
//! A refusal says whether the request ran. `Ran::No` is only ever set where nothing was sent to a
//! target, or where its sidecar confirmed that nothing started and nothing will.

use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;
use wire::Ran;
use wire::Refusal;

/// Longest time that `Retry-After` names, in seconds.
const RETRY_AFTER_LIMIT: u64 = 3600;

/// Stable texts of refusals, as callers see them.
pub mod code {
    pub const BAD_REQUEST: &str = "bad-request";
    pub const BROKEN: &str = "broken-stream";
    pub const CONFLICT: &str = "conflict";
    pub const DEADLINE: &str = "deadline";
    pub const DRAINING: &str = "draining";
    pub const EXPIRED: &str = "expired";
    pub const FAILED: &str = "failed";
    pub const NOT_FOUND: &str = "not-found";
    pub const NOT_RUN: &str = "not-run";
    pub const OUTCOME_UNKNOWN: &str = "outcome-unknown";
    pub const OVERLOADED: &str = "overloaded";
    pub const QUARANTINED: &str = "quarantined";
    pub const RATE_LIMITED: &str = "rate-limited";
    pub const TOO_LARGE: &str = "too-large";
    pub const UNAUTHORIZED: &str = "unauthorized";
    pub const UNAVAILABLE: &str = "unavailable";
}

/// A refusal of something that never ran.
pub fn not_run(code: &str, step: &str, message: impl Into<String>) -> Refusal {
    Refusal {
        code: code.into(),
        ran: Ran::No.into(),
        message: message.into(),
        retry_after_ms: 0,
        step: step.into(),
        peer: String::new(),
    }
}

/// A refusal of something that may have run.
pub fn unknown(code: &str, step: &str, message: impl Into<String>) -> Refusal {
    Refusal {
        ran: Ran::Unknown.into(),
        ..not_run(code, step, message)
    }
}

/// Adds when coming back makes sense, in milliseconds.
pub fn retry_after(refusal: Refusal, millis: u64) -> Refusal {
    Refusal {
        retry_after_ms: millis,
        ..refusal
    }
}

/// Adds the peer at which the refusal arose.
pub fn at(refusal: Refusal, peer: impl ToString) -> Refusal {
    Refusal {
        peer: peer.to_string(),
        ..refusal
    }
}

/// Names of whether a refused request ran.
pub fn ran(refusal: &Refusal) -> &'static str {
    match refusal.ran() {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown => "unknown",
    }
}

/// HTTP status of a refusal.
pub fn status(refusal: &Refusal) -> StatusCode {
    match refusal.code.as_str() {
        code::BAD_REQUEST => StatusCode::BAD_REQUEST,
        code::UNAUTHORIZED => StatusCode::UNAUTHORIZED,
        code::NOT_FOUND => StatusCode::NOT_FOUND,
        code::TOO_LARGE => StatusCode::PAYLOAD_TOO_LARGE,
        code::RATE_LIMITED => StatusCode::TOO_MANY_REQUESTS,
        code::CONFLICT | "out-of-order" | "ended" | "looped" => StatusCode::CONFLICT,
        "budget" => StatusCode::PAYMENT_REQUIRED,
        code::QUARANTINED => StatusCode::UNPROCESSABLE_ENTITY,
        code::DEADLINE | code::EXPIRED => StatusCode::GATEWAY_TIMEOUT,
        code::OUTCOME_UNKNOWN | code::BROKEN | code::FAILED => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Body of an error answer.
#[derive(Debug, Serialize)]
struct Body<'a> {
    code: &'a str,
    ran: &'static str,
    step: &'a str,
    peer: &'a str,
    message: &'a str,
}

/// JSON text of a refusal.
pub fn json(refusal: &Refusal) -> String {
    let body = Body {
        code: &refusal.code,
        ran: ran(refusal),
        step: &refusal.step,
        peer: &refusal.peer,
        message: &refusal.message,
    };
    serde_json::to_string(&body).unwrap_or_default()
}

/// The whole HTTP answer of a refusal.
pub fn response(refusal: &Refusal) -> Response<dropshot::Body> {
    let mut response = Response::new(dropshot::Body::from(json(refusal)));
    *response.status_mut() = status(refusal);
    let headers = response.headers_mut();
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1000);
        let seconds = seconds.clamp(1, RETRY_AFTER_LIMIT);
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    response
}
