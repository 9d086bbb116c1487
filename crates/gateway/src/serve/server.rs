//! HTTP server for callers' requests.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::server::graceful::Watcher;
use node::listener;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::serve::answer;
use crate::serve::body::Claimed;
use crate::serve::caller;
use crate::serve::caller::Connection;
use crate::serve::caller::Incomplete;
use crate::serve::intake::Claim;
use crate::state::State;

/// Idle timeout of connections while no configuration is loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of a request head while no configuration is loaded, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Smallest buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Time at a stop for which connections that wait in the listener's queue are accepted, and time after
/// it until idle connections are closed, so that requests that have arrived on them are read.
const STOP_GRACE: Duration = Duration::from_millis(100);

/// Serves callers until `stop` is true, then completes the requests that have arrived by then.
pub async fn serve(listener: TcpListener, state: Arc<State>, mut stop: watch::Receiver<bool>) {
    let connections = GracefulShutdown::new();
    let stopped = stop.clone();
    let accepting = listener::accept(&listener, "callers", |stream, peer| {
        // A connection that finds no room is closed: its caller has sent nothing that was read.
        if let Ok(claim) = state.intake.connect(Instant::now()) {
            let connection = serve_connection(
                stream,
                peer,
                Arc::new(claim),
                Arc::clone(&state),
                connections.watcher(),
                stopped.clone(),
            );
            tokio::spawn(connection);
        }
    });
    let stopping = async {
        // An error means that the sender is gone, which is a stop too.
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(STOP_GRACE).await;
    };
    tokio::select! {
        () = accepting => {}
        () = stopping => {}
    }
    drop(listener);
    tokio::time::sleep(STOP_GRACE).await;
    connections.shutdown().await;
}

/// Serves a connection until it ends or has to make room for others.
async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    claim: Arc<Claim>,
    state: Arc<State>,
    watcher: Watcher,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(error) = node::socket::configure(&stream) {
        log::debug!(step = "accept", peer:% = peer; "{error}");
    }
    let head_timeout = head_timeout(&state);
    tokio::select! {
        biased;
        has_sent = caller::has_sent(&stream) => if !has_sent {
            return;
        },
        () = claim.closed() => return,
        () = tokio::time::sleep(head_timeout) => return,
        () = stopped(&mut stop) => return,
    }
    let serving = serve_requests(stream, peer, &claim, state, watcher);
    tokio::select! {
        () = Box::pin(serving) => {}
        () = claim.closed() => {
            log::debug!(step = "serve", peer:% = peer; "connection to caller is closed to make room");
        }
    }
}

/// Serves a connection that has sent something until it ends.
async fn serve_requests(
    stream: TcpStream,
    peer: SocketAddr,
    claim: &Arc<Claim>,
    state: Arc<State>,
    watcher: Watcher,
) {
    let limits = state
        .snapshot()
        .map(|snapshot| snapshot.table.config.limits);
    let head_timeout = head_timeout(&state);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let incomplete = Incomplete::default();
    let stream = Connection::new(stream, incomplete.clone()).with_claim(Arc::clone(claim));
    let request_claim = Arc::clone(claim);
    let service = service_fn(move |request: Request<Incoming>| {
        // HTTP/1.0 has no chunks, so only the end of the connection shows that a stream is complete.
        let ends_connection =
            request.version() == Version::HTTP_10 && request.method() != Method::HEAD;
        let incomplete = incomplete.clone();
        let state = Arc::clone(&state);
        let claim = Arc::clone(&request_claim);
        // The HTTP library keeps space for this future also while the connection is idle.
        Box::pin(async move {
            let mut response = answer::answer(state, request, &claim).await?;
            if ends_connection {
                response.body_mut().mark_incomplete(incomplete);
            }
            Ok::<_, Infallible>(response.map(|body| Claimed::new(body, claim)))
        })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        log::debug!(step = "serve", peer:% = peer; "connection to caller failed: {error}");
    }
}

/// Time for which a connection may send nothing, and for a head.
fn head_timeout(state: &State) -> Duration {
    let snapshot = state.snapshot();
    let limits = snapshot.map(|snapshot| snapshot.table.config.limits);
    // The HTTP library has one timeout for the pause before a head and the head together.
    limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.saturating_add(limits.header_timeout)
    })
}

/// Waits until a connection that has sent nothing is closed because of a stop.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender is gone, which is a stop too.
    let _ = stop.wait_for(|stop| *stop).await;
    tokio::time::sleep(2 * STOP_GRACE).await;
}
