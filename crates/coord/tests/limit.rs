//! Order of what answers and reports say of a target's limit.

use coord::id::Rate;
use coord::limit::Statement;
use coord::time::Time;
use rstest::rstest;

fn statement(limit: f64, asked: u64, answered: u64) -> Statement {
    Statement {
        limit: (limit >= 0.0).then(|| Rate::try_from(limit).expect("rate")),
        asked: Time(asked),
        answered: Time(answered),
    }
}

/// No limit, as [`statement`] writes it.
const NONE: f64 = -1.0;

#[rstest]
#[case::named(NONE, 2.0)]
#[case::changed(2.0, 5.0)]
#[case::ended(2.0, NONE)]
fn an_answer_to_a_request_that_was_sent_after_the_last_answer_replaces_it(
    #[case] former: f64,
    #[case] later: f64,
) {
    let (former, later) = (statement(former, 10, 20), statement(later, 20, 40));
    assert_eq!(former.merge(later), later);
    assert_eq!(later.merge(former), later);
}

/// Guards against a limit that ends because an answer from before it arrives late.
#[rstest]
#[case::late_answer_without_a_limit(2.0, NONE)]
#[case::late_answer_with_a_higher_limit(2.0, 5.0)]
fn of_answers_that_may_have_overtaken_each_other_the_lower_limit_holds(
    #[case] lower: f64,
    #[case] higher: f64,
) {
    let (known, late) = (statement(lower, 10, 30), statement(higher, 5, 40));
    assert_eq!(known.merge(late).limit, known.limit);
    assert_eq!(late.merge(known).limit, known.limit);
}

/// Guards against a limit that never ends at a busy target, where each request is sent before the
/// answer to the last one.
#[rstest]
fn a_limit_ends_by_the_first_request_after_its_last_answer_although_others_overlap() {
    let mut known = statement(2.0, 0, 30);
    for number in 0..10 {
        known = known.merge(statement(NONE, 10 + number, 60 + number));
    }
    assert!(known.limit.is_some());
    known = known.merge(statement(NONE, 31, 71));
    assert_eq!(known.limit, None);
}

#[rstest]
fn repeated_answers_with_the_same_limit_renew_it() {
    let renewed = statement(2.0, 0, 30).merge(statement(2.0, 20, 50));
    assert_eq!(renewed, statement(2.0, 20, 50));
}
