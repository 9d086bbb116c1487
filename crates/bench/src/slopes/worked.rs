//! Figures at the target size, worked out from the measured slopes.
//!
//! Each line names what it comes from. Timings are those of the modules that they are named after.
//! A budget that isn't met shows as a margin under one; behind it stands the same figure for the
//! mechanism that would meet it, under a name that ends in `mended`.

mod data;
mod memory;
mod processor;
mod region;
mod spread;
mod traffic;

use super::report::Report;
use super::size;
use super::size::NODES;
use super::size::TARGETS;
use super::size::budget;

const MEMORY: (&str, f64) = ("bytes", budget::MEMORY);
const TRAFFIC: (&str, f64) = ("bytes a second", budget::TRAFFIC);
const CORE: (&str, f64) = ("part of a core", budget::CORE);

/// Objects of the configuration: customers, their keys, targets.
const OBJECTS: f64 = 2.0 * size::CUSTOMERS + TARGETS;

/// Turns of a program halfway through.
const HALF: f64 = size::TURNS / 2.0;

/// Objects in an ordinary ticket: a customer and its key.
const TICKET: f64 = 2.0;

/// Peers that a node exchanges news with in place of all.
const PEERS: f64 = 5.0;

/// Seconds between two heartbeats to few peers.
const SLOW_BEAT: f64 = 2.0;

/// Seconds between two questions to a target whose calls tell nothing.
const SLOW_PROBE: f64 = 4.0;

/// Seconds between two renewals of caches with leases of 240 s.
const SLOW_CACHE: f64 = 80.0;

/// Targets whose load a node asks for when each target has one node that does.
const HOME: f64 = TARGETS / NODES;

/// Works everything out.
pub fn all(report: &mut Report) {
    memory::memory(report);
    traffic::traffic(report);
    processor::processor(report);
    data::data(report);
    spread::spread(report);
    region::region(report);
}
