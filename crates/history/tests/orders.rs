//! Tests of an operator's order that takes a gone disk off the membership, where too few members are left to
//! do so by themselves.

mod support;

use std::sync::Arc;
use std::time::Duration;

use history::client::Client;
use history::client::Reservation;
use history::join;
use history::membership::Membership;
use history::record::Host as Name;
use history::record::Record;
use history::time::Timestamp;
use rstest::rstest;
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

/// `recoveryS` of the smallest deployment.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which nothing may have changed before the order; a member is evicted after 3 to 5 s where enough
/// others are left.
const STUCK: Duration = Duration::from_secs(7);

/// What was under way when the other disks were lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The gone host hasn't been noticed.
    Unnoticed,
    /// A vacancy stands in the gone host's place.
    Vacancy,
    /// The lost disks' successors are members that still copy.
    Joining,
    /// As [`Stage::Unnoticed`], and hosts of other names replace those with the lost disks.
    OtherHosts,
}

/// Hosts that keep their places, and the object store.
struct Fleet {
    store: Arc<Store>,
    hosts: Vec<(Host, JoinHandle<()>)>,
    losses: usize,
}

impl Fleet {
    /// As many first hosts as a history that tolerates `losses` needs, and one more.
    async fn start(losses: usize) -> Fleet {
        let store = Arc::new(Store::default());
        let hosts = start_hosts(&store, 2 * losses + 1, losses).await;
        let hosts = hosts.into_iter().map(|host| {
            let place = host.keep(&store, losses);
            (host, place)
        });
        let mut fleet = Fleet {
            hosts: hosts.collect(),
            store,
            losses,
        };
        fleet.add("added").await;
        assert!(fleet.joined().await, "the added host doesn't join");
        fleet
    }

    async fn add(&mut self, name: &str) {
        let host = Host::start(name).await;
        let place = host.keep(&self.store, self.losses);
        self.hosts.push((host, place));
    }

    /// Removes a host, which goes silent; connections to it stay open.
    fn remove(&mut self, at: usize) -> Host {
        let (host, place) = self.hosts.remove(at);
        place.abort();
        host.gate.silence();
        host
    }

    /// Brings a host back that was removed, with its disk.
    fn bring_back(&mut self, host: Host) {
        for kind in CallKind::ALL {
            host.gate.set_fault(kind, None);
        }
        let place = host.keep(&self.store, self.losses);
        self.hosts.push((host, place));
    }

    /// Waits until each host's disk is a member of the membership object, acknowledges records and holds all
    /// that it should.
    async fn joined(&self) -> bool {
        let joined = async {
            let complete = |host: &Host| {
                let is_member = self.store.membership().find(host.member.disk).is_some();
                is_member && host.server.is_known_member() && !host.server.joining()
            };
            while !self.hosts.iter().all(|(host, _)| complete(host)) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(RECOVERY, joined).await.is_ok()
    }

    /// Stores a turn on these hosts only.
    async fn store_on(&self, id: &str, at: &[usize]) {
        let epoch = self.store.membership().epoch;
        for at in at {
            let record = Record::Turn(turn(id));
            assert!(self.hosts[*at].0.append(record, epoch).await);
        }
    }

    fn set_faults(&self, kind: CallKind, fault: Option<Fault>) {
        let gates = self.hosts.iter().map(|(host, _)| &host.gate);
        gates.for_each(|gate| gate.set_fault(kind, fault));
    }

    /// Takes a host off the membership object, as an operator does.
    async fn order_without(&self, gone: &Name) -> Membership {
        let read = join::read_membership(&*self.store).await;
        let (mut next, revision) = read.expect("membership");
        next.epoch.0 += 1;
        next.members.retain(|member| member.host != *gone);
        let written = join::write_membership(&*self.store, &next, revision).await;
        written.expect("no other change");
        next
    }
}

async fn reserves(client: &Client, request: &str) -> bool {
    let reservation = Reservation {
        account: account(),
        turn: request.parse().expect("name"),
        max_tokens: 10,
        budget: 1_000,
        target: 0,
        expires: Timestamp::now().after(Duration::from_secs(60)),
        origin: None,
    };
    let granted = client.reserve(&reservation, Instant::now() + TIMEOUT).await;
    granted.is_ok()
}

/// Whether a client finds a turn; `None` if it can't be certain.
async fn finds(client: &Client, id: &str) -> Option<bool> {
    let id = id.parse().expect("name");
    let deadline = Instant::now() + TIMEOUT;
    let chain = client.chain(&id, &account(), deadline).await;
    chain.ok().map(|found| found.is_some())
}

/// Guards against a history that never serves a turn again: a host is gone and others lose their disks before
/// its eviction is complete, so that neither the eviction nor their successors find enough complete members.
#[rstest]
#[case::one_loss(1, Stage::Unnoticed)]
#[case::one_loss_with_a_vacancy(1, Stage::Vacancy)]
#[case::one_loss_with_a_member_that_copies(1, Stage::Joining)]
#[case::two_losses(2, Stage::Unnoticed)]
#[case::two_losses_replaced_by_other_hosts(2, Stage::OtherHosts)]
#[tokio::test]
async fn an_order_without_a_gone_disk_lets_the_others_join_and_keeps_all_records_that_they_hold(
    #[case] losses: usize,
    #[case] stage: Stage,
) {
    let mut fleet = Fleet::start(losses).await;
    // The first host goes, and as many of the next as are tolerated lose their disks.
    let gone_and_lost: Vec<usize> = (0..=losses).collect();
    let gone_and_survivors: Vec<usize> = [0].into_iter().chain(losses + 1..=2 * losses).collect();
    fleet.store_on("on-lost-disks", &gone_and_lost).await;
    fleet.store_on("on-others-too", &gone_and_survivors).await;
    let entry = client(&fleet.store, losses);
    assert!(reserves(&entry, "before").await);

    let before = fleet.store.membership();
    let mut gone = None;
    match stage {
        Stage::Unnoticed | Stage::OtherHosts => gone = Some(fleet.remove(0)),
        Stage::Vacancy => {
            fleet.set_faults(CallKind::Inform, Some(Fault::Ignore));
            let disk = fleet.hosts[0].0.member.disk;
            gone = Some(fleet.remove(0));
            let vacated = fleet.store.wait_for_member(disk, false);
            let vacated = tokio::time::timeout(RECOVERY, vacated).await;
            assert!(vacated.is_ok(), "no vacancy");
        }
        Stage::Joining => fleet.set_faults(CallKind::Inform, Some(Fault::Ignore)),
    }
    // The gone host is the first until it is removed.
    let at = usize::from(gone.is_none());
    let lost: Vec<Name> = (0..losses)
        .map(|_| fleet.remove(at).member.host.clone())
        .collect();
    for name in &lost {
        match stage {
            Stage::OtherHosts => fleet.add(&format!("other-{name}")).await,
            _ => fleet.add(name).await,
        }
    }
    if stage == Stage::Joining {
        let disk = fleet.hosts.last().expect("host").0.member.disk;
        let member = fleet.store.wait_for_member(disk, true);
        let member = tokio::time::timeout(RECOVERY, member).await;
        assert!(member.is_ok(), "the successor isn't a member");
    }
    let gone = gone.unwrap_or_else(|| fleet.remove(0));
    fleet.set_faults(CallKind::Inform, None);
    tokio::time::sleep(STUCK).await;
    let stuck = fleet.store.membership();
    assert_eq!(stuck.members.len(), before.members.len(), "{stuck:?}");
    assert!(!reserves(&entry, "stuck").await, "turns are served");

    let ordered = fleet.order_without(&gone.member.host).await;
    let began = Instant::now();
    assert!(fleet.joined().await, "{:?}", fleet.store.membership());
    eprintln!("joined {:?} after the order", began.elapsed());
    assert_eq!(
        fleet.store.membership().members.len(),
        ordered.members.len()
    );
    assert!(reserves(&entry, "after").await);
    assert_eq!(finds(&entry, "on-others-too").await, Some(true));
    let lost = finds(&entry, "on-lost-disks").await;
    match stage {
        // The successor has copied the turn, and may or may not be among those that answer first.
        Stage::Joining => assert_ne!(lost, None),
        _ => assert_eq!(lost, Some(false)),
    }

    fleet.bring_back(gone);
    assert!(fleet.joined().await, "{:?}", fleet.store.membership());
    assert!(reserves(&entry, "returned").await);
    assert_eq!(finds(&entry, "on-others-too").await, Some(true));
}
