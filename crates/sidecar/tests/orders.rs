//! Orders to engines: by ticket, under a lock, fenced, and weight loads in turns.

mod support;

use std::sync::Arc;
use std::time::Duration;

use coord::time::Millis;
use fakes::engine;
use fakes::engine::Engine;
use fakes::platform::Faults;
use fakes::platform::Platform;
use fakes::weights;
use fakes::weights::Store;
use node::platform;
use rstest::rstest;
use serde_json::json;
use sidecar::clock::Clock;
use sidecar::daemon::Daemon;
use sidecar::lock;
use sidecar::lock::Lock;
use sidecar::order;
use sidecar::order::Order;
use sidecar::settings::Kind;
use sidecar::settings::Settings;
use support::*;

const LEASE: Millis = Millis(600);

async fn platform_api() -> Platform {
    Platform::start(loopback()).await.unwrap()
}

fn with_platform(engine: &Engine, platform: &Platform) -> Settings {
    Settings {
        platform: Some(format!("http://{}", platform.address())),
        ..settings(engine.address, Kind::Engine)
    }
}

async fn want(client: &Client, ticket: u64, models: &[&str]) {
    let wanted = wire::Wanted {
        ticket,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
    };
    let request = wire::ProbeRequest {
        wanted: Some(wanted),
    };
    client.0.clone().probe(request).await.unwrap();
}

async fn serves(engine: &Engine, models: &[&str]) {
    eventually("the models are served", || async {
        engine.models() == models
    })
    .await;
}

#[rstest]
#[case(&["m1"], &["m1"], &[])]
#[case(&["m1", "m2"], &["m1"], &[("load", "m2")])]
#[case(&["m2"], &["m1"], &[("unload", "m1"), ("load", "m2")])]
#[case(&[], &["m1"], &[("unload", "m1")])]
fn plan_leads_from_what_is_served_to_what_is_wanted(
    #[case] wanted: &[&str],
    #[case] served: &[&str],
    #[case] expected: &[(&str, &str)],
) {
    let owned = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    let orders = order::plan(&owned(wanted), &owned(served));
    let orders: Vec<_> = orders
        .iter()
        .map(|order| match order {
            Order::Load { model } => ("load", model.as_str()),
            Order::Unload { model } => ("unload", model.as_str()),
        })
        .collect();
    assert_eq!(orders, expected);
}

#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[tokio::test]
async fn engine_comes_to_serve_what_the_highest_ticket_states(#[case] fenced: bool) {
    let platform = platform_api().await;
    let engine = engine(engine::Settings {
        fenced,
        ..Default::default()
    })
    .await;
    let settings = Settings {
        fenced,
        ..with_platform(&engine, &platform)
    };
    let (daemon, client) = sidecar(settings).await;
    want(&client, 5, &["m2", "m3"]).await;
    serves(&engine, &["m2", "m3"]).await;
    want(&client, 4, &["m1"]).await;
    assert_eq!(daemon.state().wanted().unwrap().ticket.0, 5);
    want(&client, 6, &["m3"]).await;
    serves(&engine, &["m3"]).await;
    eventually("they are reported", || async {
        daemon.state().load().models == ["m3"]
    })
    .await;
}

#[tokio::test]
async fn no_order_is_given_while_the_platform_is_away() {
    let platform = platform_api().await;
    platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let engine = engine(Default::default()).await;
    let (daemon, client) = sidecar(with_platform(&engine, &platform)).await;
    want(&client, 1, &["m1", "m2"]).await;
    eventually("an order failed", || async {
        !daemon.state().failures().is_empty()
    })
    .await;
    assert_eq!(engine.models(), ["m1"]);
    platform.set_faults(Faults::default());
    serves(&engine, &["m1", "m2"]).await;
}

#[tokio::test]
async fn model_is_unloaded_only_after_its_last_request() {
    let platform = platform_api().await;
    let engine = engine(engine::Settings {
        decode_rate: 10,
        ..Default::default()
    })
    .await;
    let (daemon, client) = sidecar(with_platform(&engine, &platform)).await;
    let running = client.begin(generate("a1", "report")).await;
    eventually("it runs", || async { engine.stats.counts().running == 1 }).await;
    want(&client, 1, &["m2"]).await;
    serves(&engine, &["m1", "m2"]).await;
    assert!(!daemon.state().load().models.contains(&"m1".to_owned()));
    assert!(running.answer().await.is_done());
    serves(&engine, &["m2"]).await;
}

#[tokio::test]
async fn engine_that_checks_refuses_the_order_of_an_earlier_holder() {
    let engine = engine(Default::default()).await;
    let upstream = sidecar::upstream::Upstream::new(&format!("http://{}", engine.address));
    let load = |fence, model: &str| order::Fenced {
        fence,
        order: Order::Load {
            model: model.to_owned(),
        },
    };
    upstream.send_order(&load(7, "m7")).await.unwrap();
    assert!(upstream.send_order(&load(6, "m6")).await.is_err());
    assert_eq!(engine.models(), ["m1", "m7"]);
}

#[tokio::test]
async fn weights_are_loaded_in_turns() {
    let platform = platform_api().await;
    let store = Store::start(weights::Settings {
        read: Duration::from_millis(300),
        ..Default::default()
    })
    .await
    .unwrap();
    let mut running: Vec<(Engine, Daemon, Client)> = Vec::new();
    for n in 0..3 {
        let engine = engine(engine::Settings {
            weights: Some(store.address),
            ..Default::default()
        })
        .await;
        let settings = Settings {
            target: format!("target-{n}").parse().unwrap(),
            weights: Some(format!("http://{}", store.address)),
            ..with_platform(&engine, &platform)
        };
        let (daemon, client) = sidecar(settings).await;
        want(&client, 1, &["m1", "m2"]).await;
        running.push((engine, daemon, client));
    }
    for (engine, ..) in &running {
        serves(engine, &["m1", "m2"]).await;
    }
    assert_eq!(store.stats.counts().running_most, 1);
    assert_eq!(store.stats.counts().contents["weights/m2"], 3);
}

fn new_lock(platform: &Platform, holder: &str, aftermath: Millis) -> Lock {
    let base = format!("http://{}", platform.address());
    let client = platform::Platform::new(&base, Duration::from_secs(1));
    let settings = lock::Settings {
        name: "orders/target-1".to_owned(),
        holder: holder.to_owned(),
        duration: LEASE,
        aftermath,
    };
    Lock::new(Arc::new(client), Clock::start(), settings)
}

#[tokio::test]
async fn lock_is_taken_over_only_after_its_lease_and_its_aftermath() {
    let platform = platform_api().await;
    let mut first = new_lock(&platform, "a", Millis(0));
    let mut second = new_lock(&platform, "b", Millis(300));
    let held = first.acquire().await.unwrap().unwrap();
    let since = tokio::time::Instant::now();
    let taken = loop {
        assert!(since.elapsed() < PATIENCE);
        if let Some(taken) = second.acquire().await.unwrap() {
            break taken.fence();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(!held.is_valid());
    assert!(taken > held.fence());
    assert!(since.elapsed() >= Duration::from_millis(LEASE.0 + 300));
}

#[tokio::test]
async fn freed_lock_is_taken_at_once_and_by_one_alone() {
    let platform = platform_api().await;
    let mut first = new_lock(&platform, "a", Millis(0));
    let mut second = new_lock(&platform, "b", Millis(0));
    let held = first.acquire().await.unwrap().unwrap();
    let fence = held.fence();
    assert!(second.acquire().await.unwrap().is_none());
    held.release().await;
    let taken = second.acquire().await.unwrap().unwrap();
    assert!(taken.fence() > fence);
    assert!(first.acquire().await.unwrap().is_none());
}

#[tokio::test]
async fn lock_whose_write_lost_its_reply_is_held() {
    let platform = platform_api().await;
    platform.set_faults(Faults {
        lose_replies: 1,
        ..Faults::default()
    });
    let mut lock = new_lock(&platform, "a", Millis(0));
    let held = lock.acquire().await.unwrap().unwrap();
    let object = platform.value("orders/target-1").unwrap();
    let value: serde_json::Value = serde_json::from_slice(&object).unwrap();
    assert_eq!(value["holder"], json!("a"));
    assert!(held.fence().0 > 0);
}
