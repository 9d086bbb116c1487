//! Calls to the platform at the target size, summed over all roles, steady and under failures.
//!
//! A waiting watch counts as a call for as long as it waits; reads a second include those that wait.

use super::report::Report;
use super::size;
use super::size::NODES;
use super::size::budget;
use super::timing;

/// Nodes of the largest data centre.
const CENTRE: f64 = NODES / size::DATA_CENTRES;

/// Entries behind one rack or switch.
const RACK: f64 = 10.0;

/// Nodes of a region.
const REGION: f64 = NODES / size::REGIONS;

/// Writes of the shard map for one host event: joining, leaving, handing over, new standbys.
const MAP_WRITES: f64 = 10.0;

/// Seconds over which silent members are looked at before their leases run out.
const LOOKING: f64 = 4.0;

/// Nodes that watch over one other in place of all.
const OBSERVERS: f64 = 3.0;

/// Seconds over which jitter would spread what all do at once.
const JITTER: f64 = 10.0;

const WRITES: (&str, f64) = ("writes a second", budget::WRITES);
const READS: (&str, f64) = ("reads a second", budget::READS);

/// Works out the calls.
pub fn all(report: &mut Report) {
    steady(report);
    day(report);
    losses(report);
    cut(report);
    outage(report);
}

fn steady(report: &mut Report) {
    let leases = NODES / timing::RENEWAL;
    let log = timing::LOG_WRITES;
    let tickets = size::CHANGES / size::DAY;
    report.against(
        WRITES,
        "calls.writes.lease",
        leases,
        "one renewal each 2 s of 330 nodes (entry::renewal)",
    );
    report.against(
        WRITES,
        "calls.writes.log",
        log,
        "bound of all logs together (entry::journal)",
    );
    report.against(
        WRITES,
        "calls.writes.steady",
        leases + log + tickets,
        "leases + log + 4600 tickets a day",
    );
    let refresh = NODES / timing::RENEWAL;
    let map = NODES * (1.0 / timing::ROUND + 1.0 / timing::RENEWAL);
    let watchers = timing::WATCHERS * size::DATA_CENTRES;
    let watches = watchers + watchers / timing::WATCH;
    let hosts = watchers / timing::HOSTS;
    report.against(
        READS,
        "calls.reads.tickets",
        refresh,
        "one listing with each renewal (entry::renewal)",
    );
    report.against(
        READS,
        "calls.reads.map",
        map,
        "one read in each round of upkeep, 1.5 a second and node (entry::upkeep)",
    );
    report.against(
        READS,
        "calls.reads.watches",
        watches,
        "2 watchers in each of 13 data centres, each waiting all the time (entry::sync)",
    );
    report.against(
        READS,
        "calls.reads.hosts",
        hosts,
        "26 watchers each 2 s (entry::sync)",
    );
    report.against(
        READS,
        "calls.reads.steady",
        refresh + map + watches + hosts,
        "sum of the above",
    );
    let reads = report.at("node.reads", NODES);
    report.against(
        READS,
        "calls.reads.measured",
        reads,
        "node.reads (processes, to 24) on to 330, without standing watches",
    );
    let writes = report.at("node.writes", NODES) + log;
    report.against(
        WRITES,
        "calls.writes.measured",
        writes,
        "node.writes (processes, to 24, at rest) on to 330, and the log's bound",
    );
}

fn day(report: &mut Report) {
    let events = (size::FAILURES + size::RESTARTS) / size::DAY;
    let steady = report.value("calls.writes.steady");
    let writes = events * (MAP_WRITES + 2.0);
    report.against(
        WRITES,
        "calls.writes.day",
        steady + writes,
        "steady + 12 writes for each of 963 host events, on the mean",
    );
    let reads = report.value("calls.reads.steady") + events * MAP_WRITES * NODES;
    report.against(
        READS,
        "calls.reads.day",
        reads,
        "steady + a read by each node for each of 10 map changes of 963 host events, on the mean",
    );
    let one = loss(1.0);
    report.against(
        WRITES,
        "calls.writes.failure",
        steady + one.writes,
        "steady + one death: every survivor tries to fence it in the same second (entry::fence)",
    );
    report.against(
        READS,
        "calls.reads.failure",
        report.value("calls.reads.steady") + one.reads,
        "steady + every survivor looks at the silent lease once a round (entry::fence)",
    );
}

struct Loss {
    /// In the second in which the leases run out.
    writes: f64,
    /// In each second before.
    reads: f64,
}

/// What the survivors do on the silence of so many members.
fn loss(dead: f64) -> Loss {
    let survivors = NODES - dead;
    Loss {
        writes: survivors * dead,
        reads: survivors * dead / timing::ROUND,
    }
}

fn losses(report: &mut Report) {
    let steady = (
        report.value("calls.writes.steady"),
        report.value("calls.reads.steady"),
    );
    let (rack, centre) = (loss(RACK), loss(CENTRE));
    report.against(
        WRITES,
        "calls.writes.rack",
        steady.0 + rack.writes,
        "steady + 10 deaths at once, fenced by every survivor",
    );
    report.against(
        READS,
        "calls.reads.rack",
        steady.1 + rack.reads,
        "steady + 10 silent leases looked at by every survivor",
    );
    report.against(
        WRITES,
        "calls.writes.centre",
        steady.0 + centre.writes,
        "steady + 25 deaths at once, fenced by every survivor",
    );
    report.against(
        READS,
        "calls.reads.centre",
        steady.1 + centre.reads,
        "steady + 25 silent leases looked at by every survivor",
    );
    let shards = 2.0 * timing::SHARDS / size::DATA_CENTRES;
    let fences = CENTRE * OBSERVERS + CENTRE * 2.0 + shards;
    report.against(WRITES, "calls.writes.centre.mended", steady.0 + fences / JITTER, "steady + 3 observers fence each, one map write and one deletion each, a standby for each shard, over 10 s");
    let reads = NODES / timing::RENEWAL * 2.0
        + CENTRE * OBSERVERS / timing::ROUND
        + fences * NODES / JITTER / 4.0;
    report.against(READS, "calls.reads.centre.mended", reads, "listings with renewals for tickets and map, 3 observers look, a quarter of the nodes reads each map change over 10 s");
    report.plain(
        "s",
        "calls.reads.centre.time",
        LOOKING,
        "time between silence and the end of the leases",
    );
}

fn cut(report: &mut Report) {
    let pairs = 2.0 * REGION * (NODES - REGION);
    let steady = report.value("calls.reads.steady");
    report.against(
        READS,
        "calls.reads.cut",
        steady + pairs / timing::ROUND,
        "steady + every node looks at every silent lease beyond the cut, for the whole hour",
    );
    let mended = steady + NODES * OBSERVERS / timing::ROUND;
    report.against(
        READS,
        "calls.reads.cut.mended",
        mended,
        "steady + 3 observers of each lease, at worst all beyond the cut",
    );
}

fn outage(report: &mut Report) {
    let renewals = NODES / timing::RENEWAL_RETRY;
    let log = NODES * timing::ATTEMPTS / timing::LOG_RETRY;
    report.against(
        WRITES,
        "calls.writes.outage",
        log,
        "every log tries 4 times each 0.5 s (entry::journal)",
    );
    report.against(
        READS,
        "calls.reads.outage",
        renewals + NODES / timing::ROUND,
        "listings at 12 a lease and upkeep of all nodes (entry::renewal, entry::upkeep)",
    );
    let log = timing::LOG_WRITES;
    report.against(
        WRITES,
        "calls.writes.outage.mended",
        NODES / timing::RENEWAL + log,
        "one renewal try each 2 s and the log's interval kept for tries, both jittered",
    );
}
