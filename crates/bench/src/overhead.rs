//! What the path adds to a call: through entry, owner and sidecar against the stand-in itself.
//!
//! Open loop: requests are sent on schedule whether or not earlier ones are answered. Both ways
//! take turns over several rounds, with the same client, so that a busy machine slows both.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use hdrhistogram::Histogram;
use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::MODEL;
use holds::fleet::Plan;
use http::Method;
use indicatif::ProgressBar;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Time added at the median that the path should stay under, in microseconds.
const TARGET_US: u64 = 1_000;

/// Requests in progress at most; what would be over it isn't sent.
const IN_PROGRESS: usize = 2_000;

/// Most requests of one round.
const REQUESTS_LIMIT: u32 = 100_000;

/// Most requests that open connections, before the first round.
const WARM_UP: u32 = 500;

/// Arguments of `bench overhead`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(no_short, help = "requests a second on one entry", default = "1000")]
    rate: u32,
    #[options(no_short, help = "length of each round, in seconds", default = "3")]
    seconds: u32,
    #[options(no_short, help = "rounds of each way", default = "3")]
    rounds: u32,
}

/// Latencies of one way, in microseconds, and what had no sound answer.
#[derive(Debug, Clone, Serialize)]
struct Way {
    p50_us: u64,
    p95_us: u64,
    p99_us: u64,
    answered: u64,
    failed: u64,
    unsent: u64,
}

/// One line of output: a kind of call, both ways.
#[derive(Debug, Serialize)]
struct Line {
    call: &'static str,
    rate: u32,
    seconds: u32,
    direct: Way,
    path: Way,
    added_p50_us: i64,
    added_p95_us: i64,
    added_p99_us: i64,
    target_us: u64,
    met: bool,
}

/// A kind of call.
#[derive(Debug, Clone, Copy)]
enum Call {
    /// Plain, may run again.
    Idempotent,
    /// Plain, runs once: its record stands in two places before it is sent.
    Once,
    /// One short completion.
    Chat,
}

#[derive(Debug)]
struct Counts {
    latency: Histogram<u64>,
    failed: u64,
    unsent: u64,
}

/// Measures and prints one JSON line for each kind of call; whether every target is met.
///
/// Errors: a process doesn't start.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    let requests = args.rate.saturating_mul(args.seconds);
    eyre::ensure!(
        (1..=REQUESTS_LIMIT).contains(&requests) && (1..=10).contains(&args.rounds),
        "1 to {REQUESTS_LIMIT} requests in each of 1 to 10 rounds"
    );
    let plan = Plan {
        data_centres: vec!["dc-1", "dc-2"],
        engines: 1,
        tools: 1,
        lease_ms: 6_000,
        slots: 64,
        prefill_rate: 10_000_000,
        decode_rate: 10_000,
        work_ms: 0,
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let mut met = true;
    for call in [Call::Idempotent, Call::Once, Call::Chat] {
        let line = compare(args, requests, &fleet, call).await?;
        println!("{}", serde_json::to_string(&line)?);
        met &= line.met;
    }
    Ok(met)
}

async fn compare(args: &Args, requests: u32, fleet: &Fleet, call: Call) -> eyre::Result<Line> {
    let path = fleet.caller(0, "large");
    let direct = Caller::new(fleet.http.clone(), target(fleet, call), "");
    let bar = ProgressBar::new(u64::from(2 * args.rounds)).with_prefix(name(call));
    let mut counts = [Counts::new()?, Counts::new()?];
    for way in [&direct, &path] {
        round(
            way,
            call,
            args.rate,
            WARM_UP.min(requests),
            &mut Counts::new()?,
        )
        .await?;
    }
    for _ in 0..args.rounds {
        for (way, counts) in [&direct, &path].into_iter().zip(&mut counts) {
            round(way, call, args.rate, requests, counts).await?;
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    let [direct, path] = counts.map(|counts| counts.way());
    let added = |share: fn(&Way) -> u64| share(&path) as i64 - share(&direct) as i64;
    let p50 = added(|way| way.p50_us);
    let p95 = added(|way| way.p95_us);
    let p99 = added(|way| way.p99_us);
    let sound = [&direct, &path]
        .iter()
        .all(|way| way.failed + way.unsent == 0);
    Ok(Line {
        call: name(call),
        rate: args.rate,
        seconds: args.seconds * args.rounds,
        added_p50_us: p50,
        added_p95_us: p95,
        added_p99_us: p99,
        target_us: TARGET_US,
        met: sound && p50 < TARGET_US as i64,
        direct,
        path,
    })
}

/// Sends requests on schedule and waits for their answers.
async fn round(
    caller: &Caller,
    call: Call,
    rate: u32,
    requests: u32,
    counts: &mut Counts,
) -> eyre::Result<()> {
    let places = Arc::new(Semaphore::new(IN_PROGRESS));
    let start = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..requests {
        tokio::time::sleep_until(start + Duration::from_secs(1) * number / rate).await;
        let Ok(place) = places.clone().try_acquire_owned() else {
            counts.unsent += 1;
            continue;
        };
        let caller = caller.clone();
        let sent = Instant::now();
        tasks.spawn(async move {
            let ok = send(&caller, call).await;
            drop(place);
            (ok, sent.elapsed())
        });
    }
    while let Some(done) = tasks.join_next().await {
        match done? {
            (true, latency) => counts.latency.record(latency.as_micros() as u64)?,
            (false, _) => counts.failed += 1,
        }
    }
    Ok(())
}

async fn send(caller: &Caller, call: Call) -> bool {
    let request = uuid::Uuid::new_v4().simple().to_string();
    let answer = match call {
        Call::Idempotent => caller.plain("look", &request, "{}").await,
        Call::Once => caller.plain("book", &request, "{}").await,
        Call::Chat => {
            let body = json!({
                "model": MODEL,
                "messages": [{ "role": "user", "content": request }],
                "max_tokens": 1,
                "stream": true,
                "request_id": request,
            });
            let path = "/v1/chat/completions";
            caller.call(Method::POST, path, body.to_string()).await
        }
    };
    answer.ok()
}

fn target(fleet: &Fleet, call: Call) -> SocketAddr {
    match call {
        Call::Chat => fleet.engines[0].url,
        Call::Idempotent | Call::Once => fleet.tools[0].url,
    }
}

fn name(call: Call) -> &'static str {
    match call {
        Call::Idempotent => "plain-idempotent",
        Call::Once => "plain-once",
        Call::Chat => "chat",
    }
}

impl Counts {
    fn new() -> eyre::Result<Counts> {
        Ok(Counts {
            latency: Histogram::new(3)?,
            failed: 0,
            unsent: 0,
        })
    }

    fn way(self) -> Way {
        let [p50_us, p95_us, p99_us] =
            [0.50, 0.95, 0.99].map(|share| self.latency.value_at_quantile(share));
        Way {
            p50_us,
            p95_us,
            p99_us,
            answered: self.latency.len(),
            failed: self.failed,
            unsent: self.unsent,
        }
    }
}
