//! Processor time of a node's control work.

use super::CORE;
use super::HALF;
use super::HOME;
use super::PEERS;
use super::SLOW_BEAT;
use super::SLOW_PROBE;
use crate::slopes::report::Report;
use crate::slopes::size;
use crate::slopes::size::NODES;
use crate::slopes::size::TARGETS;
use crate::slopes::timing;

pub fn processor(report: &mut Report) {
    let micros = 1e-6;
    let requests = size::REQUESTS / NODES;
    let digests = 4.0 * (NODES - 1.0) / timing::BEAT * report.at("heartbeat.cpu", 64.0) * micros;
    report.against(
        CORE,
        "entry.core.heartbeat",
        digests,
        "heartbeat.cpu alone, 4 digests with each other node a second",
    );
    let whole = report.slope_of("node.cpu") * NODES * 1e-3;
    report.against(
        CORE,
        "entry.core.peers",
        whole,
        "slope of node.cpu (processes, to 24) x 330",
    );
    let map = report.at("map.decode.cpu", NODES) + report.at("map.round.cpu", NODES);
    let map = map * micros * (1.0 / timing::ROUND + 1.0 / timing::RENEWAL);
    report.against(
        CORE,
        "entry.core.map",
        map,
        "map.decode.cpu + map.round.cpu, each round of upkeep",
    );
    let ticket = report.at("ticket.copy.cpu", size::CUSTOMERS)
        + report.at("ticket.summary.cpu", size::CUSTOMERS)
        + report.at("ticket.merge.cpu", size::CUSTOMERS);
    let tickets = size::CHANGES / size::DAY * ticket * micros;
    report.against(
        CORE,
        "entry.core.tickets",
        tickets,
        "ticket.copy.cpu + ticket.summary.cpu + ticket.merge.cpu, 4600 a day",
    );
    let probes = TARGETS / timing::PROBE * report.at("load.update.cpu", TARGETS) * micros;
    report.against(
        CORE,
        "entry.core.loads",
        probes,
        "load.update.cpu alone, each target every 0.4 s",
    );
    let whole = report.slope_of("target.cpu") * TARGETS * 1e-3;
    report.against(
        CORE,
        "entry.core.probes",
        whole,
        "slope of target.cpu (processes, to 25) x 6500",
    );
    let scan = requests * report.at("customer.target-scan.cpu", size::CUSTOMERS) * micros;
    report.against(
        CORE,
        "owner.core.scan",
        scan,
        "customer.target-scan.cpu for each call",
    );
    let decide = report.at("step.cpu", HALF)
        + report.at("key.verify.cpu", size::CUSTOMERS)
        + report.at("bucket.take.cpu", size::CUSTOMERS / NODES)
        + report.at("route.cpu", TARGETS / size::MODELS);
    report.against(
        CORE,
        "owner.core.decide",
        requests * decide * micros,
        "step.cpu + key.verify.cpu + bucket.take.cpu + route.cpu for each call",
    );
    let history = requests * report.at("history.cpu", HALF) * micros;
    report.plain(
        "part of a core, data",
        "owner.core.history",
        history,
        "history.cpu at 170 turns for each call",
    );
    let calls = size::REQUESTS / TARGETS;
    let queue = calls * report.at("queue.cpu", 400.0) * micros;
    report.against(
        CORE,
        "sidecar.core.queue",
        queue,
        "queue.cpu at 400 waiting for each call",
    );
    let merge = report.at("ticket.merge.cpu", size::CUSTOMERS) * micros * size::CHANGES / size::DAY;
    let peers = PEERS * report.slope_of("node.cpu") * 1e-3 / (SLOW_BEAT / timing::BEAT);
    let homes = HOME * report.slope_of("target.cpu") * 1e-3 * timing::PROBE / SLOW_PROBE;
    let mended = peers + homes + merge + requests * decide * micros;
    let note = "5 peers every 2 s, 20 targets every 4 s, ticket.merge.cpu, owner.core.decide; no scan, no summary anew, no map reads";
    report.against(CORE, "entry.core.mended", mended, note);
    let idle = report.at("target.sidecar.cpu", 0.0) * 1e-3;
    report.against(
        CORE,
        "sidecar.core.idle",
        idle,
        "target.sidecar.cpu: one sidecar at rest, probed by 3 entries",
    );
    let probed = report.slope_of("node.sidecar.cpu") * NODES * 1e-3;
    report.against(
        CORE,
        "sidecar.core.probed",
        probed,
        "slope of node.sidecar.cpu x 330 entries that probe it",
    );
    {
        let loaded = report.slope_of("request.cpu") * size::REQUESTS / NODES * 1e-3;
        report.plain(
            "part of a core, data",
            "entry.core.requests",
            loaded,
            "slope of request.cpu x 8500 / 330, short histories",
        );
    }
}
