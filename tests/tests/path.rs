//! The whole path as separate processes, without failures.

use holds::fleet::Fleet;
use holds::fleet::Plan;
use serde_json::Value;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn a_program_with_a_tool_pause_and_a_sub_agent_runs_from_end_to_end() -> eyre::Result<()> {
    let fleet = Fleet::start(&Plan {
        engines: 2,
        tools: 1,
        ..Plan::default()
    })
    .await?;
    let caller = fleet.caller(0, "large");
    let program = caller
        .open(json!({ "tokens": 10_000, "calls": 20, "wall_ms": 60_000 }))
        .await?;

    let first = caller.turn(&program, 1, "first", 20).await;
    assert!(first.ok(), "{first:?}");
    let other_entry = fleet.caller(1, "large");
    let second = other_entry.turn(&program, 2, "second", 20).await;
    assert!(second.ok(), "{second:?}");
    let child = caller.child(
        &program,
        json!({ "tokens": 1_000, "calls": 5, "wall_ms": 30_000 }),
    );
    let child = child.await?;
    let sub = caller.turn(&child, 1, "sub-agent", 20).await;
    assert!(sub.ok(), "{sub:?}");

    let history = fleet.caller(2, "large").history(&program).await;
    let told = json!([
        { "role": "user", "content": "first" },
        { "role": "assistant", "content": first.text },
        { "role": "user", "content": "second" },
        { "role": "assistant", "content": second.text },
    ]);
    assert_eq!(history.body["messages"], told, "{history:?}");
    let ended = caller.end(&program).await;
    assert!(ended.ok(), "{ended:?}");

    let plain = fleet.caller(1, "small").plain("book", "van-7", "{}").await;
    assert!(plain.ok(), "{plain:?}");
    let stats = fleet.stats(fleet.tools[0].url).await?;
    assert_eq!(
        stats["counts"]["list"].as_array().map(Vec::len),
        Some(1),
        "{stats}"
    );
    assert_eq!(stats["counts"]["keys_seen"], json!([]));
    for engine in &fleet.engines {
        fleet
            .until("the program's cache is released", async || {
                let cache = "/v1/cache";
                let get = http::Method::GET;
                let listing = fleet
                    .http
                    .json(get, engine.url, cache, "", &Value::Null)
                    .await;
                listing.is_ok_and(|(_, listing)| listing["entries"] == json!([]))
            })
            .await?;
        assert_eq!(
            fleet.stats(engine.url).await?["counts"]["keys_seen"],
            json!([])
        );
    }
    Ok(())
}
