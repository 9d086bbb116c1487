//! A caller's request, from its connection to the last byte of its answer.

pub mod answer;
pub mod body;
pub mod chain;
pub mod event;
pub mod header;
pub mod plain;
pub mod refusal;
pub mod request;
pub mod server;
pub mod stream;
pub mod tries;
pub mod turn;
