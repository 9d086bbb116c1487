//! Helpers shared by the tests.
#![allow(dead_code)]

use coord::id::Tokens;
use coord::record::Answer;
use coord::record::Budget;
use coord::record::Call;
use coord::record::Outcome;
use coord::refusal::Code;
use coord::replica::Begin;
use coord::replica::Decision;
use coord::replica::Opening;
use coord::replica::Replica;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Proptest configuration with a fixed seed, so that every run checks the same cases.
pub fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x7ea5_e11e),
        failure_persistence: None,
        ..Config::default()
    }
}

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

pub fn step(program: &str, step: u32) -> Call {
    Call::Step(name(program), coord::id::Step(step))
}

pub fn single(customer: &str, request: &str) -> Call {
    Call::Single(name(customer), name(request))
}

/// Request of customer `ana` with content 1, a prompt of 10 tokens and an answer of at most 10.
pub fn begin_request(call: Call, attempt: &str) -> Begin {
    Begin {
        sender: "node-1".parse().expect("valid name"),
        call,
        customer: name("ana"),
        attempt: name(attempt),
        target: name("gpu-1"),
        content: 1,
        input: br#"[{"role":"user","content":"hi"}]"#.to_vec(),
        model: None,
        estimate: Tokens(10),
        max_tokens: Tokens(10),
        idempotent: false,
        fresh: false,
        at_ms: 1000,
    }
}

/// Successful plain-text answer; half of `tokens` are prompt tokens.
pub fn answer(text: &str, tokens: u64) -> Answer {
    Answer {
        status: 200,
        content_type: "text/plain".into(),
        body: text.as_bytes().to_vec(),
        prompt_tokens: Tokens(tokens / 2),
        cached_tokens: Tokens(0),
        completion_tokens: Tokens(tokens - tokens / 2),
        finish: "stop".into(),
    }
}

pub fn budget(tokens: u64, calls: u64, wall_ms: u64) -> Budget {
    Budget {
        tokens: Tokens(tokens),
        calls,
        wall_ms,
    }
}

pub const LARGE_BUDGET: Budget = Budget {
    tokens: Tokens(1000),
    calls: 100,
    wall_ms: 1_000_000,
};

/// Opens a program, or a child if the name contains a dot, and applies the records.
pub fn open(replica: &mut Replica, program: &str, budget: Budget) {
    let opening = match program.contains('.') {
        true => replica.open_child(&name(program), &name("ana"), budget, 1000),
        false => replica.open(&name(program), &name("ana"), budget, 1000),
    };
    match opening {
        Opening::New(records) => records.iter().for_each(|record| replica.apply(record)),
        other => panic!("not opened: {other:?}"),
    }
}

/// Decides on a request and applies the records of the decision.
pub fn begin_and_apply(replica: &mut Replica, begin: Begin) -> Decision {
    let decision = replica.begin(begin);
    if let Decision::Dispatch(records) | Decision::RecordAndRefuse(records, _) = &decision {
        records.iter().for_each(|record| replica.apply(record));
    }
    decision
}

/// Settles a call and applies the records; returns the number of records.
pub fn settle(replica: &mut Replica, call: &Call, attempt: &str, outcome: Outcome) -> usize {
    let records = replica.settle(call, &name(attempt), outcome, 2000);
    records.iter().for_each(|record| replica.apply(record));
    records.len()
}

/// Dispatches a step and settles it with an answer; `tokens` is the charge.
pub fn run_step(replica: &mut Replica, program: &str, number: u32, tokens: u64) {
    let call = step(program, number);
    let begin = Begin {
        content: u64::from(number),
        ..begin_request(call.clone(), "a")
    };
    assert!(matches!(
        begin_and_apply(replica, begin),
        Decision::Dispatch(_)
    ));
    let outcome = Outcome::Answered(answer(&format!("answer {number}"), tokens));
    assert_eq!(settle(replica, &call, "a", outcome), 1);
}

pub fn refusal_code(decision: &Decision) -> Code {
    match decision {
        Decision::Refuse(refusal) | Decision::RecordAndRefuse(_, refusal) => refusal.code,
        other => panic!("not refused: {other:?}"),
    }
}
