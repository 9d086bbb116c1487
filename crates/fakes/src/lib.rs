//! Stand-ins for the outside systems, with fault switches.

pub mod platform;
