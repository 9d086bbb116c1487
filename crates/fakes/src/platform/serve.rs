//! The HTTP side of the stand-in.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::Faults;
use super::VALUE_LIMIT;
use super::store::Host;
use super::store::Kind;
use super::store::Store;

const OBJECTS: &str = "/v1/objects";

/// The connection is closed in place of a reply.
#[derive(Debug)]
struct Lost;

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("reply lost")
    }
}

impl std::error::Error for Lost {}

type Reply = Response<Full<Bytes>>;

/// Standard base64.
pub fn base64(value: &[u8]) -> String {
    STANDARD.encode(value)
}

/// Serves connections for ever.
pub async fn accept(listener: TcpListener, store: Arc<Store>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let store = Arc::clone(&store);
        let service = service_fn(move |request| respond(Arc::clone(&store), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn respond(store: Arc<Store>, request: Request<Incoming>) -> Result<Reply, Lost> {
    let path = request.uri().path().to_owned();
    match path.strip_prefix("/fake/") {
        Some(switch) => Ok(control(&store, switch, request).await),
        None => call(&store, &path, request).await,
    }
}

async fn control(store: &Store, switch: &str, request: Request<Incoming>) -> Reply {
    let body = read_body(request).await.unwrap_or_default();
    match switch {
        "stats" => json(&store.stats()),
        "faults" if body.is_empty() => json(&store.faults()),
        "faults" => match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                store.set_faults(faults);
                json(&store.faults())
            }
            Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        "hosts" => match serde_json::from_slice::<Vec<Host>>(&body) {
            Ok(hosts) => {
                store.set_hosts(hosts, Duration::ZERO);
                json(&store.hosts())
            }
            Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => text(StatusCode::NOT_FOUND, "no such switch"),
    }
}

async fn call(store: &Store, path: &str, request: Request<Incoming>) -> Result<Reply, Lost> {
    let faults = store.faults();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if store.faults().down {
        return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    let query = Query::parse(request.uri().query().unwrap_or(""));
    let kind = match *request.method() {
        Method::GET if query.wait.is_zero() => Kind::Read,
        Method::GET => Kind::Watch,
        _ => Kind::Write,
    };
    if !store.count(kind) {
        return Ok(text(StatusCode::TOO_MANY_REQUESTS, "over the rate"));
    }
    match path.strip_prefix(OBJECTS) {
        Some("") => Ok(list(store, &query).await),
        Some(name) if name.starts_with('/') => object(store, &decode(&name[1..]), request).await,
        _ if path == "/v1/hosts" => Ok(json(&store.hosts())),
        _ => Ok(text(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn list(store: &Store, query: &Query) -> Reply {
    let mut news = store.subscribe();
    let end = Instant::now() + query.wait;
    loop {
        let faults = store.faults();
        if faults.down {
            return text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let ago = Duration::from_millis(faults.stale_reads_ms);
        let changes = store.list(&query.prefix, query.since, ago);
        let done = !changes.is_empty() || Instant::now() >= end;
        match done {
            true => return json(&changes),
            false => drop(timeout_at(end, news.changed()).await),
        }
    }
}

async fn object(store: &Store, name: &str, request: Request<Incoming>) -> Result<Reply, Lost> {
    let condition = request.headers().get("if-version");
    let condition = condition.and_then(|text| text.to_str().ok()?.parse().ok());
    let written = match *request.method() {
        Method::GET => return Ok(read(store, name)),
        Method::PUT => match read_body(request).await {
            Some(body) => store.write(name, Some(body), condition),
            None => return Ok(text(StatusCode::PAYLOAD_TOO_LARGE, "value too large")),
        },
        Method::DELETE => store.write(name, None, condition),
        _ => return Ok(text(StatusCode::METHOD_NOT_ALLOWED, "no such method")),
    };
    match written {
        Ok(_) if store.lose(name) => Err(Lost),
        Ok(version) => Ok(versioned(StatusCode::OK, version, Bytes::new())),
        Err(version) => Ok(versioned(
            StatusCode::PRECONDITION_FAILED,
            version,
            Bytes::new(),
        )),
    }
}

fn read(store: &Store, name: &str) -> Reply {
    let ago = Duration::from_millis(store.faults().stale_reads_ms);
    match store.read(name, ago) {
        Some((version, value)) => versioned(StatusCode::OK, version, value),
        None => text(StatusCode::NOT_FOUND, "no such object"),
    }
}

async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), VALUE_LIMIT);
    Some(body.collect().await.ok()?.to_bytes())
}

fn versioned(status: StatusCode, version: u64, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert("version", version.into());
    reply
}

fn text(status: StatusCode, body: &str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *reply.status_mut() = status;
    reply
}

fn json(body: &impl serde::Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

#[derive(Debug, Default)]
struct Query {
    prefix: String,
    since: u64,
    wait: Duration,
}

impl Query {
    fn parse(text: &str) -> Query {
        let mut query = Query::default();
        for pair in text.split('&') {
            match pair.split_once('=') {
                Some(("prefix", value)) => query.prefix = decode(value),
                Some(("since", value)) => query.since = value.parse().unwrap_or(0),
                Some(("wait_ms", value)) => {
                    query.wait = Duration::from_millis(value.parse().unwrap_or(0));
                }
                _ => (),
            }
        }
        query
    }
}

/// Undoes percent encoding.
fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = code.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
