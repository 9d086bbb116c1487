//! A program's steps run in order, at most once and within budget, and every program ends.

mod common;

use common::LARGE_BUDGET;
use common::answer;
use common::begin_and_apply;
use common::begin_request;
use common::budget;
use common::name;
use common::open;
use common::refusal_code;
use common::run_step;
use common::settle;
use common::step;
use coord::id::Tokens;
use coord::record::Budget;
use coord::record::Ending;
use coord::record::Outcome;
use coord::record::Record;
use coord::refusal::Code;
use coord::refusal::Ran;
use coord::replica::Begin;
use coord::replica::Decision;
use coord::replica::Limits;
use coord::replica::Opening;
use coord::replica::Replica;
use rstest::fixture;
use rstest::rstest;

#[fixture]
fn replica() -> Replica {
    opened(LARGE_BUDGET)
}

fn opened(budget: Budget) -> Replica {
    let mut replica = Replica::new(Limits::default());
    open(&mut replica, "p", budget);
    replica
}

#[rstest]
fn a_step_ahead_of_its_turn_waits_until_the_step_before_it_is_answered(mut replica: Replica) {
    let second = begin_request(step("p", 2), "b");
    assert!(matches!(replica.begin(second.clone()), Decision::Early));
    begin_and_apply(&mut replica, begin_request(step("p", 1), "a"));
    assert!(matches!(replica.begin(second.clone()), Decision::Early));
    settle(
        &mut replica,
        &step("p", 1),
        "a",
        Outcome::Answered(answer("x", 4)),
    );
    assert!(matches!(replica.begin(second), Decision::Dispatch(_)));
}

#[rstest]
fn a_repeated_step_attaches_to_the_call_in_flight_and_later_gets_the_recorded_answer(
    mut replica: Replica,
) {
    let first = begin_request(step("p", 1), "a");
    begin_and_apply(&mut replica, first.clone());
    assert!(matches!(replica.begin(first.clone()), Decision::Attach));
    settle(
        &mut replica,
        &step("p", 1),
        "a",
        Outcome::Answered(answer("x", 4)),
    );
    match replica.begin(first) {
        Decision::Replay(replayed) => assert_eq!(replayed.body, b"x"),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::current(2, Code::Conflict)]
#[case::stale(1, Code::OutOfOrder)]
#[case::zero(0, Code::BadRequest)]
fn a_step_with_other_content_is_refused(
    mut replica: Replica,
    #[case] number: u32,
    #[case] expected: Code,
) {
    run_step(&mut replica, "p", 1, 4);
    run_step(&mut replica, "p", 2, 4);
    let other = Begin {
        content: 99,
        ..begin_request(step("p", number), "b")
    };
    assert_eq!(refusal_code(&replica.begin(other)), expected);
}

#[rstest]
fn a_step_in_flight_with_other_content_is_a_conflict(mut replica: Replica) {
    begin_and_apply(&mut replica, begin_request(step("p", 1), "a"));
    let other = Begin {
        content: 99,
        ..begin_request(step("p", 1), "b")
    };
    assert_eq!(refusal_code(&replica.begin(other)), Code::Conflict);
}

#[rstest]
fn another_customers_program_is_refused_like_an_unknown_one(mut replica: Replica) {
    run_step(&mut replica, "p", 1, 4);
    let refused = |program: &str| {
        let foreign = Begin {
            customer: name("eva"),
            ..begin_request(step(program, 1), "b")
        };
        match replica.begin(foreign) {
            Decision::Refuse(refusal) => refusal,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(refused("p"), refused("none"));
    let end = |program: &str| replica.end(&name(program), &name("eva"), Ending::Cancelled, 1);
    assert_eq!(end("p").unwrap_err(), end("none").unwrap_err());
}

#[rstest]
fn an_unknown_outcome_is_final_for_a_call_that_is_not_idempotent(mut replica: Replica) {
    let first = begin_request(step("p", 1), "a");
    begin_and_apply(&mut replica, first.clone());
    settle(&mut replica, &step("p", 1), "a", Outcome::Unknown);
    match replica.begin(first) {
        Decision::Refuse(refusal) => {
            assert_eq!(
                (refusal.code, refusal.ran),
                (Code::OutcomeUnknown, Ran::Unknown)
            );
            assert_eq!(refusal.retry_after, None);
        }
        other => panic!("{other:?}"),
    }
    assert!(matches!(
        replica.begin(begin_request(step("p", 2), "b")),
        Decision::Dispatch(_)
    ));
    assert_eq!(replica.program(&name("p")).unwrap().spent, Tokens(20));
}

#[rstest]
fn an_idempotent_call_with_an_unknown_outcome_is_dispatched_again_and_stays_charged(
    mut replica: Replica,
) {
    let call = step("p", 1);
    let first = Begin {
        idempotent: true,
        ..begin_request(call.clone(), "a")
    };
    begin_and_apply(&mut replica, first.clone());
    settle(&mut replica, &call, "a", Outcome::Unknown);
    assert!(matches!(
        replica.begin(begin_request(step("p", 2), "c")),
        Decision::Early
    ));
    let again = Begin {
        attempt: name("b"),
        ..first
    };
    assert!(matches!(
        begin_and_apply(&mut replica, again),
        Decision::Dispatch(_)
    ));
    replica.apply(&Record::Settled {
        call: call.clone(),
        attempt: name("a"),
        outcome: Outcome::Answered(answer("late", 4)),
        at_ms: 2000,
    });
    assert_eq!(
        settle(
            &mut replica,
            &call,
            "a",
            Outcome::Answered(answer("late", 4))
        ),
        0
    );
    assert_eq!(
        settle(&mut replica, &call, "b", Outcome::Answered(answer("x", 4))),
        1
    );
    assert_eq!(replica.program(&name("p")).unwrap().spent, Tokens(24));
}

#[rstest]
fn a_call_that_did_not_run_is_not_charged_and_may_change_its_content(mut replica: Replica) {
    begin_and_apply(&mut replica, begin_request(step("p", 1), "a"));
    settle(&mut replica, &step("p", 1), "a", Outcome::NotRun);
    let program = replica.program(&name("p")).unwrap();
    assert_eq!(
        (program.tokens_left(), program.calls_left()),
        (Tokens(1000), 100)
    );
    let changed = Begin {
        content: 2,
        ..begin_request(step("p", 1), "b")
    };
    assert!(matches!(replica.begin(changed), Decision::Dispatch(_)));
}

#[rstest]
#[case::tokens(budget(25, 100, 1_000_000), 1000, true)]
#[case::calls(budget(1000, 1, 1_000_000), 1000, true)]
#[case::wall_clock(budget(1000, 100, 500), 1500, true)]
#[case::answer_too_long(budget(39, 100, 1_000_000), 1000, false)]
fn a_step_over_the_programs_budget_is_refused(
    #[case] budget: Budget,
    #[case] at_ms: u64,
    #[case] ends: bool,
) {
    let mut replica = opened(budget);
    run_step(&mut replica, "p", 1, 20);
    let next = Begin {
        content: 2,
        at_ms,
        ..begin_request(step("p", 2), "b")
    };
    let decision = begin_and_apply(&mut replica, next.clone());
    assert_eq!(refusal_code(&decision), Code::Budget);
    assert_eq!(matches!(decision, Decision::RecordAndRefuse(..)), ends);
    let expected = if ends { Code::Ended } else { Code::Budget };
    assert_eq!(refusal_code(&replica.begin(next)), expected);
}

#[rstest]
fn a_program_that_repeats_the_same_call_too_often_ends(mut replica: Replica) {
    let limit = Limits::default().repeats;
    for number in 1..=limit {
        let call = step("p", number);
        assert!(matches!(
            begin_and_apply(&mut replica, begin_request(call.clone(), "a")),
            Decision::Dispatch(_)
        ));
        settle(
            &mut replica,
            &call,
            "a",
            Outcome::Answered(answer("same", 2)),
        );
    }
    let next = begin_request(step("p", limit + 1), "b");
    assert_eq!(
        refusal_code(&begin_and_apply(&mut replica, next.clone())),
        Code::Looped
    );
    assert_eq!(refusal_code(&replica.begin(next)), Code::Ended);
}

#[rstest]
fn a_childs_budget_is_reserved_from_its_parent_and_the_unused_rest_is_returned(
    mut replica: Replica,
) {
    run_step(&mut replica, "p", 1, 20);
    open(&mut replica, "p.1", budget(500, 10, 1000));
    assert!(matches!(
        replica.open_child(&name("p.1"), &name("ana"), budget(500, 10, 1000), 1),
        Opening::AlreadyOpen
    ));
    assert_eq!(
        replica.program(&name("p")).unwrap().tokens_left(),
        Tokens(480)
    );
    let over_parents_budget =
        replica.open_child(&name("p.2"), &name("ana"), budget(481, 1, 1000), 1);
    assert!(
        matches!(over_parents_budget, Opening::Refuse(refusal) if refusal.code == Code::Budget)
    );
    run_step(&mut replica, "p.1", 1, 20);
    for record in replica
        .end(&name("p.1"), &name("ana"), Ending::Finished, 3000)
        .unwrap()
    {
        replica.apply(&record);
    }
    let program = replica.program(&name("p")).unwrap();
    assert_eq!(
        (program.tokens_left(), program.calls_left()),
        (Tokens(960), 98)
    );
}

#[rstest]
fn ending_a_program_ends_its_children_and_keeps_recorded_answers(mut replica: Replica) {
    run_step(&mut replica, "p", 1, 4);
    open(&mut replica, "p.1", budget(10, 1, 1000));
    open(&mut replica, "p.1.1", budget(5, 1, 1000));
    let records = replica
        .end(&name("p"), &name("ana"), Ending::Cancelled, 3000)
        .unwrap();
    records.iter().for_each(|record| replica.apply(record));
    assert!(
        replica
            .programs()
            .all(|(_, program)| program.ended.is_some())
    );
    let again = begin_request(step("p", 1), "b");
    assert!(matches!(replica.begin(again), Decision::Replay(_)));
    assert_eq!(
        refusal_code(&replica.begin(begin_request(step("p", 2), "b"))),
        Code::Ended
    );
    let child = replica.open_child(&name("p.2"), &name("ana"), budget(1, 1, 1), 3000);
    assert!(matches!(child, Opening::Refuse(refusal) if refusal.code == Code::Ended));
}

#[rstest]
fn the_sweep_ends_idle_programs_but_not_busy_ones_and_drops_ended_ones(mut replica: Replica) {
    let limits = Limits::default();
    let unlimited_time = budget(100, 10, u64::MAX);
    let sweep = |replica: &mut Replica, at_ms: u64| {
        let records = replica.sweep(at_ms);
        records.iter().for_each(|record| replica.apply(record));
        records
    };
    for program in ["q", "r"] {
        open(&mut replica, program, unlimited_time);
    }
    open(&mut replica, "q.1", budget(50, 5, u64::MAX));
    begin_and_apply(&mut replica, begin_request(step("r", 1), "a"));
    begin_and_apply(&mut replica, begin_request(step("q.1", 1), "a"));
    let later = 1000 + limits.idle_ms.max(LARGE_BUDGET.wall_ms);
    // `r` and `q.1` have calls in flight and `q` has an open child; only `p` ends.
    let ended = sweep(&mut replica, later);
    let expected = Record::Ended {
        program: name("p"),
        reason: Ending::Budget,
        at_ms: later,
    };
    assert_eq!(ended, [expected]);
    sweep(&mut replica, later + limits.retention_ms);
    assert!(replica.program(&name("p")).is_none());
    settle(&mut replica, &step("q.1", 1), "a", Outcome::NotRun);
    let ended = sweep(&mut replica, later + limits.idle_ms);
    assert!(
        matches!(&ended[..], [Record::Ended { program, reason: Ending::Idle, .. }] if *program == name("q.1"))
    );
}
