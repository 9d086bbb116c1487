//! The size that the system is designed for.

/// Entries.
pub const NODES: f64 = 330.0;

/// Targets, each with its sidecar.
pub const TARGETS: f64 = 6_500.0;

/// Requests a second at the peak.
pub const REQUESTS: f64 = 8_500.0;

/// Tokens generated a second at the peak.
pub const TOKENS: f64 = 2_100_000.0;

/// Programs under way.
pub const PROGRAMS: f64 = 110_000.0;

/// Turns of the longest program.
pub const TURNS: f64 = 340.0;

/// Tokens of the longest history.
pub const HISTORY: f64 = 300_000.0;

/// Customers, each with one key.
pub const CUSTOMERS: f64 = 46_000.0;

/// Models.
pub const MODELS: f64 = 26.0;

/// Regions.
pub const REGIONS: f64 = 5.0;

/// Data centres.
pub const DATA_CENTRES: f64 = 13.0;

/// Changes of the configuration a day.
pub const CHANGES: f64 = 4_600.0;

/// Hosts that fail a day.
pub const FAILURES: f64 = 83.0;

/// Hosts that are restarted or replaced a day.
pub const RESTARTS: f64 = 880.0;

/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// Bytes of text for each token.
pub const TOKEN_BYTES: f64 = 4.0;

/// A node's budgets for control.
pub mod budget {
    /// Part of a core.
    pub const CORE: f64 = 0.015;

    /// Bytes.
    pub const MEMORY: f64 = 64e6;

    /// Bytes a second.
    pub const TRAFFIC: f64 = 3e3;

    /// Seconds until a change is in force everywhere.
    pub const FORCE: f64 = 3.0;

    /// Writes a second of the platform: the low end of "several hundred".
    pub const WRITES: f64 = 300.0;

    /// Reads a second of the platform, waiting watches included.
    pub const READS: f64 = 2_000.0;
}
