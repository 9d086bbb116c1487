//! Demo, trace replay and slopes; not shipped.
//!
//! `generate` writes a `trace`; `replay` sends it, once for each of several setups, through the
//! decisions of `sched` and `coord`. `drive` is the loop over virtual time, `engine` the model of a
//! target and `rate` the ways to share a rate; `score` turns a run into the measures that `replay`
//! prints and `plot` draws. `slopes` measures what the system costs, with a line by `fit`.

pub mod decide;
pub mod demo;
pub mod drive;
pub mod engine;
pub(crate) mod event;
pub mod fit;
pub mod fleet;
pub mod generate;
pub mod live;
pub mod load;
pub mod overhead;
pub mod place;
pub mod plot;
pub mod rate;
pub mod replay;
pub mod score;
pub mod setup;
pub mod slopes;
pub mod trace;
