//! Rate and burst count across the whole fleet, whatever happens to the owner of a bucket.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coord::id::Shard;
use holds::audit;
use holds::audit::Audit;
use holds::booking::Bookings;
use holds::booking::what;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use holds::object::customer_object;
use rstest::rstest;
use serde_json::json;

/// Requests a second.
const RATE: f64 = 5.0;
const BURST: u32 = 40;
/// Between two requests of the customer over its rate.
const INTERVAL: Duration = Duration::from_millis(12);
/// Between two requests of the customer within its rate.
const MODEST_INTERVAL: Duration = Duration::from_millis(100);
const BEFORE: Duration = Duration::from_millis(1_500);
const OUTAGE: Duration = Duration::from_millis(3_500);
const AFTER: Duration = Duration::from_millis(2_500);

/// What happens to the owner of the bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Dies,
    Pauses,
    CutOff,
    Rolled,
    DiesInOutage,
}

#[rstest]
#[case::dies(Fault::Dies)]
#[case::pauses_past_its_lease(Fault::Pauses)]
#[case::is_cut_off(Fault::CutOff)]
#[case::is_rolled(Fault::Rolled)]
#[case::dies_while_the_platform_is_down(Fault::DiesInOutage)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_window_sees_more_than_burst_and_rate_when_the_owner(
    #[case] fault: Fault,
) -> eyre::Result<()> {
    let plan = Plan {
        engines: 0,
        tools: 2,
        slots: 200,
        work_ms: 1,
        customers: vec!["large", "small"],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let limits = json!([customer_object("large", RATE, BURST)]);
    fleet.change(limits, json!([])).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let greedy = bookings(&fleet, "large");
    let modest = bookings(&fleet, "small");
    let senders = [
        tokio::spawn(hammer(greedy.clone(), "greedy", INTERVAL, stop.clone())),
        tokio::spawn(hammer(
            modest.clone(),
            "modest",
            MODEST_INTERVAL,
            stop.clone(),
        )),
    ];
    tokio::time::sleep(BEFORE).await;
    let shard = Shard::of_customer(&"large".parse()?);
    let owner = fleet.primary(shard).await?;
    strike(&mut fleet, fault, owner).await?;
    tokio::time::sleep(OUTAGE).await;
    mend(&mut fleet, fault, owner).await?;
    // A node without the platform may go on while every member promises not to change the map.
    if fault != Fault::CutOff {
        fleet.wait_replaced(shard, owner).await?;
    }
    tokio::time::sleep(AFTER).await;
    let before = ran(&fleet, &greedy.audit)?.len();
    let goes_on = async || ran(&fleet, &greedy.audit).is_ok_and(|ran| ran.len() > before);
    fleet
        .until("the customer gets its rate again", goes_on)
        .await?;
    stop.store(true, Ordering::Relaxed);
    for sender in senders {
        sender.await?;
    }

    let ran = ran(&fleet, &greedy.audit)?;
    assert!(ran.len() > BURST as usize, "the bucket was never emptied");
    assert_eq!(over(&ran), Vec::<String>::new());
    let executions = executions(&fleet)?;
    greedy.audit.check(&executions)?;
    let tally = modest.audit.check(&executions)?;
    let unknown = refusals(&modest.audit, "outcome-unknown");
    let lost = (fault == Fault::Rolled).then_some(unknown);
    assert_eq!(lost.unwrap_or(0), 0, "a planned stop loses no outcome");
    let limited = refusals(&modest.audit, "rate-limited");
    let refused = tally.requests - tally.answered;
    eprintln!("{fault:?}: within the rate {tally:?}: {refused} not answered at the first try");
    assert_eq!(limited, 0, "refused for its rate though within it");
    Ok(())
}

fn bookings(fleet: &Fleet, customer: &str) -> Bookings {
    let patience = Duration::from_secs(4);
    let callers = (0..3).map(|entry| fleet.caller(entry, customer).leaving_after(patience));
    Bookings::new(callers.collect())
}

/// Sends a request every interval through one entry after another, each just once.
async fn hammer(bookings: Bookings, name: &str, interval: Duration, stop: Arc<AtomicBool>) {
    let mut sent = Vec::new();
    let mut tick = tokio::time::interval(interval);
    while !stop.load(Ordering::Relaxed) {
        tick.tick().await;
        let bookings = bookings.clone();
        let number = sent.len();
        let name = format!("{name}-{number}");
        sent.push(tokio::spawn(
            async move { bookings.send(&name, number).await },
        ));
    }
    for sent in sent {
        let _ = sent.await;
    }
}

async fn strike(fleet: &mut Fleet, fault: Fault, owner: usize) -> eyre::Result<()> {
    match fault {
        Fault::Dies => fleet.entries[owner].process.kill(),
        Fault::Pauses => fleet.entries[owner].process.freeze(),
        Fault::CutOff => fleet.cut_off(owner),
        Fault::Rolled => fleet.entries[owner].process.terminate(),
        Fault::DiesInOutage => {
            fleet.faults(fleet.store, json!({ "down": true })).await?;
            fleet.entries[owner].process.kill();
        }
    }
    Ok(())
}

async fn mend(fleet: &mut Fleet, fault: Fault, owner: usize) -> eyre::Result<()> {
    match fault {
        Fault::Dies => fleet.restart_entry(owner)?,
        Fault::Pauses => fleet.entries[owner].process.thaw(),
        Fault::CutOff => fleet.connect(owner),
        Fault::Rolled => {
            let limit = Duration::from_secs(20);
            let status = fleet.entries[owner].process.wait(limit).await?;
            eyre::ensure!(status.success(), "a planned stop ends well: {status}");
            fleet.restart_entry(owner)?;
        }
        Fault::DiesInOutage => {
            fleet.faults(fleet.store, json!({})).await?;
            fleet.restart_entry(owner)?;
        }
    }
    Ok(())
}

/// When a request was sent and when it started at its target, Unix milliseconds.
#[derive(Debug, Clone, Copy)]
struct Span {
    sent_ms: u64,
    ran_ms: u64,
}

fn executions(fleet: &Fleet) -> eyre::Result<Vec<audit::Execution>> {
    let mut executions = Vec::new();
    for tool in &fleet.tools {
        executions.extend(audit::executions(&fleet.folder, &tool.name)?);
    }
    Ok(executions)
}

/// Executions of an audit's requests; a try still under way counts as sent when it ran.
fn ran(fleet: &Fleet, audit: &Audit) -> eyre::Result<Vec<Span>> {
    let tries = audit.tries();
    let sent: BTreeMap<&str, u64> = tries
        .iter()
        .map(|(what, tries)| (what.as_str(), tries[0].sent_ms))
        .collect();
    let greedy = what("greedy");
    let ran = executions(fleet)?;
    let ran = ran.iter().filter(|ran| ran.what.starts_with(&greedy));
    let spans = ran.map(|ran| Span {
        sent_ms: sent.get(ran.what.as_str()).copied().unwrap_or(ran.at_ms),
        ran_ms: ran.at_ms,
    });
    Ok(spans.collect())
}

/// Windows with more than burst and rate allow.
///
/// A request takes its token after it was sent and before it runs, so those sent and run within a
/// window took their tokens within it, however long each was on its way.
fn over(ran: &[Span]) -> Vec<String> {
    let mut over = Vec::new();
    for from in ran.iter().map(|span| span.sent_ms) {
        let mut inside: Vec<u64> = ran
            .iter()
            .filter(|span| span.sent_ms >= from)
            .map(|span| span.ran_ms)
            .collect();
        inside.sort_unstable();
        for (index, until) in inside.iter().enumerate() {
            // Both clocks readings are whole milliseconds.
            let window = (until - from + 1) as f64 / 1_000.0;
            let allowed = f64::from(BURST) + RATE * window;
            let count = index + 1;
            if count as f64 > allowed {
                over.push(format!(
                    "{count} in {window} s from {from}, allowed {allowed}"
                ));
            }
        }
    }
    over
}

fn refusals(audit: &Audit, code: &str) -> usize {
    let tries = audit.tries();
    let tries = tries.values().flatten();
    tries.filter(|tried| tried.answer.code() == code).count()
}
