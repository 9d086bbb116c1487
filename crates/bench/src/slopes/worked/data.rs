//! Histories, their replication, the log, and used names: data, not control.

use super::HALF;
use crate::slopes::report::Report;
use crate::slopes::size;
use crate::slopes::size::NODES;
use crate::slopes::timing;

pub fn data(report: &mut Report) {
    let copies = 2.0 * size::PROGRAMS / NODES;
    let half = copies * report.at("program.history.memory", HALF);
    let full = copies * report.at("program.history.memory", size::TURNS);
    report.plain(
        "bytes in a node's memory",
        "data.histories",
        half,
        "program.history.memory at 170 turns, primary and standby of a node's part",
    );
    report.plain(
        "bytes in a node's memory",
        "data.histories.longest",
        full,
        "the same at 340 turns",
    );
    let requests = size::REQUESTS / NODES;
    let turn = report.at("step.records", size::HISTORY / size::TURNS);
    report.plain(
        "bytes a second of a node, sent",
        "data.replication",
        requests * turn,
        "step.records at 882 tokens a turn",
    );
    let heads = report.at("step.records", 0.0) * requests;
    report.plain(
        "bytes a second of a node, sent",
        "data.replication.heads",
        heads,
        "step.records at 0 tokens: what isn't text",
    );
    let log = size::REQUESTS * turn;
    let room = timing::LOG_WRITES * timing::VALUE;
    report.against(
        ("bytes a second, all nodes", room),
        "log.bytes",
        log,
        "step.records x 8500 against 100 objects of 983040 bytes a second",
    );
    let generated = size::REQUESTS * report.at("step.records", size::TOKENS / size::REQUESTS);
    report.against(
        ("bytes a second, all nodes", room),
        "log.bytes.generated",
        generated,
        "the same with 2.1 million generated tokens a second and no other text",
    );
    report.plain(
        "bytes a day, nothing is removed",
        "log.day",
        log * size::DAY,
        "log.bytes x a day",
    );
    let shard = size::PROGRAMS / timing::SHARDS * report.at("program.encoded", HALF);
    report.against(
        ("bytes of one shard", timing::LOG_QUEUE),
        "shard.checkpoint",
        shard,
        "program.encoded at 170 turns, 110000 / 256 programs, against the log's queue",
    );
    let heads = size::PROGRAMS / timing::SHARDS * report.at("program.turn.memory", 0.0);
    report.against(("bytes of one shard", timing::LOG_QUEUE), "shard.checkpoint.mended", heads, "heads of programs only (program.turn.memory at 0 turns); segments stand in the log already");
    let lock = size::PROGRAMS / timing::SHARDS * report.at("program.encode.cpu", HALF) * 1e-6;
    report.plain(
        "s under the shard's lock",
        "shard.checkpoint.lock",
        lock,
        "program.encode.cpu at 170 turns, 110000 / 256 programs",
    );
    let names = timing::TOMBS * timing::SHARDS / timing::TOMB_TIME;
    report.against(
        ("requests a second that can't be repeated", names),
        "names.rate",
        size::REQUESTS,
        "at worst all 8500 requests, against 200000 names a shard for a day",
    );
    let memory = report.at("tomb.memory", timing::TOMBS) * 2.0 * timing::SHARDS / NODES;
    report.plain(
        "bytes in a node's memory at the limit",
        "names.memory",
        memory,
        "tomb.memory at 200000, primary and standby of a node's part",
    );
    let worst = report.slope_of("tomb.memory") * size::REQUESTS * timing::TOMB_TIME;
    let note = "slope of tomb.memory x 8500 x a day, primary and standby of a node's part";
    report.plain(
        "bytes in a node's memory",
        "names.memory.worst",
        2.0 * worst / NODES,
        note,
    );
    let busiest = size::PROGRAMS / timing::SHARDS / (size::PROGRAMS / NODES);
    let note = "one shard of 256 against a 330th: with fewer shards than nodes 74 nodes own none";
    report.plain("times the mean", "shards.busiest", busiest, note);
}
