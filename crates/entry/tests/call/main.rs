//! The calls' path over a small fleet in one process.

mod faults;
mod fleet;
mod path;
