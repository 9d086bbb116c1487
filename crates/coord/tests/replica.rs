//! Runs random schedules of calls, outcomes, fail-overs and sweeps, with a fixed seed, against a
//! shard's state.

mod common;

use std::collections::HashMap;

use common::answer;
use common::begin_request;
use common::budget;
use common::name;
use common::seeded;
use common::single;
use common::step;
use coord::id::Step;
use coord::id::Tokens;
use coord::record::Call;
use coord::record::Ending;
use coord::record::Outcome;
use coord::record::Record;
use coord::replica::Begin;
use coord::replica::Decision;
use coord::replica::Limits;
use coord::replica::Opening;
use coord::replica::Replica;
use proptest::prelude::*;

const PROGRAMS: [&str; 3] = ["p", "q", "p.1"];
/// Tokens of a root program and its children.
const BUDGET: u64 = 130;
const LIMITS: Limits = Limits {
    repeats: 4,
    idle_ms: 20_000,
    retention_ms: 20_000,
    ledger_ms: 100_000_000,
    entries: 100,
    bytes: 1 << 20,
    tombstones: 100,
};

#[derive(Debug, Clone)]
enum Event {
    Open(usize),
    Step {
        program: usize,
        ahead: u32,
        content: u64,
        idempotent: bool,
    },
    Single {
        request: u8,
        content: u64,
        idempotent: bool,
    },
    /// Settles the attempt that is `attempts_back` before the newest.
    Settle {
        attempts_back: usize,
        outcome: u8,
    },
    End(usize),
    /// Milliseconds that pass.
    Pass(u64),
    Sweep,
    /// The standby takes over; the flag says whether the former primary's calls are fenced off.
    FailOver(bool),
}

/// Offset from the last step: mostly 1, the next step.
fn ahead() -> impl Strategy<Value = u32> {
    prop_oneof![3 => Just(1u32), 1 => 0u32..4]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (0usize..3).prop_map(Event::Open),
        6 => (0usize..3, ahead(), 0u64..3, any::<bool>()).prop_map(
            |(program, ahead, content, idempotent)| Event::Step { program, ahead, content, idempotent }
        ),
        3 => (0u8..4, 0u64..2, any::<bool>()).prop_map(
            |(request, content, idempotent)| Event::Single { request, content, idempotent }
        ),
        6 => Just(Event::Settle { attempts_back: 0, outcome: 0 }),
        3 => (0usize..4, 0u8..4).prop_map(|(attempts_back, outcome)| Event::Settle { attempts_back, outcome }),
        1 => (2usize..3).prop_map(Event::End),
        1 => (1u64..3000).prop_map(Event::Pass),
        1 => prop_oneof![4 => Just(500), 1 => Just(20_000)].prop_map(Event::Pass),
        1 => Just(Event::Sweep),
        1 => any::<bool>().prop_map(Event::FailOver),
    ]
}

struct Shard {
    primary: Replica,
    standby: Replica,
    at_ms: u64,
    attempts: Vec<(Call, String)>,
    /// Dispatched calls that aren't idempotent, with their attempt, unless confirmed as not run.
    dispatched: HashMap<Call, String>,
    next_step: HashMap<String, u32>,
    /// Tokens that each root program and its children have used or may have used.
    used: HashMap<String, u64>,
    violations: Vec<String>,
}

impl Shard {
    fn new() -> Shard {
        let mut shard = Shard {
            primary: Replica::new(LIMITS),
            standby: Replica::new(LIMITS),
            at_ms: 1000,
            attempts: Vec::new(),
            dispatched: HashMap::new(),
            next_step: HashMap::new(),
            used: HashMap::new(),
            violations: Vec::new(),
        };
        (0..2).for_each(|program| shard.open(program));
        shard
    }

    /// Applies records to the primary and, decoded from bytes, to the standby.
    fn record(&mut self, records: Vec<Record>) {
        for record in &records {
            self.primary.apply(record);
            let bytes = postcard::to_allocvec(record).unwrap();
            self.standby.apply(&postcard::from_bytes(&bytes).unwrap());
        }
    }

    fn open(&mut self, program: usize) {
        let program = PROGRAMS[program];
        let child_budget = budget(BUDGET / 2, 20, 100_000);
        let opening = match program.contains('.') {
            true => self
                .primary
                .open_child(&name(program), &name("ana"), child_budget, self.at_ms),
            false => self.primary.open(
                &name(program),
                &name("ana"),
                budget(BUDGET, 40, 200_000),
                self.at_ms,
            ),
        };
        if let Opening::New(records) = opening {
            self.record(records);
            self.next_step.insert(program.to_owned(), 1);
        }
    }

    fn call(&mut self, call: Call, content: u64, idempotent: bool) {
        let attempt = format!("a{}", self.attempts.len());
        let begin = Begin {
            content,
            idempotent,
            at_ms: self.at_ms,
            ..begin_request(call.clone(), &attempt)
        };
        match self.primary.begin(begin) {
            Decision::Dispatch(records) => {
                self.record(records);
                self.check_dispatch(&call, idempotent, &attempt);
                self.attempts.push((call, attempt));
            }
            Decision::RecordAndRefuse(records, _) => self.record(records),
            _ => (),
        }
    }

    fn check_dispatch(&mut self, call: &Call, idempotent: bool, attempt: &str) {
        if let Some(former) = self.dispatched.get(call) {
            self.violations
                .push(format!("{call:?} runs as {attempt} after {former}"));
        }
        if !idempotent {
            self.dispatched.insert(call.clone(), attempt.to_owned());
        }
        if let Call::Step(program, Step(step)) = call {
            let next = self.next_step[program.as_str()];
            if *step != next {
                self.violations
                    .push(format!("{call:?} runs at step {next}"));
            }
        }
    }

    fn settle(&mut self, attempts_back: usize, outcome: u8) {
        let Some(index) = self.attempts.len().checked_sub(attempts_back + 1) else {
            return;
        };
        let (call, attempt) = self.attempts[index].clone();
        let outcome = match outcome {
            0 | 1 => Outcome::Answered(answer(&attempt, 20)),
            2 => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        let records = self
            .primary
            .settle(&call, &name(&attempt), outcome, self.at_ms);
        self.record_outcomes(records);
    }

    /// Updates the expected state from settled records and applies them.
    fn record_outcomes(&mut self, records: Vec<Record>) {
        for record in &records {
            let Record::Settled { call, outcome, .. } = record else {
                continue;
            };
            if let (Call::Step(program, _), Outcome::Answered(_) | Outcome::Unknown) =
                (call, outcome)
            {
                *self.used.entry(program.root().to_owned()).or_default() += 20;
            }
            let may_repeat = !self.dispatched.contains_key(call);
            match (call, outcome) {
                (_, Outcome::NotRun) => drop(self.dispatched.remove(call)),
                (Call::Step(..), Outcome::Unknown) if may_repeat => (),
                (Call::Step(program, step), _) => {
                    self.next_step.insert(program.to_string(), step.0 + 1);
                }
                (Call::Single(..), _) => (),
            }
        }
        self.record(records);
    }

    fn fail_over(&mut self, fenced: bool) {
        let bytes = self.standby.encode().unwrap();
        self.primary = Replica::decode(&bytes, LIMITS).unwrap();
        for flight in self.primary.in_flight() {
            let records = self.primary.resolve(&flight, fenced, self.at_ms);
            self.record_outcomes(records);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Open(program) => self.open(program),
            Event::Step {
                program,
                ahead,
                content,
                idempotent,
            } => {
                let program = PROGRAMS[program];
                let next = self.next_step.get(program).copied().unwrap_or(1);
                self.call(
                    step(program, (next + ahead).saturating_sub(1)),
                    content,
                    idempotent,
                );
            }
            Event::Single {
                request,
                content,
                idempotent,
            } => {
                self.call(single("ana", &format!("r{request}")), content, idempotent);
            }
            Event::Settle {
                attempts_back,
                outcome,
            } => self.settle(attempts_back, outcome),
            Event::End(program) => {
                let ended = self.primary.end(
                    &name(PROGRAMS[program]),
                    &name("ana"),
                    Ending::Finished,
                    self.at_ms,
                );
                self.record(ended.unwrap_or_default());
            }
            Event::Pass(ms) => self.at_ms += ms,
            Event::Sweep => {
                let records = self.primary.sweep(self.at_ms);
                self.record(records);
            }
            Event::FailOver(fenced) => self.fail_over(fenced),
        }
    }

    fn check(&self) {
        assert!(self.violations.is_empty(), "{:?}", self.violations);
        self.primary.verify().unwrap();
        assert!(
            self.used.values().all(|used| *used <= BUDGET),
            "a root program and its children exceed their tokens"
        );
        for (program, state) in self.primary.programs() {
            let used = state.spent.0 + state.reserved.0;
            assert!(
                Tokens(used) <= state.budget.tokens,
                "{program} exceeds its tokens"
            );
            assert!(
                state.calls <= state.budget.calls,
                "{program} exceeds its calls"
            );
            let replicated = self
                .standby
                .program(program)
                .expect("the standby has the program");
            assert_eq!(format!("{state:?}"), format!("{replicated:?}"));
        }
        assert_eq!(
            self.primary.programs().count(),
            self.standby.programs().count()
        );
        assert_eq!(self.primary.ledger().len(), self.standby.ledger().len());
    }
}

proptest! {
    #![proptest_config(seeded(500))]

    #[test]
    fn calls_run_in_order_at_most_once_and_within_budget_across_fail_overs(
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut shard = Shard::new();
        for event in events {
            shard.handle(event);
            shard.check();
        }
    }
}
