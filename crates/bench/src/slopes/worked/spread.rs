//! Time for a change to be in force everywhere.

use crate::slopes::report::Report;
use crate::slopes::size::NODES;
use crate::slopes::size::budget;
use crate::slopes::timing;

/// Seconds until a node that learned news has told its peers.
const PUSH: f64 = 0.1;

pub fn spread(report: &mut Report) {
    let rounds = report.at("spread.rounds", NODES.log2());
    let limit = ("s", budget::FORCE);
    let force = report.at("node.force.most", NODES);
    report.against(
        limit,
        "force.mesh",
        force,
        "node.force.most, the line to 24 nodes x 330; under load of other work",
    );
    report.against(
        limit,
        "force.rounds",
        rounds * timing::BEAT,
        "spread.rounds at 330 nodes, if news waits for the next heartbeat of 1 s",
    );
    report.against(
        limit,
        "force.pushed",
        rounds * PUSH,
        "spread.rounds at 330 nodes, news pushed on within 100 ms",
    );
}
