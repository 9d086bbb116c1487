//! Settings of the entry daemon.

use std::net::SocketAddr;

use coord::id::DataCentre;
use coord::id::Node;
use coord::time::Millis;
use gateway::serve::intake::limits;
use gateway::settings::descriptor_limit;
use node::log::Level;
use node::operator::Operator;
use node::settings::Check;
use node::settings::Invalid;
use sched::policy::Policy;
use serde::Deserialize;

/// Shortest lease, in milliseconds.
const LEASE_MIN: Millis = Millis(500);

/// Default bound on going on without the platform.
const OUTAGE: Millis = Millis(300_000);

/// Largest body that can be configured, in bytes: a message between processes must hold it.
const BODY_MAX: usize = wire::MESSAGE_LIMIT / 2;

/// Memory of a request in progress with a short body and of its connection, in bytes.
const REQUEST_BYTES: usize = 96 * 1024;

/// Bodies of the largest size that find room beside the requests.
const LARGEST_BODIES: usize = 8;

/// Connections of callers for each request that may be in progress.
const CONNECTIONS_PER_REQUEST: usize = 4;

/// What an entry reads at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This node's name.
    pub node: Node,
    pub data_centre: DataCentre,
    pub listen: Listen,
    /// Base URL of the platform's object API.
    pub platform: String,
    /// Other entries to ask for news when the platform can't tell who they are.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Salted hashes of operators' keys.
    #[serde(default)]
    pub operators: Vec<Operator>,
    #[serde(default)]
    pub lease: Lease,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub policy: Policy,
    #[serde(default)]
    pub log_level: Level,
}

/// Addresses of this node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, behind the platform's balancer.
    pub callers: SocketAddr,
    /// For the system's own processes.
    pub peers: SocketAddr,
    /// Where other nodes reach `peers`, if not at that address itself.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// For operators.
    pub admin: SocketAddr,
}

/// Timing of this node's lease.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// Length of a lease; renewed every third of it.
    pub duration_ms: Millis,
    /// Allowance for clocks that run at different rates, over one lease.
    pub margin_ms: Millis,
    /// How long owners go on at most without the platform, on the promises of all members; a crash
    /// of all entries at once leaves the shards without an owner for as long.
    pub outage_ms: Millis,
}

/// Bounds on callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time a request may take unless it says otherwise.
    pub timeout_ms: Millis,
    /// Longest time a request may ask for.
    pub timeout_max_ms: Millis,
    /// Longest wait for a token of the customer's bucket.
    pub admission_wait_ms: Millis,
    /// Requests in progress at this node.
    pub requests: usize,
    /// Time without a call after which a program ends.
    pub idle_ms: Millis,
    /// Time that answers are kept for repeats.
    pub retention_ms: Millis,
    /// Time that callers are served after a planned stop began, for the balancer to notice.
    pub grace_ms: Millis,
    /// Time that a target keeps an open program's cache without renewal.
    pub cache_hold_ms: Millis,
}

impl Listen {
    /// The address that other nodes use.
    pub fn advertised(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.peers)
    }
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            duration_ms: Millis(6_000),
            margin_ms: Millis(300),
            outage_ms: OUTAGE,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 2 * 1024 * 1024,
            timeout_ms: Millis(120_000),
            timeout_max_ms: Millis(600_000),
            admission_wait_ms: Millis(1_000),
            requests: 4_096,
            idle_ms: Millis(900_000),
            retention_ms: Millis(600_000),
            grace_ms: Millis(3_000),
            cache_hold_ms: Millis(10_000),
        }
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), Invalid> {
        let Listen {
            callers,
            peers,
            admin,
            ..
        } = &self.listen;
        let reached = self.listen.advertised();
        match self {
            _ if callers == peers => Err(Invalid::new("listen.peers", "same address as callers")),
            _ if callers == admin => Err(Invalid::new("listen.admin", "same address as callers")),
            _ if peers == admin => Err(Invalid::new("listen.admin", "same address as peers")),
            _ if reached.ip().is_unspecified() => Err(Invalid::new(
                "listen.peers",
                "peers need an address that they can reach",
            )),
            _ if !self.platform.starts_with("http://") => Err(Invalid::new(
                "platform",
                "expected a URL that starts with http://",
            )),
            _ => self.check_lease().and_then(|()| self.check_limits()),
        }
    }
}

impl Limits {
    /// What callers may occupy together: as many requests as may be in progress, each with a short body, and some
    /// bodies of the largest size.
    pub fn intake(&self) -> limits::Limits {
        let requests = self.requests.saturating_mul(REQUEST_BYTES);
        let bodies = self.body_bytes.saturating_mul(LARGEST_BODIES);
        let connections = self.requests.saturating_mul(CONNECTIONS_PER_REQUEST);
        limits::Limits {
            bytes: requests.saturating_add(bodies),
            connections: connections.min(limits::max_connections(descriptor_limit())),
        }
    }
}

impl Settings {
    fn check_lease(&self) -> Result<(), Invalid> {
        let Lease {
            duration_ms,
            margin_ms,
            outage_ms,
        } = &self.lease;
        match duration_ms {
            duration if *duration < LEASE_MIN => {
                let message = format!("a lease lasts at least {LEASE_MIN}");
                Err(Invalid::new("lease.duration_ms", message))
            }
            duration if margin_ms.0 * 3 >= duration.0 => {
                let message = "the margin must be under a third of the lease";
                Err(Invalid::new("lease.margin_ms", message))
            }
            duration if outage_ms < duration => {
                let message = "shorter than the lease";
                Err(Invalid::new("lease.outage_ms", message))
            }
            _ => Ok(()),
        }
    }

    fn check_limits(&self) -> Result<(), Invalid> {
        let limits = &self.limits;
        match limits {
            _ if limits.body_bytes == 0 || limits.body_bytes > BODY_MAX => {
                let message = format!("expected 1 to {BODY_MAX} bytes");
                Err(Invalid::new("limits.body_bytes", message))
            }
            _ if limits.timeout_ms > limits.timeout_max_ms => Err(Invalid::new(
                "limits.timeout_ms",
                "longer than timeout_max_ms",
            )),
            _ if limits.requests == 0 => Err(Invalid::new(
                "limits.requests",
                "no request could be served",
            )),
            _ if limits.retention_ms < limits.timeout_max_ms => Err(Invalid::new(
                "limits.retention_ms",
                "shorter than the longest request",
            )),
            _ => Ok(()),
        }
    }
}
