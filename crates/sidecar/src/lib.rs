//! The sidecar daemon of teasellever, one beside each target and its only client.
//!
//! It bounds what the target runs at once, orders what waits, starts no attempt twice, holds and
//! releases cached histories, and tells when the target dies.

pub mod age;
pub mod cache;
pub mod clock;
pub mod controller;
pub mod daemon;
pub mod dispatch;
pub mod dump;
pub mod event;
pub mod frame;
pub mod generate;
pub mod header;
pub mod health;
pub mod intake;
pub mod key;
pub mod ledger;
pub mod load;
pub mod lock;
pub mod meter;
pub mod metrics;
pub mod options;
pub mod order;
pub mod part;
pub mod plain;
pub mod queue;
pub mod refusal;
pub mod release;
pub mod rpc;
pub mod settings;
pub mod state;
pub mod upstream;
