//! Today's design with a shard map of its own for each region, which alone isn't enough.

use super::CORE;
use super::TRAFFIC;
use crate::slopes::report::Report;
use crate::slopes::size;
use crate::slopes::size::NODES;
use crate::slopes::size::TARGETS;
use crate::slopes::timing;

/// Nodes of one region.
const OWN: f64 = NODES / size::REGIONS;

pub fn region(report: &mut Report) {
    let digest = report.at("heartbeat.bytes", 64.0);
    let beats = 4.0 * (OWN - 1.0) * digest / timing::BEAT;
    let note = "entry.traffic.heartbeat among the 66 nodes of a region";
    report.against(TRAFFIC, "region.traffic.heartbeat", beats, note);
    let probes = report.slope_of("target.cpu") * TARGETS / size::REGIONS * 1e-3;
    let note = "entry.core.probes of the 1300 targets of a region";
    report.against(CORE, "region.core.probes", probes, note);
    let scan = size::REQUESTS / NODES * report.at("customer.target-scan.cpu", size::CUSTOMERS);
    let note = "owner.core.scan: customers are known in all regions";
    report.against(CORE, "region.core.scan", scan * 1e-6, note);
}
