//! The callers' HTTP server.
//!
//! It sends each part of a stream at once, closes connections that stay silent, and on a planned
//! stop takes no new connection and finishes what is open.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use gateway::serve::caller;
use gateway::serve::caller::Connection;
use gateway::serve::caller::Incomplete;
use gateway::serve::caller::RECEIVE_BUFFER_BYTES;
use gateway::serve::intake::Claim;
use gateway::serve::intake::Intake;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Version;
use http::header;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
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
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::api;
use crate::callers::Callers;

const STEP: &str = "serve";
/// Time for the head of a request, also of the first one of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest head, in bytes.
const HEAD_BYTES: usize = 32 * 1024;

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts serving callers.
    ///
    /// Errors: the address can't be bound.
    pub async fn start(
        callers: Callers,
        intake: Intake,
        address: SocketAddr,
    ) -> eyre::Result<Server> {
        let listener = listener::bind_with_buffer(address, RECEIVE_BUFFER_BYTES as u32).await?;
        let address = listener.local_addr()?;
        let stop = watch::Sender::new(false);
        let task = accept(listener, Arc::new(callers), intake, stop.subscribe());
        let task = tokio::spawn(task);
        Ok(Server {
            address,
            stop,
            task,
        })
    }

    /// Where callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection and finishes the answers that are open.
    pub async fn close(self) {
        self.stop.send_replace(true);
        let _ = self.task.await;
    }
}

async fn accept(
    listener: TcpListener,
    callers: Arc<Callers>,
    intake: Intake,
    mut stop: watch::Receiver<bool>,
) {
    let open = GracefulShutdown::new();
    let stopped = stop.clone();
    let on_connection = |stream, peer| {
        // A connection that finds no room is closed: its caller has sent nothing that was read.
        if let Ok(claim) = intake.connect(Instant::now()) {
            let (callers, claim) = (Arc::clone(&callers), Arc::new(claim));
            let serving = serve(
                stream,
                peer,
                callers,
                claim,
                open.watcher(),
                stopped.clone(),
            );
            tokio::spawn(serving);
        }
    };
    tokio::select! {
        () = listener::accept(&listener, "callers", on_connection) => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
    drop(listener);
    open.shutdown().await;
}

/// Serves a connection until it ends or has to make room for others.
async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    callers: Arc<Callers>,
    claim: Arc<Claim>,
    watcher: Watcher,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(step = STEP, peer = peer.to_string().as_str(); "{error}");
    }
    tokio::select! {
        biased;
        has_sent = caller::has_sent(&stream) => if !has_sent {
            return;
        },
        () = claim.closed() => return,
        () = tokio::time::sleep(HEAD_TIMEOUT) => return,
        _ = stop.wait_for(|stop| *stop) => return,
    }
    tokio::select! {
        () = Box::pin(serve_requests(stream, peer, callers, &claim, watcher)) => {}
        () = claim.closed() => {
            let peer = peer.to_string();
            log::debug!(step = STEP, peer = peer.as_str(); "connection is closed to make room");
        }
    }
}

/// Serves a connection that has sent something until it ends.
async fn serve_requests(
    stream: TcpStream,
    peer: SocketAddr,
    callers: Arc<Callers>,
    claim: &Arc<Claim>,
    watcher: Watcher,
) {
    let incomplete = Incomplete::default();
    let stream = Connection::new(stream, incomplete.clone()).with_claim(Arc::clone(claim));
    let request_claim = Arc::clone(claim);
    let service = service_fn(move |request: Request<Incoming>| {
        let callers = Arc::clone(&callers);
        let incomplete = incomplete.clone();
        let claim = Arc::clone(&request_claim);
        // HTTP/1.0 has no chunks, so only the end of the connection shows that an answer is complete.
        let old = request.version() == Version::HTTP_10 && request.method() != Method::HEAD;
        // The HTTP library keeps space for this future also while the connection is idle.
        Box::pin(async move {
            // The beginning of the request may have arrived with the one before.
            let _ = claim.receive(Instant::now());
            let mut response = api::answer(&callers, request, Arc::clone(&claim)).await;
            if claim.ends() {
                let headers = response.headers_mut();
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| {
                let ends_connection = old && body.size_hint().exact().is_none();
                Streamed::new(body, Some(incomplete).filter(|_| ends_connection), claim)
            }))
        })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        log::debug!(step = STEP, peer = peer.to_string().as_str(); "{error}");
    }
}

/// A body that marks its connection as incomplete until it ends, if only that shows its end.
struct Streamed {
    body: dropshot::Body,
    incomplete: Option<Incomplete>,
    claim: Arc<Claim>,
}

impl Drop for Streamed {
    fn drop(&mut self) {
        self.claim.finish_answer();
    }
}

impl Streamed {
    fn new(body: dropshot::Body, incomplete: Option<Incomplete>, claim: Arc<Claim>) -> Streamed {
        if let Some(incomplete) = &incomplete {
            incomplete.set(true);
        }
        Streamed {
            body,
            incomplete,
            claim,
        }
    }
}

impl Body for Streamed {
    type Data = <dropshot::Body as Body>::Data;
    type Error = <dropshot::Body as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        if let (None, Some(incomplete)) = (&frame, &self.incomplete) {
            incomplete.set(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incomplete.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
