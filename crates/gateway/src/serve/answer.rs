//! What happens to a request, from its head to its answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use coord::id;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::config::CustomerLimits;
use crate::config::Route;
use crate::config::Service;
use crate::config::Version;
use crate::config::Work;
use crate::edge::Call;
use crate::serve::body::Body;
use crate::serve::plain;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::serve::turn;
use crate::state::Snapshot;
use crate::state::State;
use crate::target::crash;

/// When a request that crashes its targets may come back.
const SUSPECT_RETRY: Duration = Duration::from_secs(60);

/// Answers one request.
///
/// Errors: never.
pub async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let received = Instant::now();
    let mut known = Known::default();
    let result = run(&state, request, received, &mut known).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refuse(&state, &refusal, &known, received),
    };
    // Callers keep to open connections; elsewhere they are served better.
    if state.is_draining() || state.is_cut_off() {
        let headers = response.headers_mut();
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    Ok(response)
}

/// What was learned of a request before it was refused, for its line in the log.
#[derive(Debug, Default)]
struct Known {
    request: Option<id::Request>,
    program: Option<id::Program>,
    customer: Option<Arc<CustomerLimits>>,
    route: Option<Arc<Route>>,
    /// The configuration that decided.
    version: Version,
}

fn refuse(state: &State, refusal: &Refusal, known: &Known, received: Instant) -> Response<Body> {
    let request = known.request.as_ref().map(id::Request::as_str);
    let program = known.program.as_ref();
    let customer = known.customer.as_ref();
    let fleet = state.fleet();
    log::info!(
        step = "answer", peer = "caller", request = request.unwrap_or(""),
        program = program.map_or("", |program| program.as_str()),
        customer = customer.map_or("", |customer| customer.name.as_str()),
        route = known.route.as_ref().map_or("", |route| route.name.as_str()),
        version = known.version.0, entries = fleet.entries, entries_silent = fleet.silent,
        status = refusal.status().as_u16(),
        retry_ms = refusal.retry().unwrap_or_default().as_millis() as u64,
        took_ms = received.elapsed().as_millis() as u64;
        "{refusal}"
    );
    state.instruments.refused(refusal.label());
    let mut response = refusal.response();
    if let Some(request) = request {
        state.dialect.name_request(response.headers_mut(), request);
    }
    response
}

async fn run(
    state: &Arc<State>,
    request: Request<Incoming>,
    received: Instant,
    known: &mut Known,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = request.into_parts();
    let snapshot = state.snapshot().ok_or(Refusal::NotConfigured)?;
    known.version = snapshot.table.config.version;
    let host = match parts.headers.get(header::HOST) {
        Some(host) => host.to_str().unwrap_or(""),
        None => parts.uri.host().unwrap_or(""),
    };
    let path = parts.uri.path();
    let route = snapshot.table.route(host, path);
    let route = Arc::clone(route.ok_or_else(|| unknown(state, Refusal::NoRoute))?);
    known.route = Some(Arc::clone(&route));
    let call = state.dialect.call(&parts.headers);
    let call = call.map_err(|error| Refusal::Malformed(error.0))?;
    known.request = Some(call.request.clone());
    known.program = call.program.clone();
    let customer = authenticate(state, &snapshot, &route, &call)?;
    known.customer = customer.clone();
    if let Some(customer) = &customer {
        state.check_rate(customer)?;
    }
    let limit = snapshot.table.config.limits.body_bytes;
    let body = read(body, limit).await?;
    let deadline = deadline(&route, &call, received);
    let job = Job {
        service: choose_service(&route, &call)?,
        version: snapshot.table.config.version,
        call,
        customer,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        received,
        deadline,
        route,
    };
    refuse_suspect(state, &job)?;
    match job.route.work {
        Work::Stream(stream) => turn::answer(state, job, stream).await,
        Work::Idempotent | Work::NonIdempotent => {
            if let Some(customer) = &job.customer {
                state.admit(customer, false)?;
            }
            let (response, target) = plain::answer(state, &job).await?;
            state.instruments.answered(job.received.elapsed(), None);
            job.log_end("answered", &target, None);
            Ok(response)
        }
    }
}

/// A refusal for what isn't in the configuration, if that is known to be the newest.
fn unknown(state: &State, refusal: Refusal) -> Refusal {
    match state.is_current() {
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
        None if route.open || snapshot.table.config.customers.is_empty() => Ok(None),
        None => Err(unknown(state, Refusal::NoKey)),
    }
}

/// Refuses a request that crashes its targets.
fn refuse_suspect(state: &State, job: &Job) -> Result<(), Refusal> {
    let suspects = state.suspects.lock();
    if suspects.is_empty() || !suspects.is_refused(crash::request_fingerprint(job), state.time()) {
        return Ok(());
    }
    Err(Refusal::Unavailable {
        cause: "this request crashed each target that ran it".to_owned(),
        retry: SUSPECT_RETRY,
    })
}

async fn read(mut body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let mut bytes = BytesMut::new();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Refusal::Malformed(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(Refusal::TooLong);
        }
        match &first {
            None if bytes.is_empty() => first = Some(data),
            _ => {
                bytes.extend_from_slice(&first.take().unwrap_or_default());
                bytes.extend_from_slice(&data);
            }
        }
    }
    Ok(first.unwrap_or_else(|| bytes.freeze()))
}

fn deadline(route: &Route, call: &Call, received: Instant) -> Instant {
    let timeout = call.deadline.unwrap_or(Duration::MAX).min(route.timeout);
    received + timeout
}

/// The service that gets a request; a program stays with one.
fn choose_service(route: &Route, call: &Call) -> Result<Service, Refusal> {
    let sum: u32 = route.shares.iter().map(|share| share.weight).sum();
    let name = match &call.program {
        Some(program) => program.as_str(),
        None => call.request.as_str(),
    };
    let mut point = match sum {
        0 => 0,
        sum => (crate::target::balance::hash_parts(&[name]) >> 16) as u32 % sum,
    };
    for share in &route.shares {
        if point < share.weight {
            return Ok(share.service.clone());
        }
        point -= share.weight;
    }
    match route.shares.first() {
        Some(share) => Ok(share.service.clone()),
        None => Err(Refusal::NoRoute),
    }
}
