//! Each caller gets the whole answer to its own request, or is told that it broke off.

use std::time::Duration;

use fakes::generation;
use holds::caller::Answer;
use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use http::Method;
use serde_json::Value;
use serde_json::json;

const MAX_TOKENS: u32 = 24;
const CHATS: usize = 24;

/// The answer that an engine gives to a message on its own.
fn expected(content: &str) -> String {
    let asked = json!([{ "role": "user", "content": content }]);
    generation::text(&asked, u64::from(MAX_TOKENS))
}

/// Many customers' chats at once, through all entries.
async fn chats(fleet: &Fleet, round: &str) -> eyre::Result<Vec<(String, Answer)>> {
    let mut sent = Vec::new();
    for number in 0..CHATS {
        let customer = ["large", "small"][number % 2];
        let caller = fleet.caller(number % 3, customer);
        let content = format!("{round} {number}");
        sent.push(tokio::spawn(async move {
            let answer = caller.chat(&content, MAX_TOKENS).await;
            (content, answer)
        }));
    }
    let mut answers = Vec::new();
    for sent in sent {
        answers.push(sent.await?);
    }
    Ok(answers)
}

async fn set(fleet: &Fleet, faults: Value) -> eyre::Result<()> {
    for engine in &fleet.engines {
        fleet.faults(engine.url, faults.clone()).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_crossed_and_broken_streams_reach_their_own_callers_whole() -> eyre::Result<()> {
    let plan = Plan {
        tools: 0,
        decode_rate: 200,
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let faults = json!({ "late_ms": 50, "cross_streams": 6, "break_streams": 6 });
    set(&fleet, faults).await?;
    for (content, answer) in chats(&fleet, "resumable").await? {
        assert!(answer.ok(), "{content}: {answer:?}");
        assert_eq!(answer.text, expected(&content), "{content}");
    }
    let mut resumed = 0;
    for engine in &fleet.engines {
        resumed += fleet.stats(engine.url).await?["counts"]["resumed"]
            .as_u64()
            .unwrap_or(0);
    }
    assert!(resumed > 0, "no stream was broken and resumed");

    set(&fleet, json!({ "break_streams": 4, "no_resume": true })).await?;
    let mut broken = 0;
    for (content, answer) in chats(&fleet, "lost").await? {
        match answer.ok() {
            true => assert_eq!(answer.text, expected(&content), "{content}"),
            false => {
                broken += 1;
                assert_ne!(answer.ran(), "no", "{content}: {answer:?}");
                let text = expected(&content);
                let part = answer.status != 200 || text.starts_with(&answer.text);
                assert!(part, "{content}: {answer:?}");
            }
        }
    }
    assert!(broken > 0, "no stream broke");
    set(&fleet, json!({})).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_through_a_dying_entry_never_end_looking_complete() -> eyre::Result<()> {
    let plan = Plan {
        tools: 0,
        decode_rate: 30,
        slots: 32,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let running = async {
        tokio::time::sleep(Duration::from_millis(250)).await;
    };
    let sent: Vec<_> = (0..CHATS)
        .map(|number| {
            let caller = fleet.caller(number % 3, "large");
            let content = format!("dying {number}");
            tokio::spawn(async move {
                let answer = caller.chat(&content, MAX_TOKENS).await;
                (content, answer)
            })
        })
        .collect();
    running.await;
    fleet.entries[1].process.kill();
    let mut whole = 0;
    for sent in sent {
        let (content, answer) = sent.await?;
        let text = expected(&content);
        match answer.ok() {
            true => {
                whole += 1;
                assert_eq!(answer.text, text, "{content}");
            }
            false => {
                let part = answer.status != 200 || text.starts_with(&answer.text);
                assert!(part, "{content}: {answer:?}");
                assert_ne!(answer.ran(), "no", "{content}: {answer:?}");
            }
        }
    }
    assert!(whole > 0, "no stream outlived the entry");
    Ok(())
}

/// A whole answer that was recorded is given again, byte for byte, and the request doesn't run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_given_again_from_the_record() -> eyre::Result<()> {
    let plan = Plan {
        engines: 1,
        work_ms: 300,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let name = "lost-answer";
    let leaving = fleet
        .caller(0, "small")
        .leaving_after(Duration::from_millis(100));
    let left = leaving.plain("book", name, "{}").await;
    assert_eq!(left.status, 0, "the caller left too late: {left:?}");
    let caller = |entry: usize| -> Caller { fleet.caller(entry, "small") };
    let first = caller(1).plain("book", name, "{}").await;
    assert!(first.ok(), "{first:?}");
    let second = caller(2).plain("book", name, "{}").await;
    assert_eq!((second.status, &second.body), (first.status, &first.body));
    let other = caller(2).plain("book", name, "{\"other\":true}").await;
    assert_eq!(other.code(), "conflict", "{other:?}");

    let named = |entry: usize| caller(entry).with("idempotency-key", "chat-name");
    let chat = named(0).chat("again", MAX_TOKENS).await;
    let owner = fleet.primary(coord::id::Shard::of_request(
        &"small".parse()?,
        &"chat-name".parse()?,
    ));
    let owner = owner.await?;
    fleet.entries[owner].process.kill();
    let shard = coord::id::Shard::of_request(&"small".parse()?, &"chat-name".parse()?);
    fleet.wait_replaced(shard, owner).await?;
    let other = (owner + 1) % 3;
    let named = fleet
        .caller(other, "small")
        .with("idempotency-key", "chat-name");
    let again = named.chat("again", MAX_TOKENS).await;
    assert_eq!(again.text, expected("again"), "{again:?}");
    assert_eq!(chat.text, again.text);
    let ran = holds::audit::executions(&fleet.folder, "engine-1")?;
    assert_eq!(ran.len(), 1, "{ran:?}");
    let models = fleet
        .caller(other, "small")
        .call(Method::GET, "/v1/models", "")
        .await;
    assert!(models.ok());
    Ok(())
}
