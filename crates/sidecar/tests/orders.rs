//! Orders to engines: ordered by ticket, sent under a lock with a fencing number, and one load at a
//! time from each weight store.

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

async fn send_wanted(client: &Client, ticket: u64, models: &[&str]) {
    let wanted = wire::Wanted {
        ticket,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
    };
    let request = wire::ProbeRequest {
        wanted: Some(wanted),
    };
    client.0.clone().probe(request).await.unwrap();
}

async fn wait_until_served(engine: &Engine, models: &[&str]) {
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
fn plan_unloads_unwanted_models_and_loads_missing_ones(
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
async fn engine_serves_the_models_of_the_highest_ticket(#[case] fenced: bool) {
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
    send_wanted(&client, 5, &["m2", "m3"]).await;
    wait_until_served(&engine, &["m2", "m3"]).await;
    send_wanted(&client, 4, &["m1"]).await;
    assert_eq!(daemon.state().wanted().unwrap().ticket.0, 5);
    send_wanted(&client, 6, &["m3"]).await;
    wait_until_served(&engine, &["m3"]).await;
    eventually("the models are reported", || async {
        daemon.state().load().models == ["m3"]
    })
    .await;
}

#[tokio::test]
async fn no_order_is_sent_while_the_platform_is_unavailable() {
    let platform = platform_api().await;
    platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let engine = engine(Default::default()).await;
    let (daemon, client) = sidecar(with_platform(&engine, &platform)).await;
    send_wanted(&client, 1, &["m1", "m2"]).await;
    eventually("an order failed", || async {
        !daemon.state().failures().is_empty()
    })
    .await;
    assert_eq!(engine.models(), ["m1"]);
    platform.set_faults(Faults::default());
    wait_until_served(&engine, &["m1", "m2"]).await;
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
    eventually("the request runs", || async {
        engine.stats.counts().running == 1
    })
    .await;
    send_wanted(&client, 1, &["m2"]).await;
    wait_until_served(&engine, &["m1", "m2"]).await;
    assert!(!daemon.state().load().models.contains(&"m1".to_owned()));
    assert!(running.answer().await.is_done());
    wait_until_served(&engine, &["m2"]).await;
}

#[tokio::test]
async fn fencing_engine_refuses_the_order_of_an_earlier_lock_holder() {
    let engine = engine(Default::default()).await;
    let upstream = sidecar::upstream::Upstream::new(&format!("http://{}", engine.address));
    let load = |fence, model: &str| order::FencedOrder {
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
async fn weight_store_serves_one_load_at_a_time() {
    let platform = platform_api().await;
    let store = Store::start(weights::Settings {
        read: Duration::from_millis(300),
        ..Default::default()
    })
    .await
    .unwrap();
    let mut sidecars: Vec<(Engine, Daemon, Client)> = Vec::new();
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
        send_wanted(&client, 1, &["m1", "m2"]).await;
        sidecars.push((engine, daemon, client));
    }
    for (engine, ..) in &sidecars {
        wait_until_served(engine, &["m1", "m2"]).await;
    }
    assert_eq!(store.stats.counts().running_most, 1);
    assert_eq!(store.stats.counts().contents["weights/m2"], 3);
}

fn new_lock(platform: &Platform, holder: &str, takeover_delay: Millis) -> Lock {
    let base = format!("http://{}", platform.address());
    let client = platform::Platform::new(&base, Duration::from_secs(1));
    let settings = lock::Settings {
        object: "orders/target-1".to_owned(),
        holder: holder.to_owned(),
        duration: LEASE,
        takeover_delay,
    };
    Lock::new(Arc::new(client), Clock::start(), settings)
}

#[tokio::test]
async fn lock_is_taken_over_only_after_its_lease_and_the_takeover_delay() {
    let platform = platform_api().await;
    let mut first = new_lock(&platform, "a", Millis(0));
    let mut second = new_lock(&platform, "b", Millis(300));
    let first_guard = first.acquire().await.unwrap().unwrap();
    let start = tokio::time::Instant::now();
    let new_fence = loop {
        assert!(start.elapsed() < TIMEOUT);
        if let Some(guard) = second.acquire().await.unwrap() {
            break guard.fence();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(!first_guard.is_valid());
    assert!(new_fence > first_guard.fence());
    assert!(start.elapsed() >= Duration::from_millis(LEASE.0 + 300));
}

#[tokio::test]
async fn released_lock_is_acquired_at_once_and_by_a_single_holder() {
    let platform = platform_api().await;
    let mut first = new_lock(&platform, "a", Millis(0));
    let mut second = new_lock(&platform, "b", Millis(0));
    let guard = first.acquire().await.unwrap().unwrap();
    let fence = guard.fence();
    assert!(second.acquire().await.unwrap().is_none());
    guard.release().await;
    let reacquired = second.acquire().await.unwrap().unwrap();
    assert!(reacquired.fence() > fence);
    assert!(first.acquire().await.unwrap().is_none());
}

#[tokio::test]
async fn lock_is_acquired_although_the_reply_to_its_write_is_lost() {
    let platform = platform_api().await;
    platform.set_faults(Faults {
        lose_replies: 1,
        ..Faults::default()
    });
    let mut lock = new_lock(&platform, "a", Millis(0));
    let guard = lock.acquire().await.unwrap().unwrap();
    let object = platform.value("orders/target-1").unwrap();
    let value: serde_json::Value = serde_json::from_slice(&object).unwrap();
    assert_eq!(value["holder"], json!("a"));
    assert!(guard.fence().0 > 0);
}
