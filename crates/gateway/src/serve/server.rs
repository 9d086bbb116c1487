//! The callers' HTTP server, and the one that says whether callers should come.

use std::convert::Infallible;
use std::net::SocketAddr;
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
use hyper_util::server::graceful::GracefulShutdown;
use node::listener;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::serve::answer;
use crate::serve::body::Body;
use crate::state::State;

/// Time that a connection may stay unused before a configuration is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(15);

/// Largest head before a configuration is known, in bytes.
const HEADER_DEFAULT: usize = 16 * 1024;

/// Smallest buffer that the HTTP library takes, in bytes.
const BUFFER_LEAST: usize = 8 * 1024;

/// Serves callers until `stop`, then finishes the answers that are open.
pub async fn serve(listener: TcpListener, state: Arc<State>, mut stop: watch::Receiver<bool>) {
    let open = GracefulShutdown::new();
    tokio::select! {
        () = listener::accept(&listener, "callers", |stream, peer| connect(stream, peer, &state, &open)) => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
    drop(listener);
    open.shutdown().await;
}

fn connect(stream: TcpStream, peer: SocketAddr, state: &Arc<State>, open: &GracefulShutdown) {
    if let Err(error) = node::socket::prepare(&stream) {
        log::debug!(step = "accept", peer:% = peer; "{error}");
    }
    let limits = state
        .snapshot()
        .map(|snapshot| snapshot.table.config.limits);
    let idle = limits.map_or(IDLE_DEFAULT, |limits| limits.idle_timeout);
    let head = limits.map_or(HEADER_DEFAULT, |limits| limits.header_bytes);
    let state = Arc::clone(state);
    let service = service_fn(move |request| answer::answer(Arc::clone(&state), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(BUFFER_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    let connection = open.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(step = "serve", peer:% = peer; "connection of caller ended: {error}");
        }
    });
}

/// Answers whether callers should come, until the task is dropped.
pub async fn serve_readiness(listener: TcpListener, state: Arc<State>) {
    let connect = |stream, _peer| {
        let state = Arc::clone(&state);
        let service = service_fn(move |request: Request<Incoming>| {
            let status = ready(&state, request.uri().path());
            async move {
                let mut response = Response::new(Body::whole(""));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_DEFAULT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(step = "serve", peer = "balancer"; "connection ended: {error}");
            }
        });
    };
    listener::accept(&listener, "balancer", connect).await;
}

fn ready(state: &State, path: &str) -> StatusCode {
    match () {
        () if path != state.dialect.ready_path() => StatusCode::NOT_FOUND,
        () if state.is_ready() => StatusCode::OK,
        () => StatusCode::SERVICE_UNAVAILABLE,
    }
}
