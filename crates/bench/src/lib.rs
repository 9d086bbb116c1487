//! Demo, trace replay and slopes; not shipped.

pub mod fit;
pub mod slopes;
