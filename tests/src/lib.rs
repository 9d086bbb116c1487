//! Starts the whole system as processes on loopback, for failure tests and the demo.

pub mod caller;
pub mod cut;
pub mod fleet;
pub mod port;
pub mod process;
