//! Handles a request from its head to its response: routing, authentication, limits, dispatch.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use coord::id;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::adapter::Call;
use crate::config::CustomerLimits;
use crate::config::RequestKind;
use crate::config::Route;
use crate::config::Service;
use crate::config::Version;
use crate::serve::admission;
use crate::serve::body::Body;
use crate::serve::header::detach;
use crate::serve::intake::Claim;
use crate::serve::memory::Exhausted;
use crate::serve::memory::Source;
use crate::serve::plain;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::serve::turn;
use crate::state::Snapshot;
use crate::state::State;
use crate::target::crash;

/// Delay after which a caller may retry a request that crashed its targets.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Most of a refused request's body that is read and thrown away, in bytes, and the time for it. After
/// that, the connection is closed.
const DISCARD_BYTES: usize = 1024 * 1024;
const DISCARD_TIME: Duration = Duration::from_millis(1000);

/// Handles one request.
///
/// Errors: none; failures become responses.
pub async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
    claim: &Claim,
) -> Result<Response<Body>, Infallible> {
    let received = Instant::now();
    let mut context = LogContext::default();
    let result = tokio::select! {
        biased;
        result = handle(&state, request, claim, received, &mut context) => result,
        () = state.stop.passed() => Err(unfinished(&context)),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refuse(&state, &refusal, &context, received),
    };
    // Callers reuse open connections: closing this one moves the caller to an entry that can serve
    // it better.
    if state.is_draining() || state.is_cut_off() || claim.ends() {
        let headers = response.headers_mut();
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    Ok(response)
}

/// Facts about a request that are available when it is refused, for its log line.
#[derive(Debug, Default)]
struct LogContext {
    request: Option<id::Request>,
    program: Option<id::Program>,
    customer: Option<Arc<CustomerLimits>>,
    route: Option<Arc<Route>>,
    /// Version of the configuration that the request was routed with.
    version: Version,
    /// Whether the request was passed on to a target.
    passed_on: Arc<AtomicBool>,
}

/// Returns the answer to a request that is unfinished at the end of a graceful shutdown.
fn unfinished(context: &LogContext) -> Refusal {
    match context.passed_on.load(Ordering::Relaxed) {
        true => Refusal::Timeout,
        false => Refusal::stopping(),
    }
}

fn refuse(
    state: &State,
    refusal: &Refusal,
    context: &LogContext,
    received: Instant,
) -> Response<Body> {
    let request = context.request.as_ref().map(id::Request::as_str);
    let program = context.program.as_ref();
    let customer = context.customer.as_ref();
    let fleet = state.fleet();
    log::info!(
        step = "answer", peer = "caller", request = request.unwrap_or(""),
        program = program.map_or("", |program| program.as_str()),
        customer = customer.map_or("", |customer| customer.name.as_str()),
        route = context.route.as_ref().map_or("", |route| route.name.as_str()),
        version = context.version.0, entries = fleet.entries, entries_silent = fleet.silent,
        status = refusal.status().as_u16(),
        retry_ms = refusal.retry_after().unwrap_or_default().as_millis() as u64,
        took_ms = received.elapsed().as_millis() as u64;
        "{refusal}"
    );
    state.instruments.record_refusal(refusal.label());
    let mut response = refusal.response();
    if let Some(request) = request {
        state
            .adapter
            .set_request_id(response.headers_mut(), request);
    }
    response
}

async fn handle(
    state: &Arc<State>,
    request: Request<Incoming>,
    claim: &Claim,
    received: Instant,
    context: &mut LogContext,
) -> Result<Response<Body>, Refusal> {
    // The beginning of the request may have arrived with the one before.
    claim.receive(received)?;
    if claim.ends() {
        return Err(Exhausted.into());
    }
    let (mut parts, mut body) = request.into_parts();
    detach(&mut parts);
    let waits = parts.headers.contains_key(header::EXPECT);
    let result = handle_parts(state, parts, &mut body, claim, received, context).await;
    let is_read_on = match &result {
        Ok(_) => false,
        // A caller that waits for leave to send its body would get it.
        Err(_) => !waits && !body.is_end_stream() && !claim.ends(),
    };
    if is_read_on {
        tokio::spawn(discard(body));
    }
    result
}

/// Reads the rest of a refused request's body. Without that, the connection would be closed beside the
/// answer: the caller loses the answer if it still sends, and its next request if it doesn't.
async fn discard(mut body: Incoming) {
    let reading = async {
        let mut count = 0;
        while let Some(Ok(frame)) = body.frame().await {
            count += frame.data_ref().map_or(0, Bytes::len);
            if count > DISCARD_BYTES {
                return;
            }
        }
    };
    // The connection is closed if the body hasn't ended by then.
    let _ = tokio::time::timeout(DISCARD_TIME, reading).await;
}

async fn handle_parts(
    state: &Arc<State>,
    parts: Parts,
    body: &mut Incoming,
    claim: &Claim,
    received: Instant,
    context: &mut LogContext,
) -> Result<Response<Body>, Refusal> {
    let snapshot = state.snapshot().ok_or(Refusal::NotConfigured)?;
    context.version = snapshot.table.config.version;
    let host = match parts.headers.get(header::HOST) {
        Some(host) => host.to_str().unwrap_or(""),
        None => parts.uri.host().unwrap_or(""),
    };
    let path = parts.uri.path();
    let route = snapshot.table.route(host, path);
    let route = Arc::clone(route.ok_or_else(|| refusal_if_current(state, Refusal::NoRoute))?);
    context.route = Some(Arc::clone(&route));
    let call = state.adapter.call(&parts.headers);
    let call = call.map_err(|error| Refusal::Malformed(error.0))?;
    context.request = Some(call.request.clone());
    context.program = call.program.clone();
    let customer = authenticate(state, &snapshot, &route, &call)?;
    context.customer = customer.clone();
    let deadline = deadline(&route, &call, received);
    if !state.stop.permits(deadline) {
        return Err(Refusal::stopping());
    }
    if let Some(customer) = &customer {
        admission::check(state, customer, deadline)?;
    }
    let limit = snapshot.table.config.limits.body_bytes;
    let limit = limit.min(state.intake.max_body_bytes());
    let source = customer.as_ref();
    let source = source.map_or("", |customer| customer.name.as_str());
    claim.begin_body(Source::customer(source), Instant::now())?;
    let reading = tokio::time::timeout_at(deadline, read_body(claim, body, limit));
    let body = tokio::select! {
        body = reading => body.map_err(|_| Refusal::SlowBody)??,
        () = claim.refused() => return Err(Refusal::MadeRoom),
    };
    let service = choose_service(&route, &call)?;
    claim.enter_service(Source::service(service.as_str()))?;
    let job = Job {
        service,
        version: snapshot.table.config.version,
        call,
        customer,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        received,
        deadline,
        passed_on: Arc::clone(&context.passed_on),
        route,
    };
    check_suspect(state, &job)?;
    match job.route.kind {
        // Only requests in progress take the memory of these futures.
        RequestKind::Stream(stream) => Box::pin(turn::answer(state, job, stream)).await,
        RequestKind::Idempotent | RequestKind::NonIdempotent => {
            admission::admit(state, &job, false).await?;
            let (response, target) = Box::pin(plain::answer(state, &job)).await?;
            state
                .instruments
                .record_answer(job.received.elapsed(), None);
            job.log_outcome("answered", Some(&target), None);
            Ok(response)
        }
    }
}

/// Returns `refusal`, caused by an item missing from the configuration, if the configuration is the
/// newest; otherwise `NotConfigured`, as a newer one may contain the item.
pub fn refusal_if_current(state: &State, refusal: Refusal) -> Refusal {
    match state.is_config_current() {
        true => refusal,
        false => Refusal::NotConfigured,
    }
}

fn authenticate(
    state: &State,
    snapshot: &Snapshot,
    route: &Route,
    call: &Call,
) -> Result<Option<Arc<CustomerLimits>>, Refusal> {
    let customer = call
        .key
        .as_ref()
        .and_then(|key| snapshot.table.customer(key));
    match customer {
        Some(customer) => Ok(Some(Arc::clone(customer))),
        None if route.public || snapshot.table.config.customers.is_empty() => Ok(None),
        None => Err(refusal_if_current(state, Refusal::NoKey)),
    }
}

/// Refuses a request that repeatedly crashed its targets.
fn check_suspect(state: &State, job: &Job) -> Result<(), Refusal> {
    let suspects = state.suspects.lock();
    if suspects.is_empty() || !suspects.is_refused(crash::request_fingerprint(job), state.time()) {
        return Ok(());
    }
    Err(Refusal::Unavailable {
        cause: "this request crashed each target that ran it".to_owned(),
        retry: SUSPECT_RETRY_DELAY,
    })
}

/// Reads a whole body, which occupies memory of the connection's claim.
///
/// Errors: the body ends early, or is longer than the limits allow.
async fn read_body(claim: &Claim, body: &mut Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
    if announced.is_some_and(|size| size > limit) {
        return Err(Refusal::TooLong);
    }
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Refusal::Malformed(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        size += data.len();
        if size > limit {
            return Err(Refusal::TooLong);
        }
        // Kept as it is, it would keep the connection's whole read buffer.
        claim.append(&data, announced, Instant::now())?;
    }
    Ok(claim.finish_body(Instant::now())?)
}

fn deadline(route: &Route, call: &Call, received: Instant) -> Instant {
    let timeout = call.deadline.unwrap_or(Duration::MAX).min(route.timeout);
    received + timeout
}

/// Chooses a service in proportion to the route's weights. All requests of a program get the same
/// service.
fn choose_service(route: &Route, call: &Call) -> Result<Service, Refusal> {
    let total_weight: u32 = route.shares.iter().map(|share| share.weight).sum();
    let affinity_id = match &call.program {
        Some(program) => program.as_str(),
        None => call.request.as_str(),
    };
    let mut offset = match total_weight {
        0 => 0,
        total_weight => {
            (crate::target::hash::hash_parts(&[affinity_id]) >> 16) as u32 % total_weight
        }
    };
    for share in &route.shares {
        if offset < share.weight {
            return Ok(share.service.clone());
        }
        offset -= share.weight;
    }
    match route.shares.first() {
        Some(share) => Ok(share.service.clone()),
        None => Err(Refusal::NoRoute),
    }
}
