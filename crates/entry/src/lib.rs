//! The entry daemon: thin, stateless to the outside, owner of some shards.

pub mod controller;
pub mod options;
pub mod settings;
