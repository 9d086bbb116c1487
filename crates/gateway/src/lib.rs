//! The entry: authenticates callers, enforces limits, selects targets, runs turns of programs and
//! relays answers byte by byte.
//!
//! Targets and configuration come from an object store; turns and budgets are stored on history
//! hosts. A platform's adapter decodes headers and objects; see [`adapter`].

pub mod adapter;
pub mod config;
pub mod controller;
pub mod error;
pub mod fleet;
pub mod follow;
pub mod freshness;
pub mod gauges;
pub mod history_host;
pub mod membership;
pub mod metrics;
pub mod operators;
pub mod quota;
pub mod reload;
pub mod serve;
pub mod settings;
pub mod state;
pub mod table;
pub mod target;

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
