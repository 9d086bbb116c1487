//! One program: its turns in order, its history, its budget and its end.
//!
//! Step `k + 1` starts only once step `k` has an answer, or for a call that can't be repeated, a
//! final outcome. A child's budget is a slice of its parent's, held back while the child is open.

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
    /// Tokens used for good, those of unknown outcomes included.
    pub spent: Tokens,
    /// Tokens held back for a call in flight and for open children.
    pub reserved: Tokens,
    /// Calls used, and those held back for open children.
    pub calls: u64,
    /// Children opened so far.
    pub children: u32,
    pub opened_ms: u64,
    pub touched_ms: u64,
    pub ended: Option<(Ending, u64)>,
    /// The model engine that was sent the newest step, which may hold the history in its cache.
    pub engine: Option<Target>,
    /// Opened before a loss of state and not dispatched to since.
    pub(crate) doubtful: bool,
    segments: Vec<Arc<Segment>>,
    /// The step that has no final outcome yet.
    open: Option<Turn>,
}

/// A dispatched step without a final outcome.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Turn {
    pub(crate) entry: Entry,
    #[serde(with = "crate::bytes")]
    pub(crate) input: Vec<u8>,
    pub(crate) reserved: Tokens,
    /// Whether its target is a model engine.
    pub(crate) engine: bool,
}

impl fmt::Debug for Turn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.entry)
    }
}

/// An outcome of a step's attempt.
pub(crate) struct Settled<'a> {
    pub(crate) step: Step,
    pub(crate) attempt: &'a Attempt,
    pub(crate) outcome: &'a Outcome,
    pub(crate) at_ms: u64,
}

/// Why a step may not be dispatched.
pub(crate) enum Bar {
    Decided(Decision),
    /// The program ends here.
    End(Ending, Refusal),
}

impl Program {
    /// A program just opened.
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
            doubtful: false,
            segments: Vec::new(),
            open: None,
        }
    }

    /// The newest step dispatched, 0 before the first.
    pub fn last_step(&self) -> Step {
        Step(self.segments.len() as u32 + u32::from(self.open.is_some()))
    }

    /// The next step that may be dispatched.
    pub fn next_step(&self) -> Step {
        Step(self.segments.len() as u32 + 1)
    }

    /// Tokens neither used nor held back.
    pub fn tokens_left(&self) -> Tokens {
        let taken = self.spent.0.saturating_add(self.reserved.0);
        Tokens(self.budget.tokens.0.saturating_sub(taken))
    }

    /// Calls neither used nor held back.
    pub fn calls_left(&self) -> u64 {
        self.budget.calls.saturating_sub(self.calls)
    }

    /// Wall-clock milliseconds left.
    pub fn wall_ms_left(&self, at_ms: u64) -> u64 {
        let used = at_ms.saturating_sub(self.opened_ms);
        self.budget.wall_ms.saturating_sub(used)
    }

    /// Tokens of the whole conversation so far, as the last answer counted them.
    pub fn history_tokens(&self) -> Tokens {
        let answers = self.segments.iter().rev();
        let counted = answers.filter_map(|segment| segment.answer.as_ref());
        let tokens = counted.map(|a| a.prompt_tokens.0 + a.completion_tokens.0);
        Tokens(tokens.into_iter().find(|count| *count > 0).unwrap_or(0))
    }

    /// The history so far, to be checked and written out off the lock.
    pub fn history(&self, name: &id::Program) -> History {
        History {
            program: name.clone(),
            segments: self.segments.clone(),
        }
    }

    /// Whether a call is in flight.
    pub fn is_busy(&self) -> bool {
        let open = self.open.as_ref();
        open.is_some_and(|turn| matches!(turn.entry.state, State::InFlight))
    }

    /// The step in flight, if any.
    pub fn in_flight(&self, name: &id::Program) -> Option<InFlightCall> {
        let turn = self.open.as_ref()?;
        turn.entry
            .in_flight_call(|| Call::Step(name.clone(), self.next_step()))
    }

    /// Whether a step has this answer.
    pub fn has_answer(&self, step: Step, answer: &Answer) -> bool {
        let place = (step.0 as usize).checked_sub(1);
        let segment = place.and_then(|place| self.segments.get(place));
        segment.is_some_and(|segment| segment.answer.as_deref() == Some(answer))
    }

    /// Whether the outcome of this step's attempt is awaited.
    pub fn awaits_outcome(&self, step: Step, attempt: &Attempt) -> bool {
        let open = self.open.as_ref().filter(|_| step == self.next_step());
        open.is_some_and(|turn| turn.entry.awaits_outcome(attempt))
    }

    /// What becomes of a step; none: it may be dispatched.
    pub(crate) fn review(&self, step: Step, ask: &Begin, limits: &Limits) -> Option<Bar> {
        match (step, step.cmp(&self.next_step())) {
            (Step(0), _) => refuse(Refusal::new(Code::BadRequest, "steps count from 1")),
            (_, Ordering::Less) => Some(Bar::Decided(self.closed(step, ask.content))),
            (_, Ordering::Equal) => match self.open.as_ref() {
                Some(turn) => self.again(turn, ask, limits),
                None => self.bar(ask, limits),
            },
            (_, Ordering::Greater) if self.ended.is_some() => refuse(ended()),
            (_, Ordering::Greater) => Some(Bar::Decided(Decision::Early)),
        }
    }

    fn again(&self, turn: &Turn, ask: &Begin, limits: &Limits) -> Option<Bar> {
        match turn.entry.decide_repeat(ask.content) {
            Some(decision) => Some(Bar::Decided(decision)),
            None => self.bar(ask, limits),
        }
    }

    /// What becomes of a step that has a final outcome.
    fn closed(&self, step: Step, content: u64) -> Decision {
        let segment = self.segments.get(step.0 as usize - 1);
        let is_last = step.0 as usize == self.segments.len();
        match segment.filter(|segment| segment.content == content) {
            Some(segment) => match &segment.answer {
                Some(answer) => Decision::Replay(answer.clone()),
                None => Decision::Refuse(Refusal::outcome_unknown()),
            },
            None if is_last && self.open.is_none() => Decision::Refuse(ledger::conflict()),
            None => {
                let message = format!("the program is at step {}", self.next_step());
                Decision::Refuse(Refusal::new(Code::OutOfOrder, message))
            }
        }
    }

    /// What stands against dispatching the next step.
    fn bar(&self, ask: &Begin, limits: &Limits) -> Option<Bar> {
        let left = self.tokens_left();
        let lent = self.reserved > Tokens(0);
        match () {
            () if self.ended.is_some() => refuse(ended()),
            () if self.wall_ms_left(ask.at_ms) == 0 => over("wall-clock time is used up"),
            () if self.calls_left() == 0 && !lent => over("calls are used up"),
            () if self.would_loop(ask.content, limits) => looped(),
            () if ask.estimate > left && !lent => over("tokens are used up"),
            () if ask.reserve() > left || self.calls_left() == 0 => {
                let asked = ask.reserve();
                let message = format!("{left} tokens are left, {asked} asked for");
                refuse(Refusal::new(Code::Budget, message))
            }
            () => None,
        }
    }

    fn would_loop(&self, content: u64, limits: &Limits) -> bool {
        let limit = limits.repeats as usize;
        let newest = self.segments.iter().rev().take(limit);
        newest.filter(|segment| segment.content == content).count() >= limit
    }

    pub(crate) fn dispatched(&mut self, step: Step, turn: Turn) {
        if step != self.next_step() {
            return;
        }
        self.charge(&Outcome::Unknown);
        self.reserved.0 += turn.reserved.0;
        self.calls += 1;
        self.touched_ms = turn.entry.at_ms;
        self.doubtful = false;
        if turn.engine {
            self.engine = Some(turn.entry.target.clone());
        }
        self.open = Some(turn);
    }

    pub(crate) fn settled(&mut self, name: &id::Program, settled: Settled<'_>) {
        if !self.awaits_outcome(settled.step, settled.attempt) {
            return;
        }
        self.charge(settled.outcome);
        self.touched_ms = settled.at_ms;
        self.close(name);
    }

    /// Turns the reservation of the call in flight into what it used.
    fn charge(&mut self, outcome: &Outcome) {
        let in_flight = |turn: &&mut Turn| matches!(turn.entry.state, State::InFlight);
        let Some(turn) = self.open.as_mut().filter(in_flight) else {
            return;
        };
        let reserved = turn.reserved;
        turn.entry.state = State::after(outcome);
        self.reserved.0 -= reserved.0;
        match outcome {
            Outcome::Answered(answer) => self.spent.0 += used(answer).0,
            Outcome::NotRun => self.calls -= 1,
            Outcome::Unknown => self.spent.0 += reserved.0,
        }
    }

    /// Links the open step into the history, if its outcome is final.
    fn close(&mut self, name: &id::Program) {
        let is_final = |turn: &mut Turn| match &turn.entry.state {
            State::Answered(_) => true,
            State::Unknown => !turn.entry.idempotent,
            State::InFlight | State::NotRun => false,
        };
        let Some(turn) = self.open.take_if(is_final) else {
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

    /// State may be missing: what is in flight may have been settled and dispatched anew.
    pub(crate) fn mark_lost(&mut self, name: &id::Program) {
        self.doubtful = true;
        let open = self.open.as_ref();
        if open.is_some_and(|turn| !turn.entry.idempotent) {
            self.charge(&Outcome::Unknown);
            self.close(name);
        }
    }

    /// Holds a child's slice back.
    pub(crate) fn lend(&mut self, slice: &Budget, at_ms: u64) {
        self.children += 1;
        self.reserved.0 += slice.tokens.0;
        self.calls += slice.calls;
        self.touched_ms = at_ms;
    }

    /// Takes back what an ended child didn't use.
    pub(crate) fn take_back(&mut self, slice: &Budget, spent: Tokens, calls: u64, at_ms: u64) {
        self.reserved.0 -= slice.tokens.0;
        self.spent.0 += spent.0;
        self.calls -= slice.calls.saturating_sub(calls);
        self.touched_ms = self.touched_ms.max(at_ms);
    }
}

fn used(answer: &Answer) -> Tokens {
    Tokens(answer.prompt_tokens.0 + answer.completion_tokens.0)
}

pub(crate) fn ended() -> Refusal {
    Refusal::new(Code::Ended, "the program has ended")
}

fn refuse(refusal: Refusal) -> Option<Bar> {
    Some(Bar::Decided(Decision::Refuse(refusal)))
}

fn over(message: &str) -> Option<Bar> {
    Some(Bar::End(
        Ending::Budget,
        Refusal::new(Code::Budget, message),
    ))
}

fn looped() -> Option<Bar> {
    let message = "the program repeated one call too often";
    Some(Bar::End(
        Ending::Looped,
        Refusal::new(Code::Looped, message),
    ))
}
