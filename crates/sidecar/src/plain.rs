//! Runs one request at a plain service and streams its answer to the caller.

use std::time::Duration;

use bytes::Bytes;
use coord::refusal::Code;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use wire::Done;
use wire::Head;
use wire::Plain;
use wire::Ran;

use crate::clock;
use crate::frame::FrameSender;
use crate::frame::Outcome;
use crate::header;
use crate::health::Run;
use crate::key;
use crate::refusal;
use crate::settings::Limits;
use crate::upstream;
use crate::upstream::Upstream;

/// Header with the request's id; set to the attempt's id unless the caller sent one.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// A checked request to the service.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

/// Context of one request: target, limits and receiver of the answer.
#[derive(Debug)]
pub struct Job<'a> {
    pub upstream: &'a Upstream,
    pub limits: &'a Limits,
    pub run: &'a Run,
    pub output: &'a FrameSender,
}

/// Why an answer ended early.
#[derive(Debug)]
enum StreamError {
    Interrupted(String),
    TooLarge,
}

/// Checks a caller's request; `attempt` is its id if the caller sent none.
///
/// Errors: a part is malformed or contains a caller's key.
pub fn parse_request(work: &Plain, attempt: &str) -> Result<ServiceRequest, &'static str> {
    let method = work.method.parse().map_err(|_| "malformed method")?;
    let mut headers = header::request_to_target(&work.headers).map_err(|error| match error {
        header::Error::Malformed => "malformed header",
        header::Error::Key => "a header contains a caller's key",
    })?;
    if !headers.contains_key(&REQUEST_ID) {
        let id = HeaderValue::from_str(attempt).map_err(|_| "malformed attempt")?;
        headers.insert(REQUEST_ID, id);
    }
    if !work.path.starts_with('/') {
        return Err("malformed path");
    }
    if key::path_contains_key(&work.path) || key::contains_key(&work.body) {
        return Err("the path or body contains a caller's key");
    }
    Ok(ServiceRequest {
        method,
        path: work.path.clone(),
        headers,
        body: work.body.clone(),
    })
}

/// Sends the request and forwards the answer until it ends or breaks.
pub async fn run(job: Job<'_>, request: ServiceRequest) -> Outcome {
    let silence = clock::duration(job.limits.silence_ms);
    let send = job
        .upstream
        .send(request.method, &request.path, request.headers, request.body);
    let sent = tokio::time::timeout(silence, send).await;
    match sent.unwrap_or(Err(upstream::Error::Timeout)) {
        Ok(response) => job.forward(response, silence).await,
        Err(error @ upstream::Error::Unsent(_)) => {
            let message = format!("connection to the service failed: {error}");
            Outcome::Refused(refusal::new(Code::Unavailable, Ran::No, message))
        }
        Err(error) => job.unknown_outcome(error.to_string()).await,
    }
}

impl Job<'_> {
    async fn forward(&self, response: Response<Incoming>, silence: Duration) -> Outcome {
        let head = Head {
            status: u32::from(response.status().as_u16()),
            headers: header::answer_to_caller(response.headers()),
        };
        self.output.send_head(head).await;
        match self.forward_body(response.into_body(), silence).await {
            Ok(()) => Outcome::Done(Done {
                finish: "stop".to_owned(),
                ..Done::default()
            }),
            Err(StreamError::TooLarge) => {
                let refusal = refusal::new(Code::TooLarge, Ran::Yes, "the answer is too large");
                Outcome::Refused(refusal)
            }
            Err(StreamError::Interrupted(cause)) => self.unknown_outcome(cause).await,
        }
    }

    async fn forward_body(&self, mut body: Incoming, silence: Duration) -> Result<(), StreamError> {
        let mut size = 0;
        loop {
            let frame = match tokio::time::timeout(silence, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(StreamError::Interrupted(error.to_string())),
                Ok(None) => return Ok(()),
                Err(_) => return Err(StreamError::Interrupted("no data in time".to_owned())),
            };
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            size += chunk.len();
            if size > self.limits.answer_bytes {
                return Err(StreamError::TooLarge);
            }
            self.output.send_chunk(chunk).await;
        }
    }

    async fn unknown_outcome(&self, cause: String) -> Outcome {
        match self.run.detect_crash().await {
            Some(crashed) => Outcome::Crashed(crashed),
            None => {
                let message = format!("the service sent no complete answer: {cause}");
                Outcome::Refused(refusal::new(Code::OutcomeUnknown, Ran::Unknown, message))
            }
        }
    }
}
