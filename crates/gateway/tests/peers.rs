//! State of other entries from their reports.

use std::net::SocketAddr;

use coord::quota::SILENCE_TIMEOUT;
use coord::time::Millis;
use coord::time::Time;
use gateway::fleet::peers::Peers;
use gateway::fleet::peers::Report;
use node::object::Kind;
use rstest::rstest;

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_780).into()
}

fn report(host: &str) -> Report {
    Report {
        host: host.into(),
        incarnation: 1,
        version: 1,
        store_reachable: true,
        history_reachable: true,
        leaving: false,
        totals: Vec::new(),
        running: vec![(7, 3)],
        cached_prefixes: Vec::new(),
        crashes: Vec::new(),
        entries: Vec::new(),
        departures: Vec::new(),
        failing: Vec::new(),
        knowledge: Vec::new(),
        limits: Vec::new(),
        limited_sendings: Vec::new(),
        demand: 0,
        evacuations: None,
        cold: Vec::new(),
    }
}

#[rstest]
fn a_silent_entry_stays_in_the_fleet_but_its_load_is_ignored() {
    let mut peers = Peers::default();
    peers.record_report(address(1), &report("a"), Time(1_000));
    assert_eq!(peers.running(Time(1_100)).get(&7), Some(&3));
    let later = Time(1_000 + SILENCE_TIMEOUT.0 + 1);
    assert_eq!(peers.running(later).get(&7), None);
    let fleet = peers.fleet(later);
    assert_eq!((fleet.entries, fleet.silent), (2, 1));
}

#[rstest]
fn an_entry_that_reports_leaving_is_removed_from_the_fleet() {
    let mut peers = Peers::default();
    peers.record_report(address(1), &report("a"), Time(1_000));
    let mut last = report("a");
    last.leaving = true;
    peers.record_report(address(1), &last, Time(1_050));
    assert_eq!(peers.fleet(Time(1_060)).entries, 1);
}

#[rstest]
fn an_entry_without_any_report_counts_as_silent_until_it_is_removed() {
    let mut peers = Peers::default();
    peers.add(address(1), Time(0));
    let fleet = peers.fleet(Time(10_000));
    assert_eq!((fleet.entries, fleet.silent), (2, 1));
    peers.expire(Time(60_000));
    assert_eq!(peers.fleet(Time(60_000)).entries, 1);
}

#[rstest]
fn a_report_returns_the_time_for_which_its_sender_counted_as_silent() {
    let mut peers = Peers::default();
    peers.record_report(address(1), &report("a"), Time(0));
    let silent = peers.record_report(address(1), &report("a"), Time(SILENCE_TIMEOUT.0 + 700));
    assert_eq!(silent, Millis(700));
    let silent = peers.record_report(address(1), &report("a"), Time(SILENCE_TIMEOUT.0 + 800));
    assert_eq!(silent, Millis(0));
}

#[rstest]
fn state_is_fetched_from_the_entry_with_the_newest_configuration_whose_store_answers() {
    let mut peers = Peers::default();
    let mut old = report("a");
    old.version = 3;
    let mut without_store = report("b");
    without_store.version = 9;
    without_store.store_reachable = false;
    let mut newest = report("c");
    newest.version = 5;
    for (number, report) in [(1, &old), (2, &without_store), (3, &newest)] {
        peers.record_report(address(number), report, Time(100));
    }
    assert_eq!(peers.newest_with_store(Time(150)), Some(address(3)));
    assert_eq!(peers.newest_with_store(Time(5_000)), None);
}

#[rstest]
fn the_silence_timeout_grows_with_the_number_of_entries() {
    let mut peers = Peers::default();
    for number in 1..100 {
        peers.record_report(address(number), &report("a"), Time(0));
    }
    assert_eq!(peers.fleet(Time(3_000)).silent, 0);
    assert_eq!(peers.fleet(Time(4_000)).silent, 99);
}

#[rstest]
fn only_entries_with_a_recent_report_are_listed_for_others() {
    let mut peers = Peers::default();
    peers.add(address(1), Time(0));
    peers.record_report(address(2), &report("b"), Time(0));
    assert_eq!(peers.fresh_addresses(Time(100)), [address(2)]);
    assert!(peers.fresh_addresses(Time(10_000)).is_empty());
}

#[rstest]
fn a_departed_entry_is_not_counted_although_others_still_list_it() {
    let mut peers = Peers::default();
    peers.record_report(address(1), &report("a"), Time(0));
    let mut last = report("a");
    last.leaving = true;
    peers.record_report(address(1), &last, Time(100));
    peers.add(address(1), Time(300));
    assert_eq!(peers.fleet(Time(300)).entries, 1);
    peers.record_report(address(1), &report("a"), Time(2_000));
    assert_eq!(peers.fleet(Time(2_000)).entries, 2);
}

#[rstest]
fn an_entry_that_hears_no_other_of_many_notices_it_before_each_counts_as_silent() {
    let mut peers = Peers::default();
    for number in 1..100 {
        let at = Time(u64::from(number) * 10);
        peers.record_report(address(number), &report("a"), at);
    }
    assert!(!peers.is_isolated(Time(990 + SILENCE_TIMEOUT.0)));
    assert!(peers.is_isolated(Time(991 + SILENCE_TIMEOUT.0)));
    assert_eq!(peers.fleet(Time(991 + SILENCE_TIMEOUT.0)).silent, 0);
    peers.record_message(Time(2_000));
    assert!(!peers.is_isolated(Time(2_000 + SILENCE_TIMEOUT.0)));
}

/// Guards against a kind of objects that nobody watches, or all do: entries agree on their order, and those
/// that the object store doesn't answer, or that are silent, don't count.
#[rstest]
fn entries_that_the_object_store_answers_agree_on_their_order() {
    let all: Vec<u8> = (1..=24).collect();
    let order = |own: u8, unreachable: &[u8]| {
        let mut peers = Peers::default();
        for other in all.iter().filter(|other| **other != own) {
            let mut report = report("a");
            report.store_reachable = !unreachable.contains(other);
            peers.record_report(address(*other), &report, Time(0));
        }
        peers.order_of_checks(address(own), Kind::Evacuations, Time(10))
    };
    let mut orders: Vec<usize> = all.iter().map(|own| order(*own, &[])).collect();
    let first = all[orders.iter().position(|order| *order == 0).expect("first")];
    orders.sort();
    assert_eq!(orders, (0..24).collect::<Vec<usize>>());
    let after_loss = all.iter().filter(|own| **own != first);
    let after_loss: Vec<usize> = after_loss.map(|own| order(*own, &[first])).collect();
    assert!(after_loss.contains(&0));
}

/// Cold targets are reported only for entries that can't read the registrations themselves.
#[rstest]
fn an_entry_without_the_object_store_is_known_while_its_reports_are_recent() {
    let mut peers = Peers::default();
    peers.record_report(address(1), &report("a"), Time(0));
    assert!(!peers.any_without_store(Time(10)));
    let mut without = report("b");
    without.store_reachable = false;
    peers.record_report(address(2), &without, Time(0));
    assert!(peers.any_without_store(Time(10)));
    assert!(!peers.any_without_store(Time(10_000)));
}

#[rstest]
fn an_entry_that_knows_no_other_is_not_isolated() {
    assert!(!Peers::default().is_isolated(Time(10_000)));
}

/// Guards against an entry that was cut off for long and then takes itself for the only one, and its
/// customers' rates and targets' limits for its own.
#[rstest]
fn an_entry_that_hears_nobody_keeps_those_that_it_has_heard() {
    let mut peers = Peers::default();
    peers.record_report(address(1), &report("a"), Time(0));
    peers.record_report(address(2), &report("b"), Time(0));
    peers.expire(Time(100_000));
    assert_eq!(peers.fleet(Time(100_000)).entries, 3);
    peers.record_report(address(1), &report("a"), Time(100_100));
    peers.expire(Time(100_200));
    assert_eq!(peers.fleet(Time(100_200)).entries, 2);
}
