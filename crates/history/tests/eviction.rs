//! Tests of real history hosts of which one is gone for good while there are more than the tolerated losses
//! require.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use history::membership::Membership;
use history::record::Disk;
use history::record::Record;
use history::record::State;
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::support::CallKind;
use crate::support::Host;
use crate::support::Store;
use crate::support::TIMEOUT;
use crate::support::account;
use crate::support::charge;
use crate::support::client;
use crate::support::start_hosts;
use crate::support::turn;

/// `recoveryS` of the smallest deployment.
const RECOVERY: Duration = Duration::from_secs(12);

/// `catchupS` and `stableMs` of the deployment with the shortest ones: the time for which a removed host still
/// counts as lost after an outage of the object store.
const CATCH_UP: Duration = Duration::from_secs(4 + 3);

/// Hosts that keep their places, and the object store.
struct Fleet {
    store: Arc<Store>,
    hosts: Vec<(Host, JoinHandle<()>)>,
    losses: usize,
}

impl Fleet {
    /// First hosts, then `added` more that join while all others answer.
    async fn start(first: usize, losses: usize, added: usize) -> Fleet {
        let store = Arc::new(Store::default());
        let hosts = start_hosts(&store, first, losses).await;
        let hosts = hosts.into_iter();
        let hosts = hosts.map(|host| {
            let place = host.keep(&store, losses);
            (host, place)
        });
        let hosts = hosts.collect();
        let mut fleet = Fleet {
            store,
            hosts,
            losses,
        };
        for number in 0..added {
            fleet.add(&format!("added-{number}")).await;
        }
        fleet
    }

    /// Adds a host with an empty disk; returns once it acknowledges records.
    async fn add(&mut self, name: &str) {
        let host = Host::start(name).await;
        let place = host.keep(&self.store, self.losses);
        while !host.server.is_known_member() || host.server.joining() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.hosts.push((host, place));
    }

    /// Removes a host for good; returns its disk and name.
    fn remove(&mut self, at: usize) -> (Disk, String) {
        let (host, place) = self.hosts.remove(at);
        place.abort();
        // Open connections of a dropped host would still be answered.
        host.gate.silence();
        (host.member.disk, host.member.host.to_string())
    }

    async fn restart(&mut self, at: usize) {
        let (host, place) = self.hosts.remove(at);
        place.abort();
        let host = host.restart().await;
        let place = host.keep(&self.store, self.losses);
        self.hosts.insert(at, (host, place));
    }

    /// Waits until the membership consists of these hosts' disks.
    async fn settle(&self) -> Result<(), Membership> {
        let settled = async {
            loop {
                let membership = self.store.membership();
                let disks = self.hosts.iter().map(|(host, _)| host.member.disk);
                let mut disks = disks.map(|disk| membership.find(disk).is_some());
                if membership.members.len() == self.hosts.len() && disks.all(|found| found) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let ended = tokio::time::timeout(RECOVERY, settled).await;
        ended.map_err(|_| self.store.membership())
    }

    /// Stores a turn on these hosts only, as a client does that reaches no others.
    async fn store_on(&self, id: &str, at: &[usize]) {
        let epoch = self.store.membership().epoch;
        for at in at {
            let record = Record::Turn(turn(id));
            assert!(self.hosts[*at].0.append(record, epoch).await);
        }
    }

    /// Number of hosts that hold a turn.
    fn copies(&self, id: &str) -> usize {
        let fingerprint = history::fingerprint::of_turn(&id.parse().expect("name"));
        let hosts = self.hosts.iter();
        let holders = hosts.filter(|(host, _)| host.server.fingerprints().contains(&fingerprint));
        holders.count()
    }

    /// Whether a client that has just read the membership finds a turn.
    async fn finds(&self, id: &str) -> bool {
        let client = client(&self.store, self.losses);
        let id = id.parse().expect("name");
        let chain = client
            .chain(&id, &account(), Instant::now() + TIMEOUT)
            .await;
        matches!(chain, Ok(Some(_)))
    }

    async fn stores(&self, id: &str) -> bool {
        let client = client(&self.store, self.losses);
        let records = vec![Record::Turn(turn(id))];
        let stored = client.append(records, id, Instant::now() + TIMEOUT);
        stored.await.is_ok()
    }
}

/// Guards against a history that serves no turn: a host was replaced as planned, and its disk, which stayed
/// a member, used up the tolerated loss, so that a disk that was lost later never joined again.
#[rstest]
#[case::one_loss(3, 1, 1)]
#[case::two_losses(5, 2, 1)]
#[case::two_losses_two_replacements(5, 2, 2)]
#[tokio::test]
async fn as_many_disks_as_tolerated_are_lost_after_planned_replacements_and_turns_are_served(
    #[case] first: usize,
    #[case] losses: usize,
    #[case] replacements: usize,
) {
    let mut fleet = Fleet::start(first, losses, 0).await;
    for number in 0..replacements {
        fleet.add(&format!("successor-{number}")).await;
        fleet.remove(0);
        fleet.settle().await.expect("the removed disk is evicted");
    }
    let lost: Vec<(Disk, String)> = (0..losses).map(|_| fleet.remove(0)).collect();
    let mut started = Vec::new();
    for (_, name) in &lost {
        started.push(Host::start(name).await);
    }
    let joining = started.iter().map(|host| host.join(&fleet.store, losses));
    let joined = tokio::time::timeout(RECOVERY, join_all(joining)).await;
    assert!(joined.is_ok(), "hosts with lost disks don't join");
    assert!(fleet.stores("turn-1").await);
    assert!(fleet.finds("turn-1").await);
}

/// Guards against a lost turn: after a host was removed, a turn that it held with one more stood on the
/// latter's disk only.
#[rstest]
#[case::one_loss(3, 1)]
#[case::two_losses(5, 2)]
#[case::two_losses_of_eight(8, 2)]
#[tokio::test]
async fn a_turn_of_a_removed_host_is_copied_before_others_lose_their_disks(
    #[case] first: usize,
    #[case] losses: usize,
) {
    let mut fleet = Fleet::start(first, losses, 1).await;
    // The first disk and as many others as can be lost hold the turn.
    let holders: Vec<usize> = (0..=losses).collect();
    fleet.store_on("turn-1", &holders).await;
    // A charge that changes its state, as that of a turn in progress.
    for state in [State::Reserved(7), State::Settled(5)] {
        let epoch = fleet.store.membership().epoch;
        for (host, _) in &fleet.hosts[..=losses] {
            assert!(host.append(Record::Charge(charge(state)), epoch).await);
        }
    }
    fleet.remove(0);
    fleet.settle().await.expect("the removed disk is evicted");
    assert!(fleet.copies("turn-1") > losses, "too few copies");
    (0..losses).for_each(|_| drop(fleet.remove(0)));
    assert!(fleet.finds("turn-1").await);
}

/// Guards against an eviction that starts too early or never ends: a host that is only out of reach for a
/// short time keeps its place, and one that comes back after its eviction joins again.
#[rstest]
#[case::back_soon(Duration::from_millis(1500), true)]
#[case::back_late(Duration::from_millis(7000), false)]
#[tokio::test]
async fn a_host_that_is_out_of_reach_keeps_its_place_or_joins_again(
    #[case] silence: Duration,
    #[case] keeps_place: bool,
) {
    let fleet = Fleet::start(4, 1, 0).await;
    let gate = &fleet.hosts[1].0.gate;
    let before = fleet.store.membership().epoch;
    gate.silence();
    tokio::time::sleep(silence).await;
    let evicted = fleet.store.membership().epoch != before;
    assert_eq!(evicted, !keeps_place);
    for kind in CallKind::ALL {
        gate.set_fault(kind, None);
    }
    fleet.settle().await.expect("the host is a member");
    assert!(fleet.stores("turn-1").await);
}

/// Guards against a vacancy that stays: the host that evicted a member was killed between the two changes of
/// the membership.
#[rstest]
#[tokio::test]
async fn an_eviction_that_was_begun_by_a_killed_host_is_completed() {
    let mut fleet = Fleet::start(5, 1, 0).await;
    let (gone, _) = fleet.remove(1);
    // The first host is the nearest watcher. Its first update takes effect without an answer.
    fleet.store.withhold_answers(true);
    let vacated = fleet.store.wait_for_member(gone, false);
    let vacated = tokio::time::timeout(RECOVERY, vacated).await;
    assert!(
        vacated.is_ok(),
        "nothing takes the place of the removed disk"
    );
    let vacant = fleet.store.membership();
    assert_eq!(vacant.members.len(), 5, "{vacant:?}");
    fleet.store.withhold_answers(false);
    fleet.restart(0).await;
    fleet.settle().await.expect("the vacancy is removed");
}

/// Guards against a history that serves no turn: a host was only out of reach, a vacancy had taken its place, and
/// as many disks as tolerated were lost. All of them waited to copy from one member more than were left.
#[rstest]
#[case::one_loss(4, 1)]
#[case::two_losses(6, 2)]
#[tokio::test]
async fn as_many_disks_as_tolerated_are_lost_while_a_vacancy_stands_in_for_a_host_that_comes_back(
    #[case] count: usize,
    #[case] losses: usize,
) {
    let mut fleet = Fleet::start(count, losses, 0).await;
    // The first host and those whose disks are lost hold the turn.
    let holders: Vec<usize> = (0..=losses).collect();
    fleet.store_on("turn-1", &holders).await;
    let evicted = fleet.hosts[0].0.member.disk;
    // All processes end once the vacancy has taken the place.
    fleet.hosts[0].0.gate.silence();
    fleet.store.withhold_answers(true);
    let vacated = fleet.store.wait_for_member(evicted, false);
    let vacated = tokio::time::timeout(RECOVERY, vacated).await;
    assert!(vacated.is_ok(), "nothing takes the silent host's place");
    fleet.hosts.iter().for_each(|(_, place)| place.abort());
    fleet.store.withhold_answers(false);
    let lost: Vec<(Disk, String)> = (0..losses).map(|_| fleet.remove(1)).collect();
    for at in 0..fleet.hosts.len() {
        fleet.restart(at).await;
    }
    for (_, name) in &lost {
        let host = Host::start(name).await;
        let place = host.keep(&fleet.store, losses);
        fleet.hosts.push((host, place));
    }
    fleet.settle().await.expect("all hosts are members");
    let complete = async {
        while fleet.hosts.iter().any(|(host, _)| host.server.joining()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let complete = tokio::time::timeout(RECOVERY, complete).await;
    assert!(complete.is_ok(), "hosts with lost disks don't join");
    assert!(fleet.finds("turn-1").await);
    assert!(fleet.stores("turn-2").await);
}

/// Guards against a member that is evicted although too few others could hold its records: only a spare one
/// is.
#[rstest]
#[tokio::test]
async fn a_member_that_the_tolerated_losses_require_is_not_evicted() {
    let mut fleet = Fleet::start(3, 1, 0).await;
    let before = fleet.store.membership();
    fleet.remove(0);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(fleet.store.membership(), before);
    fleet.add("successor").await;
    fleet.settle().await.expect("the successor takes the place");
}

/// Guards against a history that serves no turn after an outage of the object store: a member that was gone
/// wasn't evicted for up to 96 s after the store's return, as each failed round of attempts doubled the
/// silence before the next one.
#[rstest]
#[tokio::test]
async fn a_member_that_went_in_a_store_outage_is_evicted_soon_after_it() {
    let mut fleet = Fleet::start(4, 1, 0).await;
    // The hosts read the membership once before they watch each other.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.store.set_down(true);
    fleet.remove(1);
    tokio::time::sleep(Duration::from_secs(42)).await;
    fleet.store.set_down(false);
    let settled = tokio::time::timeout(CATCH_UP, fleet.settle()).await;
    assert!(
        settled.is_ok(),
        "the member wasn't evicted in time: {:?}",
        fleet.store.membership()
    );
}
