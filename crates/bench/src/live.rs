//! Replay of the beginning of a trace through the processes, at a time scale.
//!
//! Arrivals, pauses and idle limit are divided by the scale; the stand-ins' speed and the
//! customers' rates are multiplied by it. Times in the output are the trace's: measured ones times
//! the scale, so what a process takes counts that much. The stand-ins answer with at most 31
//! tokens, whatever the trace has; a program's latency alone is reckoned from what they answered.

mod program;
mod turn;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use gumdrop::Options;
use holds::caller::Http;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use holds::object::customer_object;
use indicatif::ProgressBar;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::drive;
use crate::engine;
use crate::live::turn::Gauge;
use crate::load;
use crate::score;
use crate::score::Tally;
use crate::setup;
use crate::trace::IDLE_LIMIT_MS;
use crate::trace::Outcome;
use crate::trace::Trace;

/// Most programs of a run.
const PROGRAMS_LIMIT: usize = 2_000;

/// Longest run, in seconds.
const SECONDS_LIMIT: u64 = 600;

/// Faults listed at most.
const FAULTS_LIMIT: usize = 10;

/// Names of the data centres, one for each entry.
const DATA_CENTRES: [&str; 8] = [
    "dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7", "dc-8",
];

/// Measures of a virtual run that can't be had from outside the processes.
const NOT_MEASURED: [&str; 6] = [
    "busy",
    "recomputed_mtokens",
    "ended_mtoken_seconds",
    "refused_share",
    "overshoot",
    "decision_micros",
];

/// Arguments of `bench live`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "trace")]
    trace: PathBuf,
    #[options(no_short, help = "how much faster than recorded", default = "50")]
    scale: f64,
    #[options(no_short, help = "seed; 0 replays as recorded", default = "0")]
    seed: u64,
    #[options(no_short, help = "programs to replay, from the first", default = "200")]
    programs: usize,
    #[options(
        no_short,
        meta = "SECONDS",
        help = "longest time for all programs",
        default = "120"
    )]
    limit: u64,
}

/// What all programs of a run share.
#[derive(Debug)]
struct Run {
    trace: Trace,
    scale: f64,
    http: Http,
    fleet: Fleet,
    tally: Mutex<Tally>,
    gauges: Vec<Gauge>,
    faults: Mutex<Vec<String>>,
}

impl Run {
    /// A time of the trace, in milliseconds, as it passes in this run.
    fn scaled(&self, millis: u64) -> Duration {
        Duration::from_secs_f64(millis as f64 / 1e3 / self.scale)
    }

    /// A time of this run in microseconds of the trace.
    fn recorded(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * 1e6 * self.scale) as u64
    }
}

/// Replays and prints one JSON line; whether all ended as stated, nothing ran twice and no cache
/// is left.
///
/// Errors: arguments out of bounds, no trace, or a process doesn't start.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    eyre::ensure!(
        (1..=PROGRAMS_LIMIT).contains(&args.programs) && args.limit <= SECONDS_LIMIT,
        "at most {PROGRAMS_LIMIT} programs and {SECONDS_LIMIT} s"
    );
    eyre::ensure!(
        (1.0..=1_000.0).contains(&args.scale),
        "scale from 1 to 1000"
    );
    let trace = Trace::read(&args.trace)?;
    let setup = setup::named("full", &trace, load::offered(&trace), args.seed)?;
    let mut random = StdRng::seed_from_u64(args.seed);
    let mut arrivals = drive::arrivals(&trace, &setup, &mut random);
    arrivals.sort_by_key(|(id, at)| (*at, *id));
    arrivals.truncate(args.programs);
    let run = Arc::new(start(args.scale, trace).await?);
    let unfinished = replay(&run, &arrivals, Duration::from_secs(args.limit)).await;
    let duplicates = duplicates(&run.fleet).await?;
    let prefilled = count(&run.fleet, "prefilled_tokens").await?;
    let cached = count(&run.fleet, "cached_tokens").await?;
    let caches_left = caches_left(&run.fleet).await;
    let mut tally = run.tally.lock().clone();
    tally.prefill_tokens = prefilled;
    let mut line = serde_json::to_value(score::score(&run.trace, &setup, &tally))?;
    let faults = run.faults.lock().clone();
    if let Value::Object(line) = &mut line {
        NOT_MEASURED.iter().for_each(|name| {
            line.remove(*name);
        });
    }
    let ended = |outcome| tally.ended(outcome);
    line["scale"] = json!(args.scale);
    line["replayed"] = json!(arrivals.len());
    line["finished"] = json!(ended(Outcome::Finished));
    line["looped"] = json!(ended(Outcome::Looped));
    line["idle"] = json!(ended(Outcome::Idle));
    line["unfinished"] = json!(unfinished);
    line["failed"] = json!(faults.len());
    line["duplicates"] = json!(duplicates);
    line["caches_left"] = json!(caches_left);
    line["cached_mtokens"] = json!(cached as f64 / 1e6);
    println!("{line}");
    let listed = faults.iter().take(FAULTS_LIMIT);
    listed.for_each(|fault| eprintln!("fault: {fault}"));
    Ok(faults.is_empty() && unfinished + duplicates + caches_left == 0)
}

/// Starts the processes at the deployment's size, with its customers' rates.
async fn start(scale: f64, trace: Trace) -> eyre::Result<Run> {
    let head = &trace.head;
    // A plan's names are static; there are as many as customers, once a run.
    let names = head
        .customers
        .iter()
        .map(|account| -> &'static str { Box::leak(account.name.to_string().into_boxed_str()) });
    let plan = Plan {
        data_centres: DATA_CENTRES[..(head.entries as usize).clamp(2, 8)].to_vec(),
        customers: names.collect(),
        engines: head.engines as usize,
        tools: head.services as usize,
        lease_ms: 6_000,
        slots: engine::SLOTS as usize,
        prefill_rate: (engine::PREFILL_RATE as f64 * scale) as u64,
        decode_rate: (engine::DECODE_RATE as f64 * scale) as u64,
        work_ms: 1,
        entry: json!({ "limits": { "idle_ms": (f64::from(IDLE_LIMIT_MS) / scale).ceil() as u64 } }),
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let customers = head.customers.iter().map(|account| {
        let mut object =
            customer_object(account.name.as_str(), account.rate * scale, account.burst);
        object["customer"]["weight"] = json!(account.weight);
        object
    });
    fleet.change(customers.collect(), json!([])).await?;
    let gauges = head.customers.iter();
    let gauges = gauges.map(|account| Gauge::new(account.rate * scale, account.burst));
    Ok(Run {
        scale,
        http: fleet.http.clone(),
        fleet,
        tally: Mutex::default(),
        gauges: gauges.collect(),
        faults: Mutex::default(),
        trace,
    })
}

/// Runs all programs at their times; returns how many the limit cut short.
async fn replay(run: &Arc<Run>, arrivals: &[(usize, u64)], limit: Duration) -> usize {
    let bar = ProgressBar::new(arrivals.len() as u64).with_prefix("programs");
    let begin = Instant::now();
    let first = arrivals.first().map_or(0, |(_, at)| *at);
    let mut tasks = JoinSet::new();
    for (id, at) in arrivals {
        let (run, bar, id, at) = (run.clone(), bar.clone(), *id, *at);
        tasks.spawn(async move {
            tokio::time::sleep_until(begin + run.scaled(at - first)).await;
            if let Err(error) = program::run(&run, id, at).await {
                run.faults.lock().push(format!("program {id}: {error:#}"));
            }
            bar.inc(1);
        });
    }
    let all = async { while tasks.join_next().await.is_some() {} };
    let _ = tokio::time::timeout_at(begin + limit, all).await;
    let unfinished = tasks.len();
    tasks.shutdown().await;
    bar.finish_and_clear();
    unfinished
}

/// Executions at the tools beyond the first of each request.
async fn duplicates(fleet: &Fleet) -> eyre::Result<usize> {
    let mut runs: coord::Map<String, u64> = coord::Map::default();
    for tool in &fleet.tools {
        let stats = fleet.stats(tool.url).await?;
        let contents = stats["counts"]["contents"].as_object().cloned();
        for (what, count) in contents.unwrap_or_default() {
            *runs.entry(what).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    Ok(runs.values().map(|count| *count as usize - 1).sum())
}

/// Sum over the engines of one of their counts.
async fn count(fleet: &Fleet, name: &str) -> eyre::Result<u64> {
    let mut sum = 0;
    for engine in &fleet.engines {
        let stats = fleet.stats(engine.url).await?;
        sum += stats["counts"][name].as_u64().unwrap_or(0);
    }
    Ok(sum)
}

/// Cache entries that stay although all programs have ended.
async fn caches_left(fleet: &Fleet) -> usize {
    let mut left = 0;
    for engine in &fleet.engines {
        let held = || async {
            let get = http::Method::GET;
            let path = "/v1/cache";
            let listing = fleet.http.json(get, engine.url, path, "", &Value::Null);
            let entries = listing.await.ok().and_then(|(_, body)| {
                let entries = body["entries"].as_array();
                entries.map(Vec::len)
            });
            entries.unwrap_or(usize::MAX)
        };
        let empty = fleet.until("caches are released", async || held().await == 0);
        if empty.await.is_err() {
            left += held().await;
        }
    }
    left
}
