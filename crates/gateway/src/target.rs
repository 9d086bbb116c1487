//! Targets: which there are, which one gets a request, and sending it there.

pub mod balance;
pub mod crash;
pub mod directory;
pub mod pool;
pub mod prefix;
pub mod program;
pub mod send;
