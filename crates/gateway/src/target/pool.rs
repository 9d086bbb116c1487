//! Pool of HTTP/1 connections to targets.
//!
//! A connection carries one request at a time and is reused for the next. Requests that may not run
//! twice use the connection that has been idle longest: if a faulty target has sent an extra answer
//! on it, that answer has arrived by then and the connection is closed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use coord::time::Time;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use node::socket;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::Map;
use crate::error::Error;
use crate::target::directory::Candidate;
use crate::target::directory::Load;
use crate::target::meter::Allowance;
use crate::target::meter::Metered;

/// Time to open a connection; less than the second after which a lost SYN is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Idle time of a connection if its target doesn't state one.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Maximum size of a connection's read buffer, which bounds the head of an answer, in bytes: twice what heads of
/// requests usually have. Hundreds of connections keep one each.
const BUFFER_BYTES: usize = 32 * 1024;

/// Time before the target's idle timeout at which a connection is closed here.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Time to wait for an idle connection to accept a request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Duration of the first ejection after a failure; doubles with each consecutive failure.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(100);

/// Maximum number of doublings of [`BASE_EJECTION_TIME`].
const MAX_EJECTION_DOUBLINGS: u32 = 5;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Order in which idle connections are reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// Most recently used first.
    Newest,
    /// Least recently used first.
    Oldest,
}

/// An open connection.
struct Connection {
    sender: Sender,
    allowance: Allowance,
}

struct Idle {
    connection: Connection,
    expires: Instant,
}

#[derive(Default)]
struct Connections {
    idle: VecDeque<Idle>,
    /// Number of connections, idle and in use.
    open: u32,
}

/// Connections of this process to all targets.
#[derive(Default)]
pub struct Pool {
    /// By the target's id and address.
    targets: Mutex<Map<(CompactString, SocketAddr), Connections>>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

/// A connection in use. It is closed on drop unless it was returned by [`Lease::release`].
pub struct Lease {
    pool: Arc<Pool>,
    key: (CompactString, SocketAddr),
    load: Arc<Load>,
    connection: Option<Connection>,
    /// Whether the connection has served a request before.
    pub reused: bool,
}

impl std::fmt::Debug for Lease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Lease").field("key", &self.key).finish()
    }
}

impl Pool {
    /// Reuses an idle connection or opens one. `limit` is the maximum number of connections of this
    /// process to the target.
    ///
    /// Errors: the target is unreachable, or the limit is reached.
    pub async fn checkout(
        self: &Arc<Self>,
        candidate: &Candidate,
        pick: Pick,
        limit: u32,
        deadline: Instant,
    ) -> Result<Lease, Error> {
        let key = (candidate.target.id.clone(), candidate.target.address);
        let mut lease = Lease {
            pool: Arc::clone(self),
            key,
            load: Arc::clone(&candidate.load),
            connection: None,
            reused: false,
        };
        lease.load.running.fetch_add(1, Ordering::Relaxed);
        while let Some(mut connection) = self.take_idle(&lease.key, pick) {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                lease.connection = Some(connection);
                lease.reused = true;
                return Ok(lease);
            }
        }
        if !self.below_limit(&lease.key, limit) {
            return Err(Error::NotRun(
                "connection limit of the target is reached".to_owned(),
            ));
        }
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match tokio::time::timeout_at(connect_deadline, self.connect(&lease.key)).await {
            Ok(Ok(connection)) => {
                lease.connection = Some(connection);
                Ok(lease)
            }
            Ok(Err(error)) => Err(Error::NotRun(format!("connection failed: {error}"))),
            Err(_) => Err(Error::NotRun("connection timed out".to_owned())),
        }
    }

    fn take_idle(&self, key: &(CompactString, SocketAddr), pick: Pick) -> Option<Connection> {
        let mut targets = self.targets.lock();
        let idle = &mut targets.get_mut(key)?.idle;
        let now = Instant::now();
        loop {
            let next = match pick {
                Pick::Newest => idle.pop_back(),
                Pick::Oldest => idle.pop_front(),
            }?;
            if now < next.expires && !next.connection.sender.is_closed() {
                return Some(next.connection);
            }
        }
    }

    fn below_limit(&self, key: &(CompactString, SocketAddr), limit: u32) -> bool {
        let mut targets = self.targets.lock();
        let connections = targets.entry(key.clone()).or_default();
        connections.open < limit
    }

    async fn connect(
        self: &Arc<Self>,
        key: &(CompactString, SocketAddr),
    ) -> eyre::Result<Connection> {
        let open_count = OpenCount::new(Arc::clone(self), key.clone());
        let stream = TcpStream::connect(key.1).await?;
        socket::configure(&stream)?;
        let allowance = Allowance::default();
        let stream = Metered {
            stream,
            allowance: allowance.clone(),
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(step = "exchange", peer:% = open_count.key.1; "connection to target ended: {error}");
            }
            drop(open_count);
        });
        Ok(Connection { sender, allowance })
    }

    /// Closes expired idle connections and removes targets without connections.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut targets = self.targets.lock();
        targets.retain(|_, connections| {
            connections
                .idle
                .retain(|idle| now < idle.expires && !idle.connection.sender.is_closed());
            connections.open > 0
        });
    }

    /// Number of open connections to all targets.
    pub fn open(&self) -> u32 {
        let targets = self.targets.lock();
        targets.values().map(|connections| connections.open).sum()
    }
}

/// Counts a connection as open until it is dropped.
struct OpenCount {
    pool: Arc<Pool>,
    key: (CompactString, SocketAddr),
}

impl OpenCount {
    fn new(pool: Arc<Pool>, key: (CompactString, SocketAddr)) -> OpenCount {
        pool.targets.lock().entry(key.clone()).or_default().open += 1;
        OpenCount { pool, key }
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        if let Some(connections) = self.pool.targets.lock().get_mut(&self.key) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}

impl Lease {
    /// Id of the target.
    pub fn target_id(&self) -> &str {
        &self.key.0
    }

    /// Connection on which to send a request.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        let connection = self.connection.as_mut()?;
        connection.allowance.renew();
        Some(&mut connection.sender)
    }

    /// Allows the body of the answer whose head has come.
    pub fn expect_body(&self) {
        if let Some(connection) = &self.connection {
            connection.allowance.renew();
        }
    }

    /// Allows more of a body after some of its data.
    pub fn record_data(&self, bytes: usize) {
        if let Some(connection) = &self.connection {
            connection.allowance.record_data(bytes);
        }
    }

    /// Returns the connection to the pool until the target's idle timeout, or closes it if the
    /// timeout is too short for reuse. `None` stands for [`IDLE_DEFAULT`].
    pub fn release(mut self, idle_timeout: Option<Duration>) {
        let lifetime = idle_timeout
            .unwrap_or(IDLE_DEFAULT)
            .saturating_sub(IDLE_MARGIN);
        let Some(connection) = self.connection.take() else {
            return;
        };
        if lifetime.is_zero() || connection.sender.is_closed() {
            return;
        }
        let expires = Instant::now() + lifetime;
        if let Some(connections) = self.pool.targets.lock().get_mut(&self.key) {
            connections.idle.push_back(Idle {
                connection,
                expires,
            });
        }
    }

    /// Records that the target ended its answer early.
    pub fn record_failure(&self, now: Time) {
        self.load.health.lock().record_result(true, now);
    }

    /// Records the mean time between a stream's events, in microseconds.
    pub fn record_event_interval(&self, event_us: f64) {
        self.load.health.lock().record_event_interval(event_us);
    }

    /// Records an answer of the target, which resets its consecutive failures.
    pub fn record_success(&self, now_ms: u64) {
        self.load.consecutive_failures.store(0, Ordering::Relaxed);
        self.load.answered_ms.store(now_ms, Ordering::Relaxed);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.load.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Records a failure of a target and ejects it for a time that doubles with each consecutive failure.
pub fn eject(load: &Load, now_ms: u64) {
    let failures = load.consecutive_failures.fetch_add(1, Ordering::Relaxed);
    let duration =
        BASE_EJECTION_TIME.as_millis() as u64 * (1 << failures.min(MAX_EJECTION_DOUBLINGS));
    load.ejected_until_ms
        .store(now_ms + duration, Ordering::Relaxed);
    load.failed_ms.store(now_ms, Ordering::Relaxed);
}
