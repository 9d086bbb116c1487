//! Targets that announce in their answers that they leave.

use std::net::SocketAddr;

use compact_str::CompactString;
use coord::time::Time;
use gateway::adapter::Stage;
use gateway::adapter::Target;
use gateway::fleet::peers::Report;
use gateway::freshness::Statement;
use gateway::target::departure::Departures;
use gateway::target::departure::Incarnation;
use gateway::target::directory::Directory;
use history::time::Timestamp;
use node::object::Kind;
use node::object::Revision;
use rstest::rstest;
use tokio::time::Instant;

/// Time of day at which the target announces that it leaves.
const ANNOUNCED: Timestamp = Timestamp(100_000);

/// Start of an incarnation that is certainly a later one.
const RESTARTED: u64 = 110_000;

fn target(id: &str, born: u64) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "a".parse().expect("name"),
        stage: Stage::Ready,
        slots: 6,
        born: Some(born),
        version: None,
        cold: Some(std::time::Duration::ZERO),
    }
}

fn ready(directory: &Directory) -> Vec<CompactString> {
    let services = directory.services();
    let candidates = services.get("s").map_or(&[][..], Vec::as_slice);
    candidates
        .iter()
        .map(|candidate| candidate.target.id.clone())
        .collect()
}

fn directory(targets: Vec<Target>) -> Directory {
    let mut directory = Directory::default();
    directory.apply_peer_snapshot(Revision(1), targets, Instant::now());
    directory
}

#[rstest]
fn a_departed_target_is_not_chosen_although_it_is_registered_as_ready() {
    let mut directory = directory(vec![target("a", 5), target("b", 5)]);
    assert!(directory.record_departure(Incarnation::of(&target("a", 5)), ANNOUNCED, Time(0)));
    assert_eq!(ready(&directory), ["b"]);
}

#[rstest]
fn a_renewed_or_outdated_registration_does_not_bring_a_departed_target_back() {
    let mut directory = directory(vec![target("a", 5)]);
    directory.record_departure(Incarnation::of(&target("a", 5)), ANNOUNCED, Time(0));
    let now = Instant::now();
    directory.apply_peer_snapshot(Revision(2), Vec::new(), now);
    directory.apply_peer_snapshot(Revision(3), vec![target("a", 5)], now);
    assert!(ready(&directory).is_empty());
    directory.put_target(target("a", 4));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn a_later_incarnation_of_a_departed_target_gets_requests() {
    let mut directory = directory(vec![target("a", 5)]);
    directory.record_departure(Incarnation::of(&target("a", 5)), ANNOUNCED, Time(0));
    directory.put_target(target("a", RESTARTED));
    assert_eq!(ready(&directory), ["a"]);
}

/// Guards against requests to a target that restarted while its registration couldn't be renewed, and
/// then announced that it leaves: the registration that arrives later is the announcing incarnation's.
#[rstest]
#[case(Some(5))]
#[case(None)]
fn a_registration_of_an_incarnation_that_started_before_the_announcement_brings_no_requests(
    #[case] known: Option<u64>,
) {
    let mut registered = target("a", 5);
    registered.born = known;
    let mut directory = directory(vec![registered.clone()]);
    directory.record_departure(Incarnation::of(&registered), ANNOUNCED, Time(0));
    directory.put_target(target("a", 90_000));
    assert!(ready(&directory).is_empty());
    directory.expire_departures(Time(60_000));
    assert!(ready(&directory).is_empty());
}

/// Guards against the same where clocks differ: the restart seems to be later than the announcement.
#[rstest]
fn an_incarnation_that_started_about_when_the_target_announced_is_doubtful_for_some_time() {
    let mut directory = directory(vec![target("a", 5)]);
    directory.record_departure(Incarnation::of(&target("a", 5)), ANNOUNCED, Time(0));
    directory.put_target(target("a", 101_000));
    directory.expire_departures(Time(10_000));
    assert!(ready(&directory).is_empty());
    directory.expire_departures(Time(20_000));
    assert_eq!(ready(&directory), ["a"]);
}

/// Guards against a doubt that ends while the target still announces that it leaves.
#[rstest]
fn each_announcement_renews_the_doubt() {
    let mut directory = directory(vec![target("a", 5)]);
    let incarnation = Incarnation::of(&target("a", 5));
    directory.record_departure(incarnation, ANNOUNCED, Time(0));
    let again = Timestamp(ANNOUNCED.0 + 10_000);
    assert!(!directory.record_departure(incarnation, again, Time(10_000)));
    directory.put_target(target("a", 111_000));
    directory.expire_departures(Time(20_000));
    assert!(ready(&directory).is_empty());
    directory.put_target(target("a", RESTARTED + 10_000));
    assert_eq!(ready(&directory), ["a"]);
}

#[rstest]
fn a_departure_holds_for_a_target_that_is_registered_only_afterwards() {
    let mut directory = Directory::default();
    directory.record_departure(Incarnation::of(&target("a", 5)), ANNOUNCED, Time(0));
    directory.put_target(target("a", 5));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn a_departure_is_kept_while_the_target_is_registered_and_for_some_minutes_after() {
    let mut departures = Departures::default();
    let incarnation = Incarnation::of(&target("a", 5));
    departures.record(incarnation, ANNOUNCED, Time(0));
    for minute in 1..=60 {
        departures.expire([&target("a", 5)].into_iter(), Time(minute * 60_000));
    }
    assert!(departures.contains(incarnation));
    departures.expire(std::iter::empty(), Time(65 * 60_000));
    assert!(departures.contains(incarnation));
    departures.expire(std::iter::empty(), Time(75 * 60_000));
    assert!(!departures.contains(incarnation));
}

#[rstest]
fn a_departure_is_new_only_once_for_each_incarnation() {
    let mut departures = Departures::default();
    let first = Incarnation::of(&target("a", 5));
    let second = Incarnation::of(&target("a", 6));
    assert!(departures.record(first, ANNOUNCED, Time(0)));
    assert!(!departures.record(first, ANNOUNCED, Time(1)));
    assert!(departures.record(second, ANNOUNCED, Time(2)));
    assert!(!departures.record(first, ANNOUNCED, Time(3)));
    assert_eq!(departures.recent(Time(3)), [second]);
}

#[rstest]
fn a_departure_is_reported_for_some_seconds() {
    let mut departures = Departures::default();
    let incarnation = Incarnation::of(&target("a", 5));
    departures.record(incarnation, ANNOUNCED, Time(0));
    assert_eq!(departures.recent(Time(9_000)), [incarnation]);
    assert!(departures.recent(Time(11_000)).is_empty());
}

fn statement() -> Statement {
    Statement {
        kind: Kind::Targets,
        since: 3,
        changed: 4,
        age_ms: 200,
    }
}

fn report(departures: Vec<Incarnation>) -> Report {
    let entry: SocketAddr = ([10, 0, 0, 1], 7_780).into();
    Report {
        host: "a".into(),
        incarnation: 1,
        version: 1,
        store_reachable: true,
        history_reachable: true,
        leaving: false,
        totals: Vec::new(),
        running: vec![(7, 3)],
        cached_prefixes: Vec::new(),
        crashes: Vec::new(),
        entries: vec![entry],
        failing: departures
            .iter()
            .map(|departure| departure.target)
            .collect(),
        departures,
        knowledge: vec![statement()],
        limits: Vec::new(),
        limited_sendings: Vec::new(),
        demand: 0,
        evacuations: None,
        cold: Vec::new(),
    }
}

#[rstest]
fn a_report_carries_departures_and_failing_targets() {
    let report = report(vec![Incarnation::of(&target("a", 5))]);
    let datagram = report.encode().expect("encoded");
    assert_eq!(Report::decode(&datagram).expect("decoded"), report);
}

#[rstest]
fn reports_are_exchanged_with_builds_that_know_neither() {
    let with_departures = report(vec![Incarnation::of(&target("a", 5))]);
    let without = Report {
        knowledge: Vec::new(),
        limits: Vec::new(),
        limited_sendings: Vec::new(),
        demand: 0,
        ..report(Vec::new())
    };
    // The earlier build encodes the fields before the departures alone.
    let earlier = postcard::to_stdvec(&with_departures).expect("encoded");
    assert_eq!(Report::decode(&earlier).expect("decoded"), without);
    let datagram = with_departures.encode().expect("encoded");
    let read_by_earlier: Report = postcard::from_bytes(&datagram).expect("decoded");
    assert_eq!(read_by_earlier, without);
}

#[rstest]
fn reports_are_exchanged_with_builds_that_know_only_departures_and_failing_targets() {
    let report = report(vec![Incarnation::of(&target("a", 5))]);
    let start = postcard::to_stdvec(&report).expect("encoded");
    let appended = (&report.departures, &report.failing);
    let earlier = postcard::to_extend(&appended, start).expect("encoded");
    let without = Report {
        knowledge: Vec::new(),
        limits: Vec::new(),
        limited_sendings: Vec::new(),
        demand: 0,
        ..report.clone()
    };
    assert_eq!(Report::decode(&earlier).expect("decoded"), without);
    let datagram = report.encode().expect("encoded");
    assert!(datagram.starts_with(&earlier));
}
