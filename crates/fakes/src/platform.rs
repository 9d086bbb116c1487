//! Stand-in for the platform's object API, over HTTP on loopback.
//!
//! Objects carry versions, updates may be conditional, a listing with `wait_ms` is a watch. A
//! version is the store's revision at the object's last write, so that it never comes back after a
//! deletion. Fault switches make the store go away, answer slowly, lose replies of writes that took
//! effect, refuse calls over a rate, or serve reads from the past.

mod serve;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;

pub use store::Host;
pub use store::Stats;
use store::Store;

/// Largest value of an object, in bytes.
pub const VALUE_LIMIT: usize = 1024 * 1024;

/// Fault switches; the default is a sound platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is answered with 503.
    pub down: bool,
    /// Added to every call, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect without a reply.
    pub lose_replies: u32,
    /// Only writes of objects with this prefix lose their reply.
    pub lose_prefix: String,
    /// Writes a second over which the answer is 429; 0: no limit.
    pub rate_limit: u32,
    /// Reads and watches a second over which the answer is 429; 0: no limit.
    pub read_limit: u32,
    /// Reads show the store as it was this long ago, in milliseconds.
    pub stale_reads_ms: u64,
}

/// A running stand-in.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    store: Arc<Store>,
}

impl Platform {
    /// Binds the address and serves until the process ends.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Platform> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let store = Arc::new(Store::default());
        tokio::spawn(serve::accept(listener, Arc::clone(&store)));
        Ok(Platform { address, store })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets all fault switches.
    pub fn set_faults(&self, faults: Faults) {
        self.store.set_faults(faults);
    }

    /// Calls counted so far.
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Sets the host list, to be shown after a lag.
    pub fn set_hosts(&self, hosts: Vec<Host>, lag: Duration) {
        self.store.set_hosts(hosts, lag);
    }

    /// The newest value of an object, past all faults.
    pub fn value(&self, name: &str) -> Option<Bytes> {
        self.store
            .read(name, Duration::ZERO)
            .map(|(_, value)| value)
    }

    /// Names of all objects with a prefix, past all faults.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let changes = self.store.list(prefix, 0, Duration::ZERO);
        changes
            .objects
            .into_iter()
            .map(|object| object.name)
            .collect()
    }
}
