//! A program's calls run in order, its history is its own and lasts, its budget holds.

use std::time::Duration;

use coord::id::Program;
use coord::id::Shard;
use fakes::generation;
use holds::audit;
use holds::caller::Answer;
use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::Plan;
use holds::object::presented;
use serde_json::Value;
use serde_json::json;

const MAX_TOKENS: u32 = 20;
const STEPS: u32 = 6;
const TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(250);

fn plan() -> Plan {
    Plan {
        engines: 2,
        tools: 0,
        ..Plan::default()
    }
}

fn budget() -> Value {
    json!({ "tokens": 100_000, "calls": 100, "wall_ms": 120_000 })
}

/// A program's conversation as the engine must have been asked.
#[derive(Debug, Default)]
struct Conversation(Vec<Value>);

impl Conversation {
    /// Adds a turn; returns the answer that an engine gives to the whole history.
    fn turn(&mut self, content: &str) -> String {
        self.0.push(json!({ "role": "user", "content": content }));
        let text = generation::text(&self.json(), u64::from(MAX_TOKENS));
        self.0.push(json!({ "role": "assistant", "content": text }));
        text
    }

    fn json(&self) -> Value {
        Value::Array(self.0.clone())
    }
}

/// Sends a turn through one entry after another until it is answered.
async fn persist(callers: &[Caller], program: &str, step: u32, content: &str) -> Answer {
    let mut answer = callers[0].turn(program, step, content, MAX_TOKENS).await;
    for number in 1..TRIES {
        if answer.ok() {
            break;
        }
        tokio::time::sleep(PAUSE).await;
        let caller = &callers[number % callers.len()];
        answer = caller.turn(program, step, content, MAX_TOKENS).await;
    }
    answer
}

async fn history(callers: &[Caller], program: &str) -> Value {
    let mut answer = callers[0].history(program).await;
    for number in 1..TRIES {
        if answer.ok() {
            break;
        }
        tokio::time::sleep(PAUSE).await;
        answer = callers[number % callers.len()].history(program).await;
    }
    answer.body["messages"].clone()
}

fn callers(fleet: &Fleet, customer: &str) -> Vec<Caller> {
    let patience = Duration::from_secs(8);
    let entries = 0..fleet.entries.len();
    let callers = entries.map(|entry| fleet.caller(entry, customer).leaving_after(patience));
    callers.collect()
}

/// Names of what the engines ran, in the order of its start.
fn ran(fleet: &Fleet) -> eyre::Result<Vec<String>> {
    let mut executions = Vec::new();
    for engine in &fleet.engines {
        executions.extend(audit::executions(&fleet.folder, &engine.name)?);
    }
    executions.sort_by_key(|execution| execution.at_ms);
    Ok(executions
        .into_iter()
        .map(|execution| execution.what)
        .collect())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn steps_sent_twice_early_and_crossed_run_in_order_and_once() -> eyre::Result<()> {
    let fleet = Fleet::start(&plan()).await?;
    let callers = callers(&fleet, "large");
    let program = callers[0].open(budget()).await?;
    let mut sent = Vec::new();
    // The last step first, each at two entries.
    for step in (1..=STEPS).rev() {
        for place in 0..2 {
            let caller = callers[(step as usize + place) % callers.len()].clone();
            let program = program.clone();
            let content = format!("content of step {step}");
            sent.push((
                step,
                tokio::spawn(
                    async move { caller.turn(&program, step, &content, MAX_TOKENS).await },
                ),
            ));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut conversation = Conversation::default();
    let mut wanted = Vec::new();
    let texts: Vec<String> = (1..=STEPS)
        .map(|step| {
            let mut asked = conversation.json();
            let content = format!("content of step {step}");
            let message = json!({ "role": "user", "content": content });
            asked.as_array_mut().expect("an array").push(message);
            wanted.push(generation::name(&asked));
            conversation.turn(&content)
        })
        .collect();
    for (step, sent) in sent {
        let answer = sent.await?;
        assert!(answer.ok(), "step {step}: {answer:?}");
        assert_eq!(answer.text, texts[step as usize - 1], "step {step}");
    }
    assert_eq!(history(&callers, &program).await, conversation.json());
    assert_eq!(ran(&fleet)?, wanted, "each step once, in order");

    let stale = callers[0]
        .turn(&program, 2, "another content", MAX_TOKENS)
        .await;
    assert!(!stale.ok() && stale.ran() == "no", "{stale:?}");
    assert_eq!(ran(&fleet)?, wanted, "a refused step doesn't run");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn programs_go_on_in_order_when_their_owner_dies_between_turns() -> eyre::Result<()> {
    let mut fleet = Fleet::start(&plan()).await?;
    let callers = callers(&fleet, "large");
    let mut programs = Vec::new();
    for _ in 0..6 {
        programs.push((callers[0].open(budget()).await?, Conversation::default()));
    }
    for step in 1..=STEPS {
        let content = format!("step {step}");
        for (program, conversation) in &mut programs {
            let text = conversation.turn(&content);
            let answer = persist(&callers, program, step, &content).await;
            assert!(answer.ok(), "{program} step {step}: {answer:?}");
            assert_eq!(answer.text, text, "{program} step {step}");
        }
        if step % 2 == 0 {
            let owner = fleet.primary_of(&programs[0].0).await?;
            let shard = Shard::of_program(&programs[0].0.parse::<Program>()?);
            fleet.entries[owner].process.kill();
            fleet.wait_replaced(shard, owner).await?;
            fleet.restart_entry(owner)?;
            fleet.wait_serving(fleet.entries[owner].admin).await?;
            fleet.wait_replicated().await?;
        }
    }
    for (program, conversation) in &programs {
        assert_eq!(
            history(&callers, program).await,
            conversation.json(),
            "{program}"
        );
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_turns_survive_their_primary_dying_in_an_outage() -> eyre::Result<()> {
    let mut fleet = Fleet::start(&plan()).await?;
    let large = callers(&fleet, "large");
    let small = callers(&fleet, "small");
    let first = large[0].open(budget()).await?;
    let second = small[1].open(budget()).await?;
    let mut told = Conversation::default();
    let mut other = Conversation::default();
    for step in 1..=2 {
        let content = format!("step {step}");
        told.turn(&content);
        other.turn(&content);
        let answer = persist(&large, &first, step, &content).await;
        assert!(answer.ok(), "{answer:?}");
        let answer = persist(&small, &second, step, &content).await;
        assert!(answer.ok(), "{answer:?}");
    }
    let owner = fleet.primary_of(&first).await?;
    fleet.faults(fleet.store, json!({ "down": true })).await?;
    let text = told.turn("told in the outage");
    let answer = large[owner]
        .turn(&first, 3, "told in the outage", MAX_TOKENS)
        .await;
    fleet.entries[owner].process.kill();
    assert!(answer.ok(), "the members answer each other: {answer:?}");
    assert_eq!(answer.text, text);
    fleet.faults(fleet.store, json!({})).await?;

    let text = told.turn("after it");
    let answer = persist(&large, &first, 4, "after it").await;
    assert_eq!(answer.text, text, "{answer:?}");
    let text = other.turn("after it");
    let answer = persist(&small, &second, 3, "after it").await;
    assert_eq!(answer.text, text, "{answer:?}");
    assert_eq!(history(&large, &first).await, told.json());
    assert_eq!(history(&small, &second).await, other.json());
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_without_a_second_copy_is_not_acknowledged() -> eyre::Result<()> {
    let mut fleet = Fleet::start(&plan()).await?;
    let callers = callers(&fleet, "large");
    let program = callers[0].open(budget()).await?;
    let shard = Shard::of_program(&program.parse::<Program>()?);
    let mut told = Conversation::default();
    let text = told.turn("first");
    let answer = persist(&callers, &program, 1, "first").await;
    assert_eq!(answer.text, text, "{answer:?}");
    let owner = fleet.primary(shard).await?;
    let standby = fleet.standby(shard).await?;
    fleet.faults(fleet.store, json!({ "down": true })).await?;
    fleet.entries[standby].process.freeze();
    let caller = callers[owner].with("teasellever-timeout-ms", "3000");
    let alone = caller.turn(&program, 2, "second", MAX_TOKENS).await;
    assert!(!alone.ok(), "acknowledged with one copy: {alone:?}");
    fleet.entries[owner].process.kill();
    fleet.entries[standby].process.thaw();
    fleet.faults(fleet.store, json!({})).await?;
    let text = told.turn("second");
    let answer = persist(&callers, &program, 2, "second").await;
    assert_eq!(answer.text, text, "{answer:?}");
    assert_eq!(history(&callers, &program).await, told.json());
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sub_agents_racing_for_the_last_tokens_stay_within_the_budget() -> eyre::Result<()> {
    const TOKENS: u64 = 900;
    const CALLS: u64 = 30;
    let plan = Plan {
        decode_rate: 200,
        ..plan()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let callers = callers(&fleet, "large");
    let whole = json!({ "tokens": TOKENS, "calls": CALLS, "wall_ms": 60_000 });
    let program = callers[0].open(whole).await?;
    let owner = fleet.primary_of(&program).await?;
    let mut agents = Vec::new();
    // Together the slices are more than the budget.
    for agent in 0..12 {
        let callers = callers.clone();
        let program = program.clone();
        agents.push(tokio::spawn(async move {
            let caller = &callers[agent % callers.len()];
            let slice = json!({ "tokens": TOKENS / 6, "calls": CALLS / 6, "wall_ms": 60_000 });
            let Ok(child) = caller.child(&program, slice).await else {
                return;
            };
            let mut step = 1;
            for number in agent..agent + TRIES {
                let caller = &callers[number % callers.len()];
                let answer = caller.turn(&child, step, "race", MAX_TOKENS).await;
                match answer.code() {
                    "budget" | "ended" => return,
                    _ if answer.ok() => step += 1,
                    _ => tokio::time::sleep(PAUSE).await,
                }
            }
        }));
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    fleet.entries[owner].process.kill();
    let shard = Shard::of_program(&program.parse::<Program>()?);
    fleet.wait_replaced(shard, owner).await?;
    for agent in agents {
        agent.await?;
    }
    let (mut tokens, mut calls) = (0, 0);
    for engine in &fleet.engines {
        let stats = fleet.stats(engine.url).await?;
        let counts = &stats["counts"];
        let count = |name: &str| counts[name].as_u64().unwrap_or_default();
        tokens += count("prefilled_tokens") + count("cached_tokens") + count("completion_tokens");
        calls += counts["list"].as_array().map_or(0, Vec::len) as u64;
    }
    eprintln!("of {TOKENS} tokens {tokens} were used, of {CALLS} calls {calls}");
    assert!(calls > 0, "nothing ran");
    assert!(tokens <= TOKENS, "{tokens} tokens of {TOKENS}");
    assert!(calls <= CALLS, "{calls} calls of {CALLS}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_looping_program_and_one_with_a_hanging_tool_are_ended() -> eyre::Result<()> {
    let plan = Plan { tools: 1, ..plan() };
    let fleet = Fleet::start(&plan).await?;
    let caller = fleet.caller(0, "large");
    let program = caller.open(budget()).await?;
    let mut step = 0;
    let last = loop {
        step += 1;
        let answer = caller.turn(&program, step, "again", MAX_TOKENS).await;
        if !answer.ok() {
            break answer;
        }
        assert!(step < 100, "a loop runs on to its budget");
    };
    assert!(matches!(last.code(), "looped" | "budget"), "{last:?}");
    assert_eq!(
        (last.ran(), last.retry_after),
        ("no", None),
        "final: {last:?}"
    );
    let again = caller
        .turn(&program, step, "something else", MAX_TOKENS)
        .await;
    assert_eq!(again.code(), "ended", "{again:?}");

    fleet
        .faults(fleet.tools[0].url, json!({ "hang_on": "" }))
        .await?;
    let short = json!({ "tokens": 10_000, "calls": 10, "wall_ms": 2_000 });
    let program = caller.open(short).await?;
    let turn = caller
        .with("teasellever-program", &program)
        .with("teasellever-step", "1")
        .with("teasellever-timeout-ms", "1000");
    let hung = turn.call(http::Method::POST, "/r/look/do/hang", "{}").await;
    assert!(
        !hung.ok() && hung.status != 0,
        "a hanging tool gets an answer: {hung:?}"
    );
    let later = caller.with("teasellever-timeout-ms", "500");
    let ended = async || {
        let late = later.turn(&program, 2, "late", MAX_TOKENS).await;
        matches!(late.code(), "budget" | "ended")
    };
    fleet.until("the program has ended", ended).await?;
    let first = caller.turn(&program, 1, "late", MAX_TOKENS).await;
    assert!(
        matches!(first.code(), "budget" | "ended" | "conflict"),
        "{first:?}"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_customers_program_is_answered_like_none() -> eyre::Result<()> {
    let fleet = Fleet::start(&plan()).await?;
    let large = fleet.caller(0, "large");
    let program = large.open(budget()).await?;
    let answer = large.turn(&program, 1, "secret", MAX_TOKENS).await;
    assert!(answer.ok(), "{answer:?}");
    let missing = program.chars().rev().collect::<String>();
    for entry in 0..3 {
        let small = fleet.caller(entry, "small");
        let answers = async |program: &str| {
            [
                small.turn(program, 1, "secret", MAX_TOKENS).await,
                small.turn(program, 2, "secret", MAX_TOKENS).await,
                small.history(program).await,
                small.end(program).await,
                small
                    .call(http::Method::GET, &format!("/v1/programs/{program}"), "")
                    .await,
                small
                    .call(
                        http::Method::POST,
                        &format!("/v1/programs/{program}/children"),
                        budget().to_string(),
                    )
                    .await,
            ]
            .map(|answer| {
                let text = answer.body.to_string();
                (answer.status, text.replace(program, "PROGRAM"))
            })
        };
        let of_another = answers(&program).await;
        assert_eq!(of_another, answers(&missing).await);
        assert!(
            of_another.iter().all(|(status, _)| *status == 404),
            "{of_another:?}"
        );
    }
    // Another customer's secret under one's own key's name is no key.
    let forged = presented("small-key").replace("small", "large");
    let forged = Caller::new(fleet.http.clone(), fleet.entries[0].callers, &forged);
    assert_eq!(forged.history(&program).await.code(), "unauthorized");
    let history = large.history(&program).await;
    assert_eq!(history.body["messages"].as_array().map(Vec::len), Some(2));
    Ok(())
}
