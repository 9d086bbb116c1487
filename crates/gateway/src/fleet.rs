//! Exchange of state between entries.

pub mod evacuations;
pub mod exchange;
pub mod gossip;
pub mod limits;
pub mod news;
pub mod peers;
pub mod usage;
