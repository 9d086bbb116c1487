//! Turns and token budgets of programs, kept on a few disks without a leader.
//!
//! A record never changes once written, so that any disk may take it and copies never disagree.
//! With `t` losses to bear, a record counts once `t + 1` disks have synced it, and nothing is known
//! to be missing before all but `t` disks say so. Which disks count stands in one object of the
//! platform; see [`membership`].

pub mod account;
pub mod client;
pub mod commit;
pub mod copy;
pub mod error;
pub mod index;
pub mod join;
pub mod membership;
pub mod message;
pub mod quorum;
pub mod record;
pub mod relay;
pub mod retire;
pub mod segment;
pub mod server;
pub mod time;

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
