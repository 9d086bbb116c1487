//! Memory of a node's tables and processes.

use super::HALF;
use super::HOME;
use super::MEMORY;
use super::PEERS;
use crate::slopes::report::Report;
use crate::slopes::size;
use crate::slopes::size::NODES;
use crate::slopes::size::TARGETS;

pub fn memory(report: &mut Report) {
    let customers = report.at("customer.config.memory", size::CUSTOMERS);
    let config = customers + report.at("target.config.memory", TARGETS);
    let loads = report.at("load.memory", TARGETS);
    let map = report.at("map.memory", NODES) + report.at("heartbeat.memory", NODES);
    let buckets = report.slope_of("bucket.memory") * size::CUSTOMERS / NODES;
    let copies = 2.0 * size::PROGRAMS / NODES;
    let programs = copies * report.at("program.turn.memory", HALF);
    let longest = copies * report.at("program.turn.memory", size::TURNS);
    report.against(
        MEMORY,
        "entry.memory.config",
        config,
        "customer.config.memory + target.config.memory",
    );
    report.against(MEMORY, "entry.memory.loads", loads, "load.memory");
    report.against(
        MEMORY,
        "entry.memory.map",
        map,
        "map.memory + heartbeat.memory",
    );
    report.against(
        MEMORY,
        "owner.memory.buckets",
        buckets,
        "slope of bucket.memory, a node's part",
    );
    report.against(
        MEMORY,
        "owner.memory.programs",
        programs,
        "program.turn.memory at 170 turns, primary and standby of a node's part",
    );
    report.against(
        MEMORY,
        "owner.memory.programs.longest",
        longest,
        "the same at 340 turns",
    );
    let sum = config + loads + map + buckets + programs;
    report.against(
        MEMORY,
        "node.memory.sum",
        sum,
        "sum of the above at 170 turns",
    );
    report.against(
        MEMORY,
        "node.memory.sum.change",
        sum + config,
        "the same while a ticket is taken in: config twice",
    );
    let heads = copies * report.at("program.turn.memory", 0.0);
    let lean = config * 1.05 + loads + map + buckets + heads;
    report.against(
        MEMORY,
        "node.memory.sum.mended",
        lean,
        "a ticket copies 5% of config at most, turns by reference: programs at 0 turns",
    );
    let waiting = 400.0;
    let queue = report.at("queue.memory", waiting);
    report.against(
        MEMORY,
        "sidecar.memory.queue",
        queue,
        "queue.memory at 400 calls",
    );
    let quarantine = report.at("quarantine.memory", 4_096.0);
    report.against(
        MEMORY,
        "sidecar.memory.quarantine",
        quarantine,
        "quarantine.memory at its limit of 4096",
    );
    processes(report);
}

/// What whole processes hold beside these tables: code, runtime, connections.
fn processes(report: &mut Report) {
    let bare = report.at("node.memory", 0.0);
    let note = "node.memory at 0 others, one process with code and runtime";
    report.against(MEMORY, "entry.memory.process", bare, note);
    let peers = report.slope_of("node.memory") * NODES;
    let note = "slope of node.memory x 330: connections with all other entries";
    report.against(MEMORY, "entry.memory.peers", peers, note);
    let targets = report.slope_of("target.memory") * TARGETS;
    let note = "slope of target.memory x 6500: connections with all sidecars";
    report.against(MEMORY, "entry.memory.targets", targets, note);
    let few = PEERS * report.slope_of("node.memory") + HOME * report.slope_of("target.memory");
    let note = "the same with 5 peers and the 20 targets of a node";
    report.against(MEMORY, "entry.memory.connections.mended", few, note);
    let sum = bare + few + report.value("node.memory.sum.mended");
    let note = "entry.memory.process + connections.mended + node.memory.sum.mended";
    report.against(MEMORY, "entry.memory.all.mended", sum, note);
    let bare = report.at("target.sidecar.memory", 0.0);
    let note = "target.sidecar.memory, one process with code and runtime";
    report.against(MEMORY, "sidecar.memory.process", bare, note);
    let entries = report.slope_of("node.sidecar.memory") * NODES;
    let note = "slope of node.sidecar.memory x 330: connections with all entries";
    report.against(MEMORY, "sidecar.memory.entries", entries, note);
}
