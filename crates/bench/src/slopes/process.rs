//! Slopes over processes: platform calls, traffic between entries, processor time and memory.
//!
//! Other work on the machine lengthens times on the clock but not processor time, on which the
//! page rests.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use holds::object::customer_object;
use serde_json::Value;
use serde_json::json;

use super::procfs;
use super::report::Measure;
use super::report::Report;
use crate::fit::Point;

const NODES: [usize; 4] = [3, 6, 12, 24];

const TARGETS: [usize; 4] = [2, 6, 12, 24];

/// Programs that call at the same time.
const CALLERS: [usize; 4] = [2, 8, 24, 48];

/// Data centres over which the entries are spread.
const CENTRES: [&str; 3] = ["dc-1", "dc-2", "dc-3"];

/// The length of a lease in production.
const LEASE_MS: u64 = 6_000;

/// Time for shards to find their places after the start.
const SETTLE: Duration = Duration::from_secs(9);

/// Time over which a fleet at rest is watched.
const WINDOW: Duration = Duration::from_secs(10);

/// Time over which a fleet under load is watched.
const LOADED: Duration = Duration::from_secs(5);

/// Pause of a program between its turns.
const PAUSE: Duration = Duration::from_millis(100);

/// Tickets timed on each fleet.
const TICKETS: usize = 5;

/// Pause between two looks at whether a ticket is in force.
const LOOK: Duration = Duration::from_millis(5);

/// Longest time for a ticket to be in force everywhere.
const FORCE_LIMIT: Duration = Duration::from_secs(10);

const ANSWER_TOKENS: u32 = 40;

/// Counters of a whole fleet at one moment.
#[derive(Debug, Clone)]
struct Sample {
    at: Instant,
    reads: f64,
    writes: f64,
    watches: f64,
    peer_bytes: f64,
    entry_time: Duration,
    sidecar_time: Duration,
}

/// What a fleet did each second between two samples.
#[derive(Debug, Clone, Copy)]
struct Flow {
    reads: f64,
    writes: f64,
    watches: f64,
    /// Of one entry, in both directions.
    peer_bytes: f64,
    /// Of one entry, in milliseconds.
    entry_ms: f64,
    /// Of one sidecar, in milliseconds.
    sidecar_ms: f64,
}

#[derive(Debug)]
struct Rest {
    size: usize,
    flow: Flow,
    entry_memory: f64,
    sidecar_memory: f64,
    /// Seconds until a ticket is in force on all entries: the middle one and the slowest.
    force: [f64; 2],
}

#[derive(Debug)]
struct Load {
    requests: f64,
    flow: Flow,
    entry_memory: f64,
}

/// Name and unit of a measure, and where its value stands.
type Series<T> = (&'static str, &'static str, fn(&T) -> f64);

/// Measures over processes.
///
/// Errors: a process doesn't start or serve.
pub async fn measure(report: &mut Report) -> eyre::Result<()> {
    nodes(report).await?;
    targets(report).await?;
    load(report).await
}

fn plan(entries: usize, engines: usize) -> Plan {
    let centres = CENTRES.iter().cycle().take(entries);
    Plan {
        data_centres: centres.copied().collect(),
        engines,
        lease_ms: LEASE_MS,
        ..Plan::default()
    }
}

async fn nodes(report: &mut Report) -> eyre::Result<()> {
    let mut rests = Vec::new();
    for size in NODES {
        let mut fleet = Fleet::start(&plan(size, 2)).await?;
        rests.push(rest(&mut fleet, size).await?);
    }
    let per = "entries, at rest, leases of 6 s, 3 targets";
    let series: [Series<Rest>; 10] = [
        ("node.reads", "platform reads a second", |r| r.flow.reads),
        ("node.writes", "platform writes a second", |r| r.flow.writes),
        ("node.watches", "platform watches begun a second", |r| {
            r.flow.watches
        }),
        (
            "node.peer.bytes",
            "bytes a second of one entry from and to peers",
            |r| r.flow.peer_bytes,
        ),
        ("node.cpu", "ms a second of one entry", |r| r.flow.entry_ms),
        ("node.memory", "bytes resident in one entry", |r| {
            r.entry_memory
        }),
        ("node.sidecar.cpu", "ms a second of one sidecar", |r| {
            r.flow.sidecar_ms
        }),
        (
            "node.sidecar.memory",
            "bytes resident in one sidecar",
            |r| r.sidecar_memory,
        ),
        ("node.force", "s until a ticket is in force, median", |r| {
            r.force[0]
        }),
        (
            "node.force.most",
            "s until a ticket is in force, slowest of 5",
            |r| r.force[1],
        ),
    ];
    for (name, unit, value) in series {
        slope(report, Measure { name, unit, per }, &rests, value);
    }
    Ok(())
}

async fn targets(report: &mut Report) -> eyre::Result<()> {
    let mut rests = Vec::new();
    for size in TARGETS {
        let mut fleet = Fleet::start(&plan(3, size)).await?;
        let targets = size + fleet.tools.len();
        let rest = rest(&mut fleet, targets).await?;
        rests.push(rest);
    }
    let per = "targets, at rest, 3 entries";
    let series: [Series<Rest>; 5] = [
        ("target.cpu", "ms a second of one entry", |r| {
            r.flow.entry_ms
        }),
        ("target.memory", "bytes resident in one entry", |r| {
            r.entry_memory
        }),
        ("target.sidecar.cpu", "ms a second of one sidecar", |r| {
            r.flow.sidecar_ms
        }),
        (
            "target.sidecar.memory",
            "bytes resident in one sidecar",
            |r| r.sidecar_memory,
        ),
        ("target.reads", "platform reads a second", |r| r.flow.reads),
    ];
    for (name, unit, value) in series {
        slope(report, Measure { name, unit, per }, &rests, value);
    }
    Ok(())
}

fn slope(report: &mut Report, measure: Measure, rests: &[Rest], value: fn(&Rest) -> f64) {
    let point = |rest: &Rest| Point {
        x: rest.size as f64,
        y: value(rest),
    };
    report.slope(measure, &rests.iter().map(point).collect::<Vec<Point>>());
}

async fn rest(fleet: &mut Fleet, size: usize) -> eyre::Result<Rest> {
    tokio::time::sleep(SETTLE).await;
    let before = sample(fleet).await?;
    tokio::time::sleep(WINDOW).await;
    let after = sample(fleet).await?;
    let flow = flow(fleet, &before, &after);
    let (entry_memory, sidecar_memory) = memory(fleet);
    let force = force(fleet).await?;
    Ok(Rest {
        size,
        flow,
        entry_memory,
        sidecar_memory,
        force,
    })
}

async fn load(report: &mut Report) -> eyre::Result<()> {
    let fleet = Fleet::start(&plan(3, 4)).await?;
    tokio::time::sleep(SETTLE).await;
    let mut loads = Vec::new();
    for callers in CALLERS {
        let before = sample(&fleet).await?;
        let turns: u32 = join_all((0..callers).map(|n| program(&fleet, n)))
            .await
            .iter()
            .sum();
        let after = sample(&fleet).await?;
        let seconds = (after.at - before.at).as_secs_f64();
        loads.push(Load {
            requests: f64::from(turns) / seconds,
            flow: flow(&fleet, &before, &after),
            entry_memory: memory(&fleet).0,
        });
    }
    let per = "program turns a second through 3 entries";
    let series: [Series<Load>; 5] = [
        ("request.writes", "platform writes a second", |l| {
            l.flow.writes
        }),
        ("request.cpu", "ms a second of all three entries", |l| {
            3.0 * l.flow.entry_ms
        }),
        (
            "request.sidecar.cpu",
            "ms a second of one of 5 sidecars",
            |l| l.flow.sidecar_ms,
        ),
        (
            "request.peer.bytes",
            "bytes a second between all three entries",
            |l| 3.0 * l.flow.peer_bytes,
        ),
        ("request.memory", "bytes resident in one entry", |l| {
            l.entry_memory
        }),
    ];
    for (name, unit, value) in series {
        let point = |load: &Load| Point {
            x: load.requests,
            y: value(load),
        };
        let points: Vec<Point> = loads.iter().map(point).collect();
        report.slope(Measure { name, unit, per }, &points);
    }
    Ok(())
}

/// Turns of one program until the time is over, at entries in turn; gives the answered ones.
async fn program(fleet: &Fleet, number: usize) -> u32 {
    let entries = fleet.entries.len();
    let caller = |turn: u32| fleet.caller((number + turn as usize) % entries, "large");
    let budget = json!({ "tokens": 100_000_000, "calls": 1_000_000, "wall_ms": 600_000 });
    let Ok(program) = caller(0).open(budget).await else {
        return 0;
    };
    let end = Instant::now() + LOADED;
    let mut turns = 0;
    while Instant::now() < end {
        let ask = format!("turn {turns}");
        let step = turns + 1;
        if !caller(step)
            .turn(&program, step, &ask, ANSWER_TOKENS)
            .await
            .ok()
        {
            break;
        }
        turns += 1;
        tokio::time::sleep(PAUSE).await;
    }
    caller(0).end(&program).await;
    turns
}

async fn sample(fleet: &Fleet) -> eyre::Result<Sample> {
    let stats = fleet.stats(fleet.store).await?;
    let count = |name: &str| stats[name].as_f64().unwrap_or_default();
    let entries = fleet.entries.iter();
    Ok(Sample {
        at: Instant::now(),
        reads: count("reads"),
        writes: count("writes"),
        watches: count("watches"),
        peer_bytes: entries.map(|entry| entry.inward.carried() as f64).sum(),
        entry_time: times(entry_ids(fleet)),
        sidecar_time: times(sidecar_ids(fleet)),
    })
}

fn flow(fleet: &Fleet, before: &Sample, after: &Sample) -> Flow {
    let seconds = (after.at - before.at).as_secs_f64();
    let entries = fleet.entries.len() as f64;
    let sidecars = sidecar_ids(fleet).count() as f64;
    let spent = |later: Duration, earlier: Duration| (later - earlier).as_secs_f64() * 1e3;
    Flow {
        reads: (after.reads - before.reads) / seconds,
        writes: (after.writes - before.writes) / seconds,
        watches: (after.watches - before.watches) / seconds,
        // What one entry receives another sends: each byte counts at two of them.
        peer_bytes: 2.0 * (after.peer_bytes - before.peer_bytes) / seconds / entries,
        entry_ms: spent(after.entry_time, before.entry_time) / seconds / entries,
        sidecar_ms: spent(after.sidecar_time, before.sidecar_time) / seconds / sidecars,
    }
}

fn entry_ids(fleet: &Fleet) -> impl Iterator<Item = u32> {
    fleet.entries.iter().map(|entry| entry.process.id())
}

fn sidecar_ids(fleet: &Fleet) -> impl Iterator<Item = u32> {
    let targets = fleet.engines.iter().chain(&fleet.tools);
    targets.map(|target| target.sidecar.id())
}

fn times(processes: impl Iterator<Item = u32>) -> Duration {
    processes.map(procfs::processor_time).sum()
}

/// Mean resident memory of entries and of sidecars.
fn memory(fleet: &Fleet) -> (f64, f64) {
    let mean = |ids: Vec<u32>| {
        let sum: f64 = ids.iter().copied().map(procfs::resident).sum();
        sum / ids.len().max(1) as f64
    };
    (
        mean(entry_ids(fleet).collect()),
        mean(sidecar_ids(fleet).collect()),
    )
}

/// Seconds from a ticket's acceptance until all entries hold it: the middle and the slowest.
async fn force(fleet: &mut Fleet) -> eyre::Result<[f64; 2]> {
    let mut times = Vec::new();
    for number in 0..TICKETS {
        let object = customer_object("spread", 1.0 + number as f64, 10);
        let ticket = fleet.change(json!([object]), json!([])).await?;
        let accepted = Instant::now();
        let looks = fleet
            .entries
            .iter()
            .map(|entry| holds(fleet, entry.admin, ticket));
        eyre::ensure!(
            join_all(looks).await.iter().all(|held| *held),
            "a ticket isn't in force"
        );
        times.push(accepted.elapsed().as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    Ok([times[TICKETS / 2], times[TICKETS - 1]])
}

/// Waits until an entry holds a ticket.
async fn holds(fleet: &Fleet, admin: std::net::SocketAddr, ticket: u64) -> bool {
    let end = Instant::now() + FORCE_LIMIT;
    while Instant::now() < end {
        let state = fleet.state(admin).await.unwrap_or(Value::Null);
        if state["config"]["newest"].as_u64() >= Some(ticket) {
            return true;
        }
        tokio::time::sleep(LOOK).await;
    }
    false
}
