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

use crate::support::CallKind;
use crate::support::Fault;
use crate::support::Host;
use crate::support::Store;
use crate::support::TIMEOUT;
use crate::support::account;
use crate::support::client;
use crate::support::start_hosts;
use crate::support::turn;

/// Time within which a host that can be emptied is.
const LIMIT: Duration = Duration::from_secs(10);

/// `recoveryS` of the smallest deployment.
const RECOVERY: Duration = Duration::from_secs(12);

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

/// Guards against a site that serves no turn for good after a lost disk: a host retired while another one was
/// gone, which couldn't be evicted any more, as no spare disk was left.
#[rstest]
#[tokio::test]
async fn a_host_is_not_emptied_while_another_one_is_gone_that_it_makes_irreplaceable() {
    const LOSSES: usize = 1;
    let store = Arc::new(Store::default());
    let mut hosts = start_hosts(&store, 4, LOSSES).await;
    let mut places: Vec<_> = hosts
        .iter()
        .map(|host| keep(host, &store, LOSSES))
        .collect();
    hosts[1].gate.silence();
    places.remove(1).1.abort();
    let gone = hosts.remove(1);
    places[0].0.send_replace(true);
    let evicted = store.wait_for_member(gone.member.disk, false);
    let evicted = tokio::time::timeout(LIMIT, evicted).await;
    assert!(evicted.is_ok(), "the gone host isn't evicted");
    let retired = tokio::time::timeout(LIMIT, places.remove(0).1).await;
    assert!(retired.is_ok(), "the host isn't emptied after the eviction");
    let left = store.membership().members;
    assert!(left.iter().all(|member| member.disk != gone.member.disk));
    assert!(serves(&store, LOSSES, "turn-1").await);
}

/// Guards against a site that serves no turn while one host is away: another one, whose retirement was
/// postponed for it, went on rejecting records.
#[rstest]
#[tokio::test]
async fn a_host_whose_retirement_is_postponed_accepts_records_while_another_one_is_away() {
    const LOSSES: usize = 1;
    let store = Arc::new(Store::default());
    let hosts = start_hosts(&store, 3, LOSSES).await;
    let places: Vec<_> = hosts
        .iter()
        .map(|host| keep(host, &store, LOSSES))
        .collect();
    // Another host goes away during the hand-over.
    let gate = Arc::clone(&hosts[1].gate);
    gate.set_fault(
        CallKind::Digest,
        Some(Fault::Delay(Duration::from_millis(300))),
    );
    hosts[1].gate.before(CallKind::Append, move |_| {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            gate.silence();
        });
    });
    places[0].0.send_replace(true);
    let closed = async {
        while !hosts[0].server.is_closed() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let closed = tokio::time::timeout(LIMIT, closed).await;
    assert!(closed.is_ok(), "the host doesn't begin to retire");
    let served = async {
        while !serves(&store, LOSSES, "turn-1").await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let served = tokio::time::timeout(RECOVERY, served).await;
    assert!(served.is_ok(), "the host rejects records");
    let epoch = store.membership().epoch;
    tokio::time::sleep(OBSERVATION).await;
    assert_eq!(store.membership().epoch, epoch, "the membership changes");
}

/// Guards against a host that is emptied although its order was withdrawn while it waited for others.
#[rstest]
#[tokio::test]
async fn an_order_that_is_withdrawn_before_enough_others_are_left_is_not_carried_out() {
    const LOSSES: usize = 1;
    let store = Arc::new(Store::default());
    let hosts = start_hosts(&store, 2, LOSSES).await;
    let (order, mut place) = keep(&hosts[0], &store, LOSSES);
    order.send_replace(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    order.send_replace(false);
    let added = Host::start("added").await;
    let joined = tokio::time::timeout(LIMIT, added.join(&store, LOSSES)).await;
    assert!(joined.is_ok(), "the added host doesn't join");
    let retired = tokio::time::timeout(2 * OBSERVATION, &mut place).await;
    assert!(retired.is_err(), "the host is emptied");
    assert_eq!(store.membership().members.len(), 3);
}
