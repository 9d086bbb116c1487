//! Keys: whom a request runs for, that no target sees one, and when a withdrawn one stops working.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fakes::stats::unix_ms;
use holds::audit;
use holds::booking::Bookings;
use holds::booking::what;
use holds::caller::Answer;
use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::MODEL;
use holds::fleet::Plan;
use holds::object::named_key_object;
use holds::object::presented;
use http::Method;
use serde_json::json;

/// A withdrawn key stops working within this time of the ticket's acceptance.
const WITHDRAWAL_BOUND_MS: u64 = 3_000;
const INTERVAL: Duration = Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_target_sees_a_key_in_any_part_of_a_request_or_retry() -> eyre::Result<()> {
    let fleet = Fleet::start(&Plan::default()).await?;
    let key = presented("large-key");
    let bearer = format!("Bearer {key}");
    let tool = fleet.tools[0].url;
    for target in fleet.engines.iter().chain(&fleet.tools) {
        fleet
            .faults(target.url, json!({ "unavailable": 2 }))
            .await?;
    }
    let mut answered = 0;
    for entry in 0..3 {
        let large = fleet.caller(entry, "large");
        let nobody = Caller::new(fleet.http.clone(), fleet.entries[entry].callers, "");
        let headers = [
            ("x-api-key", key.as_str()),
            ("cookie", &format!("key={key}")),
            ("x-forwarded-authorization", &bearer),
            ("proxy-authorization", &bearer),
            ("idempotency-key", &key),
            ("connection", "x-key"),
            ("x-key", &key),
        ];
        let mut callers = vec![large.clone(), nobody.clone()];
        for (name, value) in headers {
            callers.push(large.with(name, value));
            callers.push(nobody.with(name, value));
        }
        for caller in callers {
            for route in ["book", "look", "open"] {
                let bodies = ["{}".to_owned(), json!({ "key": key }).to_string()];
                for body in bodies {
                    let path = format!("/r/{route}/do/it");
                    answered += usize::from(caller.call(Method::POST, &path, body).await.ok());
                }
                let path = format!("/r/{route}/do/it?key={key}");
                answered += usize::from(caller.call(Method::GET, &path, "").await.ok());
                let path = format!("/r/{route}/{key}");
                answered += usize::from(caller.call(Method::GET, &path, "").await.ok());
            }
            answered += usize::from(caller.chat("no key here", 10).await.ok());
            answered += usize::from(caller.chat(&format!("my key is {key}"), 10).await.ok());
        }
    }
    assert!(answered > 30, "only {answered} were answered");
    for target in fleet.engines.iter().chain(&fleet.tools) {
        let counts = fleet.stats(target.url).await?["counts"].clone();
        assert_eq!(counts["keys_seen"], json!([]), "at {}", target.name);
        let ran = counts["list"].as_array().map_or(0, Vec::len);
        assert!(
            ran > 0 || target.url != tool,
            "nothing reached {}",
            target.name
        );
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_needs_a_key_in_force_except_on_open_routes() -> eyre::Result<()> {
    let fleet = Fleet::start(&Plan {
        engines: 1,
        ..Plan::default()
    })
    .await?;
    let wrong = presented("large-key").replace("large", "small");
    let keys = [
        "".to_owned(),
        "nonsense".to_owned(),
        presented("no-such-key"),
        wrong,
    ];
    for entry in 0..3 {
        for key in &keys {
            let caller = Caller::new(fleet.http.clone(), fleet.entries[entry].callers, key);
            let refused = [
                caller.chat("hello", 10).await,
                caller.plain("book", "no-key", "{}").await,
                caller.plain("look", "no-key", "{}").await,
                caller.call(Method::GET, "/v1/models", "").await,
                caller.call(Method::POST, "/v1/programs", "{}").await,
            ];
            for answer in refused {
                assert_eq!(
                    (answer.status, answer.ran()),
                    (401, "no"),
                    "{key}: {answer:?}"
                );
            }
            let path = "/r/open/do/public";
            let answer = caller.call(Method::POST, path, "{}").await;
            assert!(answer.ok(), "an open route: {answer:?}");
        }
    }
    for target in fleet.engines.iter().chain(&fleet.tools) {
        let ran = audit::executions(&fleet.folder, &target.name)?;
        let public = |ran: &audit::Execution| ran.what == "POST /do/public";
        assert!(ran.iter().all(public), "{}: {ran:?}", target.name);
    }
    Ok(())
}

/// Open connections at a sound entry, one that is paused and one that is cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_within_seconds_at_every_entry() -> eyre::Result<()> {
    let plan = Plan {
        engines: 0,
        tools: 2,
        slots: 64,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    fleet
        .change(json!([named_key_object("large", "leak")]), json!([]))
        .await?;
    let callers = (0..3).map(|entry| {
        let address = fleet.entries[entry].callers;
        let caller = Caller::new(fleet.http.clone(), address, &presented("leak"));
        caller.leaving_after(Duration::from_secs(6))
    });
    let leaked = Bookings::new(callers.collect());
    for entry in 0..3 {
        let works = async || leaked.send(&format!("before-{entry}"), entry).await.ok();
        fleet.until("the key works", works).await?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let thief = tokio::spawn(steal(leaked.clone(), stop.clone()));
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.entries[2].process.freeze();
    fleet.cut_off(1);
    fleet.change(json!([]), json!([{ "key": "leak" }])).await?;
    let bound_ms = unix_ms() + WITHDRAWAL_BOUND_MS;
    tokio::time::sleep(Duration::from_millis(WITHDRAWAL_BOUND_MS)).await;
    fleet.entries[2].process.thaw();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    fleet.connect(1);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    stop.store(true, Ordering::Relaxed);
    thief.await?;

    let mut executions = Vec::new();
    for tool in &fleet.tools {
        executions.extend(audit::executions(&fleet.folder, &tool.name)?);
    }
    let before = executions.iter().filter(|ran| ran.at_ms < bound_ms).count();
    assert!(before > 10, "the key never worked: {before}");
    let late: Vec<_> = executions
        .iter()
        .filter(|ran| ran.at_ms >= bound_ms)
        .collect();
    assert_eq!(late.len(), 0, "{late:?}");
    leaked.audit.check(&executions)?;
    let entries = [0, 1, 2].map(|entry| fleet.caller(entry, "large"));
    for (number, caller) in entries.iter().enumerate() {
        let name = format!("sound-{number}");
        let works = async || caller.plain("book", &name, "{}").await.ok();
        fleet
            .until("the customer's other key still works", works)
            .await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_queued_request_does_not_start_after_its_key_is_withdrawn() -> eyre::Result<()> {
    let plan = Plan {
        engines: 0,
        slots: 1,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    fleet
        .change(json!([named_key_object("large", "leak")]), json!([]))
        .await?;
    let leaked = Caller::new(
        fleet.http.clone(),
        fleet.entries[1].callers,
        &presented("leak"),
    );
    let leaked = Bookings::new(vec![leaked]);
    let works = async || leaked.send("before", 0).await.ok();
    fleet.until("the key works", works).await?;
    let tool = fleet.tools[0].url;
    fleet.faults(tool, json!({ "late_ms": 6_000 })).await?;
    let long = fleet.caller(0, "small");
    let long = tokio::spawn(async move { long.plain("book", "long", "{}").await });
    let admin = fleet.tools[0].admin;
    let depth = async |field: &str, wanted: u64| {
        let state = fleet.state(admin).await;
        state.is_ok_and(|state| state["queue"][field] == json!(wanted))
    };
    fleet
        .until("the slot is taken", async || depth("running", 1).await)
        .await?;
    let queued = tokio::spawn({
        let leaked = leaked.clone();
        async move { leaked.send("queued", 0).await }
    });
    fleet
        .until("a request waits", async || depth("queued", 1).await)
        .await?;
    fleet.faults(tool, json!({})).await?;
    fleet.change(json!([]), json!([{ "key": "leak" }])).await?;
    let answer = queued.await?;
    assert_eq!(
        (answer.code(), answer.ran()),
        ("unauthorized", "no"),
        "{answer:?}"
    );
    let long: Answer = long.await?;
    assert!(long.ok(), "what had started goes on: {long:?}");
    let executions = audit::executions(&fleet.folder, "tool-1")?;
    leaked.audit.check(&executions)?;
    assert!(executions.iter().all(|ran| ran.what != what("queued")));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_request_name_under_two_customers_gives_each_its_own_answer() -> eyre::Result<()> {
    let fleet = Fleet::start(&Plan::default()).await?;
    let entries = [0, 1, 2, 0, 1, 2];
    let mut sent = Vec::new();
    for entry in entries {
        for customer in ["large", "small"] {
            let caller = fleet
                .caller(entry, customer)
                .with("idempotency-key", "same");
            let path = format!("/r/book/do/{customer}");
            sent.push((
                customer,
                tokio::spawn(async move { caller.call(Method::POST, &path, "{}").await }),
            ));
        }
    }
    for (customer, sent) in sent {
        let answer = sent.await?;
        assert!(answer.ok(), "{customer}: {answer:?}");
        assert_eq!(
            answer.body["path"],
            json!(format!("/do/{customer}")),
            "{answer:?}"
        );
    }
    let other = fleet.caller(2, "small").with("idempotency-key", "same");
    let answer = other.call(Method::POST, "/r/book/do/large", "{}").await;
    assert!(
        !answer.ok(),
        "another request under a name in use: {answer:?}"
    );
    let executions = audit::executions(&fleet.folder, "tool-1")?;
    assert_eq!(executions.len(), 2, "{executions:?}");
    let models = fleet
        .caller(0, "small")
        .call(Method::GET, "/v1/models", "")
        .await;
    assert_eq!(models.body["data"][0]["id"], json!(MODEL));
    Ok(())
}

/// Uses a key through all entries until told to stop, each name once.
async fn steal(bookings: Bookings, stop: Arc<AtomicBool>) {
    let mut sent = Vec::new();
    let mut tick = tokio::time::interval(INTERVAL);
    while !stop.load(Ordering::Relaxed) {
        tick.tick().await;
        let bookings = bookings.clone();
        let number = sent.len();
        let name = format!("stolen-{number}");
        sent.push(tokio::spawn(
            async move { bookings.send(&name, number).await },
        ));
    }
    for sent in sent {
        let _ = sent.await;
    }
}
