//! The ledger of single requests, the calls outside any program: a request is dispatched at most
//! once per name unless it is idempotent.
//!
//! Memory is bounded. Answers are kept for the retention time; after it, only a hash of the name,
//! its tombstone, remains of a request that must not be repeated. When the tombstones reach their
//! limit too, new names are refused.

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

/// Time to wait before a retry of a request that was refused because the ledger is full.
const FULL_RETRY_AFTER: Millis = Millis(1000);

/// State of one dispatched request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    pub attempt: Attempt,
    pub target: Target,
    /// Node that sent the request to the target.
    pub sender: Node,
    /// Hash of the request.
    pub content: u64,
    pub idempotent: bool,
    pub state: State,
    /// Time of the dispatch, Unix time in milliseconds.
    pub at_ms: u64,
}

/// Progress of a dispatched request.
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
    /// Decides on a repeat of the call; `None` if it may be dispatched again.
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

    /// Whether this attempt is in flight.
    pub fn awaits_outcome(&self, attempt: &Attempt) -> bool {
        matches!(self.state, State::InFlight) && self.attempt == *attempt
    }

    /// Whether the recorded answer is from this attempt.
    pub fn is_answered_by(&self, attempt: &Attempt) -> bool {
        matches!(self.state, State::Answered(_)) && self.attempt == *attempt
    }

    /// Returns the call if it is in flight.
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
    Refusal::new(Code::Conflict, "another request has this name")
}

/// Full name of a request: [`Request`] alone is unique only within its customer.
type Name = (Customer, Request);

/// All single requests of a shard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    entries: Map<Name, Entry>,
    /// Names in order of dispatch; a name that was dispatched again appears more than once.
    queue: VecDeque<(u64, Name)>,
    tombstones: Tombstones,
    /// Total size of the recorded answers.
    bytes: usize,
}

impl Ledger {
    /// Decides on a request; `None` if it may be dispatched.
    pub fn review(&self, name: &Name, begin: &Begin, limits: &Limits) -> Option<Decision> {
        match self.entries.get(name) {
            Some(entry) => entry.decide_repeat(begin.content),
            None if self.tombstones.contains(tombstone(name)) => {
                Some(Decision::Refuse(Refusal::outcome_unknown()))
            }
            None if self.is_full(limits) => {
                let refusal = Refusal::new(Code::Overloaded, "too many recorded requests");
                Some(Decision::Refuse(refusal.with_retry_after(FULL_RETRY_AFTER)))
            }
            None => None,
        }
    }

    /// Whether the ledger has an entry for this name.
    pub fn contains(&self, name: &Name) -> bool {
        self.entries.contains_key(name)
    }

    /// Number of entries, tombstones excluded.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn is_full(&self, limits: &Limits) -> bool {
        self.is_at_capacity(limits) || self.tombstones.len() >= limits.tombstones
    }

    fn is_at_capacity(&self, limits: &Limits) -> bool {
        self.entries.len() >= limits.entries || self.bytes >= limits.bytes
    }

    pub(crate) fn apply_dispatched(&mut self, name: &Name, entry: Entry, limits: &Limits) {
        self.tombstones
            .prune(entry.at_ms.saturating_sub(limits.ledger_ms));
        self.queue.push_back((entry.at_ms, name.clone()));
        if let Some(former) = self.entries.insert(name.clone(), entry) {
            self.bytes -= former.bytes();
        }
    }

    /// Marks requests in flight or not run as unknown after a loss of records, except idempotent
    /// ones.
    ///
    /// One of the lost records may be of another dispatch of the same request.
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

    pub(crate) fn apply_settled(&mut self, name: &Name, attempt: &Attempt, outcome: &Outcome) {
        let entry = self.entries.get_mut(name);
        if let Some(entry) = entry.filter(|entry| entry.awaits_outcome(attempt)) {
            entry.state = State::after(outcome);
            self.bytes += entry.bytes();
        }
    }

    pub(crate) fn apply_forgotten(&mut self, name: &Name) {
        if let Some(entry) = self.entries.remove(name) {
            self.bytes -= entry.bytes();
            if entry.may_have_run() && !entry.idempotent {
                self.tombstones.insert(tombstone(name), entry.at_ms);
            }
        }
        let entries = &self.entries;
        let is_outdated = |(at_ms, name): &mut (u64, Name)| is_stale(entries, *at_ms, name);
        while self.queue.pop_front_if(is_outdated).is_some() {}
    }

    /// Returns records that drop entries past their retention time, at most `limit`.
    ///
    /// At capacity, entries are dropped without regard to the retention time.
    pub fn sweep(&self, at_ms: u64, limits: &Limits, limit: usize) -> Vec<Record> {
        let retention_ms = match self.is_at_capacity(limits) {
            true => 0,
            false => limits.retention_ms,
        };
        let before_ms = at_ms.saturating_sub(retention_ms);
        self.queue
            .iter()
            .take_while(|(at_ms, _)| *at_ms < before_ms)
            .filter(|(at_ms, name)| !is_stale(&self.entries, *at_ms, name))
            .filter(|(_, name)| !self.is_in_flight(name))
            .map(|(_, name)| forgotten_record(name))
            .take(limit)
            .collect()
    }

    fn is_in_flight(&self, name: &Name) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| matches!(entry.state, State::InFlight))
    }

    /// All requests in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = InFlightCall> {
        self.entries
            .iter()
            .filter_map(|((customer, request), entry)| {
                entry.in_flight_call(|| Call::Single(customer.clone(), request.clone()))
            })
    }
}

fn tombstone((customer, request): &Name) -> Tombstone {
    Tombstone::of_request(customer, request)
}

/// Whether a queued name was dropped or dispatched again since.
fn is_stale(entries: &Map<Name, Entry>, at_ms: u64, name: &Name) -> bool {
    entries.get(name).is_none_or(|entry| entry.at_ms != at_ms)
}

fn forgotten_record((customer, request): &Name) -> Record {
    Record::Forgotten {
        call: Some(Call::Single(customer.clone(), request.clone())),
        program: None,
    }
}
