//! Stand-ins for the systems around teasellever, each with fault switches; not shipped.
//!
//! Every stand-in is an HTTP server that a test starts in its own process or with
//! `teasellever-fakes` as a process. Faults are set by `POST /fake/faults`, and what happened is
//! read at `GET /fake/stats`.

mod batch;
pub mod engine;
pub mod fault;
pub mod generation;
pub mod orders;
pub mod platform;
pub mod prefix;
pub mod server;
pub mod slots;
pub mod stats;
pub mod tool;
pub mod weights;

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
