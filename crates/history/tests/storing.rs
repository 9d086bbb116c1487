//! Tests of a client that stores turns at real history hosts which are slow, away or changing their membership.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use history::client::Client;
use history::error::Error;
use history::membership::Epoch;
use history::record::Record;
use history::server::Server;
use rstest::rstest;
use tokio::time::Instant;

use crate::support::CallKind;
use crate::support::Fault;
use crate::support::Gate;
use crate::support::Host;
use crate::support::Store;
use crate::support::client;
use crate::support::start_hosts;
use crate::support::turn;

/// Time that a request has left.
const LEFT: Duration = Duration::from_secs(5);

async fn start(count: usize, losses: usize) -> (Vec<Host>, Client) {
    let store = Arc::new(Store::default());
    let hosts = start_hosts(&store, count, losses).await;
    let client = client(&store, losses);
    (hosts, client)
}

async fn keep(client: &Client, id: &str) -> Result<(), Error> {
    let deadline = Instant::now() + LEFT;
    let kept = client.keep(turn(id), Vec::new(), Vec::new(), id, deadline);
    kept.await.map(|_| ())
}

/// Guards against streams that are cut although all history hosts store their turns: each attempt ended
/// before a slow sync, and the next one waited for another sync.
#[rstest]
#[case::longer_than_the_first_attempt(Duration::from_millis(650))]
#[case::longer_than_the_second_attempt(Duration::from_millis(1300))]
#[tokio::test]
async fn a_turn_is_kept_by_hosts_whose_every_sync_takes_longer_than_one_attempt(
    #[case] sync: Duration,
) {
    let (hosts, client) = start(3, 1).await;
    for host in &hosts {
        let slow = Some(Fault::Delay(sync));
        host.gate.set_fault(CallKind::Append, slow);
    }
    let kept = keep(&client, "turn-1").await;
    assert!(kept.is_ok(), "{kept:?}");
}

/// Guards against streams that are cut while as many hosts as tolerated drop all bytes.
#[rstest]
#[tokio::test]
async fn turns_are_kept_at_once_while_two_of_seven_hosts_are_silent() {
    const LIMIT: Duration = Duration::from_millis(500);
    let (hosts, client) = start(7, 2).await;
    for host in &hosts[..2] {
        host.gate.silence();
    }
    for number in 0..20 {
        let started = Instant::now();
        let kept = keep(&client, &format!("turn-{number}")).await;
        let took = started.elapsed();
        assert!(kept.is_ok() && took < LIMIT, "{kept:?} in {took:?}");
    }
}

/// Lets a host learn of a newer membership just before each of its next calls that store records.
fn change_membership(gate: &Gate, server: Arc<Server>, times: usize) {
    gate.before(CallKind::Append, move |gate| {
        let mut next = server.membership();
        next.epoch = Epoch(next.epoch.0 + 1);
        // The membership is in force from the first poll on; it is synced later.
        let _ = server
            .persist(vec![Record::Membership(next)])
            .now_or_never();
        if times > 1 {
            change_membership(gate, server, times - 1);
        }
    });
}

/// Guards against streams that are cut because several hosts join one after the other, as after a loss of
/// power: a call was given up at the fourth newer membership, long before its deadline.
#[rstest]
#[tokio::test]
async fn a_turn_is_kept_while_the_membership_changes_more_than_four_times() {
    let (hosts, client) = start(3, 1).await;
    for host in &hosts {
        change_membership(&host.gate, Arc::clone(&host.server), 6);
    }
    let kept = keep(&client, "turn-1").await;
    assert!(kept.is_ok(), "{kept:?}");
}

/// Guards against streams that are cut because a host that joins accepts no records for a moment, while
/// another one is away: the joining host was called only once.
#[rstest]
#[tokio::test]
async fn a_turn_is_kept_once_a_joining_host_accepts_records_while_another_one_is_away() {
    const JOINING: Duration = Duration::from_millis(1000);
    let (hosts, client) = start(3, 1).await;
    hosts[0].gate.silence();
    hosts[1]
        .gate
        .set_fault(CallKind::Append, Some(Fault::Refuse));
    let joining = Arc::clone(&hosts[1].gate);
    tokio::spawn(async move {
        tokio::time::sleep(JOINING).await;
        joining.set_fault(CallKind::Append, None);
    });
    let kept = keep(&client, "turn-1").await;
    assert!(kept.is_ok(), "{kept:?}");
}
