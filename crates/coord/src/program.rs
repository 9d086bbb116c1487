//! State of one program: its steps in order, its history, its budget and its end.
//!
//! Step `k + 1` starts only once step `k` has an answer or, for a call that isn't idempotent, a
//! final outcome. A child's budget is a share of its parent's, reserved while the child is open.

use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::Begin;
use crate::decision::Decision;
use crate::decision::InFlightCall;
use crate::id;
use crate::id::Attempt;
use crate::id::Customer;
use crate::id::Step;
use crate::id::Target;
use crate::id::Tokens;
use crate::ledger;
use crate::ledger::Entry;
use crate::ledger::State;
use crate::record::Answer;
use crate::record::Budget;
use crate::record::Call;
use crate::record::Ending;
use crate::record::Outcome;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::replica::Limits;
use crate::segment::History;
use crate::segment::Link;
use crate::segment::Segment;

/// One program's state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Program {
    pub customer: Customer,
    pub budget: Budget,
    /// Tokens used, including the full reservation of calls with an unknown outcome.
    pub spent: Tokens,
    /// Tokens reserved for the call in flight and for open children.
    pub reserved: Tokens,
    /// Calls used or reserved for open children.
    pub calls: u64,
    /// Number of children opened so far.
    pub children: u32,
    /// Unix time in milliseconds.
    pub opened_ms: u64,
    /// Time of the last change, Unix time in milliseconds.
    pub touched_ms: u64,
    /// Why and when the program ended, Unix time in milliseconds.
    pub ended: Option<(Ending, u64)>,
    /// Model engine that received the newest step; its cache may hold the history.
    pub engine: Option<Target>,
    /// Opened before a loss of state, with no step dispatched since.
    pub(crate) predates_loss: bool,
    segments: Vec<Arc<Segment>>,
    /// Dispatched step without a final outcome.
    pending: Option<Turn>,
}

/// A dispatched step without a final outcome.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Turn {
    pub(crate) entry: Entry,
    #[serde(with = "crate::bytes")]
    pub(crate) input: Vec<u8>,
    pub(crate) reserved: Tokens,
    /// Whether the target is a model engine.
    pub(crate) engine: bool,
}

impl fmt::Debug for Turn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.entry)
    }
}

/// Outcome of a step's attempt.
pub(crate) struct Settled<'a> {
    pub(crate) step: Step,
    pub(crate) attempt: &'a Attempt,
    pub(crate) outcome: &'a Outcome,
    pub(crate) at_ms: u64,
}

/// Result for a step that isn't dispatched.
pub(crate) enum Verdict {
    Decided(Decision),
    /// The step is refused and the program ends.
    EndProgram(Ending, Refusal),
}

impl Program {
    /// Creates a newly opened program.
    pub fn new(customer: Customer, budget: Budget, at_ms: u64) -> Program {
        Program {
            customer,
            budget,
            spent: Tokens(0),
            reserved: Tokens(0),
            calls: 0,
            children: 0,
            opened_ms: at_ms,
            touched_ms: at_ms,
            ended: None,
            engine: None,
            predates_loss: false,
            segments: Vec::new(),
            pending: None,
        }
    }

    /// Number of the newest dispatched step, 0 before the first.
    pub fn last_step(&self) -> Step {
        Step(self.segments.len() as u32 + u32::from(self.pending.is_some()))
    }

    /// First step without a final outcome: the only one that may be dispatched.
    pub fn next_step(&self) -> Step {
        Step(self.segments.len() as u32 + 1)
    }

    /// Tokens neither used nor reserved.
    pub fn tokens_left(&self) -> Tokens {
        let taken = self.spent.0.saturating_add(self.reserved.0);
        Tokens(self.budget.tokens.0.saturating_sub(taken))
    }

    /// Calls neither used nor reserved.
    pub fn calls_left(&self) -> u64 {
        self.budget.calls.saturating_sub(self.calls)
    }

    /// Milliseconds of wall-clock time left at Unix time `at_ms`.
    pub fn wall_ms_left(&self, at_ms: u64) -> u64 {
        let used = at_ms.saturating_sub(self.opened_ms);
        self.budget.wall_ms.saturating_sub(used)
    }

    /// Tokens of the conversation so far, from the newest answer that reports a count, else 0.
    pub fn history_tokens(&self) -> Tokens {
        let answers = self.segments.iter().rev();
        let counted = answers.filter_map(|segment| segment.answer.as_ref());
        let tokens = counted.map(|a| a.prompt_tokens.0 + a.completion_tokens.0);
        Tokens(tokens.into_iter().find(|count| *count > 0).unwrap_or(0))
    }

    /// Snapshot of the history, to be verified and encoded without holding the shard's lock.
    pub fn history(&self, name: &id::Program) -> History {
        History {
            program: name.clone(),
            segments: self.segments.clone(),
        }
    }

    /// Whether a call is in flight.
    pub fn is_busy(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|turn| matches!(turn.entry.state, State::InFlight))
    }

    /// Returns the step in flight.
    pub fn in_flight(&self, name: &id::Program) -> Option<InFlightCall> {
        let turn = self.pending.as_ref()?;
        turn.entry
            .in_flight_call(|| Call::Step(name.clone(), self.next_step()))
    }

    /// Whether this answer is recorded for the step.
    pub fn has_answer(&self, step: Step, answer: &Answer) -> bool {
        let index = (step.0 as usize).checked_sub(1);
        let segment = index.and_then(|index| self.segments.get(index));
        segment.is_some_and(|segment| segment.answer.as_deref() == Some(answer))
    }

    /// Whether this attempt of the step is in flight.
    pub fn awaits_outcome(&self, step: Step, attempt: &Attempt) -> bool {
        let pending = self.pending.as_ref().filter(|_| step == self.next_step());
        pending.is_some_and(|turn| turn.entry.awaits_outcome(attempt))
    }

    /// Decides on a step; `None` if it may be dispatched.
    pub(crate) fn review(&self, step: Step, begin: &Begin, limits: &Limits) -> Option<Verdict> {
        match (step, step.cmp(&self.next_step())) {
            (Step(0), _) => refuse(Refusal::new(Code::BadRequest, "steps count from 1")),
            (_, Ordering::Less) => Some(Verdict::Decided(
                self.decide_closed_step(step, begin.content),
            )),
            (_, Ordering::Equal) => match self.pending.as_ref() {
                Some(turn) => self.review_repeat(turn, begin, limits),
                None => self.check_limits(begin, limits),
            },
            (_, Ordering::Greater) if self.ended.is_some() => refuse(ended_refusal()),
            (_, Ordering::Greater) => Some(Verdict::Decided(Decision::Early)),
        }
    }

    fn review_repeat(&self, turn: &Turn, begin: &Begin, limits: &Limits) -> Option<Verdict> {
        match turn.entry.decide_repeat(begin.content) {
            Some(decision) => Some(Verdict::Decided(decision)),
            None => self.check_limits(begin, limits),
        }
    }

    /// Decides on a step that already has a final outcome.
    fn decide_closed_step(&self, step: Step, content: u64) -> Decision {
        let segment = self.segments.get(step.0 as usize - 1);
        let is_last = step.0 as usize == self.segments.len();
        match segment.filter(|segment| segment.content == content) {
            Some(segment) => match &segment.answer {
                Some(answer) => Decision::Replay(answer.clone()),
                None => Decision::Refuse(Refusal::outcome_unknown()),
            },
            None if is_last && self.pending.is_none() => Decision::Refuse(ledger::conflict()),
            None => {
                let message = format!("the program's next step is {}", self.next_step());
                Decision::Refuse(Refusal::new(Code::OutOfOrder, message))
            }
        }
    }

    /// Checks whether the program's end, its budget or its loop limit prevents the next step.
    ///
    /// While a child holds a reservation, exhausted tokens or calls refuse the step without ending
    /// the program, as the child may return what it doesn't use.
    fn check_limits(&self, begin: &Begin, limits: &Limits) -> Option<Verdict> {
        let available = self.tokens_left();
        let has_reservations = self.reserved > Tokens(0);
        match () {
            () if self.ended.is_some() => refuse(ended_refusal()),
            () if self.wall_ms_left(begin.at_ms) == 0 => {
                budget_exhausted("wall-clock time is used up")
            }
            () if self.calls_left() == 0 && !has_reservations => {
                budget_exhausted("calls are used up")
            }
            () if self.is_loop(begin.content, limits) => loop_detected(),
            () if begin.estimate > available && !has_reservations => {
                budget_exhausted("tokens are used up")
            }
            () if begin.reservation() > available || self.calls_left() == 0 => {
                let required = begin.reservation();
                let message = format!("{required} tokens required, {available} available");
                refuse(Refusal::new(Code::Budget, message))
            }
            () => None,
        }
    }

    fn is_loop(&self, content: u64, limits: &Limits) -> bool {
        let limit = limits.repeats as usize;
        let newest = self.segments.iter().rev().take(limit);
        newest.filter(|segment| segment.content == content).count() >= limit
    }

    pub(crate) fn apply_dispatched(&mut self, step: Step, turn: Turn) {
        if step != self.next_step() {
            return;
        }
        self.settle_reservation(&Outcome::Unknown);
        self.reserved.0 += turn.reserved.0;
        self.calls += 1;
        self.touched_ms = turn.entry.at_ms;
        self.predates_loss = false;
        if turn.engine {
            self.engine = Some(turn.entry.target.clone());
        }
        self.pending = Some(turn);
    }

    pub(crate) fn apply_settled(&mut self, name: &id::Program, settled: Settled<'_>) {
        if !self.awaits_outcome(settled.step, settled.attempt) {
            return;
        }
        self.settle_reservation(settled.outcome);
        self.touched_ms = settled.at_ms;
        self.close_step(name);
    }

    /// Records the outcome of the call in flight and replaces its reservation by the tokens used.
    fn settle_reservation(&mut self, outcome: &Outcome) {
        let in_flight = |turn: &&mut Turn| matches!(turn.entry.state, State::InFlight);
        let Some(turn) = self.pending.as_mut().filter(in_flight) else {
            return;
        };
        let reserved = turn.reserved;
        turn.entry.state = State::after(outcome);
        self.reserved.0 -= reserved.0;
        match outcome {
            Outcome::Answered(answer) => self.spent.0 += tokens_used(answer).0,
            Outcome::NotRun => self.calls -= 1,
            Outcome::Unknown => self.spent.0 += reserved.0,
        }
    }

    /// Appends the pending step to the history if its outcome is final.
    fn close_step(&mut self, name: &id::Program) {
        let is_final = |turn: &mut Turn| match &turn.entry.state {
            State::Answered(_) => true,
            State::Unknown => !turn.entry.idempotent,
            State::InFlight | State::NotRun => false,
        };
        let Some(turn) = self.pending.take_if(is_final) else {
            return;
        };
        let previous = self.segments.last().map(|segment| segment.link);
        let previous = previous.unwrap_or_else(|| Link::start(name));
        let answer = match turn.entry.state {
            State::Answered(answer) => Some(answer),
            _ => None,
        };
        let (step, content) = (self.next_step(), turn.entry.content);
        let segment = Segment::new(previous, step, content, turn.input, answer);
        self.segments.push(Arc::new(segment));
    }

    /// Marks the program after a loss of state.
    ///
    /// Lost records may have settled a call in flight and dispatched it again, so its outcome
    /// becomes unknown unless it is idempotent.
    pub(crate) fn mark_lost(&mut self, name: &id::Program) {
        self.predates_loss = true;
        let pending = self.pending.as_ref();
        if pending.is_some_and(|turn| !turn.entry.idempotent) {
            self.settle_reservation(&Outcome::Unknown);
            self.close_step(name);
        }
    }

    /// Reserves a child's share of the budget.
    pub(crate) fn reserve_for_child(&mut self, share: &Budget, at_ms: u64) {
        self.children += 1;
        self.reserved.0 += share.tokens.0;
        self.calls += share.calls;
        self.touched_ms = at_ms;
    }

    /// Releases the reservation of an ended child and charges what it used.
    pub(crate) fn release_child(&mut self, share: &Budget, spent: Tokens, calls: u64, at_ms: u64) {
        self.reserved.0 -= share.tokens.0;
        self.spent.0 += spent.0;
        self.calls -= share.calls.saturating_sub(calls);
        self.touched_ms = self.touched_ms.max(at_ms);
    }
}

fn tokens_used(answer: &Answer) -> Tokens {
    Tokens(answer.prompt_tokens.0 + answer.completion_tokens.0)
}

pub(crate) fn ended_refusal() -> Refusal {
    Refusal::new(Code::Ended, "the program has ended")
}

fn refuse(refusal: Refusal) -> Option<Verdict> {
    Some(Verdict::Decided(Decision::Refuse(refusal)))
}

fn budget_exhausted(message: &str) -> Option<Verdict> {
    Some(Verdict::EndProgram(
        Ending::Budget,
        Refusal::new(Code::Budget, message),
    ))
}

fn loop_detected() -> Option<Verdict> {
    let message = "the program repeated the same call too often";
    Some(Verdict::EndProgram(
        Ending::Looped,
        Refusal::new(Code::Looped, message),
    ))
}
