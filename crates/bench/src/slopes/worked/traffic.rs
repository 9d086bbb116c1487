//! Control traffic of a node.

use super::HOME;
use super::OBJECTS;
use super::PEERS;
use super::SLOW_BEAT;
use super::SLOW_CACHE;
use super::SLOW_PROBE;
use super::TICKET;
use super::TRAFFIC;
use crate::slopes::report::Report;
use crate::slopes::size;
use crate::slopes::size::NODES;
use crate::slopes::size::TARGETS;
use crate::slopes::timing;

/// Bytes of a root hash in a digest.
const ROOT: f64 = 12.0;

/// Bytes of one cache lease.
const LEASE_BYTES: f64 = 60.0;

/// Buckets that the 11 objects of the measured fleets fill.
const FILLED: f64 = 10.0;

pub fn traffic(report: &mut Report) {
    let digest = report.at("heartbeat.bytes", 64.0);
    let beats = 4.0 * (NODES - 1.0) * digest / timing::BEAT;
    report.against(
        TRAFFIC,
        "entry.traffic.heartbeat",
        beats,
        "heartbeat.bytes at 64 buckets, to and from all others, each both ways, each second",
    );
    let overhead = overhead(report);
    report.plain(
        "bytes a message",
        "message.overhead",
        overhead,
        "slope of node.peer.bytes / 4 - heartbeat.bytes at 10 buckets",
    );
    let small = report.at("heartbeat.bytes", 0.0) + ROOT + overhead;
    let few = 4.0 * PEERS * small / SLOW_BEAT;
    report.against(
        TRAFFIC,
        "entry.traffic.heartbeat.mended",
        few,
        "5 peers every 2 s, one root hash in place of 64 buckets, with message.overhead",
    );
    let map = (1.0 / timing::ROUND + 1.0 / timing::RENEWAL) * report.at("map.bytes", NODES);
    report.against(
        TRAFFIC,
        "entry.traffic.map",
        map,
        "map.bytes, read in each round of upkeep",
    );
    let versions = 10.0 * (size::FAILURES + size::RESTARTS) / size::DAY;
    let map = versions * report.at("map.bytes", NODES);
    report.against(
        TRAFFIC,
        "entry.traffic.map.mended",
        map,
        "map.bytes at each change only, 10 changes a host event",
    );
    let changes = versions * 2.0 * 200.0;
    report.against(
        TRAFFIC,
        "entry.traffic.map.changes",
        changes,
        "only the changed owners, 2 of 200 bytes a change",
    );
    let probes = TARGETS / timing::PROBE * (report.slope_of("load.bytes") + 2.0 * overhead);
    report.against(
        TRAFFIC,
        "entry.traffic.probes",
        probes,
        "load.bytes of each target every 0.4 s, with message.overhead",
    );
    let news = size::CHANGES / size::DAY * report.at("ticket.bytes", OBJECTS / 64.0);
    report.against(
        TRAFFIC,
        "entry.traffic.tickets",
        news,
        "ticket.bytes of one whole bucket of 64 for each ticket, received once",
    );
    let news = size::CHANGES / size::DAY * report.at("ticket.bytes", TICKET) * PEERS;
    report.against(
        TRAFFIC,
        "entry.traffic.tickets.mended",
        news,
        "ticket.bytes of the ticket itself, to 5 peers",
    );
    let held = size::PROGRAMS / NODES;
    let leases = held / timing::CACHE * (LEASE_BYTES + 2.0 * overhead);
    report.against(TRAFFIC, "owner.traffic.cache", leases, "one lease for each open program every 3.3 s, each at another sidecar, with message.overhead");
    let leases = held / SLOW_CACHE * (LEASE_BYTES + 2.0 * overhead);
    report.against(
        TRAFFIC,
        "owner.traffic.cache.mended",
        leases,
        "the same with leases of 240 s",
    );
    let asked = HOME / SLOW_PROBE * (report.slope_of("load.bytes") + 2.0 * overhead);
    let note =
        "the 20 targets of a node every 4 s, beside what answers bring, with message.overhead";
    report.against(TRAFFIC, "entry.traffic.loads.mended", asked, note);
    let sum = few + changes + news + leases + asked;
    let note = "heartbeat.mended + map.changes + tickets.mended + cache.mended + loads.mended";
    report.against(TRAFFIC, "node.traffic.mended", sum, note);
}

/// Bytes around a message between entries: frames and headers.
fn overhead(report: &Report) -> f64 {
    let message = report.slope_of("node.peer.bytes") / 4.0 * timing::BEAT;
    (message - report.at("heartbeat.bytes", FILLED)).max(0.0)
}
