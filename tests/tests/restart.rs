//! All entries away at once: what was acknowledged is read back from the platform.

use std::time::Duration;

use holds::caller::Answer;
use holds::fleet::Fleet;
use holds::fleet::PATIENCE;
use holds::plan::Plan;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Time for the last records to reach the platform before a crash.
const JOURNAL_LAG: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Planned,
    Crash,
}

#[rstest]
#[case::as_planned(End::Planned)]
#[case::by_a_crash(End::Crash)]
#[tokio::test(flavor = "multi_thread")]
async fn programs_survive_the_end_of_all_entries(#[case] end: End) -> eyre::Result<()> {
    // After a planned stop nobody waits out the promises, however long they may hold.
    let outage_ms = match end {
        End::Planned => 300_000,
        End::Crash => 3_000,
    };
    let plan = Plan {
        engines: 1,
        tools: 0,
        entry: json!({ "lease": { "outage_ms": outage_ms }, "limits": { "grace_ms": 200 } }),
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    fleet.wait_replicated().await?;
    let mut told = Vec::new();
    for number in 0..6 {
        let caller = fleet.caller(number % 3, "large");
        let budget = json!({ "tokens": 10_000, "calls": 20, "wall_ms": 600_000 });
        let program = caller.open(budget).await?;
        let answer = caller.turn(&program, 1, "first", 20).await;
        assert!(answer.ok(), "{answer:?}");
        told.push((program, answer.text));
    }
    stop_all(&mut fleet, end).await?;
    for entry in 0..fleet.entries.len() {
        fleet.restart_entry(entry)?;
    }
    fleet.wait_healthy().await?;

    for (number, (program, answer)) in told.iter().enumerate() {
        let caller = fleet.caller((number + 1) % 3, "large");
        let shown = async || caller.history(program).await;
        fleet
            .until("the shard is read back", async || shown().await.ok())
            .await?;
        assert_eq!(
            messages(&shown().await),
            json!([
                { "role": "user", "content": "first" },
                { "role": "assistant", "content": answer },
            ])
        );
        let next = caller.turn(program, 2, "second", 20).await;
        assert!(next.ok(), "{next:?}");
    }
    Ok(())
}

async fn stop_all(fleet: &mut Fleet, end: End) -> eyre::Result<()> {
    match end {
        End::Planned => {
            fleet
                .entries
                .iter()
                .for_each(|entry| entry.process.terminate());
            for entry in &mut fleet.entries {
                let status = entry.process.wait(PATIENCE).await?;
                assert!(status.success(), "{}: {status}", entry.name);
            }
        }
        End::Crash => {
            tokio::time::sleep(JOURNAL_LAG).await;
            fleet
                .entries
                .iter_mut()
                .for_each(|entry| entry.process.kill());
        }
    }
    Ok(())
}

fn messages(history: &Answer) -> Value {
    history.body["messages"].clone()
}
