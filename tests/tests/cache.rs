//! The cache of a program whose owner has died is its new owner's to keep and to release.

use std::time::Duration;
use std::time::Instant;

use coord::id::Program;
use coord::id::Shard;
use holds::fleet::Fleet;
use holds::plan::Plan;
use http::Method;
use serde_json::Value;
use serde_json::json;

/// Longest time from a program's end to its cache's release, without a loss.
const RELEASE_BOUND: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn a_cache_is_released_at_the_end_though_its_owner_died_before() -> eyre::Result<()> {
    let fleet = Fleet::start(&Plan {
        engines: 1,
        tools: 0,
        ..Plan::default()
    })
    .await?;
    fleet.wait_replicated().await?;
    let budget = json!({ "tokens": 10_000, "calls": 20, "wall_ms": 60_000 });
    let program = fleet.caller(0, "large").open(budget).await?;
    let owner = fleet.primary_of(&program).await?;
    let caller = fleet.caller((owner + 1) % 3, "large");
    let turn = caller.turn(&program, 1, "first", 20).await;
    assert!(turn.ok(), "{turn:?}");
    assert_eq!(cached(&fleet).await, json!([program]));

    let mut fleet = fleet;
    fleet.entries[owner].process.kill();
    let shard = Shard::of_program(&program.parse::<Program>()?);
    fleet.wait_replaced(shard, owner).await?;
    let ended = caller.end(&program).await;
    assert!(ended.ok(), "{ended:?}");
    let end = Instant::now();
    fleet
        .until("the cache is released", async || {
            cached(&fleet).await == json!([])
        })
        .await?;
    assert!(
        end.elapsed() < RELEASE_BOUND,
        "released after {:?}",
        end.elapsed()
    );
    Ok(())
}

/// Programs that the engine lists.
async fn cached(fleet: &Fleet) -> Value {
    let engine = fleet.engines[0].url;
    let reply = fleet
        .http
        .json(Method::GET, engine, "/v1/cache", "", &Value::Null)
        .await;
    let entries = reply
        .map(|(_, listing)| listing["entries"].clone())
        .unwrap_or_default();
    let names = entries.as_array().into_iter().flatten();
    names.map(|entry| entry["program"].clone()).collect()
}
