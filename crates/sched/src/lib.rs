//! Scheduling parts of teasellever, for embedding.
//!
//! Everything here decides without I/O or a clock: the caller passes time, load and randomness in
//! and carries the decision out. `queue` orders calls on one target, `route` picks the target,
//! `credit` bounds what is sent ahead, `quarantine` stops calls that crash targets, `attempt`
//! says what may follow a failed attempt, and `retry` bounds what is sent again.

pub mod attempt;
pub mod cost;
pub mod credit;
pub mod health;
pub mod policy;
pub mod quarantine;
pub mod queue;
pub mod retry;
pub mod route;
pub mod suspect;

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
