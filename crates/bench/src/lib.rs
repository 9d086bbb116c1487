//! Recorded traces and their replay through the decisions in virtual time.
//!
//! `generate` writes a `trace`; `replay` sends it, once for each of several setups, through the
//! decisions of `sched` and `coord`. `drive` is the loop over virtual time, `engine` the model of a
//! target and `rate` the ways to share a rate; `score` turns a run into the measures that `replay`
//! prints and `plot` draws.

pub mod decide;
pub mod drive;
pub mod engine;
pub(crate) mod event;
pub mod fleet;
pub mod generate;
pub mod load;
pub mod place;
pub mod plot;
pub mod rate;
pub mod replay;
pub mod score;
pub mod setup;
pub mod trace;
