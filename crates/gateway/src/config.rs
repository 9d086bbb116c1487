//! The operators' configuration, independent of a platform's format.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use coord::id::Burst;
use coord::id::Customer;
use coord::id::Rate;

use crate::Map;

/// Number of a configuration; a higher one replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A region: one or more data centres.
pub type Region = CompactString;

/// Regions that requests must not leave; none if there are no bounds.
pub type Homes = Vec<Region>;

/// Name of a service: a group of interchangeable targets.
pub type Service = CompactString;

/// A complete configuration.
#[derive(Debug, Clone)]
pub struct Config {
    pub version: Version,
    pub routes: Vec<Route>,
    pub services: Map<Service, ServiceLimits>,
    pub limits: Limits,
    pub customers: Vec<CustomerLimits>,
}

/// Rule that sends requests of a host and path prefix to services.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: CompactString,
    /// In lower case, without a port.
    pub host: CompactString,
    /// Starts and ends with a slash.
    pub prefix: CompactString,
    pub kind: RequestKind,
    /// Upper bound on the time until a request is answered.
    pub timeout: Duration,
    /// Latency objective; later answers count as late.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    pub shares: Vec<Share>,
    /// Maximum number of targets that may run one request.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub public: bool,
    /// Whether requests for the same object prefer the same target, which may have it cached.
    pub sticky: bool,
    /// Regions whose targets may get the requests; empty for all.
    pub homes: Homes,
}

/// How a route's requests may be run and answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Turn, answered by a stream of events.
    Stream(Stream),
}

/// Properties of a route's turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stream {
    /// Whether a broken stream may resume at another target.
    pub resumable: bool,
    /// Whether turns carry only new input and are stored so that later turns can continue them.
    pub stores_turns: bool,
    /// How long turns and budgets are stored.
    pub retention: Duration,
}

/// Weighted share of a route's requests that a service receives.
#[derive(Debug, Clone)]
pub struct Share {
    pub service: Service,
    pub weight: u32,
}

/// Limits of a service's targets.
#[derive(Debug, Clone)]
pub struct ServiceLimits {
    /// Maximum number of connections to one target, over all entries.
    pub connections: u32,
    /// `None` for services that aren't model engines.
    pub engine: Option<Engine>,
    /// `None` if targets bear their full load from the start.
    pub warmup: Option<Warmup>,
}

/// What a service's targets bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// Requests per second of all entries together.
    pub rate: Rate,
    /// Time for which a target is cold after its start.
    pub time: Duration,
}

/// Capacity of each of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Capacity of one engine's cache, in tokens.
    pub cache_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub header_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A customer's keys and limits.
#[derive(Clone)]
pub struct CustomerLimits {
    pub name: Customer,
    pub keys: Vec<CompactString>,
    /// Overrides the route's priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests per second over all entries; `None` is unlimited.
    pub rate: Option<Rate>,
    /// Requests that may exceed the rate at once.
    pub burst: Burst,
    /// Regions whose targets may get the requests; empty for all.
    pub homes: Homes,
}

impl fmt::Debug for CustomerLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CustomerLimits")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("rate", &self.rate)
            .field("burst", &self.burst)
            .finish()
    }
}
