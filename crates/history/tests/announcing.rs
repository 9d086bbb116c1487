//! Tests of real history hosts and clients that weren't told of a member when it joined.

mod support;

use std::sync::Arc;
use std::time::Duration;

use history::client::Client;
use history::place;
use history::quorum::Route;
use history::record::Record;
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::support::CallKind;
use crate::support::Host;
use crate::support::Store;
use crate::support::TIMEOUT;
use crate::support::client;
use crate::support::turn;

/// Interval at which entries probe the history hosts.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time in which each of three members asks both others for a newer membership.
const TWO_CHECKS: Duration = Duration::from_millis(9500);

/// Adds a host at the first start of the system and keeps its place; returns once it acknowledges records.
async fn start(store: &Arc<Store>, number: usize, losses: usize) -> (Host, JoinHandle<()>) {
    let host = Host::start(&format!("host-{number}")).await;
    let (server, objects) = (Arc::clone(&host.server), Arc::clone(store));
    let config = host.config(losses, true);
    let never = std::future::pending();
    let place = tokio::spawn(async move { place::keep(&server, &*objects, &config, never).await });
    while !host.server.is_known_member() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (host, place)
}

/// Probes the hosts as an entry does, for the time of two probes.
async fn probe(client: &Client) {
    for _ in 0..2 {
        tokio::time::sleep(PROBE_INTERVAL).await;
        assert!(client.has_quorum(Route::Direct, PROBE_TIMEOUT).await);
    }
}

/// Guards against streams that are cut when one host is killed: an entry read the membership while the first
/// disks were still being added, and none of the hosts that it knew was told of the others.
#[rstest]
#[case::three_hosts(3, 1)]
#[case::five_hosts(5, 2)]
#[tokio::test]
async fn a_client_that_read_the_membership_before_the_last_first_disks_stores_turns_without_the_first_ones(
    #[case] count: usize,
    #[case] losses: usize,
) {
    let store = Arc::new(Store::default());
    let mut hosts = Vec::new();
    for number in 0..=losses {
        hosts.push(start(&store, number, losses).await);
    }
    let client = client(&store, losses);
    for number in losses + 1..count {
        hosts.push(start(&store, number, losses).await);
    }
    probe(&client).await;
    for (host, place) in &hosts[..losses] {
        place.abort();
        host.gate.silence();
    }
    let records = vec![Record::Turn(turn("turn-1"))];
    let stored = client.append(records, "p", Instant::now() + TIMEOUT).await;
    let epoch = client.membership().epoch;
    assert!(
        stored.is_ok(),
        "{stored:?} under epoch {epoch} of {}",
        store.membership().epoch
    );
}

/// Guards against entries that know too few members for as long as nothing fails: a first disk was out of
/// reach when others joined, knew no other member that it could ask, and wasn't told later.
#[rstest]
#[tokio::test]
async fn a_first_disk_that_was_out_of_reach_while_others_joined_is_told_of_them_later() {
    const LOSSES: usize = 1;
    let store = Arc::new(Store::default());
    let first = start(&store, 0, LOSSES).await;
    first.0.gate.silence();
    let _second = start(&store, 1, LOSSES).await;
    let _third = start(&store, 2, LOSSES).await;
    // Calls that were made while it was out of reach have ended.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let newest = store.membership().epoch;
    assert!(first.0.server.membership().epoch < newest);
    for kind in CallKind::ALL {
        first.0.gate.set_fault(kind, None);
    }
    let back = Instant::now();
    while first.0.server.membership().epoch < newest {
        assert!(
            back.elapsed() < TWO_CHECKS,
            "knows epoch {} of {newest}",
            first.0.server.membership().epoch
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
