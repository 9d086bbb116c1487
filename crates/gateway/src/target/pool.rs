//! Connections to targets.
//!
//! A connection serves one request at a time and is kept for the next. Requests that may not run
//! twice take the connection that has been unused longest: an answer that a faulty target sent too
//! much has shown by then, and closed it.

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
use crate::target::directory::Entry;
use crate::target::directory::Load;

/// Time to open a connection; the opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a connection is kept unused if its target doesn't say.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// A connection is given up this long before its target would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Time for a connection to be ready again after its last answer.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// First time for which a target is spared after a failure; doubles with each failure in a row.
const SPARE: Duration = Duration::from_millis(100);

/// Doublings of [`SPARE`] at most.
const SPARE_DOUBLINGS: u32 = 5;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Which unused connection is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// The one used last.
    Newest,
    /// The one unused longest.
    Oldest,
}

struct Idle {
    sender: Sender,
    until: Instant,
}

#[derive(Default)]
struct Connections {
    idle: VecDeque<Idle>,
    open: u32,
}

/// Connections of this process to all targets.
#[derive(Default)]
pub struct Pool {
    targets: Mutex<Map<(CompactString, SocketAddr), Connections>>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

/// A connection in use; dropped without [`Lease::release`], it is closed.
pub struct Lease {
    pool: Arc<Pool>,
    key: (CompactString, SocketAddr),
    load: Arc<Load>,
    sender: Option<Sender>,
    /// Whether the connection has served a request before.
    pub reused: bool,
}

impl std::fmt::Debug for Lease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Lease").field("key", &self.key).finish()
    }
}

impl Pool {
    /// Takes or opens a connection; `limit` is how many this process may have to the target.
    ///
    /// Errors: the target isn't reached, or has all the connections it may have.
    pub async fn checkout(
        self: &Arc<Self>,
        entry: &Entry,
        pick: Pick,
        limit: u32,
        deadline: Instant,
    ) -> Result<Lease, Error> {
        let key = (entry.target.id.clone(), entry.target.address);
        let mut lease = Lease {
            pool: Arc::clone(self),
            key,
            load: Arc::clone(&entry.load),
            sender: None,
            reused: false,
        };
        lease.load.running.fetch_add(1, Ordering::Relaxed);
        while let Some(mut sender) = self.take_idle(&lease.key, pick) {
            let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                lease.sender = Some(sender);
                lease.reused = true;
                return Ok(lease);
            }
        }
        if !self.admit(&lease.key, limit) {
            return Err(Error::NotRun("all connections are in use".to_owned()));
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match tokio::time::timeout_at(until, self.connect(&lease.key)).await {
            Ok(Ok(sender)) => {
                lease.sender = Some(sender);
                Ok(lease)
            }
            Ok(Err(error)) => Err(Error::NotRun(format!("connecting: {error}"))),
            Err(_) => Err(Error::NotRun("connecting takes too long".to_owned())),
        }
    }

    fn take_idle(&self, key: &(CompactString, SocketAddr), pick: Pick) -> Option<Sender> {
        let mut targets = self.targets.lock();
        let idle = &mut targets.get_mut(key)?.idle;
        let now = Instant::now();
        loop {
            let next = match pick {
                Pick::Newest => idle.pop_back(),
                Pick::Oldest => idle.pop_front(),
            }?;
            if now < next.until && !next.sender.is_closed() {
                return Some(next.sender);
            }
        }
    }

    fn admit(&self, key: &(CompactString, SocketAddr), limit: u32) -> bool {
        let mut targets = self.targets.lock();
        let connections = targets.entry(key.clone()).or_default();
        connections.open < limit
    }

    async fn connect(self: &Arc<Self>, key: &(CompactString, SocketAddr)) -> eyre::Result<Sender> {
        let counted = Counted::new(Arc::clone(self), key.clone());
        let stream = TcpStream::connect(key.1).await?;
        socket::prepare(&stream)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(step = "exchange", peer:% = counted.key.1; "connection to target ended: {error}");
            }
            drop(counted);
        });
        Ok(sender)
    }

    /// Closes connections that were unused for too long, and forgets targets without any.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut targets = self.targets.lock();
        targets.retain(|_, connections| {
            connections
                .idle
                .retain(|idle| now < idle.until && !idle.sender.is_closed());
            connections.open > 0
        });
    }

    /// Open connections in all.
    pub fn open(&self) -> u32 {
        let targets = self.targets.lock();
        targets.values().map(|connections| connections.open).sum()
    }
}

/// Counts a connection while it is open.
struct Counted {
    pool: Arc<Pool>,
    key: (CompactString, SocketAddr),
}

impl Counted {
    fn new(pool: Arc<Pool>, key: (CompactString, SocketAddr)) -> Counted {
        pool.targets.lock().entry(key.clone()).or_default().open += 1;
        Counted { pool, key }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        if let Some(connections) = self.pool.targets.lock().get_mut(&self.key) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}

impl Lease {
    /// The connection, to send a request on.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Keeps the connection for the next request; `idle` is how long its target keeps it unused.
    pub fn release(mut self, idle: Option<Duration>) {
        let kept = idle.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
        let Some(sender) = self.sender.take() else {
            return;
        };
        if kept.is_zero() || sender.is_closed() {
            return;
        }
        let until = Instant::now() + kept;
        if let Some(connections) = self.pool.targets.lock().get_mut(&self.key) {
            connections.idle.push_back(Idle { sender, until });
        }
    }

    /// Notes that the target broke its answer off.
    pub fn record_failure(&self, now: Time) {
        self.load.health.lock().record_result(true, now);
    }

    /// Notes the mean time between a stream's events, in microseconds.
    pub fn record_event_interval(&self, event_us: f64) {
        self.load.health.lock().record_event_interval(event_us);
    }

    /// Notes that the target answers.
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

/// Notes a failure of a target: it is spared for a time that grows with failures in a row.
pub fn eject(load: &Load, now_ms: u64) {
    let failures = load.consecutive_failures.fetch_add(1, Ordering::Relaxed);
    let spare = SPARE.as_millis() as u64 * (1 << failures.min(SPARE_DOUBLINGS));
    load.ejected_until_ms
        .store(now_ms + spare, Ordering::Relaxed);
}
