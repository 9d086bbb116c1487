//! Coordination state machines of teasellever, without I/O.
//!
//! Time and messages are passed in; records and actions are returned. The daemons provide sockets
//! and clocks, tests provide seeded schedules.

mod apply;
mod opening;
mod redact;
mod sweep;

pub mod allotment;
pub mod bucket;
pub mod bytes;
pub mod config;
pub mod decision;
pub mod gossip;
pub mod id;
pub mod key;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod newest;
pub mod observer;
pub mod program;
pub mod promise;
pub mod quota;
pub mod record;
pub mod refusal;
pub mod replica;
pub mod segment;
pub mod shard;
pub mod ticket;
pub mod time;
pub mod tombstone;
pub mod usage;

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
