//! The entry daemon: thin, stateless to the outside, owner of some shards.
//!
//! It authenticates callers, finds the owner of each call's shard and streams the answer through.

pub mod answer;
pub mod attempt;
pub mod auth;
pub mod command;
pub mod controller;
pub mod dispatch;
pub mod flight;
pub mod job;
pub mod message;
pub mod options;
pub mod out;
pub mod place;
pub mod plain;
pub mod refusal;
pub mod request;
pub mod settings;
pub mod stream;
