//! Timings and limits of the modules, which the target size is worked out with.

/// Seconds of a lease.
pub const LEASE: f64 = 6.0;

/// Seconds between two renewals: `entry::renewal`.
pub const RENEWAL: f64 = LEASE / 3.0;

/// Seconds between two attempts while renewals fail: `entry::renewal`.
pub const RENEWAL_RETRY: f64 = LEASE / 12.0;

/// Seconds between two heartbeats: `entry::heartbeat`.
pub const BEAT: f64 = LEASE / 6.0;

/// Seconds between two rounds of upkeep, beside one for each renewal: `entry::upkeep`.
pub const ROUND: f64 = LEASE / 6.0;

/// Seconds after which a load report is asked for anew: `entry::place`.
pub const PROBE: f64 = 0.4;

/// Seconds between two renewals of a program's cache: `entry::cache`.
pub const CACHE: f64 = 10.0 / 3.0;

/// Writes a second of all logs: `entry::journal`.
pub const LOG_WRITES: f64 = 100.0;

/// Bytes of an object of the log: `entry::journal`.
pub const VALUE: f64 = 983_040.0;

/// Bytes that wait for the log at most: `entry::journal`.
pub const LOG_QUEUE: f64 = 67_108_864.0;

/// Seconds between two attempts of a log at a write while the platform is away, its own four tries
/// included: `entry::journal`, `node::platform`.
pub const LOG_RETRY: f64 = 0.5;

/// Writes of one attempt: `node::platform`.
pub const ATTEMPTS: f64 = 4.0;

/// Nodes of a data centre that watch the platform: `entry::sync`.
pub const WATCHERS: f64 = 2.0;

/// Seconds of one watch: `entry::sync`.
pub const WATCH: f64 = 10.0;

/// Seconds between two reads of the list of hosts: `entry::sync`.
pub const HOSTS: f64 = 2.0;

/// Shards: `coord::id`.
pub const SHARDS: f64 = 256.0;

/// Names that a shard remembers at most: `coord::replica`.
pub const TOMBS: f64 = 200_000.0;

/// Seconds for which a name is remembered: `coord::replica`.
pub const TOMB_TIME: f64 = 86_400.0;
