//! Entry daemon: authenticates callers, finds the owner of each call and streams its answer.

pub mod answer;
pub mod dispatch;
pub mod job;
pub mod message;
pub mod place;
pub mod plain;
pub mod refusal;
pub mod request;
pub mod settings;
pub mod stream;
