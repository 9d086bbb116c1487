//! A request that isn't idempotent is dispatched at most once, and the ledger is bounded.

mod common;

use common::answer;
use common::begin_and_apply;
use common::begin_request;
use common::name;
use common::single;
use coord::id::Customer;
use coord::record::Outcome;
use coord::refusal::Code;
use coord::refusal::Ran;
use coord::replica::Begin;
use coord::replica::Decision;
use coord::replica::Limits;
use coord::replica::Replica;
use rstest::rstest;

fn settle(replica: &mut Replica, request: &str, attempt: &str, outcome: Outcome) -> usize {
    common::settle(replica, &single("ana", request), attempt, outcome)
}

fn request(request: &str, attempt: &str) -> Begin {
    begin_request(single("ana", request), attempt)
}

#[derive(Debug, PartialEq)]
enum Kind {
    Dispatch,
    Replay,
    Attach,
    Refuse(Code, Ran),
}

fn kind(decision: Decision) -> Kind {
    match decision {
        Decision::Dispatch(_) => Kind::Dispatch,
        Decision::Replay(_) => Kind::Replay,
        Decision::Attach => Kind::Attach,
        Decision::Refuse(refusal) | Decision::RecordAndRefuse(_, refusal) => {
            Kind::Refuse(refusal.code, refusal.ran)
        }
        Decision::Early => panic!("a single request has no earlier step to wait for"),
    }
}

const UNKNOWN: Kind = Kind::Refuse(Code::OutcomeUnknown, Ran::Unknown);

#[rstest]
#[case::in_flight(None, false, Kind::Attach)]
#[case::answered(Some(Outcome::Answered(answer("x", 2))), false, Kind::Replay)]
#[case::not_run(Some(Outcome::NotRun), false, Kind::Dispatch)]
#[case::unknown(Some(Outcome::Unknown), false, UNKNOWN)]
#[case::unknown_but_idempotent(Some(Outcome::Unknown), true, Kind::Dispatch)]
fn a_repeated_request_is_decided_by_its_recorded_outcome(
    #[case] outcome: Option<Outcome>,
    #[case] idempotent: bool,
    #[case] expected: Kind,
) {
    let mut replica = Replica::default();
    let attempt = |attempt: &str| Begin {
        idempotent,
        ..request("r", attempt)
    };
    assert_eq!(
        kind(begin_and_apply(&mut replica, attempt("a"))),
        Kind::Dispatch
    );
    if let Some(outcome) = outcome {
        settle(&mut replica, "r", "a", outcome);
    }
    assert_eq!(kind(replica.begin(attempt("b"))), expected);
}

#[test]
fn a_request_name_is_bound_to_its_content_and_unique_per_customer() {
    let mut replica = Replica::default();
    begin_and_apply(&mut replica, request("r", "a"));
    let other_content = Begin {
        content: 2,
        ..request("r", "b")
    };
    assert_eq!(
        kind(replica.begin(other_content)),
        Kind::Refuse(Code::Conflict, Ran::No)
    );
    let eva: Customer = name("eva");
    let same_name_of_eva = Begin {
        customer: eva.clone(),
        ..begin_request(single("eva", "r"), "c")
    };
    assert_eq!(kind(replica.begin(same_name_of_eva)), Kind::Dispatch);
    let other_customers_name = Begin {
        customer: eva,
        ..request("r", "d")
    };
    assert_eq!(
        kind(replica.begin(other_customers_name)),
        Kind::Refuse(Code::NotFound, Ran::No)
    );
}

#[test]
fn only_the_attempt_in_flight_settles_a_request_and_only_once() {
    let mut replica = Replica::default();
    begin_and_apply(&mut replica, request("r", "a"));
    settle(&mut replica, "r", "a", Outcome::NotRun);
    begin_and_apply(&mut replica, request("r", "b"));
    assert_eq!(
        settle(&mut replica, "r", "a", Outcome::Answered(answer("old", 2))),
        0
    );
    assert_eq!(
        settle(&mut replica, "r", "b", Outcome::Answered(answer("new", 2))),
        1
    );
    assert_eq!(settle(&mut replica, "r", "b", Outcome::Unknown), 0);
    assert_eq!(kind(replica.begin(request("r", "c"))), Kind::Replay);
}

#[test]
fn a_new_primary_resolves_the_requests_in_flight() {
    let mut replica = Replica::default();
    for request in ["fenced", "silent"] {
        begin_and_apply(&mut replica, self::request(request, request));
    }
    let bytes = replica.encode().unwrap();
    let mut replica = Replica::decode(&bytes, Limits::default()).unwrap();
    for flight in replica.in_flight() {
        let fenced = flight.attempt == name("fenced");
        let records = replica.resolve(&flight, fenced, 3000);
        records.iter().for_each(|record| replica.apply(record));
    }
    assert!(replica.in_flight().is_empty());
    assert_eq!(kind(replica.begin(request("fenced", "b"))), Kind::Dispatch);
    assert_eq!(kind(replica.begin(request("silent", "b"))), UNKNOWN);
}

#[test]
fn after_a_loss_of_state_names_that_may_predate_it_are_unknown_while_tombstones_are_kept() {
    let limits = Limits::default();
    let mut replica = Replica::new(limits);
    for request in ["in-flight", "not-run", "answered"] {
        begin_and_apply(&mut replica, self::request(request, "a"));
    }
    settle(&mut replica, "not-run", "a", Outcome::NotRun);
    settle(
        &mut replica,
        "answered",
        "a",
        Outcome::Answered(answer("x", 2)),
    );
    replica.mark_lost(5000);
    let at = |name: &str, at_ms: u64| Begin {
        at_ms,
        ..request(name, "b")
    };
    for name in ["in-flight", "not-run", "never-seen"] {
        assert_eq!(
            kind(begin_and_apply(&mut replica, at(name, 6000))),
            UNKNOWN,
            "{name}"
        );
    }
    assert_eq!(kind(replica.begin(at("answered", 6000))), Kind::Replay);
    let fresh = Begin {
        fresh: true,
        ..at("fresh", 6000)
    };
    assert_eq!(kind(replica.begin(fresh)), Kind::Dispatch);
    let idempotent = Begin {
        idempotent: true,
        ..at("idempotent", 6000)
    };
    assert_eq!(kind(replica.begin(idempotent)), Kind::Dispatch);
    let after = 5000 + limits.ledger_ms;
    assert_eq!(kind(replica.begin(at("never-seen", after))), UNKNOWN);
    assert_eq!(kind(replica.begin(at("later", after))), Kind::Dispatch);
}

#[test]
fn a_dropped_name_stays_unknown_and_a_full_ledger_refuses_new_names() {
    let limits = Limits {
        entries: 4,
        tombstones: 2,
        ..Limits::default()
    };
    let mut replica = Replica::new(limits);
    let sweep = |replica: &mut Replica, at_ms: u64| {
        let records = replica.sweep(at_ms);
        records.iter().for_each(|record| replica.apply(record));
        replica.ledger().len()
    };
    let full = || Kind::Refuse(Code::Overloaded, Ran::No);
    let at = |name: &str, at_ms: u64| Begin {
        at_ms,
        ..request(name, name)
    };
    for name in ["a", "b", "c", "d"] {
        let idempotent = name == "a";
        begin_and_apply(
            &mut replica,
            Begin {
                idempotent,
                ..request(name, name)
            },
        );
    }
    assert_eq!(kind(replica.begin(request("e", "e"))), full());
    for name in ["a", "b", "c"] {
        settle(&mut replica, name, name, Outcome::Answered(answer("x", 2)));
    }
    assert_eq!(sweep(&mut replica, 1000), 4);
    assert_eq!(sweep(&mut replica, 1001), 1);
    assert_eq!(kind(replica.begin(request("b", "f"))), UNKNOWN);
    assert_eq!(kind(replica.begin(request("e", "e"))), full());
    let later = 1001 + limits.ledger_ms;
    let idempotent = Begin {
        idempotent: true,
        ..at("d", later)
    };
    replica.apply(&idempotent.into_record());
    assert_eq!(kind(replica.begin(at("e", later))), Kind::Dispatch);
}

#[test]
fn answers_are_kept_for_the_retention_time_and_requests_in_flight_are_never_dropped() {
    let limits = Limits::default();
    let mut replica = Replica::new(limits);
    for name in ["a", "b"] {
        begin_and_apply(&mut replica, request(name, name));
    }
    settle(&mut replica, "a", "a", Outcome::Answered(answer("x", 2)));
    let one_byte = Limits { bytes: 1, ..limits };
    let mut small = Replica::decode(&replica.encode().unwrap(), one_byte).unwrap();
    let full = Kind::Refuse(Code::Overloaded, Ran::No);
    assert_eq!(kind(small.begin(request("c", "c"))), full);
    let records = small.sweep(1001);
    records.iter().for_each(|record| small.apply(record));
    assert_eq!(kind(small.begin(request("c", "c"))), Kind::Dispatch);
    assert_eq!(replica.sweep(1000 + limits.retention_ms), []);
    assert_eq!(replica.sweep(1001 + limits.retention_ms).len(), 1);
}
