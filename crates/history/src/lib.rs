//! Leaderless replicated storage for the turns and token budgets of programs, and for the software
//! versions that began streams.
//!
//! Records are immutable, so any disk may accept them and replicas never conflict. To tolerate the
//! loss of `t` disks, a record is committed once `t + 1` disks have synced it, and reported as
//! absent only if all but `t` disks report it as absent. The member disks are listed in one object
//! of the platform; see [`membership`].

pub mod account;
pub mod client;
pub mod commit;
pub mod content;
pub mod copy;
pub mod error;
pub mod evict;
pub mod fingerprint;
pub mod gather;
pub mod index;
pub mod join;
pub mod membership;
pub mod message;
pub mod origin;
pub mod place;
pub mod quorum;
pub mod record;
pub mod recovery;
pub mod relay;
pub mod restore;
pub mod retention;
pub mod retire;
pub mod segment;
pub mod server;
pub mod time;
pub mod volume;
pub mod watch;

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
