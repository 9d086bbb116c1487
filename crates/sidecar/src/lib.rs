//! Sidecar daemon of teasellever: runs beside each target and is its only client.
//!
//! It limits the target's concurrent requests, schedules queued ones fairly, suppresses duplicate
//! attempts, keeps and releases cached histories, and reports crashes of the target.

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
