//! Sends one attempt of a request to a target.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use coord::time::Time;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use node::object::Kind;
use tokio::time::Instant;

use crate::adapter::Dispatch;
use crate::adapter::Reply;
use crate::error::Error;
use crate::serve::header::strip_hop_by_hop;
use crate::serve::request::Job;
use crate::state::State;
use crate::target::cold::Remaining;
use crate::target::crash;
use crate::target::directory::Candidate;
use crate::target::permit::Choice;
use crate::target::pool;
use crate::target::pool::Lease;
use crate::target::pool::Pick;

/// Time after the deadline within which the target's own timeout answer may arrive.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(80);

/// Share of a route's objective after which an unanswered idempotent request is hedged: sent to a
/// second target too.
pub const HEDGE_SHARE: f64 = 0.7;

/// Head of a target's answer, with the body still to be read.
#[derive(Debug)]
pub struct Answer {
    pub parts: Parts,
    pub body: Incoming,
    pub lease: Lease,
    pub reply: Reply,
    /// The target's idle timeout for the connection; zero closes it.
    pub idle: Option<Duration>,
}

impl Answer {
    /// Whether the answer has a length or chunks; otherwise it ends with its connection.
    pub fn is_framed(&self) -> bool {
        let headers = &self.parts.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }
}

/// Content of one attempt.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    pub job: &'a Job,
    pub body: Bytes,
    pub urgency: Option<u8>,
    /// Id of the last event that the caller has received, if a broken stream is resumed.
    pub last_event: Option<&'a str>,
    /// When the target was chosen.
    pub chosen: Instant,
}

/// Time until which a target's answer is awaited.
pub fn response_deadline(job: &Job) -> Instant {
    job.deadline + LATE_ANSWER_GRACE
}

/// Sends a request to a target and waits for the head of its answer.
///
/// Errors: no usable answer; the variant states whether the target may have run the request.
pub async fn send(
    state: &Arc<State>,
    choice: &Choice,
    attempt: &Attempt<'_>,
) -> Result<Answer, Error> {
    let sent_ms = state.now_ms();
    let candidate = &choice.candidate;
    let mut pending = Pending::new(state, candidate, attempt.job);
    let result = exchange(state, choice, attempt).await;
    pending.finish(&result);
    match &result {
        Ok(answer) => {
            answer.lease.record_success(state.now_ms());
            let mut suspects = state.suspects.lock();
            if !suspects.is_empty() {
                suspects.record_answer(crash::request_fingerprint(attempt.job));
            }
        }
        Err(error @ Error::NotSent(_)) => {
            state.instruments.record_failure(error);
            log::info!(
                step = "send", peer = candidate.target.id.as_str(),
                request = attempt.job.call.request.as_str(),
                since_choice_ms = attempt.chosen.elapsed().as_millis() as u64;
                "{error}"
            );
        }
        // The target has answered other requests meanwhile, so only this one is slow.
        Err(Error::Timeout) if candidate.load.answered_ms.load(Ordering::Relaxed) > sent_ms => {}
        Err(error) => {
            if matches!(error, Error::MaybeRun(_)) {
                crash::detect_crash(state, &candidate.target, attempt.job);
            }
            pool::eject(&candidate.load, state.now_ms());
            state.instruments.record_failure(error);
            log::info!(
                step = "send", peer = candidate.target.id.as_str(),
                request = attempt.job.call.request.as_str(),
                running = candidate.load.running.load(Ordering::Relaxed);
                "attempt failed: {error}"
            );
        }
    }
    result
}

/// A request that awaits its answer. If it is dropped unanswered, because another target was faster
/// or the caller disconnected, it counts as a failure once [`HEDGE_SHARE`] of the objective is over.
struct Pending<'a> {
    state: &'a State,
    candidate: &'a Candidate,
    overdue_after: Duration,
    sent: Instant,
    finished: bool,
}

impl<'a> Pending<'a> {
    fn new(state: &'a State, candidate: &'a Candidate, job: &Job) -> Pending<'a> {
        Pending {
            state,
            candidate,
            overdue_after: job.route.objective.mul_f64(HEDGE_SHARE),
            sent: Instant::now(),
            finished: false,
        }
    }

    fn finish(&mut self, result: &Result<Answer, Error>) {
        self.finished = true;
        let failed = match result {
            Ok(answer) => answer.parts.status.is_server_error(),
            Err(Error::NotSent(_)) => return,
            Err(_) => true,
        };
        self.record_result(failed);
    }

    fn record_result(&self, failed: bool) {
        let mut health = self.candidate.load.health.lock();
        health.record_result(failed, self.state.time());
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.finished && self.sent.elapsed() >= self.overdue_after {
            self.record_result(true);
        }
    }
}

async fn exchange(
    state: &Arc<State>,
    choice: &Choice,
    attempt: &Attempt<'_>,
) -> Result<Answer, Error> {
    let job = attempt.job;
    let candidate = &choice.candidate;
    let pick = match job.is_idempotent() {
        true => Pick::Newest,
        false => Pick::Oldest,
    };
    let limit = state.connection_limit(&candidate.target.service);
    let mut lease = state
        .pool
        .checkout(candidate, pick, limit, job.deadline)
        .await?;
    state
        .check_target(&candidate.target)
        .map_err(Error::NotSent)?;
    let request = request(state, candidate, attempt);
    let Some(sender) = lease.sender() else {
        return Err(Error::NotRun("connection was closed".to_owned()));
    };
    let asked = state.time();
    choice
        .charge(&state.limits, asked)
        .map_err(Error::NotSent)?;
    record_sending(state, candidate, attempt);
    job.passed_on.store(true, Ordering::Relaxed);
    let sent =
        tokio::time::timeout_at(response_deadline(job), sender.try_send_request(request)).await;
    let response = match sent {
        Err(_) => return Err(Error::Timeout),
        Ok(Err(error)) if error.message().is_some() => {
            choice.refund(&state.limits);
            return Err(Error::NotRun(format!(
                "request was not sent: {}",
                error.error()
            )));
        }
        Ok(Err(error)) => return Err(Error::MaybeRun(format!("no answer: {}", error.error()))),
        Ok(Ok(response)) => response,
    };
    lease.expect_body();
    let (parts, body) = response.into_parts();
    let reply = state.adapter.reply(&parts.headers);
    log::debug!(
        step = "exchange", peer = candidate.target.id.as_str(), request = job.call.request.as_str(),
        status = parts.status.as_u16(), headers = header_names(&parts.headers);
        "target answers"
    );
    // A misdirected request was answered by another target at the same address.
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        record_condition(state, candidate, attempt, &reply, parts.status, asked);
    }
    check_answer(&parts.status, &parts.headers, &reply, job)?;
    let idle = idle_timeout(&parts.headers);
    Ok(Answer {
        parts,
        body,
        lease,
        reply,
        idle,
    })
}

/// Records what a target's answer says of the target itself. A late answer to another request says
/// nothing of its limit now.
fn record_condition(
    state: &State,
    candidate: &Candidate,
    attempt: &Attempt<'_>,
    reply: &Reply,
    status: StatusCode,
    asked: Time,
) {
    let request = &attempt.job.call.request;
    if let Some(time) = reply.cold {
        state.record_cold(&candidate.target, Remaining::Known(time));
    }
    if reply.leaving {
        state.record_departure(&candidate.target, request);
    }
    if reply.request.as_deref() == Some(request.as_str()) {
        state.record_limit(&candidate.target, reply, status, asked);
    }
}

/// Records when a request is sent, how long ago its target was chosen, and how old the knowledge of the
/// target is.
fn record_sending(state: &State, candidate: &Candidate, attempt: &Attempt<'_>) {
    let age = state.freshness.age(Kind::Targets, Instant::now());
    let (since_choice, age) = (attempt.chosen.elapsed(), age.unwrap_or_default());
    state.instruments.record_sending(since_choice, age);
    log::debug!(
        step = "send", peer = candidate.target.id.as_str(),
        request = attempt.job.call.request.as_str(),
        since_choice_ms = since_choice.as_millis() as u64, targets_age_ms = age.as_millis() as u64;
        "request is sent"
    );
}

fn request(state: &State, candidate: &Candidate, attempt: &Attempt<'_>) -> Request<Full<Bytes>> {
    let job = attempt.job;
    let mut headers = job.headers.clone();
    strip_hop_by_hop(&mut headers);
    let dispatch = Dispatch {
        target: candidate.target.id.as_str(),
        customer: job.customer.as_ref().map(|customer| &customer.name),
        remaining: job.deadline.saturating_duration_since(Instant::now()),
        urgency: attempt.urgency,
        last_event: attempt.last_event,
    };
    state.adapter.dispatch(&mut headers, &dispatch);
    let mut request = Request::new(Full::new(attempt.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Checks that an answer belongs to this request and can be relayed.
///
/// Errors: the answer can't be used; the variant states whether the target may have run the request.
fn check_answer(
    status: &StatusCode,
    headers: &HeaderMap,
    reply: &Reply,
    job: &Job,
) -> Result<(), Error> {
    let refused = matches!(
        *status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    let named = reply.request.as_deref();
    match () {
        // Any statement of such an answer may be about an earlier request, while the target runs this one.
        () if named.is_none() => Err(Error::MaybeRun("answer without a name".to_owned())),
        () if named != Some(job.call.request.as_str()) => {
            Err(Error::MaybeRun("answer to another request".to_owned()))
        }
        () if reply.not_run || *status == StatusCode::MISDIRECTED_REQUEST => {
            Err(Error::NotRun(format!("target answers {status}")))
        }
        () if refused => Err(Error::MaybeRun(format!("target answers {status}"))),
        () if status.is_success() && !reply.sealed => Err(Error::MaybeRun(
            "successful answer without a seal".to_owned(),
        )),
        // The HTTP library takes "switching protocols" as the answer; it skips the other interim answers.
        () if status.is_informational() => Err(Error::MaybeRun(format!(
            "target answers {status}, which isn't final"
        ))),
        () if has_transfer_coding(headers) => {
            Err(Error::MaybeRun("answer has a transfer coding".to_owned()))
        }
        () if headers.contains_key(header::CONTENT_ENCODING) => {
            Err(Error::MaybeRun("answer has a content encoding".to_owned()))
        }
        () => Ok(()),
    }
}

/// Whether the body of an answer is encoded below its chunks. The HTTP library decodes only chunks.
fn has_transfer_coding(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    codings.any(|coding| !coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Names of an answer's headers; their values may concern a customer.
fn header_names(headers: &HeaderMap) -> String {
    let names: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    names.join(" ")
}

/// Idle timeout from the `Connection` and `Keep-Alive` headers; zero if the target closes.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let parameters = text("keep-alive")?.split(',');
    let seconds = parameters
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok());
    seconds.map(Duration::from_secs)
}
