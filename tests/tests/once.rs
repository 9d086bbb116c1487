//! At most once, and "not run" is true: every process on the way fails at every step of dispatch.

use std::time::Duration;

use coord::id::Shard;
use holds::audit;
use holds::audit::Tally;
use holds::audit::Try;
use holds::booking::Bookings;
use holds::booking::is_final;
use holds::caller::Answer;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use rstest::rstest;
use serde_json::json;

const BOOKINGS: usize = 90;
const INTERVAL: Duration = Duration::from_millis(10);
/// Bookings are then done, running, queued, on their way and yet to come.
const FAULT_AFTER: Duration = Duration::from_millis(500);
/// Longer than a lease.
const OUTAGE: Duration = Duration::from_millis(2_500);

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    CallersLeave,
    EntryDies,
    EntryPauses,
    EntryCutOff,
    SidecarDies,
    TargetDies,
    SidecarCutOff,
    EntryAndSidecarDie,
    EntryDiesInOutage,
    RepliesLostAndEntryDies,
}

#[rstest]
#[case::callers_leave(Fault::CallersLeave)]
#[case::entry_dies(Fault::EntryDies)]
#[case::entry_pauses_past_its_lease(Fault::EntryPauses)]
#[case::entry_is_cut_off(Fault::EntryCutOff)]
#[case::sidecar_dies(Fault::SidecarDies)]
#[case::target_dies(Fault::TargetDies)]
#[case::sidecar_is_cut_off(Fault::SidecarCutOff)]
#[case::entry_and_sidecar_die(Fault::EntryAndSidecarDie)]
#[case::entry_dies_while_the_platform_is_down(Fault::EntryDiesInOutage)]
#[case::entry_dies_while_platform_replies_are_lost(Fault::RepliesLostAndEntryDies)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_runs_at_most_once_and_not_run_is_true_when(
    #[case] fault: Fault,
) -> eyre::Result<()> {
    let plan = Plan {
        engines: 0,
        tools: 2,
        slots: 4,
        work_ms: 100,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let callers = (0..3).map(|entry| {
        let caller = fleet.caller(entry, "large");
        match fault {
            Fault::CallersLeave => caller.leaving_after(Duration::from_millis(120)),
            _ => caller.leaving_after(Duration::from_secs(8)),
        }
    });
    let bookings = Bookings::new(callers.collect());
    let started = tokio::spawn({
        let bookings = bookings.clone();
        async move { bookings.start(BOOKINGS, INTERVAL).await }
    });
    tokio::time::sleep(FAULT_AFTER).await;
    strike(&mut fleet, fault).await?;
    tokio::time::sleep(OUTAGE).await;
    mend(&mut fleet, fault).await?;

    let mut open = Vec::new();
    for (number, booking) in started.await?.into_iter().enumerate() {
        let answer = booking.await?;
        if !is_final(&answer) {
            open.push((number, answer));
        }
    }
    assert!(open.is_empty(), "no final outcome: {open:?}");
    resend_all(&bookings).await;
    let tally = check(&fleet, &bookings)?;
    eprintln!("{fault:?}: {tally:?}");
    let tries = bookings.audit.tries().into_iter();
    let changed: Vec<_> = tries.filter(|(_, tries)| has_changed(tries)).collect();
    assert!(changed.is_empty(), "a final outcome changed: {changed:?}");
    assert_eq!(tally.requests, BOOKINGS);
    assert_eq!(
        tally.answered + tally.unknown,
        BOOKINGS,
        "an outcome changed"
    );
    if fault == Fault::CallersLeave {
        assert_eq!(
            tally.answered, BOOKINGS,
            "a caller's leaving alone loses nothing"
        );
    }
    Ok(())
}

/// A request that the target is sure to have seen is never sent again, by whichever owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_outcome_stays_final_at_the_next_owner() -> eyre::Result<()> {
    let plan = Plan {
        engines: 0,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let caller = |entry| {
        fleet
            .caller(entry, "large")
            .leaving_after(Duration::from_secs(8))
    };
    let bookings = Bookings::new((0..3).map(caller).collect());
    let hang = json!({ "hang_on": "" });
    fleet.faults(fleet.tools[0].url, hang).await?;
    let shard = Shard::of_request(&"large".parse()?, &"once".parse()?);
    let owner = fleet.primary(shard).await?;
    let other = (owner + 1) % 3;
    let waiting = tokio::spawn({
        let bookings = bookings.clone();
        async move { bookings.book("once", other).await }
    });
    let folder = fleet.folder.clone();
    let ran = async || audit::executions(&folder, "tool-1").is_ok_and(|ran| ran.len() == 1);
    fleet.until("the booking runs", ran).await?;
    fleet.entries[owner].process.kill();
    fleet.tools[0].sidecar.kill();
    fleet.wait_replaced(shard, owner).await?;
    fleet.tools[0].fake.kill();
    fleet.restart_target(0, true)?;
    fleet.restart_sidecar(0, true)?;
    fleet.wait_serving(fleet.tools[0].admin).await?;

    waiting.await?;
    let answer = bookings.book("once", other).await;
    assert_eq!(answer.code(), "outcome-unknown", "{answer:?}");
    assert_eq!(answer.ran(), "unknown", "{answer:?}");
    assert_eq!(answer.retry_after, None, "final: {answer:?}");
    let tally = check(&fleet, &bookings)?;
    assert_eq!(tally.unknown, 1);
    Ok(())
}

async fn strike(fleet: &mut Fleet, fault: Fault) -> eyre::Result<()> {
    match fault {
        Fault::CallersLeave => {}
        Fault::EntryDies => fleet.entries[1].process.kill(),
        Fault::EntryPauses => fleet.entries[1].process.freeze(),
        Fault::EntryCutOff => fleet.cut_off(1),
        Fault::SidecarDies => fleet.tools[0].sidecar.kill(),
        Fault::TargetDies => fleet.tools[0].fake.kill(),
        Fault::SidecarCutOff => fleet.tools[0].inward.cut(),
        Fault::EntryAndSidecarDie => {
            fleet.entries[1].process.kill();
            fleet.tools[0].sidecar.kill();
        }
        Fault::EntryDiesInOutage => {
            fleet.faults(fleet.store, json!({ "down": true })).await?;
            fleet.entries[1].process.kill();
        }
        Fault::RepliesLostAndEntryDies => {
            fleet
                .faults(fleet.store, json!({ "lose_replies": 20 }))
                .await?;
            fleet.entries[1].process.kill();
        }
    }
    Ok(())
}

async fn mend(fleet: &mut Fleet, fault: Fault) -> eyre::Result<()> {
    match fault {
        Fault::CallersLeave => {}
        Fault::EntryDies => fleet.restart_entry(1)?,
        Fault::EntryPauses => fleet.entries[1].process.thaw(),
        Fault::EntryCutOff => fleet.connect(1),
        Fault::SidecarDies => fleet.restart_sidecar(0, true)?,
        Fault::TargetDies => fleet.restart_target(0, true)?,
        Fault::SidecarCutOff => fleet.tools[0].inward.heal(),
        Fault::EntryAndSidecarDie => {
            fleet.restart_sidecar(0, true)?;
            fleet.restart_entry(1)?;
        }
        Fault::EntryDiesInOutage | Fault::RepliesLostAndEntryDies => {
            fleet.faults(fleet.store, json!({})).await?;
            fleet.restart_entry(1)?;
        }
    }
    Ok(())
}

/// Whether a caller was told an answer and an unknown outcome.
fn has_changed(tries: &[Try]) -> bool {
    let told = |holds: fn(&Answer) -> bool| tries.iter().any(|tried| holds(&tried.answer));
    told(Answer::ok) && told(|answer| answer.code() == "outcome-unknown")
}

/// Every caller asks once more, at another entry, when all is well again.
async fn resend_all(bookings: &Bookings) {
    let sent = (0..BOOKINGS).map(|number| {
        let bookings = bookings.clone();
        tokio::spawn(async move { bookings.book(&format!("b{number}"), number + 1).await })
    });
    for again in sent.collect::<Vec<_>>() {
        let _ = again.await;
    }
}

fn check(fleet: &Fleet, bookings: &Bookings) -> eyre::Result<Tally> {
    let mut executions = Vec::new();
    for tool in &fleet.tools {
        executions.extend(audit::executions(&fleet.folder, &tool.name)?);
    }
    bookings.audit.check(&executions)
}
