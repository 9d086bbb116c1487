//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::Duration;
use std::time::Instant;

use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use holds::object::named_key_object;
use holds::object::presented;
use http::Method;
use serde_json::Value;
use serde_json::json;

/// An accepted change is in force everywhere within this time.
const BOUND: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(25);

fn plan() -> Plan {
    Plan {
        engines: 0,
        ..Plan::default()
    }
}

/// Whether an entry takes a key; none when it can't say at present.
async fn takes(fleet: &Fleet, entry: usize, key: &str) -> Option<bool> {
    let address = fleet.entries[entry].callers;
    let caller = Caller::new(fleet.http.clone(), address, &presented(key));
    let caller = caller.leaving_after(Duration::from_millis(500));
    let answer = caller.call(Method::GET, "/v1/models", "").await;
    match answer.code() {
        "unauthorized" => Some(false),
        _ if answer.ok() => Some(true),
        _ => None,
    }
}

/// Checks that a key is known, or not, at every one of these entries within the bound, and stays so.
async fn in_force(fleet: &Fleet, entries: &[usize], key: &str, wanted: bool) -> eyre::Result<()> {
    let end = Instant::now() + BOUND;
    for entry in entries {
        while takes(fleet, *entry, key).await != Some(wanted) {
            eyre::ensure!(
                Instant::now() < end,
                "{key} at entry {entry}: not {wanted} in time"
            );
            tokio::time::sleep(POLL).await;
        }
    }
    for _ in 0..10 {
        for entry in entries {
            let taken = takes(fleet, *entry, key).await;
            eyre::ensure!(taken != Some(!wanted), "{key} at entry {entry}: reverted");
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

fn give(number: u64, key: &str, customer: &str) -> Value {
    json!({ "number": number, "set": [named_key_object(customer, key)], "remove": [] })
}

fn withdraw(number: u64, key: &str) -> Value {
    json!({ "number": number, "set": [], "remove": [{ "key": key }] })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_tickets_end_in_the_highest_one_everywhere() -> eyre::Result<()> {
    let fleet = Fleet::start(&plan()).await?;
    let admins = [0, 1, 2].map(|entry| fleet.entries[entry].admin);
    // One number, two contents: just one is accepted.
    let (one, two) = (give(100, "one", "large"), give(100, "two", "large"));
    let (first, second) = tokio::join!(
        fleet.put_ticket(admins[0], &one),
        fleet.put_ticket(admins[1], &two),
    );
    let accepted = [first.0, second.0]
        .iter()
        .filter(|status| **status == 200)
        .count();
    assert_eq!(accepted, 1, "{first:?} {second:?}");
    in_force(&fleet, &[0, 1, 2], "one", first.0 == 200).await?;
    in_force(&fleet, &[0, 1, 2], "two", second.0 == 200).await?;

    // Many numbers on one object, in any order: the highest accepted one holds.
    let puts = [207, 203, 209, 201, 208, 202, 206, 204, 205].map(|number| {
        let change = match number % 2 {
            1 => withdraw(number, "race"),
            _ => give(number, "race", "large"),
        };
        let admin = admins[number as usize % 3];
        let fleet = &fleet;
        async move { (number, fleet.put_ticket(admin, &change).await.0) }
    });
    let puts = futures::future::join_all(puts).await;
    let highest = puts.iter().filter(|(_, status)| *status == 200).max();
    let (highest, _) = highest.ok_or_else(|| eyre::eyre!("none accepted: {puts:?}"))?;
    assert_eq!(*highest, 209, "the highest number is accepted: {puts:?}");
    in_force(&fleet, &[0, 1, 2], "race", false).await?;
    let late = fleet
        .put_ticket(admins[1], &give(150, "race", "large"))
        .await;
    in_force(&fleet, &[0, 1, 2], "race", false).await?;
    assert!(late.0 != 0, "an answer is given: {late:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_whose_reply_was_lost_is_in_force_or_not_accepted() -> eyre::Result<()> {
    let fleet = Fleet::start(&plan()).await?;
    let admin = fleet.entries[0].admin;
    let lost = json!({ "lose_replies": 2, "lose_prefix": "ticket/" });
    fleet.faults(fleet.store, lost).await?;
    let change = give(100, "lost", "large");
    let (status, reply) = fleet.put_ticket(admin, &change).await;
    if status != 200 {
        let (again, reply) = fleet.put_ticket(fleet.entries[1].admin, &change).await;
        assert_eq!(again, 200, "sent again: {reply}");
    }
    in_force(&fleet, &[0, 1, 2], "lost", true).await?;
    eprintln!("with its reply lost: {status} {reply}");

    fleet.faults(fleet.store, json!({ "down": true })).await?;
    let change = give(101, "outage", "large");
    let (status, reply) = fleet.put_ticket(admin, &change).await;
    assert!(
        status != 200,
        "accepted while the platform is down: {reply}"
    );
    fleet.faults(fleet.store, json!({ "slow_ms": 200 })).await?;
    let end = Instant::now() + Duration::from_secs(20);
    while fleet.put_ticket(admin, &change).await.0 != 200 {
        assert!(Instant::now() < end, "never accepted on a slow platform");
        tokio::time::sleep(POLL).await;
    }
    in_force(&fleet, &[0, 1, 2], "outage", true).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_reverts_by_restart_stale_reads_or_a_node_that_comes_back() -> eyre::Result<()> {
    let mut fleet = Fleet::start(&plan()).await?;
    let admin = fleet.entries[0].admin;
    assert_eq!(
        fleet.put_ticket(admin, &give(100, "old", "large")).await.0,
        200
    );
    in_force(&fleet, &[0, 1, 2], "old", true).await?;
    // Entry 2 is cut off, entry 1 paused, while the key is withdrawn.
    fleet.cut_off(2);
    fleet.entries[1].process.freeze();
    let (status, reply) = fleet.put_ticket(admin, &withdraw(101, "old")).await;
    assert_eq!(status, 200, "{reply}");
    in_force(&fleet, &[0], "old", false).await?;
    tokio::time::sleep(BOUND).await;
    fleet.entries[1].process.thaw();
    fleet.connect(2);
    in_force(&fleet, &[0, 1, 2], "old", false).await?;

    // Reads show the store before the withdrawal, and an entry starts anew.
    let stale = json!({ "stale_reads_ms": 25_000 });
    fleet.faults(fleet.store, stale).await?;
    fleet.entries[1].process.kill();
    fleet.restart_entry(1)?;
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        for entry in 0..3 {
            let taken = takes(&fleet, entry, "old").await;
            assert!(taken != Some(true), "entry {entry} reverted on stale reads");
        }
        tokio::time::sleep(POLL).await;
    }
    fleet.faults(fleet.store, json!({ "down": true })).await?;
    fleet.entries[2].process.kill();
    fleet.restart_entry(2)?;
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        let taken = takes(&fleet, 2, "old").await;
        assert!(
            taken != Some(true),
            "an entry that starts in an outage reverted"
        );
        tokio::time::sleep(POLL).await;
    }
    fleet.faults(fleet.store, json!({})).await?;
    fleet.wait_healthy().await?;
    in_force(&fleet, &[0, 1, 2], "old", false).await?;
    in_force(&fleet, &[0, 1, 2], "large-key", true).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_started_in_an_outage_takes_its_configuration_from_its_peers() -> eyre::Result<()>
{
    let mut fleet = Fleet::start(&plan()).await?;
    let admin = fleet.entries[0].admin;
    assert_eq!(
        fleet
            .put_ticket(admin, &give(100, "newest", "large"))
            .await
            .0,
        200
    );
    in_force(&fleet, &[0, 1, 2], "newest", true).await?;
    fleet.faults(fleet.store, json!({ "down": true })).await?;
    fleet.entries[2].process.kill();
    fleet.restart_entry(2)?;
    // It holds no lease in the outage, so its dump tells, not its callers.
    let known = async || {
        let state = fleet.state(fleet.entries[2].admin).await;
        state.is_ok_and(|state| state["config"]["newest"] == json!(100))
    };
    fleet
        .until("the new process knows the newest state", known)
        .await?;
    Ok(())
}
