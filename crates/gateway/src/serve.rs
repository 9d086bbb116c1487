//! Serves callers' requests, from accepting a connection to relaying the last byte of the answer.

pub mod admission;
pub mod answer;
pub mod body;
pub mod caller;
pub mod chain;
pub mod collect;
pub mod event;
pub mod header;
pub mod intake;
pub mod memory;
pub mod origin;
pub mod plain;
pub mod position;
pub mod readiness;
pub mod refusal;
pub mod request;
pub mod reservation;
pub mod retry;
pub mod server;
pub mod stop;
pub mod stream;
pub mod turn;
