//! Tests of real history hosts that join, are replaced or retire while turns are stored and read.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use history::join;
use history::record::Disk;
use history::record::Record;
use history::retire;
use rstest::rstest;
use tokio::time::Instant;

use crate::support::CallKind;
use crate::support::Fault;
use crate::support::Host;
use crate::support::Store;
use crate::support::TIMEOUT;
use crate::support::account;
use crate::support::client;
use crate::support::reports_absent;
use crate::support::start_hosts;
use crate::support::turn;

/// Longer than the delay after which a reader asks further hosts.
const SLOW: Duration = Duration::from_millis(250);

const TURNS: usize = 24;

/// Delays the answers of some disks to readers.
fn slow_down(hosts: &[Host], disks: &[Disk], fault: Option<Fault>) {
    for host in hosts
        .iter()
        .filter(|host| disks.contains(&host.member.disk))
    {
        host.gate.set_fault(CallKind::Chain, fault);
    }
}

/// Guards against 404 for a stored turn: an added host acknowledged it before the other hosts had
/// received the new membership, so a reader with the older one found enough hosts without it.
#[rstest]
#[case::three_hosts(3, 1, 1)]
#[case::five_hosts(5, 2, 1)]
#[case::eight_hosts(8, 2, 1)]
#[case::two_added_to_eight_hosts(8, 2, 2)]
#[tokio::test]
async fn a_turn_stored_on_an_added_host_is_not_absent_for_a_reader_with_the_older_membership(
    #[case] count: usize,
    #[case] losses: usize,
    #[case] added: usize,
) {
    let store = Arc::new(Store::default());
    let hosts = start_hosts(&store, count, losses).await;
    let reader = client(&store, losses);
    let mut new_hosts = Vec::new();
    for number in 0..added {
        let new_host = Host::start(&format!("new-host-{number}")).await;
        store.withhold_answers(true);
        let joining = new_host.join(&store, losses);
        store.wait_for_member(new_host.member.disk, true).await;
        // The host is killed after its addition and before it can inform the others.
        joining.abort();
        store.withhold_answers(false);
        new_hosts.push(new_host);
    }
    let writer = client(&store, losses);
    for number in 0..TURNS {
        let id = format!("turn-{number}");
        let records = vec![Record::Turn(turn(&id))];
        let stored = writer
            .append(records, &id, Instant::now() + TIMEOUT)
            .await
            .expect("quorum");
        slow_down(&hosts, &stored.disks, Some(Fault::Delay(SLOW)));
        assert!(!reports_absent(&reader, &id).await, "{id} on {stored:?}");
        slow_down(&hosts, &stored.disks, None);
    }
}

/// Guards against 404 for a stored turn: a host that replaced another one copied the records of hosts
/// other than those that it had informed, and a turn that was in flight meanwhile escaped it.
#[rstest]
#[tokio::test]
async fn a_turn_stored_while_a_host_is_replaced_is_not_absent_for_a_reader() {
    const LOSSES: usize = 2;
    let store = Arc::new(Store::default());
    let mut hosts = start_hosts(&store, 5, LOSSES).await;
    let epoch = store.membership().epoch;
    let record = Record::Turn(turn("turn-1"));
    let replaced = hosts.pop().expect("host");
    assert!(replaced.append(record.clone(), epoch).await);
    let name = replaced.member.host.clone();
    drop(replaced);

    // The third host receives the turn just before the new membership, and isn't copied afterwards.
    let informed = &hosts[2];
    let (runtime, early) = (tokio::runtime::Handle::current(), record.clone());
    let server = Arc::clone(&informed.server);
    informed.gate.before(CallKind::Inform, move |gate| {
        gate.set_fault(CallKind::Digest, Some(Fault::Refuse));
        runtime.spawn(async move { server.persist(vec![early]).await });
    });
    // The fourth host is copied, but doesn't receive the new membership.
    let uninformed = &hosts[3];
    uninformed
        .gate
        .set_fault(CallKind::Inform, Some(Fault::Refuse));
    let new_host = Host::start(&name).await;
    let joining = new_host.join(&store, LOSSES);
    store.wait_for_member(new_host.member.disk, true).await;
    // Joining either completes or is repeated meanwhile.
    let _ = tokio::time::timeout(Duration::from_millis(600), joining).await;
    assert!(
        uninformed.append(record, epoch).await,
        "under the older epoch"
    );

    let slow = [hosts[2].member.disk, hosts[3].member.disk];
    slow_down(&hosts, &slow, Some(Fault::Delay(SLOW)));
    let reader = client(&store, LOSSES);
    assert!(!reports_absent(&reader, "turn-1").await);
}

/// Guards against 404 for a stored turn: two hosts that replaced wiped ones counted each other as
/// sources, so neither copied the only host that still had the turn.
#[rstest]
#[tokio::test]
async fn hosts_that_still_join_are_no_sources_for_each_other() {
    const LOSSES: usize = 2;
    let store = Arc::new(Store::default());
    let mut hosts = start_hosts(&store, 5, LOSSES).await;
    let epoch = store.membership().epoch;
    let record = Record::Turn(turn("turn-1"));

    // The first disk is wiped after it has acknowledged the turn; its host can't complete its joining,
    // as the membership reaches nobody.
    let wiped = hosts.pop().expect("host");
    assert!(wiped.append(record.clone(), epoch).await);
    let first_name = wiped.member.host.clone();
    drop(wiped);
    refuse(&hosts, CallKind::Inform);
    let first = Host::start(&first_name).await;
    let first_joining = first.join(&store, LOSSES);
    store.wait_for_member(first.member.disk, true).await;

    // The turn is stored on two more disks, of which the second is then wiped.
    let wiped = hosts.pop().expect("host");
    assert!(wiped.append(record.clone(), epoch).await);
    assert!(hosts[0].append(record, epoch).await);
    let second_name = wiped.member.host.clone();
    drop(wiped);

    // The only host with the turn can't be copied.
    for host in &hosts {
        host.gate.set_fault(CallKind::Inform, None);
    }
    hosts[0]
        .gate
        .set_fault(CallKind::Digest, Some(Fault::Refuse));
    let second = Host::start(&second_name).await;
    let second_joining = second.join(&store, LOSSES);
    let both = async { tokio::join!(first_joining, second_joining) };
    let _ = tokio::time::timeout(Duration::from_secs(3), both).await;

    let turns = [hosts[0].member.disk];
    slow_down(&hosts, &turns, Some(Fault::Delay(SLOW)));
    let reader = client(&store, LOSSES);
    assert!(!reports_absent(&reader, "turn-1").await);
}

/// Guards against 404 for a stored turn: a retiring host that was killed after it had left the
/// membership acknowledged records again, which no other host received from it.
#[rstest]
#[tokio::test]
async fn a_restarted_host_that_has_left_the_membership_acknowledges_no_records() {
    const LOSSES: usize = 1;
    let store = Arc::new(Store::default());
    let mut hosts = start_hosts(&store, 4, LOSSES).await;
    let epoch = store.membership().epoch;
    let retiring = hosts.pop().expect("host");
    store.withhold_answers(true);
    let (server, objects) = (Arc::clone(&retiring.server), Arc::clone(&store));
    let config = retiring.config(LOSSES, false);
    let retirement = tokio::spawn(async move { retire::retire(&server, &*objects, &config).await });
    store.wait_for_member(retiring.member.disk, false).await;
    retirement.abort();
    let retiring = retiring.restart().await;

    let record = Record::Turn(turn("turn-1"));
    let acknowledged = retiring.append(record.clone(), epoch).await;
    assert!(
        hosts[0].append(record, epoch).await,
        "under the older epoch"
    );
    slow_down(&hosts, &[hosts[0].member.disk], Some(Fault::Delay(SLOW)));
    let absent = reports_absent(&client(&store, LOSSES), "turn-1").await;
    assert!(!(acknowledged && absent), "stored, but reported as absent");
}

/// Guards against 503 for all turns for ever: hosts that were killed while they retired waited, as if
/// they had lost records, for others that waited for them. No more disks are lost than tolerated.
#[rstest]
#[case::one_retires_and_two_disks_are_wiped(5, 1, 2)]
#[case::one_of_21_retires_and_two_disks_are_wiped(21, 1, 2)]
#[case::three_retire(8, 3, 0)]
#[tokio::test]
async fn turns_are_found_again_after_hosts_were_killed_while_they_retired(
    #[case] count: usize,
    #[case] retiring: usize,
    #[case] wiped: usize,
) {
    const LOSSES: usize = 2;
    /// Catch-up time of the users' page of the large site.
    const CATCH_UP: Duration = Duration::from_secs(6);
    let store = Arc::new(Store::default());
    let mut hosts = start_hosts(&store, count, LOSSES).await;
    let stored = client(&store, LOSSES)
        .append(
            vec![Record::Turn(turn("turn-1"))],
            "turn-1",
            Instant::now() + TIMEOUT,
        )
        .await;
    assert!(stored.is_ok());
    // They are killed before they have handed over their records.
    refuse(&hosts, CallKind::Digest);
    for host in &hosts[..retiring] {
        let (server, objects) = (Arc::clone(&host.server), Arc::clone(&store));
        let config = host.config(LOSSES, false);
        let retirement =
            tokio::spawn(async move { retire::retire(&server, &*objects, &config).await });
        tokio::time::sleep(SLOW).await;
        retirement.abort();
    }
    for host in &hosts {
        host.gate.set_fault(CallKind::Digest, None);
    }
    let mut joining = Vec::new();
    let mut new_hosts = Vec::new();
    for replaced in hosts.split_off(count - wiped) {
        let new_host = Host::start(&replaced.member.host).await;
        drop(replaced);
        joining.push(new_host.join(&store, LOSSES));
        new_hosts.push(new_host);
    }
    joining.extend(
        hosts[..retiring]
            .iter()
            .map(|host| host.join(&store, LOSSES)),
    );
    let joined = tokio::time::timeout(CATCH_UP, futures::future::join_all(joining)).await;
    assert!(joined.is_ok(), "hosts still join after {CATCH_UP:?}");
    let id = "turn-1".parse().expect("name");
    let reader = client(&store, LOSSES);
    let chain = reader
        .chain(&id, &account(), Instant::now() + TIMEOUT)
        .await;
    assert!(matches!(chain, Ok(Some(_))), "{chain:?}");
}

/// Guards against a third loss while a disk still joins: each step of joining waited several seconds
/// for a member that didn't answer.
#[rstest]
#[tokio::test]
async fn a_host_replaces_another_one_in_time_while_a_third_one_is_silent() {
    const LOSSES: usize = 2;
    /// Shortest time after which the users may take the next disk.
    const CATCH_UP: Duration = Duration::from_millis(4700);
    let store = Arc::new(Store::default());
    let mut hosts = start_hosts(&store, 5, LOSSES).await;
    let replaced = hosts.pop().expect("host");
    let new_host = Host::start(&replaced.member.host).await;
    drop(replaced);
    hosts[0].gate.silence();
    let joining = new_host.join(&store, LOSSES);
    let joined = tokio::time::timeout(CATCH_UP, joining).await;
    assert!(joined.is_ok() && !new_host.server.joining());
}

/// Guards against a system that takes no turns after its first start: all hosts were killed after they
/// had been added, and each waited for others that acknowledge records.
#[rstest]
#[case::three_hosts(3, 1)]
#[case::seven_hosts(7, 2)]
#[tokio::test]
async fn hosts_that_are_killed_at_the_first_start_acknowledge_records_after_the_next(
    #[case] count: usize,
    #[case] losses: usize,
) {
    let store = Arc::new(Store::default());
    store.withhold_answers(true);
    let mut hosts = Vec::new();
    for number in 0..count {
        let host = Host::start(&format!("host-{number}")).await;
        let (server, objects) = (Arc::clone(&host.server), Arc::clone(&store));
        let config = host.config(losses, true);
        let joining = tokio::spawn(async move { join::join(&server, &*objects, &config).await });
        store.wait_for_member(host.member.disk, true).await;
        joining.abort();
        hosts.push(host);
    }
    store.withhold_answers(false);
    let joined = hosts.iter().map(|host| host.join(&store, losses));
    let joined = tokio::time::timeout(Duration::from_secs(5), join_all(joined)).await;
    assert!(joined.is_ok());
    let records = vec![Record::Turn(turn("turn-1"))];
    let writer = client(&store, losses);
    let stored = writer
        .append(records, "turn-1", Instant::now() + TIMEOUT)
        .await;
    assert!(stored.is_ok(), "{stored:?}");
}

fn refuse(hosts: &[Host], kind: CallKind) {
    for host in hosts {
        host.gate.set_fault(kind, Some(Fault::Refuse));
    }
}
