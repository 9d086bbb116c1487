//! What entries tell each other.

pub mod exchange;
pub mod gossip;
pub mod news;
pub mod peers;
