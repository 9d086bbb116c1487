//! The sidecar daemon: the only process that talks to its target.

pub mod controller;
pub mod options;
pub mod settings;
