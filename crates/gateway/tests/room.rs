//! Room for requests in a service of which some targets name limits.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use coord::allotment::Holder;
use coord::id::Rate;
use coord::limit::Statement;
use coord::time::Time;
use gateway::adapter::Stage;
use gateway::adapter::Target;
use gateway::target::departure::Incarnation;
use gateway::target::directory::Candidate;
use gateway::target::limits::Limits;
use gateway::target::limits::Source;
use gateway::target::permit::Choice;
use gateway::target::room;
use parking_lot::Mutex;
use rstest::rstest;

/// A target with six slots.
fn candidate(id: &str, running: u32) -> Candidate {
    let candidate = Candidate {
        target: Target {
            id: id.into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 80).into(),
            data_centre: "a".parse().expect("name"),
            stage: Stage::Ready,
            slots: 6,
            born: Some(1),
            version: None,
            cold: Some(std::time::Duration::ZERO),
        },
        load: Arc::default(),
        sole_of_version: false,
    };
    candidate.load.running.store(running, Ordering::Relaxed);
    candidate
}

/// Limits of a lone entry, by which the first target takes one request a second.
fn limits(targets: &[Candidate]) -> Limits {
    let mut limits = Limits::default();
    let only = Holder {
        entry: 1,
        weight: 1.0,
    };
    limits.divide(1, vec![only], Time(0));
    let statement = Statement {
        limit: Some(Rate::try_from(1.0).expect("rate")),
        asked: Time(0),
        answered: Time(100),
    };
    let incarnation = Incarnation::of(&targets[0].target);
    limits.merge(
        incarnation,
        statement,
        Source::Answer("a".into()),
        Time(100),
    );
    limits
}

#[rstest]
fn without_limits_every_target_has_room() {
    let targets = [candidate("a", 500), candidate("b", 0)];
    let limits = Limits::default();
    let has_room = room::has_room(&limits, &targets, true, Time(0));
    assert!(targets.iter().all(has_room));
}

/// Guards against requests that wait until their deadline at the targets without a limit, which get what
/// limits keep from the others.
#[rstest]
#[case::first_turn(true, 17, 18)]
#[case::under_way(false, 23, 24)]
fn a_full_target_has_no_room_while_others_of_its_service_have_limits(
    #[case] is_first_turn: bool,
    #[case] most: u32,
    #[case] too_many: u32,
) {
    let targets = [
        candidate("a", 0),
        candidate("b", most),
        candidate("c", too_many),
    ];
    let limits = limits(&targets);
    let has_room = room::has_room(&limits, &targets, is_first_turn, Time(100));
    assert!(has_room(&targets[1]));
    assert!(!has_room(&targets[2]));
}

#[rstest]
fn a_limited_target_has_room_when_its_limit_allows_a_request() {
    let targets = [candidate("a", 0), candidate("b", 0)];
    let limits = limits(&targets);
    for (at, expected) in [(100, false), (600, false), (1_200, true)] {
        let has_room = room::has_room(&limits, &targets, false, Time(at));
        assert_eq!(has_room(&targets[0]), expected, "{at}");
    }
}

/// Guards against limits that are used up by requests that were never sent.
#[rstest]
fn a_choice_that_is_dropped_gives_its_request_back_to_the_limit() {
    let target = candidate("t0", 0);
    let incarnation = Incarnation::of(&target.target);
    let limits = Arc::new(Mutex::new(limits(std::slice::from_ref(&target))));
    let now = Time(1_500);
    for _ in 0..3 {
        assert!(limits.lock().is_open(incarnation, now));
        let choice = {
            let mut locked = limits.lock();
            Choice::reserve(target.clone(), &limits, &mut locked, now)
        };
        assert!(!limits.lock().is_open(incarnation, now));
        drop(choice);
    }
    assert!(limits.lock().is_open(incarnation, now));
}
