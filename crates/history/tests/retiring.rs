//! Tests of real history hosts that shall be emptied although the others couldn't commit records without them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use history::record::Record;
use history::retire;
use rstest::rstest;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::support::Host;
use crate::support::Store;
use crate::support::TIMEOUT;
use crate::support::account;
use crate::support::client;
use crate::support::start_hosts;
use crate::support::turn;

/// Time within which a host that can be emptied is.
const LIMIT: Duration = Duration::from_secs(10);

/// Time for which a host that can't be emptied is observed.
const OBSERVATION: Duration = Duration::from_secs(3);

/// Keeps a host's place until it has retired; the sender orders this.
fn keep(host: &Host, store: &Arc<Store>, losses: usize) -> (watch::Sender<bool>, JoinHandle<()>) {
    let (order, ordered) = watch::channel(false);
    let (server, store) = (Arc::clone(&host.server), Arc::clone(store));
    let config = host.config(losses, false);
    let place = tokio::spawn(async move {
        retire::keep_until_retired(&server, &*store, &config, ordered).await;
    });
    (order, place)
}

/// Whether a client that has just read the membership stores a turn and finds it again.
async fn serves(store: &Store, losses: usize, id: &str) -> bool {
    let client = client(store, losses);
    let records = vec![Record::Turn(turn(id))];
    let stored = client.append(records, id, Instant::now() + TIMEOUT).await;
    let id = id.parse().expect("name");
    let found = client
        .chain(&id, &account(), Instant::now() + TIMEOUT)
        .await;
    stored.is_ok() && matches!(found, Ok(Some(_)))
}

/// Guards against a site that serves no turn for good: an order to empty a host was reported as completed
/// although fewer disks were left than a record needs.
#[rstest]
#[case::one_loss(1)]
#[case::two_losses(2)]
#[tokio::test]
async fn a_host_is_emptied_only_once_enough_others_are_left(#[case] losses: usize) {
    let store = Arc::new(Store::default());
    let hosts = start_hosts(&store, losses + 1, losses).await;
    let (order, mut place) = keep(&hosts[0], &store, losses);
    order.send_replace(true);
    let retired = tokio::time::timeout(OBSERVATION, &mut place).await;
    assert!(retired.is_err(), "too few hosts are left");
    assert!(serves(&store, losses, "turn-1").await);
    let added = Host::start("added").await;
    let joined = tokio::time::timeout(LIMIT, added.join(&store, losses)).await;
    assert!(joined.is_ok(), "the added host doesn't join");
    let retired = tokio::time::timeout(LIMIT, place).await;
    assert!(
        retired.is_ok(),
        "the host isn't emptied: {:?}",
        store.membership()
    );
    assert!(serves(&store, losses, "turn-2").await);
}

/// Guards against hosts that were ordered to retire at the same time and that together leave too few.
#[rstest]
#[tokio::test]
async fn of_hosts_that_shall_retire_at_the_same_time_enough_stay() {
    const LOSSES: usize = 1;
    let store = Arc::new(Store::default());
    let hosts = start_hosts(&store, 4, LOSSES).await;
    let places: Vec<_> = hosts
        .iter()
        .map(|host| keep(host, &store, LOSSES))
        .collect();
    for (order, _) in &places {
        order.send_replace(true);
    }
    tokio::time::sleep(OBSERVATION).await;
    let left = store.membership().members.len();
    assert_eq!(left, LOSSES + 1, "{:?}", store.membership());
    let served = async {
        while !serves(&store, LOSSES, "turn-1").await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let served = tokio::time::timeout(LIMIT, served).await;
    assert!(served.is_ok(), "the hosts that are left take no turns");
}
