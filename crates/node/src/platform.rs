//! Client of the platform's object API.
//!
//! Objects have versions; writes may be conditional. A write without a reply may have taken effect:
//! [`Platform::update`] resolves that by reading the object back. Retries are jittered and limited
//! to a tenth of the calls. Every call has a timeout and is counted.

mod message;
mod retry;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coord::id::Version;
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
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;
use tokio::time::timeout;

pub use self::message::Changes;
pub use self::message::Condition;
pub use self::message::Error;
pub use self::message::Host;
pub use self::message::ListedObject;
pub use self::message::Object;

use self::message::RawChanges;
use self::retry::Budget;

/// Largest value of an object, in bytes.
pub const VALUE_LIMIT: usize = 1024 * 1024;

/// Largest body of a reply, in bytes; listings are the largest replies.
const REPLY_LIMIT: usize = 64 * 1024 * 1024;

/// Largest number of attempts per call, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// Base of the exponential backoff, in milliseconds: the longest delay before retry `n` is this
/// times 2^`n`, the shortest a quarter of that.
const RETRY_DELAY_MS: u64 = 20;

/// Counters of the calls made since the start, by kind.
#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    retries: AtomicU64,
    failures: AtomicU64,
}

/// Number of calls made since the start, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Stats {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    pub retries: u64,
    pub failures: u64,
}

/// Client of the platform's object API.
pub struct Platform {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    timeout: Duration,
    counts: Counts,
    retry_budget: Budget,
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Platform")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl Platform {
    /// Creates a client of the API at a base URL; each call ends after `timeout`.
    pub fn new(base: &str, timeout: Duration) -> Platform {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Platform {
            client: Client::builder(TokioExecutor::new()).build(connector),
            base: base.trim_end_matches('/').to_owned(),
            timeout,
            counts: Counts::default(),
            retry_budget: Budget::default(),
        }
    }

    /// Returns the number of calls made since the start.
    pub fn stats(&self) -> Stats {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Stats {
            reads: load(&self.counts.reads),
            writes: load(&self.counts.writes),
            watches: load(&self.counts.watches),
            retries: load(&self.counts.retries),
            failures: load(&self.counts.failures),
        }
    }

    /// Reads an object; `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// The platform is unavailable or over its rate limit, doesn't reply, or sends a malformed reply.
    pub async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.retry(|| self.get_once(name)).await
    }

    /// Reads the changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// The platform is unavailable or over its rate limit, doesn't reply, or sends a malformed reply.
    pub async fn list(&self, prefix: &str, since: Version) -> Result<Changes, Error> {
        self.retry(|| self.fetch_changes(prefix, since, Duration::ZERO))
            .await
    }

    /// Waits up to `wait` for changes under a prefix after a revision; the platform counts it as one
    /// call.
    ///
    /// # Errors
    ///
    /// The platform is unavailable or over its rate limit, doesn't reply, or sends a malformed reply.
    pub async fn watch(
        &self,
        prefix: &str,
        since: Version,
        wait: Duration,
    ) -> Result<Changes, Error> {
        self.fetch_changes(prefix, since, wait).await
    }

    /// Reads the platform's list of hosts, which lags behind changes.
    ///
    /// # Errors
    ///
    /// The platform is unavailable or over its rate limit, doesn't reply, or sends a malformed reply.
    pub async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let request = self.request(Method::GET, "/v1/hosts", None, Bytes::new());
        let (_, body) = self.call(request, self.timeout).await?;
        parse(&body)
    }

    /// Writes an object in a single attempt and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`]: the object has another version. [`Error::Unknown`]: the write may have
    /// taken effect.
    pub async fn put(
        &self,
        name: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, Error> {
        self.write(Method::PUT, name, value, condition).await
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// As for [`Platform::put`].
    pub async fn delete(&self, name: &str, condition: Condition) -> Result<Version, Error> {
        self.write(Method::DELETE, name, Bytes::new(), condition)
            .await
    }

    /// Writes an object with retries and returns its new version. After a lost reply, reads the
    /// object back to find out whether the write took effect; for this, the value must differ from
    /// all values that others write to this object.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`]: another write took effect instead. [`Error::Unknown`]: the outcome
    /// couldn't be determined.
    pub async fn update(
        &self,
        name: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, Error> {
        self.retry_budget.record_call();
        let mut outcome_unknown = false;
        let mut last_error = Error::Unknown;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && !self.retry_budget.spend() {
                break;
            }
            if attempt > 0 {
                self.back_off(attempt).await;
            }
            match self.put(name, value.clone(), condition).await {
                Ok(version) => return Ok(version),
                Err(Error::Conflict { current }) if outcome_unknown => {
                    return self.read_back(name, &value, current).await;
                }
                Err(Error::Conflict { current }) => return Err(Error::Conflict { current }),
                Err(error) => {
                    outcome_unknown |= matches!(error, Error::Unknown);
                    last_error = error;
                }
            }
        }
        match outcome_unknown {
            true => Err(Error::Unknown),
            false => Err(last_error),
        }
    }

    /// Returns the object's version if it holds the value of our earlier write.
    async fn read_back(
        &self,
        name: &str,
        value: &Bytes,
        current: Version,
    ) -> Result<Version, Error> {
        for attempt in 0..MAX_ATTEMPTS {
            match self.get(name).await? {
                Some(object) if object.version >= current => match object.value == *value {
                    true => return Ok(object.version),
                    false => {
                        return Err(Error::Conflict {
                            current: object.version,
                        });
                    }
                },
                None if current == Version(0) => return Err(Error::Conflict { current }),
                _ => self.back_off(attempt + 1).await,
            }
        }
        Err(Error::Unknown)
    }

    async fn retry<T, F>(&self, call: impl Fn() -> F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        self.retry_budget.record_call();
        let mut attempt = 1;
        loop {
            match call().await {
                Ok(reply) => return Ok(reply),
                Err(error) if attempt >= MAX_ATTEMPTS || !self.retry_budget.spend() => {
                    return Err(error);
                }
                Err(_) => self.back_off(attempt).await,
            }
            attempt += 1;
        }
    }

    async fn back_off(&self, attempt: u32) {
        self.counts.retries.fetch_add(1, Ordering::Relaxed);
        let max_delay_ms = RETRY_DELAY_MS << attempt.min(6);
        let delay = rand::rng().random_range(max_delay_ms / 4..=max_delay_ms);
        sleep(Duration::from_millis(delay)).await;
    }

    async fn get_once(&self, name: &str) -> Result<Option<Object>, Error> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/objects/{}", encode(name));
        let request = self.request(Method::GET, &path, None, Bytes::new());
        match self.call(request, self.timeout).await {
            Ok((version, value)) => Ok(Some(Object { version, value })),
            Err(Error::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn fetch_changes(
        &self,
        prefix: &str,
        since: Version,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let counter = match wait.is_zero() {
            true => &self.counts.reads,
            false => &self.counts.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut path = format!("/v1/objects?prefix={}&since={since}", encode(prefix));
        if !wait.is_zero() {
            path.push_str(&format!("&wait_ms={}", wait.as_millis()));
        }
        let request = self.request(Method::GET, &path, None, Bytes::new());
        let (_, body) = self.call(request, self.timeout + wait).await?;
        parse::<RawChanges>(&body)?.decode()
    }

    async fn write(
        &self,
        method: Method,
        name: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, Error> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/objects/{}", encode(name));
        let request = self.request(method, &path, condition.version(), value);
        let (version, _) = self.call(request, self.timeout).await?;
        Ok(version)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        condition: Option<Version>,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        if let Some(version) = condition {
            request = request.header("if-version", version.0);
        }
        request
            .body(Full::new(body))
            .map_err(|error| Error::Malformed(error.to_string()))
    }

    async fn call(
        &self,
        request: Result<Request<Full<Bytes>>, Error>,
        timeout_after: Duration,
    ) -> Result<(Version, Bytes), Error> {
        let reply = timeout(timeout_after, self.exchange(request?)).await;
        let outcome = reply.unwrap_or(Err(Error::Unknown));
        let expected = matches!(
            outcome,
            Ok(_) | Err(Error::Conflict { .. } | Error::NotFound)
        );
        if !expected {
            self.counts.failures.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(Version, Bytes), Error> {
        let begun = Instant::now();
        let response = self.client.request(request).await.map_err(|error| {
            let elapsed_ms = begun.elapsed().as_millis() as u64;
            let connected = !error.is_connect();
            let cause = eyre::Report::new(error);
            log::warn!(
                step = "call platform", peer = self.base.as_str(), connected = connected,
                elapsed_ms = elapsed_ms;
                "{cause:#}"
            );
            match connected {
                true => Error::Unknown,
                false => Error::Unavailable,
            }
        })?;
        let version = version(&response);
        match response.status() {
            StatusCode::OK => (),
            StatusCode::PRECONDITION_FAILED => return Err(Error::Conflict { current: version }),
            StatusCode::NOT_FOUND => return Err(Error::NotFound),
            StatusCode::TOO_MANY_REQUESTS => return Err(Error::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => return Err(Error::Unavailable),
            status => return Err(Error::Malformed(format!("status {status}"))),
        }
        let body = Limited::new(response.into_body(), REPLY_LIMIT);
        let body = body.collect().await.map_err(|_| Error::Unknown)?;
        Ok((version, body.to_bytes()))
    }
}

fn version(response: &Response<Incoming>) -> Version {
    let header = response.headers().get("version");
    let number = header.and_then(|text| text.to_str().ok()?.parse().ok());
    Version(number.unwrap_or(0))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}

/// Percent-encodes all bytes of an object name except letters, digits, `/`, `.`, `_` and `-`.
fn encode(name: &str) -> String {
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        match byte {
            b'/' | b'.' | b'_' | b'-' => text.push(char::from(byte)),
            _ if byte.is_ascii_alphanumeric() => text.push(char::from(byte)),
            _ => text.push_str(&format!("%{byte:02X}")),
        }
    }
    text
}
