//! The main job on embedded defaults: both deployments at their sizes of today, as processes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use hdrhistogram::Histogram;
use holds::caller::Answer;
use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use serde_json::Value;
use serde_json::json;

/// Programs of each deployment.
const PROGRAMS: usize = 48;

/// Turns of each program.
const TURNS: u32 = 5;

/// Turns of each sub-agent.
const CHILD_TURNS: u32 = 2;

/// Pause of a program between turns, beside its tool call.
const PAUSE: Duration = Duration::from_millis(20);

const ANSWER_TOKENS: u32 = 60;

/// What one deployment's run gave.
#[derive(Debug)]
struct Summary {
    name: &'static str,
    finished: usize,
    faults: Vec<String>,
    calls: u64,
    latency: Histogram<u64>,
    elapsed: Duration,
}

/// Runs both deployments; whether all went as it must.
///
/// Errors: a process can't be started.
pub async fn run() -> eyre::Result<bool> {
    let wallpaper = deployment(
        "wallpaper-office",
        &["garching-1", "garching-2", "erding"],
        10,
        5,
    );
    let trakcija = deployment(
        "trakcija",
        &["ljubljana-1", "ljubljana-2", "ljubljana-3"],
        20,
        10,
    );
    let summaries = [wallpaper.await?, trakcija.await?];
    print(&summaries);
    Ok(summaries.iter().all(|summary| summary.faults.is_empty()))
}

async fn deployment(
    name: &'static str,
    data_centres: &[&'static str],
    engines: usize,
    tools: usize,
) -> eyre::Result<Summary> {
    let plan = Plan {
        data_centres: data_centres.to_vec(),
        customers: vec!["c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"],
        engines,
        tools,
        lease_ms: 6_000,
        ..Plan::default()
    };
    let bar = progress(name);
    bar.set_message("starting processes");
    let fleet = Fleet::start(&plan).await?;
    bar.set_message("running programs");
    let start = Instant::now();
    let runs = (0..PROGRAMS).map(|number| {
        let customer = plan.customers[number % plan.customers.len()];
        let callers = (0..fleet.entries.len())
            .map(|entry| fleet.caller(entry, customer))
            .collect();
        let bar = bar.clone();
        async move {
            let run = program(callers, number).await;
            bar.inc(1);
            run
        }
    });
    let runs = join_all(runs).await;
    let elapsed = start.elapsed();
    bar.set_message("checking targets");
    let mut faults = check(&fleet).await?;
    let mut latency = Histogram::new(3)?;
    let mut calls = 0;
    let mut finished = 0;
    for run in runs {
        match run {
            Ok((time, count)) => {
                finished += 1;
                calls += count;
                latency.record(time.as_millis() as u64)?;
            }
            Err(error) => faults.push(format!("{error:#}")),
        }
    }
    bar.finish_with_message("done");
    Ok(Summary {
        name,
        finished,
        faults,
        calls,
        latency,
        elapsed,
    })
}

/// Turns at changing entries, a tool call after each, a sub-agent, the history checked at the end.
async fn program(callers: Vec<Caller>, number: usize) -> eyre::Result<(Duration, u64)> {
    let start = Instant::now();
    let caller = |turn: u32| &callers[(number + turn as usize) % callers.len()];
    let budget = json!({ "tokens": 200_000, "calls": 100, "wall_ms": 300_000 });
    let program = caller(0).open(budget).await?;
    let mut told = Vec::new();
    for step in 1..=TURNS {
        let ask = format!("program {number} turn {step}");
        let answer = sound(caller(step).turn(&program, step, &ask, ANSWER_TOKENS).await)?;
        told.push(json!({ "role": "user", "content": ask }));
        told.push(json!({ "role": "assistant", "content": answer.text }));
        let route = if step % 2 == 0 { "look" } else { "book" };
        let request = format!("{program}-{step}");
        sound(caller(step + 1).plain(route, &request, "{}").await)?;
        tokio::time::sleep(PAUSE).await;
    }
    let slice = json!({ "tokens": 20_000, "calls": 10, "wall_ms": 60_000 });
    let child = caller(1).child(&program, slice).await?;
    for step in 1..=CHILD_TURNS {
        sound(
            caller(step)
                .turn(&child, step, &format!("child {step}"), ANSWER_TOKENS)
                .await,
        )?;
    }
    let history = sound(caller(2).history(&program).await)?;
    let history = history.body["messages"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    eyre::ensure!(
        history == told,
        "the history of {program} differs from what was told"
    );
    sound(caller(3).end(&program).await)?;
    Ok((start.elapsed(), u64::from(2 * TURNS + CHILD_TURNS)))
}

fn sound(answer: Answer) -> eyre::Result<Answer> {
    eyre::ensure!(
        answer.ok(),
        "{} {}: {}",
        answer.status,
        answer.code(),
        answer.body
    );
    Ok(answer)
}

/// What the targets saw: no key, no request twice, no cache left.
async fn check(fleet: &Fleet) -> eyre::Result<Vec<String>> {
    let mut faults = Vec::new();
    for target in fleet.engines.iter().chain(&fleet.tools) {
        let stats = fleet.stats(target.url).await?["counts"].clone();
        if stats["keys_seen"]
            .as_array()
            .is_none_or(|seen| !seen.is_empty())
        {
            faults.push(format!(
                "{} saw a caller's key: {}",
                target.name, stats["keys_seen"]
            ));
        }
    }
    for tool in &fleet.tools {
        let stats = fleet.stats(tool.url).await?["counts"].clone();
        let contents = stats["contents"].as_object().cloned().unwrap_or_default();
        let twice = contents
            .iter()
            .filter(|(_, count)| count.as_u64() > Some(1));
        faults.extend(twice.map(|(what, _)| format!("{} ran {what} more than once", tool.name)));
    }
    for engine in &fleet.engines {
        let empty = fleet.until("caches are released", async || {
            held(fleet, engine.url).await == 0
        });
        if let Err(error) = empty.await {
            faults.push(format!("{}: {error}", engine.name));
        }
    }
    Ok(faults)
}

/// Entries in an engine's own cache listing.
async fn held(fleet: &Fleet, engine: SocketAddr) -> usize {
    let listing = fleet
        .http
        .json(http::Method::GET, engine, "/v1/cache", "", &Value::Null)
        .await;
    let count = listing
        .ok()
        .and_then(|(_, body)| body["entries"].as_array().map(Vec::len));
    count.unwrap_or(usize::MAX)
}

fn progress(name: &str) -> ProgressBar {
    let style = ProgressStyle::with_template("{prefix:18} {bar:30} {pos}/{len} {msg}");
    let bar = ProgressBar::new(PROGRAMS as u64).with_prefix(name.to_owned());
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn print(summaries: &[Summary]) {
    println!("deployment          programs  calls  p50 ms  p95 ms  seconds  faults");
    for summary in summaries {
        let [p50, p95] = [0.5, 0.95].map(|q| summary.latency.value_at_quantile(q));
        println!(
            "{:18} {:>4}/{:<4} {:>6} {:>7} {:>7} {:>8.2} {:>7}",
            summary.name,
            summary.finished,
            PROGRAMS,
            summary.calls,
            p50,
            p95,
            summary.elapsed.as_secs_f64(),
            summary.faults.len(),
        );
    }
    let faults = summaries.iter().flat_map(|summary| &summary.faults);
    faults.for_each(|fault| println!("fault: {fault}"));
}
