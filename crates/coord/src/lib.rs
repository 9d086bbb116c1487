//! Coordination parts of teasellever, for embedding.
//!
//! Everything here is a state machine without I/O: time and messages are passed in, records and
//! actions come out. The daemons supply sockets and clocks; tests supply seeded schedules.

pub mod config;
pub mod id;
pub mod record;
pub mod time;

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
