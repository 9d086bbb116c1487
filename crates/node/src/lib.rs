//! Code shared by all daemons: settings, logs, metrics, the administrative server, the platform
//! client, calls between processes and shutdown.

pub mod admin;
pub mod client;
pub mod command;
pub mod error;
pub mod link;
pub mod listener;
pub mod log;
pub mod metrics;
pub mod object;
pub mod operator;
pub mod options;
pub mod platform;
pub mod settings;
pub mod shutdown;
pub mod socket;
