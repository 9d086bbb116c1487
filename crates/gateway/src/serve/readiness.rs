//! HTTP server for the load balancer's readiness checks.
//!
//! Whoever reaches an entry may connect to it, so its connections have an account like those of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use node::listener;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::serve::body::Body;
use crate::serve::body::Claimed;
use crate::serve::caller;
use crate::serve::caller::Connection;
use crate::serve::caller::Incomplete;
use crate::serve::intake::Claim;
use crate::serve::intake::Intake;
use crate::serve::intake::limits::Limits;
use crate::state::State;

/// Limits of the connections for readiness checks. A load balancer has one or a few.
const LIMITS: Limits = Limits {
    bytes: 4 * 1024 * 1024,
    connections: 64,
};

/// Largest head, in bytes; the smallest that the HTTP library accepts.
const HEAD_BYTES: usize = 8 * 1024;

/// Time for which a connection may send nothing, and for a head.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Answers readiness checks until the task is dropped.
pub async fn serve(listener: TcpListener, state: Arc<State>) {
    let intake = Intake::new(LIMITS);
    let handle_connection = |stream, _peer| {
        if let Ok(claim) = intake.connect(Instant::now()) {
            tokio::spawn(serve_connection(
                stream,
                Arc::new(claim),
                Arc::clone(&state),
            ));
        }
    };
    listener::accept(&listener, "balancer", handle_connection).await;
}

/// Serves a connection until it ends or has to make room for others.
async fn serve_connection(stream: TcpStream, claim: Arc<Claim>, state: Arc<State>) {
    let serving = async {
        let first_bytes = tokio::time::timeout(IDLE_TIMEOUT, caller::has_sent(&stream));
        if let Ok(true) = first_bytes.await {
            answer_checks(stream, &claim, state).await;
        }
    };
    tokio::select! {
        () = serving => {}
        () = claim.closed() => {
            log::debug!(
                step = "serve", peer = "balancer";
                "connection to load balancer is closed to make room"
            );
        }
    }
}

/// Answers the checks of a connection that has sent something until it ends.
async fn answer_checks(stream: TcpStream, claim: &Arc<Claim>, state: Arc<State>) {
    let stream = Connection::new(stream, Incomplete::default()).with_claim(Arc::clone(claim));
    let service = service_fn(move |request: Request<Incoming>| {
        let status = status(&state, request.uri().path());
        let claim = Arc::clone(claim);
        async move {
            let mut response = Response::new(Claimed::new(Body::buffered(""), claim));
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(step = "serve", peer = "balancer"; "connection to load balancer failed: {error}");
    }
}

fn status(state: &State, path: &str) -> StatusCode {
    match () {
        () if path != state.adapter.ready_path() => StatusCode::NOT_FOUND,
        () if state.is_ready() => StatusCode::OK,
        () => StatusCode::SERVICE_UNAVAILABLE,
    }
}
