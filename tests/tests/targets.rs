//! Targets that crash, fail or keep what they should forget.

use std::time::Duration;

use coord::id::Program;
use coord::id::Shard;
use holds::audit;
use holds::caller::Answer;
use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use http::Method;
use serde_json::Value;
use serde_json::json;

const POISON: &str = "poison";
const MAX_TOKENS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(250);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_is_quarantined_after_two_crashes_and_its_companions_are_not()
-> eyre::Result<()> {
    const SENT: usize = 10;
    const COMPANIONS: usize = 9;
    let plan = Plan {
        engines: 3,
        tools: 0,
        decode_rate: 40,
        slots: 16,
        crash_on: Some(POISON),
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let companions: Vec<_> = (0..COMPANIONS)
        .map(|number| {
            let callers = [0, 1, 2].map(|entry| fleet.caller(entry, "small"));
            let content = format!("companion {number}");
            tokio::spawn(async move { persist(&callers, &content).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut answers = Vec::new();
    for number in 0..SENT {
        let caller = fleet.caller(number % 3, "large");
        answers.push(caller.chat(POISON, MAX_TOKENS).await);
        for index in 0..3 {
            if !fleet.engines[index].fake.running() {
                fleet.restart_target(index, false)?;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    let asked = json!([{ "role": "user", "content": POISON }]);
    let poison = fakes::generation::name(&asked);
    let mut crashes = 0;
    for engine in &fleet.engines {
        let ran = audit::executions(&fleet.folder, &engine.name)?;
        crashes += ran.iter().filter(|ran| ran.what == poison).count();
    }
    eprintln!("{crashes} crashes");
    assert!(crashes >= 1, "nothing crashed");
    assert!(crashes <= 2, "{crashes} crashes, {answers:?}");
    let last = answers.last().ok_or_else(|| eyre::eyre!("nothing sent"))?;
    assert_eq!(
        (last.code(), last.retry_after),
        ("quarantined", None),
        "{last:?}"
    );
    for companion in companions {
        let answer = companion.await?;
        assert!(answer.ok(), "an innocent companion: {answer:?}");
    }
    Ok(())
}

async fn persist(callers: &[Caller], content: &str) -> Answer {
    let mut answer = callers[0].chat(content, MAX_TOKENS).await;
    for number in 1..40 {
        if answer.ok() || answer.code() == "quarantined" {
            break;
        }
        tokio::time::sleep(PAUSE).await;
        answer = callers[number % callers.len()]
            .chat(content, MAX_TOKENS)
            .await;
    }
    answer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failing_targets_get_no_more_than_a_tenth_of_extra_load() -> eyre::Result<()> {
    const SENT: u64 = 300;
    let plan = Plan {
        engines: 0,
        tools: 3,
        slots: 64,
        ..Plan::default()
    };
    for faults in [
        json!({ "unavailable": 100_000 }),
        json!({ "lose_answers": 100_000 }),
    ] {
        let fleet = Fleet::start(&plan).await?;
        for tool in &fleet.tools {
            fleet.faults(tool.url, faults.clone()).await?;
        }
        let sent: Vec<_> = (0..SENT)
            .map(|number| {
                let caller = fleet.caller(number as usize % 3, "large");
                let caller = caller.with("teasellever-timeout-ms", "4000");
                let path = format!("/r/look/do/{number}");
                tokio::spawn(async move { caller.call(Method::POST, &path, "{}").await })
            })
            .collect();
        for sent in sent {
            let answer = sent.await?;
            assert!(!answer.ok(), "{answer:?}");
        }
        let mut arrived = 0;
        for tool in &fleet.tools {
            let counts = fleet.stats(tool.url).await?["counts"].clone();
            arrived += counts["turned_away"].as_u64().unwrap_or(0);
            arrived += counts["list"].as_array().map_or(0, Vec::len) as u64;
        }
        eprintln!("{faults}: {arrived} arrived of {SENT} sent");
        assert!(arrived >= SENT / 2, "{arrived} arrived of {SENT}");
        assert!(arrived <= SENT + SENT / 10, "{arrived} arrived of {SENT}");
    }
    Ok(())
}

/// Ended programs leave nothing in an engine, whatever was lost on the way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_hold_no_cache_of_ended_programs() -> eyre::Result<()> {
    let plan = Plan {
        engines: 2,
        tools: 0,
        entry: json!({ "limits": { "idle_ms": 4_000, "cache_hold_ms": 3_000 } }),
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let losses = json!({ "drop_events": true, "ignore_deletes": 2 });
    for engine in &fleet.engines {
        fleet.faults(engine.url, losses.clone()).await?;
    }
    let budget = json!({ "tokens": 10_000, "calls": 20, "wall_ms": 60_000 });
    let mut programs = Vec::new();
    for number in 0..8 {
        let caller = fleet.caller(number % 3, "large");
        let program = caller.open(budget.clone()).await?;
        for step in 1..=2 {
            let content = format!("step {step}");
            let answer = caller.turn(&program, step, &content, MAX_TOKENS).await;
            assert!(answer.ok(), "{answer:?}");
        }
        programs.push(program);
    }
    let held = cached(&fleet).await?;
    assert!(!held.is_empty(), "nothing was cached");
    // Ended in the usual way; while the sidecars hear nothing; while the owner dies; not at all.
    assert!(fleet.caller(0, "large").end(&programs[0]).await.ok());
    fleet.engines[0].inward.cut();
    fleet.engines[1].inward.cut();
    assert!(fleet.caller(1, "large").end(&programs[1]).await.ok());
    assert!(fleet.caller(1, "large").end(&programs[2]).await.ok());
    let owner = fleet.primary_of(&programs[3]).await?;
    let ending = fleet.caller((owner + 1) % 3, "large");
    let doomed = programs[3].clone();
    let ending = tokio::spawn(async move { ending.end(&doomed).await });
    tokio::time::sleep(Duration::from_millis(2)).await;
    fleet.entries[owner].process.kill();
    fleet.engines[0].inward.heal();
    fleet.engines[1].inward.heal();
    fleet.engines[0].sidecar.kill();
    fleet.restart_sidecar(0, false)?;
    let shard = Shard::of_program(&programs[3].parse::<Program>()?);
    fleet.wait_replaced(shard, owner).await?;
    ending.await?;
    let empty = async || cached(&fleet).await.is_ok_and(|cached| cached.is_empty());
    fleet
        .until("the engines' own listings are empty", empty)
        .await?;
    let other = fleet.caller((owner + 1) % 3, "large");
    for program in &programs {
        let step = other.turn(program, 3, "late", MAX_TOKENS).await;
        assert_eq!(step.code(), "ended", "{program}: {step:?}");
    }
    Ok(())
}

/// Programs that the engines themselves list.
async fn cached(fleet: &Fleet) -> eyre::Result<Vec<Value>> {
    let mut entries = Vec::new();
    for engine in &fleet.engines {
        let path = "/v1/cache";
        let (_, listing) = fleet
            .http
            .json(Method::GET, engine.url, path, "", &Value::Null)
            .await?;
        entries.extend(listing["entries"].as_array().cloned().unwrap_or_default());
    }
    Ok(entries)
}
