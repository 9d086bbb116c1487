//! The operators' configuration, in the product's own words.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use coord::id::Burst;
use coord::id::Customer;
use coord::id::Rate;

use crate::Map;

/// Number of a configuration; a higher one supersedes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Name of a service: targets that do the same work.
pub type Service = CompactString;

/// A whole configuration.
#[derive(Debug, Clone)]
pub struct Config {
    pub version: Version,
    pub routes: Vec<Route>,
    pub services: Map<Service, ServiceLimits>,
    pub limits: Limits,
    pub customers: Vec<CustomerLimits>,
}

/// Which requests go where, and how.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: CompactString,
    /// In lower case, without a port.
    pub host: CompactString,
    /// Starts and ends with a slash.
    pub prefix: CompactString,
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    pub shares: Vec<Share>,
    /// Targets that may run one request at most.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether targets are faster with objects that they saw before.
    pub sticky: bool,
}

/// What kind of work a route's requests are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A turn, answered by a stream of events.
    Stream(Stream),
}

/// A kind of turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stream {
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
    /// Whether turns carry only new input and are kept to be continued.
    pub stores_turns: bool,
    /// How long turns and budgets are kept.
    pub retention: Duration,
}

/// A service's part of a route.
#[derive(Debug, Clone)]
pub struct Share {
    pub service: Service,
    pub weight: u32,
}

/// Limits of a service's targets.
#[derive(Debug, Clone)]
pub struct ServiceLimits {
    /// Connections that one target takes from all entries together.
    pub connections: u32,
    /// What its model engines are like; none for plain services.
    pub engine: Option<Engine>,
}

/// What a service's model engines are like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time that a connection may stay unused.
    pub idle_timeout: Duration,
}

/// A customer's keys and limits.
#[derive(Clone)]
pub struct CustomerLimits {
    pub name: Customer,
    pub keys: Vec<CompactString>,
    /// Goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests a second over all entries; none is unlimited.
    pub rate: Option<Rate>,
    /// Requests at once beyond the rate.
    pub burst: Burst,
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
