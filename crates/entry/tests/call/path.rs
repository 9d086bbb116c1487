//! Calls from a caller to a target and back, through the owner of their shard.

use std::time::Duration;

use http::Method;
use serde_json::json;

use crate::fleet::Fleet;
use crate::fleet::chat;
use crate::fleet::within;

#[tokio::test(flavor = "multi_thread")]
async fn a_program_runs_its_turns_in_order_and_leaves_no_cache() {
    let fleet = Fleet::start().await;
    let program = fleet.open("large").await;
    let first = fleet.turn(0, "large", &program, 1, "first").await;
    assert_eq!(first.status, 200, "{first:?}");
    let second = fleet.turn(1, "large", &program, 2, "second").await;
    assert_eq!(second.status, 200, "{second:?}");
    let again = fleet.turn(1, "large", &program, 1, "first").await;
    assert_eq!(
        again.content(),
        first.content(),
        "a repeat gets the recorded answer"
    );
    let other = fleet.turn(0, "large", &program, 2, "other").await;
    assert_eq!((other.status, other.ran()), (409, "no"), "{other:?}");
    let path = format!("/v1/programs/{program}/history");
    let history = fleet.call(1, "large", Method::GET, &path, &[], "").await;
    let said: Vec<_> = history.body["messages"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let said: Vec<_> = said
        .iter()
        .filter_map(|message| message["content"].as_str())
        .collect();
    assert_eq!(said, ["first", first.content(), "second", second.content()]);
    let path = format!("/v1/programs/{program}/children");
    let slice = json!({ "tokens": 10_000, "calls": 10, "wall_ms": 60_000 });
    let child = fleet.post(1, "large", &path, slice).await;
    let child = child.body["program"].as_str().expect("a child").to_owned();
    let turn = fleet.turn(0, "large", &child, 1, "child").await;
    assert_eq!(turn.status, 200, "{turn:?}");
    assert!(!fleet.engine.cached().is_empty());
    let ended = fleet
        .post(
            0,
            "large",
            &format!("/v1/programs/{program}/end"),
            json!({}),
        )
        .await;
    assert_eq!(ended.status, 200, "{ended:?}");
    within("no cache is held", async || {
        fleet.engine.cached().is_empty()
    })
    .await;
    let late = fleet.turn(0, "large", &program, 3, "late").await;
    assert_eq!((late.code(), late.ran()), ("ended", "no"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_early_step_waits_for_the_one_before() {
    let fleet = Fleet::start().await;
    let program = fleet.open("large").await;
    let (second, first) = tokio::join!(fleet.turn(1, "large", &program, 2, "b"), async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.turn(0, "large", &program, 1, "a").await
    });
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{first:?} {second:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn another_customer_is_not_told_that_a_program_exists() {
    let fleet = Fleet::start().await;
    let program = fleet.open("large").await;
    let theirs = fleet.turn(0, "small", &program, 1, "hello").await;
    let none = fleet.turn(0, "small", "p-none", 1, "hello").await;
    assert_eq!((theirs.status, theirs.code()), (404, "not-found"));
    assert_eq!(theirs.body["message"], none.body["message"]);
    let path = format!("/v1/programs/{program}");
    let shown = fleet.call(1, "small", Method::GET, &path, &[], "").await;
    assert_eq!(shown.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_named_request_runs_once_for_each_customer() {
    let fleet = Fleet::start().await;
    let name = [("idempotency-key", "order-1")];
    let path = "/r/book/orders?x=1";
    let book = |entry, customer, body| fleet.call(entry, customer, Method::POST, path, &name, body);
    let first = book(0, "large", "one").await;
    assert_eq!(first.status, 200, "{first:?}");
    let again = book(1, "large", "one").await;
    assert_eq!(again.text, first.text);
    let other = book(0, "large", "two").await;
    assert_eq!((other.code(), other.ran()), ("conflict", "no"));
    let theirs = book(1, "small", "one").await;
    assert_ne!(theirs.text, first.text);
    assert_eq!(fleet.executions(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_ends_in_done_and_no_target_sees_the_key() {
    let fleet = Fleet::start().await;
    let body = chat("hello", true).to_string();
    let path = "/v1/chat/completions";
    let reply = fleet.call(0, "large", Method::POST, path, &[], body).await;
    assert!(reply.text.ends_with("data: [DONE]\n\n"), "{reply:?}");
    let leak = [("x-note", "tk.large-key.large-secret")];
    let leaked = fleet
        .call(0, "large", Method::POST, "/r/book/x", &leak, "")
        .await;
    assert_eq!((leaked.status, leaked.ran()), (400, "no"));
    let public = fleet
        .call(1, "", Method::GET, "/r/open/page", &[], "")
        .await;
    assert_eq!(public.status, 200, "{public:?}");
    let private = fleet
        .call(1, "", Method::GET, "/r/book/page", &[], "")
        .await;
    assert_eq!(private.status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_over_the_rate_is_told_when_to_come_back() {
    let fleet = Fleet::start().await;
    let ask = |entry| fleet.post(entry, "slow", "/v1/chat/completions", chat("hello", false));
    let first = ask(0).await;
    assert_eq!(first.status, 200, "{first:?}");
    let second = ask(1).await;
    assert_eq!(
        (second.status, second.code(), second.ran()),
        (429, "rate-limited", "no")
    );
    assert!(
        second
            .retry_after
            .is_some_and(|wait| (1..=2).contains(&wait)),
        "{second:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_at_every_entry() {
    let mut fleet = Fleet::start().await;
    fleet
        .change(json!([]), json!([{ "key": "large-key" }]))
        .await;
    for entry in 0..2 {
        let path = "/v1/chat/completions";
        let reply = fleet.post(entry, "large", path, chat("hello", false)).await;
        assert_eq!((reply.status, reply.ran()), (401, "no"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_refusal() {
    let fleet = Fleet::start().await;
    let path = "/v1/chat/completions";
    let send = |body: String| fleet.call(0, "large", Method::POST, path, &[], body);
    let malformed = send("{".to_owned()).await;
    assert_eq!((malformed.status, malformed.code()), (400, "bad-request"));
    let large = send("x".repeat(200_000)).await;
    assert_eq!((large.status, large.code()), (413, "too-large"));
    let model = json!({ "model": "m9", "messages": [{ "role": "user" }] });
    let unknown = send(model.to_string()).await;
    assert_eq!((unknown.status, unknown.code()), (404, "not-found"));
    let nobody = fleet.call(0, "nobody", Method::POST, path, &[], "{}").await;
    assert_eq!((nobody.status, nobody.code()), (401, "unauthorized"));
    let route = fleet
        .call(0, "large", Method::GET, "/r/none/x", &[], "")
        .await;
    assert_eq!((route.status, route.code()), (404, "not-found"));
}
