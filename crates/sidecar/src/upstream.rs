//! HTTP client of the target. The sidecar is the only process that sends requests to it.

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

use crate::header;
use crate::order::FencedOrder;

/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a short call, such as a cancel.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a reply to a short call, in bytes.
const SHORT_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// A failed call to the target.
#[derive(Debug)]
pub enum Error {
    /// The request wasn't sent: it is invalid, or connecting failed.
    Unsent(String),
    /// The connection broke, or the reply is malformed.
    Broken(String),
    /// The target didn't reply in time.
    Timeout,
    /// The target replied with an error status.
    Status(StatusCode),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unsent(cause) => write!(f, "not sent: {cause}"),
            Error::Broken(cause) => write!(f, "connection or reply broken: {cause}"),
            Error::Timeout => f.write_str("no reply in time"),
            Error::Status(status) => write!(f, "status {status}"),
        }
    }
}

impl std::error::Error for Error {}

/// A program's history in the engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CachedHistory {
    pub program: String,
    pub tokens: u64,
}

/// Contents of the engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct CacheListing {
    pub entries: Vec<CachedHistory>,
    #[serde(default)]
    pub used: u64,
    #[serde(default)]
    pub size: u64,
}

/// A target's status report; every field may be absent.
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
    /// Creates a client of the target at a base URL.
    pub fn new(base: &str) -> Upstream {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // Connections aren't reused. If the target closed an idle connection, a request sent on it
        // would fail as if it might have run, and the target would appear dead.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Upstream {
            base: base.trim_end_matches('/').to_owned(),
            client,
        }
    }

    /// Sends a request and returns the answer once its head has arrived; the body streams.
    ///
    /// Errors: the request is invalid, the connection failed or broke before the head arrived, or the
    /// answer isn't final or has a transfer coding other than chunks, which nothing here decodes.
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
        let response = response.map_err(|error| match error.is_connect() {
            true => Error::Unsent(error_chain(&error)),
            false => Error::Broken(error_chain(&error)),
        })?;
        match () {
            () if response.status().is_informational() => {
                Err(Error::Broken(format!("status {}", response.status())))
            }
            () if header::has_transfer_coding(response.headers()) => {
                Err(Error::Broken("the answer has a transfer coding".to_owned()))
            }
            () => Ok(response),
        }
    }

    /// Starts a generation and returns its event stream.
    ///
    /// Errors: as for [`Upstream::send`], or an error status.
    pub async fn generate(&self, body: Bytes) -> Result<Response<Incoming>, Error> {
        let path = "/v1/chat/completions";
        let response = self.send(Method::POST, path, json_headers(), body).await?;
        check_status(response)
    }

    /// Streams a generation again from an offset in bytes of its text.
    ///
    /// Errors: as for [`Upstream::generate`].
    pub async fn resume(&self, request: &str, offset: usize) -> Result<Response<Incoming>, Error> {
        let path = format!("/v1/requests/{request}/stream?offset={offset}");
        let response = self.get_stream(&path);
        check_status(response.await?)
    }

    /// Cancels a generation.
    ///
    /// Errors: no answer, or an error status.
    pub async fn cancel(&self, request: &str) -> Result<(), Error> {
        let path = format!("/v1/requests/{request}/cancel");
        self.short_call(Method::POST, &path).await.map(drop)
    }

    /// Lists the engine's cache.
    ///
    /// Errors: no answer, or a malformed one.
    pub async fn cache(&self) -> Result<CacheListing, Error> {
        self.get_json("/v1/cache").await
    }

    /// Drops a program's history from the engine's cache.
    ///
    /// Errors: no answer, or an error status.
    pub async fn drop_cache(&self, program: &str) -> Result<(), Error> {
        let path = format!("/v1/cache/{program}");
        self.short_call(Method::DELETE, &path).await.map(drop)
    }

    /// Reads the target's status report. A reply with an error status or another body yields an
    /// empty report, as it still shows that the target is alive.
    ///
    /// Errors: no answer.
    pub async fn report(&self, path: &str) -> Result<Report, Error> {
        match self.short_call(Method::GET, path).await {
            Ok(body) => Ok(serde_json::from_slice(&body).unwrap_or_default()),
            Err(Error::Status(_)) => Ok(Report::default()),
            Err(error) => Err(error),
        }
    }

    /// Names of the models that the engine serves.
    ///
    /// Errors: no answer, or a malformed one.
    pub async fn models(&self) -> Result<Vec<String>, Error> {
        let models: Models = self.get_json("/v1/models").await?;
        Ok(models.data.into_iter().map(|model| model.id).collect())
    }

    /// Sends an order to the engine. It has no timeout: the caller sets one.
    ///
    /// Errors: no answer, or an error status.
    pub async fn send_order(&self, order: &FencedOrder) -> Result<(), Error> {
        let body = serde_json::to_vec(order).map_err(|error| Error::Unsent(error.to_string()))?;
        let send = self.send(Method::POST, "/v1/orders", json_headers(), body.into());
        check_status(send.await?).map(drop)
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let body = self.short_call(Method::GET, path).await?;
        serde_json::from_slice(&body).map_err(|error| Error::Broken(error.to_string()))
    }

    async fn get_stream(&self, path: &str) -> Result<Response<Incoming>, Error> {
        let send = self.send(Method::GET, path, HeaderMap::new(), Bytes::new());
        let response = tokio::time::timeout(SHORT_CALL_TIMEOUT, send).await;
        response.map_err(|_| Error::Timeout)?
    }

    async fn short_call(&self, method: Method, path: &str) -> Result<Bytes, Error> {
        let send = self.send(method, path, HeaderMap::new(), Bytes::new());
        let call = async { read_body(check_status(send.await?)?).await };
        let reply = tokio::time::timeout(SHORT_CALL_TIMEOUT, call).await;
        reply.map_err(|_| Error::Timeout)?
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, Error> {
    let body = Limited::new(response.into_body(), SHORT_REPLY_BYTES);
    let collected = body.collect().await;
    let collected = collected.map_err(|error| Error::Broken(error.to_string()))?;
    Ok(collected.to_bytes())
}

fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    match response.status().is_success() {
        true => Ok(response),
        false => Err(Error::Status(response.status())),
    }
}

fn json_headers() -> HeaderMap {
    let value = http::HeaderValue::from_static("application/json");
    HeaderMap::from_iter([(http::header::CONTENT_TYPE, value)])
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(error.source(), |error| error.source());
    sources.fold(error.to_string(), |text, source| {
        format!("{text}: {source}")
    })
}
