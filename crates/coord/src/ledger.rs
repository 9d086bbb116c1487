//! The ledger of single requests: each name is dispatched at most once, or is idempotent.
//!
//! Memory is bounded: answers are kept for a while, and of requests that may not be repeated a hash
//! of the name after that. When there is no room even for those, new names are refused.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Map;
use crate::decision::Begin;
use crate::decision::Decision;
use crate::decision::InFlightCall;
use crate::id::Attempt;
use crate::id::Customer;
use crate::id::Node;
use crate::id::Request;
use crate::id::Target;
use crate::record::Answer;
use crate::record::Call;
use crate::record::Outcome;
use crate::record::Record;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::replica::Limits;
use crate::time::Millis;
use crate::tombstone::Tombstone;
use crate::tombstone::Tombstones;

const FULL_WAIT: Millis = Millis(1000);

/// What is known of one dispatched request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    pub attempt: Attempt,
    pub target: Target,
    /// The node that sent it.
    pub sender: Node,
    pub content: u64,
    pub idempotent: bool,
    pub state: State,
    pub at_ms: u64,
}

/// How far a request has come.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum State {
    InFlight,
    Answered(Arc<Answer>),
    NotRun,
    Unknown,
}

impl State {
    /// The state after an outcome.
    pub fn after(outcome: &Outcome) -> State {
        match outcome {
            Outcome::Answered(answer) => State::Answered(Arc::new(answer.clone())),
            Outcome::NotRun => State::NotRun,
            Outcome::Unknown => State::Unknown,
        }
    }
}

impl Entry {
    /// What becomes of the same call; none: it may be dispatched again.
    pub fn decide_repeat(&self, content: u64) -> Option<Decision> {
        match &self.state {
            State::NotRun => None,
            _ if self.content != content => Some(Decision::Refuse(conflict())),
            State::InFlight => Some(Decision::Attach),
            State::Answered(answer) => Some(Decision::Replay(answer.clone())),
            State::Unknown if self.idempotent => None,
            State::Unknown => Some(Decision::Refuse(Refusal::outcome_unknown())),
        }
    }

    /// Whether an outcome of this attempt is still awaited.
    pub fn awaits_outcome(&self, attempt: &Attempt) -> bool {
        matches!(self.state, State::InFlight) && self.attempt == *attempt
    }

    /// Whether this attempt gave the answer.
    pub fn is_answered_by(&self, attempt: &Attempt) -> bool {
        matches!(self.state, State::Answered(_)) && self.attempt == *attempt
    }

    /// The entry as a dispatched call without an outcome, if it is one.
    pub fn in_flight_call(&self, call: impl FnOnce() -> Call) -> Option<InFlightCall> {
        match self.state {
            State::InFlight => Some(InFlightCall {
                call: call(),
                attempt: self.attempt.clone(),
                target: self.target.clone(),
                sender: self.sender.clone(),
                idempotent: self.idempotent,
                content: self.content,
            }),
            _ => None,
        }
    }

    fn may_have_run(&self) -> bool {
        !matches!(self.state, State::NotRun)
    }

    fn bytes(&self) -> usize {
        match &self.state {
            State::Answered(answer) => answer.body.len(),
            _ => 0,
        }
    }
}

pub(crate) fn conflict() -> Refusal {
    Refusal::new(Code::Conflict, "the name belongs to another request")
}

type Name = (Customer, Request);

/// All single requests of a shard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    entries: Map<Name, Entry>,
    /// Names in order of dispatch; one may stand here more than once.
    queue: VecDeque<(u64, Name)>,
    tombs: Tombstones,
    bytes: usize,
}

impl Ledger {
    /// What becomes of a request; none: it may be dispatched.
    pub fn review(&self, name: &Name, ask: &Begin, limits: &Limits) -> Option<Decision> {
        match self.entries.get(name) {
            Some(entry) => entry.decide_repeat(ask.content),
            None if self.tombs.contains(tomb(name)) => {
                Some(Decision::Refuse(Refusal::outcome_unknown()))
            }
            None if self.is_full(limits) => {
                let refusal = Refusal::new(Code::Overloaded, "too many recorded requests");
                Some(Decision::Refuse(refusal.after(FULL_WAIT)))
            }
            None => None,
        }
    }

    /// Whether this name is known.
    pub fn contains(&self, name: &Name) -> bool {
        self.entries.contains_key(name)
    }

    /// Number of requests of which more than the name is kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn is_full(&self, limits: &Limits) -> bool {
        self.is_crowded(limits) || self.tombs.len() >= limits.tombs
    }

    fn is_crowded(&self, limits: &Limits) -> bool {
        self.entries.len() >= limits.entries || self.bytes >= limits.bytes
    }

    pub(crate) fn dispatched(&mut self, name: &Name, entry: Entry, limits: &Limits) {
        self.tombs
            .prune(entry.at_ms.saturating_sub(limits.ledger_ms));
        self.queue.push_back((entry.at_ms, name.clone()));
        if let Some(former) = self.entries.insert(name.clone(), entry) {
            self.bytes -= former.bytes();
        }
    }

    /// State may be missing: what was in flight or not run may have been dispatched anew.
    pub(crate) fn mark_lost(&mut self) {
        for entry in self.entries.values_mut().filter(|entry| !entry.idempotent) {
            if matches!(entry.state, State::InFlight | State::NotRun) {
                entry.state = State::Unknown;
            }
        }
    }

    pub(crate) fn entry(&self, name: &Name) -> Option<&Entry> {
        self.entries.get(name)
    }

    pub(crate) fn settled(&mut self, name: &Name, attempt: &Attempt, outcome: &Outcome) {
        let entry = self.entries.get_mut(name);
        if let Some(entry) = entry.filter(|entry| entry.awaits_outcome(attempt)) {
            entry.state = State::after(outcome);
            self.bytes += entry.bytes();
        }
    }

    pub(crate) fn forgotten(&mut self, name: &Name) {
        if let Some(entry) = self.entries.remove(name) {
            self.bytes -= entry.bytes();
            if entry.may_have_run() && !entry.idempotent {
                self.tombs.insert(tomb(name), entry.at_ms);
            }
        }
        let entries = &self.entries;
        let is_done = |(at_ms, name): &mut (u64, Name)| is_stale(entries, *at_ms, name);
        while self.queue.pop_front_if(is_done).is_some() {}
    }

    /// Records that forget what is old enough, at most `limit` of them.
    pub fn sweep(&self, at_ms: u64, limits: &Limits, limit: usize) -> Vec<Record> {
        let kept_ms = match self.is_crowded(limits) {
            true => 0,
            false => limits.retention_ms,
        };
        let before_ms = at_ms.saturating_sub(kept_ms);
        self.queue
            .iter()
            .take_while(|(at_ms, _)| *at_ms < before_ms)
            .filter(|(at_ms, name)| !is_stale(&self.entries, *at_ms, name))
            .filter(|(_, name)| !self.is_in_flight(name))
            .map(|(_, name)| forget(name))
            .take(limit)
            .collect()
    }

    fn is_in_flight(&self, name: &Name) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| matches!(entry.state, State::InFlight))
    }

    /// Dispatched requests without an outcome.
    pub fn in_flight(&self) -> impl Iterator<Item = InFlightCall> {
        self.entries
            .iter()
            .filter_map(|((customer, request), entry)| {
                entry.in_flight_call(|| Call::Single(customer.clone(), request.clone()))
            })
    }
}

fn tomb((customer, request): &Name) -> Tombstone {
    Tombstone::of_request(customer, request)
}

/// Whether a queued name was forgotten or dispatched again since.
fn is_stale(entries: &Map<Name, Entry>, at_ms: u64, name: &Name) -> bool {
    entries.get(name).is_none_or(|entry| entry.at_ms != at_ms)
}

fn forget((customer, request): &Name) -> Record {
    Record::Forgotten {
        call: Some(Call::Single(customer.clone(), request.clone())),
        program: None,
    }
}
