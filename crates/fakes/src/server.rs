//! The HTTP server under every stand-in, which can die like a process.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Exit status of a stand-in that a fault brings down.
const CRASHED: i32 = 3;

/// Tries to bind an address that is still in use.
const REBIND_TRIES: u32 = 100;

/// Pause between two tries.
const REBIND_DELAY: Duration = Duration::from_millis(5);

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Result of handling a request; an error closes the connection without a response.
pub type Reply = io::Result<Response<Body>>;

/// What answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, head: Parts, body: Bytes) -> impl Future<Output = Reply> + Send;
}

/// Switch that ends a server with all its connections.
#[derive(Debug, Clone)]
pub struct Switch {
    down: watch::Sender<bool>,
    exits: bool,
}

impl Switch {
    /// A switch; `exits` ends the whole process.
    pub fn new(exits: bool) -> Switch {
        let (down, _) = watch::channel(false);
        Switch { down, exits }
    }

    /// Dies at once, as a crashed process would.
    pub fn crash(&self) {
        match self.exits {
            true => std::process::exit(CRASHED),
            false => self.down.send_replace(true),
        };
    }

    /// Resolves when the server is down.
    pub async fn downed(&self) {
        let mut down = self.down.subscribe();
        let _ = down.wait_for(|down| *down).await;
    }
}

/// Serves until the switch is thrown; returns the bound address.
pub async fn start<H: Handler>(
    listen: SocketAddr,
    handler: Arc<H>,
    switch: Switch,
) -> io::Result<SocketAddr> {
    let listener = bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        tokio::select! {
            () = accept(listener, handler, switch.clone()) => {}
            () = switch.downed() => {}
        }
    });
    Ok(address)
}

/// Binds an address, waiting for an earlier life of the same server to let go of it.
async fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..REBIND_TRIES {
        match TcpListener::bind(listen).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                tokio::time::sleep(REBIND_DELAY).await;
            }
            bound => return bound,
        }
    }
    TcpListener::bind(listen).await
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, switch: Switch) {
    while let Ok((stream, _)) = listener.accept().await {
        let handler = handler.clone();
        let switch = switch.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = connection(stream, handler) => {}
                () = switch.downed() => {}
            }
        });
    }
}

async fn connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
            handler.handle(head, body).await
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    bytes(status, "application/json", body.into())
}

/// A JSON error.
pub fn error(status: StatusCode, message: &str) -> Reply {
    json(status, &serde_json::json!({ "error": message }))
}

/// A response with a whole body.
pub fn bytes(status: StatusCode, content_type: &str, body: Bytes) -> Reply {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(body.boxed_unsync())
        .map_err(io::Error::other)
}

/// A response with a streamed body; an error in the stream breaks the connection.
pub fn stream<S>(status: StatusCode, content_type: &str, parts: S) -> Reply
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let frames = parts.map(|part| part.map(Frame::data));
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(StreamBody::new(frames).boxed_unsync())
        .map_err(io::Error::other)
}

/// Value of a query parameter.
pub fn query<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    let pairs = head.uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
