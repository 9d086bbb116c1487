//! Tests of how long a host waits for another one that doesn't answer, while it evicts a third one.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use crate::support::CallKind;
use crate::support::Fault;
use crate::support::Store;
use crate::support::start_hosts;

const HOSTS: usize = 6;
const LOSSES: usize = 1;

/// Time until another host fails too; its watcher has noticed the first one.
const SECOND_FAILURE: Duration = Duration::from_millis(1500);

/// Time for which it is away: less than the 5 s after which the watcher that is left reports it. Meanwhile, that one
/// begins to evict the first host.
const PAUSE: Duration = Duration::from_millis(4500);

/// Time for which a killed host is away.
const RESTART: Duration = Duration::from_millis(1000);

/// Rest of the outage of the object store.
const OUTAGE: Duration = Duration::from_secs(8);

/// Time for the eviction after the outage.
const LIMIT: Duration = Duration::from_secs(12);

/// Time in which an eviction would follow.
const OBSERVATION: Duration = Duration::from_secs(2);

/// Guards against the eviction of a host that was killed and was back within a second: it had been away before
/// another host was evicted, too, and all of the time between counted as silence.
#[rstest]
#[tokio::test]
async fn a_host_that_is_away_shortly_before_and_after_the_eviction_of_another_one_keeps_its_place()
{
    let store = Arc::new(Store::default());
    let hosts = start_hosts(&store, HOSTS, LOSSES).await;
    let places: Vec<_> = hosts.iter().map(|host| host.keep(&store, LOSSES)).collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (gone, killed) = (&hosts[1], &hosts[2]);
    // The calls of a watch; a killed process refuses them at once.
    let set_away = |away: bool| {
        let fault = away.then_some(Fault::Refuse);
        killed.gate.set_fault(CallKind::Digest, fault);
    };
    store.set_down(true);
    gone.gate.silence();
    places[1].abort();
    tokio::time::sleep(SECOND_FAILURE).await;
    set_away(true);
    tokio::time::sleep(PAUSE).await;
    set_away(false);
    tokio::time::sleep(OUTAGE).await;
    store.set_down(false);
    let evicted = store.wait_for_member(gone.member.disk, false);
    let evicted = tokio::time::timeout(LIMIT, evicted).await;
    assert!(evicted.is_ok(), "the host that is gone isn't evicted");
    while store.membership().members.len() == HOSTS {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    set_away(true);
    tokio::time::sleep(RESTART).await;
    set_away(false);
    tokio::time::sleep(OBSERVATION).await;
    let membership = store.membership();
    assert!(
        membership.find(killed.member.disk).is_some() && membership.members.len() == HOSTS - 1,
        "the killed host was evicted: {membership:?}"
    );
    // Epoch after the vacancy and its removal: nobody else was evicted and has joined again.
    assert_eq!(
        membership.epoch.0,
        HOSTS as u64 + 2,
        "the killed host was evicted, and joined again"
    );
}
