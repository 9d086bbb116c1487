//! The entry daemon: thin, stateless to the outside, owner of some shards.
//!
//! It authenticates callers, finds the owner of each call's shard and streams the answer through.

pub mod answer;
pub mod attempt;
pub mod auth;
pub mod clock;
pub mod command;
pub mod controller;
pub mod dispatch;
pub mod fence;
pub mod flight;
pub mod handover;
pub mod heartbeat;
pub mod job;
pub mod journal;
pub mod lease;
pub mod member;
pub mod message;
pub mod options;
pub mod out;
pub mod peer;
pub mod place;
pub mod plain;
pub mod promise;
pub mod recovery;
pub mod recruit;
pub mod refusal;
pub mod renewal;
pub mod replicate;
pub mod request;
pub mod settings;
pub mod settle;
pub mod shards;
pub mod stream;
pub mod sync;
pub mod tickets;
pub mod upkeep;
