//! Faults of the target: broken streams, crashes, and cached histories that aren't deleted.

mod support;

use std::time::Duration;

use fakes::engine;
use fakes::engine::Engine;
use fakes::fault::Faults;
use rstest::rstest;
use sidecar::settings::Kind;
use support::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use wire::Ran;
use wire::Start;
use wire::cancel_reply::State;
use wire::start::Work;

async fn slow_engine() -> Engine {
    let settings = engine::Settings {
        decode_rate: 100,
        ..engine::Settings::default()
    };
    engine(settings).await
}

#[rstest]
#[case::broken(Faults { break_streams: 2, ..Faults::default() })]
#[case::cut_short(Faults { cut_streams: 2, ..Faults::default() })]
#[case::crossed(Faults { cross_streams: 2, ..Faults::default() })]
#[tokio::test]
async fn faulty_stream_is_resumed_and_its_answer_is_complete(#[case] faults: Faults) {
    let engine = slow_engine().await;
    engine.set_faults(faults);
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    let answer = client.run(generate("a1", "report")).await;
    assert_eq!(answer.text, text("report"));
    assert!(answer.is_done());
    let counts = engine.stats.counts();
    assert_eq!(counts.executions.get("a1"), Some(&1));
    assert!(counts.resumed > 0);
}

#[rstest]
#[case::broken(Faults { break_streams: 1, no_resume: true, ..Faults::default() })]
#[case::cut_short(Faults { cut_streams: 1, no_resume: true, ..Faults::default() })]
#[tokio::test]
async fn stream_that_cannot_be_resumed_is_never_reported_as_complete(#[case] faults: Faults) {
    let engine = slow_engine().await;
    engine.set_faults(faults);
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    let answer = client.run(generate("a1", "report")).await;
    assert!(text("report").starts_with(&answer.text));
    assert_ne!(answer.refusal().ran(), Ran::No);
    assert_eq!(engine.stats.counts().executions.get("a1"), Some(&1));
}

#[tokio::test]
async fn broken_plain_answer_is_refused_as_outcome_unknown_and_not_retried() {
    let tool = tool(Default::default()).await;
    tool.set_faults(Faults {
        break_streams: 1,
        ..Faults::default()
    });
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    let answer = client.run(plain("a1", "POST", "/fee", "1")).await;
    assert_eq!(answer.refusal().code, "outcome-unknown");
    assert_eq!(answer.refusal().ran(), Ran::Unknown);
    assert_eq!(tool.stats.counts().executions.get("a1"), Some(&1));
}

#[tokio::test]
async fn crash_is_reported_to_all_running_requests_with_all_fingerprints() {
    let engine = slow_engine().await;
    engine.set_faults(Faults {
        crash_on: Some("poison".to_owned()),
        ..Faults::default()
    });
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    let innocent = client.begin(generate("a1", "report")).await;
    eventually("the request runs", || async {
        engine.stats.counts().running == 1
    })
    .await;
    let poison = client.run(generate("a2", "poison")).await;
    let innocent = innocent.answer().await;
    let mut expected = [
        generate("a1", "").fingerprint,
        generate("a2", "").fingerprint,
    ];
    expected.sort();
    for crashed in [poison.crashed(), innocent.crashed()] {
        let mut fingerprints = crashed.fingerprints.clone();
        fingerprints.sort();
        assert_eq!(fingerprints, expected);
        assert!(!crashed.alone);
    }
    assert_eq!(poison.crashed().crash, innocent.crashed().crash);
}

#[rstest]
#[case::down(false)]
#[case::back_at_once(true)]
#[tokio::test]
async fn crash_during_a_single_request_is_reported_with_its_fingerprint_alone(
    #[case] restarted: bool,
) {
    let mut engine = slow_engine().await;
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    let running = client.begin(generate("a1", "report")).await;
    eventually("the request runs", || async {
        engine.stats.counts().running == 1
    })
    .await;
    match restarted {
        true => engine.restart().await.unwrap(),
        false => engine.crash(),
    }
    let answer = running.answer().await;
    assert!(answer.crashed().alone);
    assert_eq!(answer.crashed().fingerprints.len(), 1);
    assert_eq!(client.cancelled("a1").await, State::Done);
}

#[tokio::test]
async fn plain_request_that_crashes_its_service_is_reported_and_not_retried() {
    let tool = tool(Default::default()).await;
    tool.set_faults(Faults {
        crash_on: Some("poison".to_owned()),
        ..Faults::default()
    });
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    assert!(client.run(plain("a1", "POST", "/fee", "1")).await.is_done());
    let poison = plain("a2", "POST", "/fee", "poison");
    let expected = poison.fingerprint;
    let answer = client.run(poison).await;
    assert_eq!(answer.crashed().fingerprints, [expected]);
    assert!(answer.crashed().alone);
    assert_eq!(tool.stats.counts().executions.get("a2"), Some(&1));
}

/// Answers the first request on each connection and closes the connection on the second.
async fn serve_one_request_per_connection(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            let _ = stream.write_all(answer).await;
            let _ = stream.read(&mut request).await;
        });
    }
}

/// Guards against an outcome-unknown refusal or a false crash report when the target closes a
/// kept-alive connection that the sidecar reuses.
#[tokio::test]
async fn idle_connection_closed_by_the_target_fails_no_request_and_counts_as_no_crash() {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_one_request_per_connection(listener));
    let (daemon, client) = sidecar(settings(address, Kind::Plain)).await;
    for n in 0..20 {
        let answer = client
            .run(plain(&format!("a{n}"), "POST", "/fee", ""))
            .await;
        assert!(answer.is_done(), "{answer:?}");
        daemon.state().health.probe().await;
    }
    assert_eq!(daemon.state().health.life(), 0);
}

#[tokio::test]
async fn engine_that_is_down_is_reported_without_models() {
    let mut engine = engine(Default::default()).await;
    let (daemon, _client) = sidecar_for_engine(&engine).await;
    assert_eq!(daemon.state().load().models, ["m1"]);
    engine.crash();
    eventually("no models are reported", || async {
        daemon.state().load().models.is_empty()
    })
    .await;
    engine.restart().await.unwrap();
    eventually("the models are reported", || async {
        daemon.state().load().models == ["m1"]
    })
    .await;
}

#[tokio::test]
async fn request_marked_alone_runs_without_concurrent_requests() {
    let tool = support::tool(fakes::tool::Settings {
        work: Duration::from_millis(100),
        ..Default::default()
    })
    .await;
    let (daemon, client) = sidecar_for_tool(&tool).await;
    let first = client.begin(plain("a1", "POST", "/fee", "1")).await;
    let alone = Start {
        alone: true,
        ..plain("a2", "POST", "/fee", "2")
    };
    let mut suspect = client.begin(alone).await;
    let others = [
        client.begin(plain("a3", "POST", "/fee", "3")).await,
        client.begin(plain("a4", "POST", "/fee", "4")).await,
    ];
    suspect.wait_until_started().await;
    assert_eq!(daemon.state().queue.depth().running, 1);
    assert!(suspect.answer().await.is_done());
    assert!(first.answer().await.is_done());
    for other in others {
        assert!(other.answer().await.is_done());
    }
    let list = tool.stats.counts().list;
    let start_ms = |request: &str| {
        list.iter()
            .find(|run| run.request == request)
            .unwrap()
            .at_ms
    };
    // Each request takes 100 ms, so requests that start 100 ms apart don't overlap.
    assert!(start_ms("a2") >= start_ms("a1") + 100);
    assert!(start_ms("a3").min(start_ms("a4")) >= start_ms("a2") + 100);
}

#[tokio::test]
async fn history_is_cached_between_turns_and_dropped_when_its_lease_is_released() {
    let engine = engine(Default::default()).await;
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    assert!(client.run(turn("a1", "p1", "report")).await.is_done());
    let second = client.run(turn("a2", "p1", "report")).await;
    assert!(second.done().cached_tokens > 0);
    assert_eq!(engine.cached().len(), 1);
    assert_eq!(client.lease("p1", 0).await, ["p1"]);
    assert!(engine.cached().is_empty());
}

#[tokio::test]
async fn history_is_dropped_although_the_engine_loses_deletions_and_events() {
    let engine = engine(Default::default()).await;
    engine.set_faults(Faults {
        ignore_deletes: 2,
        drop_events: true,
        ..Faults::default()
    });
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    assert!(client.run(turn("a1", "p1", "report")).await.is_done());
    assert!(client.lease("p1", 0).await.is_empty());
    eventually("the history is dropped", || async {
        engine.cached().is_empty()
    })
    .await;
}

#[tokio::test]
async fn history_is_dropped_when_its_lease_expires() {
    let engine = engine(Default::default()).await;
    let (daemon, client) = sidecar_for_engine(&engine).await;
    assert!(client.run(turn("a1", "p1", "report")).await.is_done());
    let held = || {
        let now = daemon.state().clock.now();
        !daemon.state().leases.lock().may_drop("p1", now)
    };
    assert!(held());
    assert!(client.lease("p1", 100).await.is_empty());
    eventually("the history is dropped", || async {
        engine.cached().is_empty()
    })
    .await;
    assert!(!held());
}

#[tokio::test]
async fn history_is_dropped_at_once_after_a_turn_without_keep() {
    let engine = engine(Default::default()).await;
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    let mut last_turn = turn("a1", "p1", "report");
    if let Some(Work::Generate(work)) = &mut last_turn.work {
        work.keep = false;
    }
    assert!(client.run(last_turn).await.is_done());
    eventually("the history is dropped", || async {
        engine.cached().is_empty()
    })
    .await;
}

#[tokio::test]
async fn history_left_by_an_earlier_sidecar_process_is_dropped_without_a_lease() {
    let engine = engine(Default::default()).await;
    let (daemon, client) = sidecar_for_engine(&engine).await;
    assert!(client.run(turn("a1", "p1", "report")).await.is_done());
    assert!(client.run(turn("a2", "p2", "report")).await.is_done());
    daemon.drain().await.unwrap();
    assert_eq!(engine.cached().len(), 2);
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    client.lease("p2", 60_000).await;
    eventually("the history is dropped", || async {
        engine.cached().len() == 1
    })
    .await;
    assert_eq!(engine.cached()[0].0, "p2");
}
