//! Messages between the system's own processes.
//!
//! The types and services are generated from `proto/teasellever.proto` by
//! `cargo run -p teasellever-wire --example generate` and committed, so that a build needs no
//! generator.

#![allow(clippy::all)]

mod generated {
    include!("generated/teasellever.rs");
}

pub use generated::*;

/// Largest message accepted between processes, in bytes.
pub const MESSAGE_LIMIT: usize = 8 * 1024 * 1024;
