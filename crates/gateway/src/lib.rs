//! The entry of callers: authenticates, keeps limits, chooses targets, runs turns of programs and
//! relays answers byte by byte.
//!
//! It knows targets and configuration from an object store that an adapter speaks to, and keeps
//! turns and budgets at the history hosts. What callers and targets say in headers is decoded by
//! the adapter; see [`adapter`].

pub mod adapter;
pub mod config;
pub mod controller;
pub mod error;
pub mod fleet;
pub mod follow;
pub mod gauges;
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
