//! The entry of callers: authenticates, keeps limits, chooses targets, runs turns of programs and
//! relays answers byte by byte.
//!
//! It knows targets and configuration from an object store that an adapter speaks to, and keeps
//! turns and budgets at the history hosts. What callers and targets say in headers is decoded by
//! the adapter; see [`edge`].

pub mod answer;
pub mod balance;
pub mod body;
pub mod chain;
pub mod config;
pub mod controller;
pub mod crash;
pub mod directory;
pub mod edge;
pub mod error;
pub mod event;
pub mod follow;
pub mod gossip;
pub mod header;
pub mod listener;
pub mod metrics;
pub mod news;
pub mod operators;
pub mod plain;
pub mod pool;
pub mod prefix;
pub mod program;
pub mod quota;
pub mod refusal;
pub mod reload;
pub mod request;
pub mod send;
pub mod settings;
pub mod state;
pub mod stream;
pub mod table;
pub mod turn;

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
