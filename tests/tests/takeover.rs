//! What a death of an owner costs callers that stay within their rate: time, not refusals.

use std::time::Duration;

use coord::id::Shard;
use futures::future::join_all;
use holds::fleet::Fleet;
use holds::plan::Plan;

/// Long enough that a new owner comes well after the usual wait for a token.
const LEASE_MS: u64 = 3_000;
/// Between two requests, well within the rate.
const INTERVAL: Duration = Duration::from_millis(50);
const REQUESTS: usize = 200;
/// Requests before the owner dies.
const BEFORE: usize = 20;

#[tokio::test(flavor = "multi_thread")]
async fn a_customer_within_its_rate_is_not_refused_while_its_owner_is_replaced() -> eyre::Result<()>
{
    let plan = Plan {
        engines: 0,
        tools: 2,
        lease_ms: LEASE_MS,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let owner = fleet.primary(Shard::of_customer(&"large".parse()?)).await?;
    let callers = [1, 2].map(|step| fleet.caller((owner + step) % 3, "large"));
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        if number == BEFORE {
            fleet.entries[owner].process.kill();
        }
        let caller = callers[number % callers.len()].clone();
        answers.push(tokio::spawn(async move {
            caller
                .plain("look", &format!("survey-{number}"), "{}")
                .await
        }));
        tokio::time::sleep(INTERVAL).await;
    }
    let answers = join_all(answers).await;
    let refused = answers.iter().flatten().filter(|answer| !answer.ok());
    let refused: Vec<String> = refused.map(|answer| answer.body.to_string()).collect();
    assert_eq!(refused, Vec::<String>::new());
    Ok(())
}
