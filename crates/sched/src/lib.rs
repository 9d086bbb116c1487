//! Scheduling decisions of teasellever as an embeddable library.
//!
//! The crate does no I/O and reads no clock: the caller passes in time, load and randomness and
//! carries out the decision. `queue` orders the calls on one target, `route` chooses the target,
//! `health` and `suspect` track its failures, `credit` limits the calls sent to it ahead of time,
//! `quarantine` stops calls that crash targets, `attempt` decides what follows a failed attempt,
//! and `retry` limits retries.

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
