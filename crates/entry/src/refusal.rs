//! Refusals on their way to a caller: the message between processes and its form in HTTP.
//!
//! A refusal says whether the request ran. `Ran::No` is only ever set where nothing was sent to a
//! target, or where its sidecar confirmed that nothing started and nothing will.

use coord::refusal::Code;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;
use wire::Ran;
use wire::Refusal;

/// Longest time that `Retry-After` names, in seconds.
const RETRY_AFTER_LIMIT: u64 = 3600;

/// A refusal of something that never ran.
pub fn not_run(code: Code, step: &str, message: impl Into<String>) -> Refusal {
    Refusal {
        code: code.as_str().into(),
        ran: Ran::No.into(),
        message: message.into(),
        retry_after_ms: 0,
        step: step.into(),
        peer: String::new(),
    }
}

/// A refusal of something that may have run.
pub fn unknown(code: Code, step: &str, message: impl Into<String>) -> Refusal {
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
    let code: Option<Code> = refusal.code.parse().ok();
    let status = code.and_then(|code| StatusCode::from_u16(code.status()).ok());
    status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
}

/// A decision's refusal as a message between processes.
pub fn from_decision(refusal: coord::refusal::Refusal, step: &str) -> Refusal {
    let ran = match refusal.ran {
        coord::refusal::Ran::No => Ran::No,
        coord::refusal::Ran::Yes => Ran::Yes,
        coord::refusal::Ran::Unknown => Ran::Unknown,
    };
    Refusal {
        code: refusal.code.as_str().into(),
        ran: ran.into(),
        message: refusal.message.to_string(),
        retry_after_ms: refusal.retry_after.map_or(0, |wait| wait.0),
        step: step.into(),
        peer: String::new(),
    }
}

/// Whether a refusal has this code.
pub fn is(refusal: &Refusal, code: Code) -> bool {
    refusal.code == code.as_str()
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
