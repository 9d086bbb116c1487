//! A program's history is whole and its own, also after a loss.

mod common;

use common::PLENTY;
use common::answer;
use common::ask;
use common::begin;
use common::budget;
use common::code;
use common::name;
use common::open;
use common::run;
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
    open(&mut replica, "p", PLENTY);
    replica
}

#[rstest]
fn the_history_is_the_whole_conversation_and_a_foreign_segment_breaks_it(mut replica: Replica) {
    run(&mut replica, "p", 1, 4);
    run(&mut replica, "p", 2, 4);
    let messages = replica.messages(&name("p")).unwrap().unwrap();
    let expected = r#"[{"role":"user","content":"hi"},{"content":"answer 1","role":"assistant"},{"role":"user","content":"hi"},{"content":"answer 2","role":"assistant"}]"#;
    assert_eq!(String::from_utf8(messages).unwrap(), expected);
    open(&mut replica, "q", budget(100, 10, 1000));
    run(&mut replica, "q", 1, 4);
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
fn the_history_reads_each_kind_of_answer(
    mut replica: Replica,
    #[case] kind: &str,
    #[case] body: &str,
    #[case] said: &str,
) {
    begin(&mut replica, ask(step("p", 1), "a"));
    let answer = coord::record::Answer {
        content_type: kind.into(),
        ..answer(body, 4)
    };
    settle(&mut replica, &step("p", 1), "a", Outcome::Answered(answer));
    let messages = replica.messages(&name("p")).unwrap().unwrap();
    let messages: serde_json::Value = serde_json::from_slice(&messages).unwrap();
    assert_eq!(messages[1]["content"], said);
}

#[rstest]
fn a_step_in_flight_at_a_loss_is_unknown_unless_idempotent(mut replica: Replica) {
    open(&mut replica, "q", PLENTY);
    begin(&mut replica, ask(step("p", 1), "a"));
    let idempotent = Begin {
        idempotent: true,
        ..ask(step("q", 1), "b")
    };
    begin(&mut replica, idempotent);
    replica.mark_lost(5000);
    assert_eq!(
        code(&replica.begin(ask(step("p", 1), "c"))),
        Code::OutcomeUnknown
    );
    let left: Vec<Call> = replica
        .in_flight()
        .into_iter()
        .map(|flight| flight.call)
        .collect();
    assert_eq!(left, [step("q", 1)]);
}

#[rstest]
fn the_next_step_after_a_loss_is_refused_as_unknown_unless_idempotent(mut replica: Replica) {
    run(&mut replica, "p", 1, 4);
    replica.mark_lost(5000);
    let idempotent = Begin {
        content: 2,
        idempotent: true,
        ..ask(step("p", 2), "b")
    };
    assert!(matches!(replica.begin(idempotent), Decision::Dispatch(_)));
    let risky = Begin {
        content: 2,
        ..ask(step("p", 2), "b")
    };
    assert_eq!(
        code(&begin(&mut replica, risky.clone())),
        Code::OutcomeUnknown
    );
    assert_eq!(code(&replica.begin(risky)), Code::OutcomeUnknown);
    assert!(matches!(
        replica.begin(Begin {
            content: 3,
            ..ask(step("p", 3), "c")
        }),
        Decision::Dispatch(_)
    ));
    assert_eq!(replica.program(&name("p")).unwrap().next_step(), Step(3));
}
