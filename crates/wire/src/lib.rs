//! Messages and services of entries and sidecars.
//!
//! The types are generated from `proto/teasellever.proto` by
//! `cargo run -p teasellever-wire --example generate`. The generated file is committed, so that a
//! build needs no generator.

#![allow(clippy::all)]

mod generated {
    include!("generated/teasellever.rs");
}

pub use generated::*;

/// Maximum size of an encoded message, in bytes.
pub const MESSAGE_LIMIT: usize = 8 * 1024 * 1024;
