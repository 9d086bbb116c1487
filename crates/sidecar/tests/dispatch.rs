//! Lifecycle of attempts: at-most-once execution, fencing, time limits and complete answers.

mod support;

use std::time::Duration;

use fakes::engine;
use fakes::engine::Engine;
use fakes::fault::Faults;
use fakes::tool;
use fakes::tool::Tool;
use rstest::rstest;
use sidecar::daemon::Daemon;
use sidecar::settings::Kind;
use support::*;
use wire::Ran;
use wire::Start;
use wire::cancel_reply::State;
use wire::dispatch_message::Message;

fn slow_tool(ms: u64) -> tool::Settings {
    tool::Settings {
        work: Duration::from_millis(ms),
        ..tool::Settings::default()
    }
}

/// Starts a service with one slot, taken by attempt `a1`; each request takes `work_ms`.
async fn sidecar_with_occupied_slot(
    work_ms: u64,
    queue: usize,
) -> (Tool, Daemon, Client, PendingDispatch) {
    let tool = tool(slow_tool(work_ms)).await;
    let mut settings = settings(tool.address, Kind::Plain);
    settings.limits.slots = 1;
    settings.limits.queue = queue;
    let (daemon, client) = sidecar(settings).await;
    let mut running = client.begin(plain("a1", "POST", "/fee", "1")).await;
    running.wait_until_started().await;
    (tool, daemon, client, running)
}

async fn slow_engine(decode_rate: u64) -> Engine {
    engine(engine::Settings {
        decode_rate,
        ..Default::default()
    })
    .await
}

#[tokio::test]
async fn each_caller_receives_the_answer_to_its_own_messages() {
    let engine = engine(Default::default()).await;
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    let runs = (0..20).map(|n| {
        let client = client.clone();
        async move {
            let content = format!("report {n}");
            let answer = client.run(generate(&format!("a{n}"), &content)).await;
            assert!(answer.started);
            assert_eq!(answer.text, text(&content));
            assert_eq!(answer.done().finish, "stop");
        }
    });
    futures::future::join_all(runs).await;
    assert_eq!(engine.stats.counts().list.len(), 20);
    assert!(engine.stats.counts().running_most <= 4);
}

#[tokio::test]
async fn attempt_received_twice_runs_once() {
    let tool = tool(slow_tool(100)).await;
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    let first = client.begin(plain("a1", "POST", "/fee", "1")).await;
    let second = client.run(plain("a1", "POST", "/fee", "1")).await;
    assert_eq!(second.refusal().code, "conflict");
    assert_eq!(second.refusal().ran(), Ran::Unknown);
    assert!(first.answer().await.is_done());
    let third = client.run(plain("a1", "POST", "/fee", "1")).await;
    assert_eq!(third.refusal().ran(), Ran::Unknown);
    assert_eq!(tool.stats.counts().executions.get("a1"), Some(&1));
}

#[tokio::test]
async fn attempt_cancelled_before_it_arrives_never_runs() {
    let tool = tool(Default::default()).await;
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    assert_eq!(client.cancelled("a1").await, State::Fenced);
    let answer = client.run(plain("a1", "POST", "/fee", "1")).await;
    assert_eq!(answer.refusal().code, "not-run");
    assert_eq!(answer.refusal().ran(), Ran::No);
    assert!(tool.stats.counts().list.is_empty());
}

#[tokio::test]
async fn cancel_fences_a_queued_attempt_and_not_a_running_one() {
    let (tool, _daemon, client, running) = sidecar_with_occupied_slot(300, 64).await;
    let waiting = client.begin(plain("a2", "POST", "/fee", "2")).await;
    assert_eq!(client.cancelled("a2").await, State::Fenced);
    assert_eq!(client.cancelled("a1").await, State::Running);
    assert_eq!(waiting.answer().await.refusal().ran(), Ran::No);
    assert!(running.answer().await.is_done());
    assert_eq!(client.cancelled("a1").await, State::Done);
    assert_eq!(tool.stats.counts().list.len(), 1);
}

#[tokio::test]
async fn epoch_lower_than_the_highest_seen_for_the_shard_is_refused() {
    let tool = tool(Default::default()).await;
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    let newer = Start {
        epoch: 7,
        ..plain("a1", "POST", "/fee", "1")
    };
    assert!(client.run(newer).await.is_done());
    let older = client.run(plain("a2", "POST", "/fee", "2")).await;
    assert_eq!(older.refusal().code, "conflict");
    assert_eq!(older.refusal().ran(), Ran::No);
    assert_eq!(client.cancel("a1", 6).await.state(), State::Refused);
    let other_shard = Start {
        shard: 2,
        ..plain("a3", "POST", "/fee", "3")
    };
    assert!(client.run(other_shard).await.is_done());
    assert_eq!(tool.stats.counts().list.len(), 2);
}

#[tokio::test]
async fn queued_attempt_of_a_superseded_owner_never_starts() {
    let (tool, _daemon, client, running) = sidecar_with_occupied_slot(200, 64).await;
    let waiting = client.begin(plain("a2", "POST", "/fee", "2")).await;
    assert_eq!(client.cancel("unknown", 2).await.state(), State::Fenced);
    let refused = waiting.answer().await;
    assert_eq!(refused.refusal().ran(), Ran::No);
    assert!(running.answer().await.is_done());
    assert_eq!(tool.stats.counts().executions.get("a2"), None);
}

#[rstest]
#[case::expires(false)]
#[case::extended(true)]
#[tokio::test]
async fn attempt_not_started_in_time_never_runs_unless_extended(#[case] extended: bool) {
    let (tool, _daemon, client, running) = sidecar_with_occupied_slot(400, 64).await;
    let late = Start {
        start_by_ms: 100,
        ..plain("a2", "POST", "/fee", "2")
    };
    let waiting = client.begin(late).await;
    if extended {
        let extend = wire::Extend {
            start_by_ms: 10_000,
        };
        waiting.send(Message::Extend(extend));
    }
    let answer = waiting.answer().await;
    running.answer().await;
    match extended {
        true => assert!(answer.is_done()),
        false => {
            assert_eq!(answer.refusal().code, "deadline");
            assert_eq!(answer.refusal().ran(), Ran::No);
            assert_eq!(tool.stats.counts().executions.get("a2"), None);
        }
    }
}

#[tokio::test]
async fn queued_attempt_whose_caller_disconnects_never_runs() {
    let (tool, daemon, client, running) = sidecar_with_occupied_slot(300, 64).await;
    let waiting = client.begin(plain("a2", "POST", "/fee", "2")).await;
    drop(waiting);
    eventually("the queue is empty", || async {
        daemon.state().queue.depth().queued == 0
    })
    .await;
    assert_eq!(client.cancelled("a2").await, State::Fenced);
    assert!(running.answer().await.is_done());
    assert_eq!(tool.stats.counts().executions.get("a2"), None);
}

#[rstest]
#[case::non_idempotent_runs_to_its_end(false, 0)]
#[case::idempotent_is_stopped(true, 1)]
#[tokio::test]
async fn running_generation_stops_after_its_caller_disconnects_only_if_idempotent(
    #[case] idempotent: bool,
    #[case] stopped: u64,
) {
    let engine = slow_engine(50).await;
    let (daemon, client) = sidecar_for_engine(&engine).await;
    let start = Start {
        idempotent,
        ..generate("a1", "report")
    };
    let mut running = client.begin(start).await;
    running.wait_until_started().await;
    eventually("the request runs", || async {
        engine.stats.counts().running == 1
    })
    .await;
    drop(running);
    eventually("the request ends", || async {
        daemon.state().queue.is_idle()
    })
    .await;
    assert_eq!(client.cancelled("a1").await, State::Done);
    eventually("the engine is idle", || async {
        engine.stats.counts().running == 0
    })
    .await;
    assert_eq!(engine.stats.counts().cancelled, stopped);
}

#[tokio::test]
async fn running_generation_is_cancelled_after_a_late_extension() {
    let engine = slow_engine(10).await;
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    let mut running = client.begin(generate("a1", "report")).await;
    running.wait_until_started().await;
    let extend = wire::Extend {
        start_by_ms: 10_000,
    };
    running.send(Message::Extend(extend));
    eventually("the request runs", || async {
        engine.stats.counts().running == 1
    })
    .await;
    running.send(Message::Cancelled(wire::Cancelled {}));
    let answer = running.answer().await;
    assert_eq!(answer.refusal().ran(), Ran::Unknown);
    assert!(!answer.is_done());
    eventually("the engine is idle", || async {
        engine.stats.counts().running == 0
    })
    .await;
    assert_eq!(engine.stats.counts().cancelled, 1);
}

#[tokio::test]
async fn start_limit_of_zero_stops_a_queued_attempt_and_not_a_running_one() {
    let (tool, _daemon, client, running) = sidecar_with_occupied_slot(300, 64).await;
    let waiting = client.begin(plain("a2", "POST", "/fee", "2")).await;
    for dispatch in [&waiting, &running] {
        dispatch.send(Message::Extend(wire::Extend { start_by_ms: 0 }));
    }
    assert_eq!(waiting.answer().await.refusal().ran(), Ran::No);
    assert!(running.answer().await.is_done());
    assert_eq!(tool.stats.counts().list.len(), 1);
}

#[tokio::test]
async fn running_non_idempotent_request_ends_as_unknown_at_its_deadline() {
    let tool = tool(Default::default()).await;
    tool.set_faults(Faults {
        hang_on: Some(String::new()),
        ..Faults::default()
    });
    let (daemon, client) = sidecar_for_tool(&tool).await;
    let start = Start {
        deadline_ms: 200,
        ..plain("a1", "POST", "/fee", "1")
    };
    let answer = client.run(start).await;
    assert_eq!(answer.refusal().code, "outcome-unknown");
    assert_eq!(answer.refusal().ran(), Ran::Unknown);
    assert!(daemon.state().queue.is_idle());
}

#[tokio::test]
async fn refusal_for_an_unreachable_target_states_that_nothing_ran() {
    let tool = tool(Default::default()).await;
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    tool.crash();
    eventually("the port is closed", || async {
        tokio::net::TcpStream::connect(tool.address).await.is_err()
    })
    .await;
    let answer = client.run(plain("a1", "POST", "/fee", "1")).await;
    assert_eq!(answer.refusal().code, "unavailable");
    assert_eq!(answer.refusal().ran(), Ran::No);
    assert!(tool.stats.counts().list.is_empty());
}

#[tokio::test]
async fn customer_is_not_charged_for_requests_that_never_ran() {
    let mut tool = tool(slow_tool(200)).await;
    let mut settings = settings(tool.address, Kind::Plain);
    settings.limits.slots = 1;
    settings.policy.emphasis = 0.0;
    let (_daemon, client) = sidecar(settings).await;
    let start_for = |customer: &str, attempt: &str| Start {
        customer: customer.to_owned(),
        weight: if customer == "large" { 2 } else { 1 },
        ..plain(attempt, "POST", "/fee", "1")
    };
    tool.crash();
    eventually("the port is closed", || async {
        tokio::net::TcpStream::connect(tool.address).await.is_err()
    })
    .await;
    for n in 0..5 {
        let refused = client.run(start_for("small", &format!("s{n}"))).await;
        assert_eq!(refused.refusal().ran(), Ran::No);
    }
    tool.restart().await.unwrap();
    let mut running = client.begin(start_for("large", "l1")).await;
    running.wait_until_started().await;
    let large = client.begin(start_for("large", "l2")).await;
    let small = client.begin(start_for("small", "s9")).await;
    for dispatch in [running, small, large] {
        assert!(dispatch.answer().await.is_done());
    }
    let list = tool.stats.counts().list;
    let order: Vec<_> = list.iter().map(|run| run.request.as_str()).collect();
    assert_eq!(order, ["l1", "s9", "l2"]);
}

#[tokio::test]
async fn full_queue_refuses_with_a_retry_delay() {
    let (_tool, _daemon, client, _running) = sidecar_with_occupied_slot(300, 1).await;
    let _waiting = client.begin(plain("a2", "POST", "/fee", "2")).await;
    let answer = client.run(plain("a3", "POST", "/fee", "3")).await;
    assert_eq!(answer.refusal().code, "overloaded");
    assert_eq!(answer.refusal().ran(), Ran::No);
    assert!(answer.refusal().retry_after_ms > 0);
}

#[tokio::test]
async fn size_of_buffered_requests_is_bounded() {
    const MIB: usize = 1024 * 1024;
    let tool = tool(Default::default()).await;
    let (daemon, client) = sidecar_for_tool(&tool).await;
    let body = "x".repeat(2 * MIB);
    let others = daemon.state().reserve_buffer(255 * MIB).unwrap();
    let answer = client.run(plain("a1", "POST", "/fee", &body)).await;
    assert_eq!(answer.refusal().code, "overloaded");
    assert_eq!(answer.refusal().ran(), Ran::No);
    assert!(answer.refusal().retry_after_ms > 0);
    drop(others);
    assert!(
        client
            .run(plain("a2", "POST", "/fee", &body))
            .await
            .is_done()
    );
    assert_eq!(tool.stats.counts().list.len(), 1);
    eventually("the whole buffer is free", || async {
        daemon.state().reserve_buffer(256 * MIB).is_some()
    })
    .await;
}

#[tokio::test]
async fn drain_finishes_running_and_queued_requests_and_refuses_new_ones() {
    let (tool, daemon, client, running) = sidecar_with_occupied_slot(200, 64).await;
    let waiting = client.begin(plain("a2", "POST", "/fee", "2")).await;
    daemon.state().drain();
    let refused = client.run(plain("a3", "POST", "/fee", "3")).await;
    assert_eq!(refused.refusal().code, "draining");
    assert_eq!(refused.refusal().ran(), Ran::No);
    let drained = tokio::spawn(daemon.drain());
    assert!(running.answer().await.is_done());
    assert!(waiting.answer().await.is_done());
    drained.await.unwrap().unwrap();
    assert_eq!(tool.stats.counts().list.len(), 2);
}

#[tokio::test]
async fn drain_waits_for_a_running_request_whose_caller_disconnected() {
    let tool = tool(slow_tool(300)).await;
    let (daemon, client) = sidecar_for_tool(&tool).await;
    let mut running = client.begin(plain("a1", "POST", "/fee", "1")).await;
    running.wait_until_started().await;
    eventually("the request runs", || async {
        tool.stats.counts().running == 1
    })
    .await;
    drop(running);
    drop(client);
    let state = daemon.state().clone();
    daemon.drain().await.unwrap();
    assert!(state.queue.is_idle());
    assert_eq!(tool.stats.counts().running, 0);
}

#[tokio::test]
async fn plain_request_and_answer_keep_method_path_body_and_status() {
    let tool = tool(Default::default()).await;
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    let answer = client
        .run(plain("a1", "PUT", "/orders/7?x=1", "four"))
        .await;
    assert_eq!(answer.status, 200);
    let echo: serde_json::Value = serde_json::from_str(&answer.text).unwrap();
    assert_eq!(echo["method"], "PUT");
    assert_eq!(echo["path"], "/orders/7?x=1");
    assert_eq!(echo["length"], 4);
    assert!(answer.is_done());
}
