//! HTTP client of the target; no other process talks to it.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::order::Fenced;

/// Time to connect to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for a short call to the target, such as a cancel.
const SHORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest reply to a short call, in bytes.
const SHORT_LIMIT: usize = 8 * 1024 * 1024;

/// A failed call to the target.
#[derive(Debug)]
pub enum Error {
    /// Nothing was sent: the connection could not be made.
    Unsent(String),
    /// The connection broke, or the reply is malformed.
    Broken(String),
    /// No reply in time.
    Timeout,
    /// An error status.
    Status(StatusCode),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unsent(cause) => write!(f, "no connection: {cause}"),
            Error::Broken(cause) => write!(f, "broken: {cause}"),
            Error::Timeout => f.write_str("no reply in time"),
            Error::Status(status) => write!(f, "status {status}"),
        }
    }
}

impl std::error::Error for Error {}

/// A history in the engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CachedHistory {
    pub program: String,
    pub tokens: u64,
}

/// The engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct CacheListing {
    pub entries: Vec<CachedHistory>,
    #[serde(default)]
    pub used: u64,
    #[serde(default)]
    pub size: u64,
}

/// What a target says of itself; every field may be absent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Report {
    pub incarnation: Option<String>,
    pub cache_used: u64,
    pub cache_size: u64,
}

#[derive(Debug, Default, Deserialize)]
struct Models {
    data: Vec<Model>,
}

#[derive(Debug, Default, Deserialize)]
struct Model {
    id: String,
}

/// Client of one target.
#[derive(Debug, Clone)]
pub struct Upstream {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Upstream {
    /// A client of the target at a base URL.
    pub fn new(base: &str) -> Upstream {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // Each request has a connection of its own: on a kept one that the target closes meanwhile, a
        // request that never arrived would look as though it may have run, and a target as dead.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Upstream {
            base: base.trim_end_matches('/').to_owned(),
            client,
        }
    }

    /// Sends a request and returns the answer's head with its body still to be read.
    ///
    /// Errors: no connection, or it broke before the answer's head.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .body(Full::new(body))
            .map_err(|error| Error::Unsent(error.to_string()))?;
        *request.headers_mut() = headers;
        let response = self.client.request(request).await;
        response.map_err(|error| match error.is_connect() {
            true => Error::Unsent(describe(&error)),
            false => Error::Broken(describe(&error)),
        })
    }

    /// Starts a generation and returns its event stream.
    ///
    /// Errors: as for [`Upstream::send`], or an error status.
    pub async fn generate(&self, body: Bytes) -> Result<Response<Incoming>, Error> {
        let path = "/v1/chat/completions";
        let response = self.send(Method::POST, path, json_headers(), body).await?;
        accept(response)
    }

    /// Follows a generation from an offset in bytes of its text.
    ///
    /// Errors: as for [`Upstream::generate`].
    pub async fn resume(&self, request: &str, offset: usize) -> Result<Response<Incoming>, Error> {
        let path = format!("/v1/requests/{request}/stream?offset={offset}");
        let response = self.get(&path);
        accept(response.await?)
    }

    /// Cancels a generation.
    ///
    /// Errors: no answer, or an error status.
    pub async fn cancel(&self, request: &str) -> Result<(), Error> {
        let path = format!("/v1/requests/{request}/cancel");
        self.short(Method::POST, &path).await.map(drop)
    }

    /// Lists the engine's cache.
    ///
    /// Errors: no answer, or a malformed one.
    pub async fn cache(&self) -> Result<CacheListing, Error> {
        self.read("/v1/cache").await
    }

    /// Drops a program's history from the engine's cache.
    ///
    /// Errors: no answer, or an error status.
    pub async fn drop_cache(&self, program: &str) -> Result<(), Error> {
        let path = format!("/v1/cache/{program}");
        self.short(Method::DELETE, &path).await.map(drop)
    }

    /// Asks the target how it is; any answer shows that it lives.
    ///
    /// Errors: no answer.
    pub async fn report(&self, path: &str) -> Result<Report, Error> {
        match self.short(Method::GET, path).await {
            Ok(body) => Ok(serde_json::from_slice(&body).unwrap_or_default()),
            Err(Error::Status(_)) => Ok(Report::default()),
            Err(error) => Err(error),
        }
    }

    /// Names of the models that the engine serves.
    ///
    /// Errors: no answer, or a malformed one.
    pub async fn models(&self) -> Result<Vec<String>, Error> {
        let models: Models = self.read("/v1/models").await?;
        Ok(models.data.into_iter().map(|model| model.id).collect())
    }

    /// Gives the engine an order; its time limit is the caller's.
    ///
    /// Errors: no answer, or an error status.
    pub async fn send_order(&self, order: &Fenced) -> Result<(), Error> {
        let body = serde_json::to_vec(order).map_err(|error| Error::Unsent(error.to_string()))?;
        let send = self.send(Method::POST, "/v1/orders", json_headers(), body.into());
        accept(send.await?).map(drop)
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let body = self.short(Method::GET, path).await?;
        serde_json::from_slice(&body).map_err(|error| Error::Broken(error.to_string()))
    }

    async fn get(&self, path: &str) -> Result<Response<Incoming>, Error> {
        let send = self.send(Method::GET, path, HeaderMap::new(), Bytes::new());
        let response = tokio::time::timeout(SHORT_TIMEOUT, send).await;
        response.map_err(|_| Error::Timeout)?
    }

    async fn short(&self, method: Method, path: &str) -> Result<Bytes, Error> {
        let send = self.send(method, path, HeaderMap::new(), Bytes::new());
        let whole = async { read_whole(accept(send.await?)?).await };
        let reply = tokio::time::timeout(SHORT_TIMEOUT, whole).await;
        reply.map_err(|_| Error::Timeout)?
    }
}

async fn read_whole(response: Response<Incoming>) -> Result<Bytes, Error> {
    let body = Limited::new(response.into_body(), SHORT_LIMIT);
    let whole = body.collect().await;
    let whole = whole.map_err(|error| Error::Broken(error.to_string()))?;
    Ok(whole.to_bytes())
}

fn accept(response: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    match response.status().is_success() {
        true => Ok(response),
        false => Err(Error::Status(response.status())),
    }
}

fn json_headers() -> HeaderMap {
    let value = http::HeaderValue::from_static("application/json");
    HeaderMap::from_iter([(http::header::CONTENT_TYPE, value)])
}

fn describe(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(error.source(), |error| error.source());
    sources.fold(error.to_string(), |text, source| {
        format!("{text}: {source}")
    })
}
