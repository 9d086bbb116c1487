//! A program's history is complete and contains only its own steps, also after a loss of state.

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
use coord::id::Step;
use coord::record::Call;
use coord::record::Outcome;
use coord::refusal::Code;
use coord::replica::Begin;
use coord::replica::Decision;
use coord::replica::Limits;
use coord::replica::Replica;
use rstest::fixture;
use rstest::rstest;

#[fixture]
fn replica() -> Replica {
    let mut replica = Replica::new(Limits::default());
    open(&mut replica, "p", LARGE_BUDGET);
    replica
}

#[rstest]
fn a_history_holds_the_whole_conversation_and_a_foreign_or_missing_segment_breaks_it(
    mut replica: Replica,
) {
    run_step(&mut replica, "p", 1, 4);
    run_step(&mut replica, "p", 2, 4);
    let messages = replica.messages(&name("p")).unwrap().unwrap();
    let expected = r#"[{"role":"user","content":"hi"},{"content":"answer 1","role":"assistant"},{"role":"user","content":"hi"},{"content":"answer 2","role":"assistant"}]"#;
    assert_eq!(String::from_utf8(messages).unwrap(), expected);
    open(&mut replica, "q", budget(100, 10, 1000));
    run_step(&mut replica, "q", 1, 4);
    let foreign = replica.history(&name("q")).unwrap().segments[0].clone();
    let mut mixed = replica.history(&name("p")).unwrap();
    mixed.segments[0] = foreign;
    assert!(mixed.messages().is_err());
    let mut gap = replica.history(&name("p")).unwrap();
    gap.segments.remove(0);
    assert!(gap.verify().is_err());
}

#[rstest]
#[case::completion(
    "application/json",
    r#"{"choices":[{"message":{"role":"assistant","content":"yes"}}]}"#,
    "yes"
)]
#[case::stream(
    "text/event-stream; charset=utf-8",
    "data: {\"choices\":[{\"delta\":{\"content\":\"y\"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"es\"}}]}\n\ndata: [DONE]\n\n",
    "yes"
)]
#[case::text("text/plain", "yes", "yes")]
fn a_history_holds_the_text_of_each_kind_of_answer(
    mut replica: Replica,
    #[case] content_type: &str,
    #[case] body: &str,
    #[case] expected: &str,
) {
    begin_and_apply(&mut replica, begin_request(step("p", 1), "a"));
    let answer = coord::record::Answer {
        content_type: content_type.into(),
        ..answer(body, 4)
    };
    settle(&mut replica, &step("p", 1), "a", Outcome::Answered(answer));
    let messages = replica.messages(&name("p")).unwrap().unwrap();
    let messages: serde_json::Value = serde_json::from_slice(&messages).unwrap();
    assert_eq!(messages[1]["content"], expected);
}

#[rstest]
fn a_step_in_flight_at_a_loss_of_state_is_unknown_unless_idempotent(mut replica: Replica) {
    open(&mut replica, "q", LARGE_BUDGET);
    begin_and_apply(&mut replica, begin_request(step("p", 1), "a"));
    let idempotent = Begin {
        idempotent: true,
        ..begin_request(step("q", 1), "b")
    };
    begin_and_apply(&mut replica, idempotent);
    replica.mark_lost(5000);
    assert_eq!(
        refusal_code(&replica.begin(begin_request(step("p", 1), "c"))),
        Code::OutcomeUnknown
    );
    let in_flight: Vec<Call> = replica
        .in_flight()
        .into_iter()
        .map(|in_flight| in_flight.call)
        .collect();
    assert_eq!(in_flight, [step("q", 1)]);
}

#[rstest]
fn the_next_step_after_a_loss_of_state_is_refused_as_unknown_unless_idempotent(
    mut replica: Replica,
) {
    run_step(&mut replica, "p", 1, 4);
    replica.mark_lost(5000);
    let idempotent = Begin {
        content: 2,
        idempotent: true,
        ..begin_request(step("p", 2), "b")
    };
    assert!(matches!(replica.begin(idempotent), Decision::Dispatch(_)));
    let not_idempotent = Begin {
        content: 2,
        ..begin_request(step("p", 2), "b")
    };
    assert_eq!(
        refusal_code(&begin_and_apply(&mut replica, not_idempotent.clone())),
        Code::OutcomeUnknown
    );
    assert_eq!(
        refusal_code(&replica.begin(not_idempotent)),
        Code::OutcomeUnknown
    );
    assert!(matches!(
        replica.begin(Begin {
            content: 3,
            ..begin_request(step("p", 3), "c")
        }),
        Decision::Dispatch(_)
    ));
    assert_eq!(replica.program(&name("p")).unwrap().next_step(), Step(3));
}
