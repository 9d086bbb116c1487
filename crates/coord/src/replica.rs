//! One shard's replicated state: its programs, its ledger and its customers' bucket levels.
//!
//! Decisions read the state and return records; only applying records changes it. The primary
//! applies them at once and acts on a decision only when they are stored in two places. The standby
//! applies the same records in the same order and can take over at any point.

use serde::Deserialize;
use serde::Serialize;

use crate::Map;
use crate::bucket::Block;
use crate::bucket::Bucket;
pub use crate::decision::Begin;
pub use crate::decision::Decision;
pub use crate::decision::InFlightCall;
pub use crate::decision::Opening;
use crate::id;
use crate::id::Attempt;
use crate::id::Burst;
use crate::id::Customer;
use crate::id::Rate;
use crate::id::Step;
use crate::ledger::Ledger;
use crate::program;
use crate::program::Program;
use crate::program::Verdict;
use crate::record::Call;
use crate::record::Ending;
use crate::record::Outcome;
use crate::record::Record;
use crate::refusal::Ran;
pub use crate::refusal::Refusal;
use crate::segment::Corruption;
use crate::segment::History;
use crate::time::Time;
use crate::tombstone::Tombstone;
use crate::tombstone::Tombstones;

/// Limits of a shard's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum number of consecutive steps with the same content in a program.
    pub repeats: u32,
    /// Milliseconds without a call after which a program ends.
    pub idle_ms: u64,
    /// Milliseconds for which ended programs and recorded answers are kept.
    pub retention_ms: u64,
    /// Milliseconds for which tombstones are kept.
    pub ledger_ms: u64,
    /// Maximum number of entries in the ledger.
    pub entries: usize,
    /// Maximum total size of answers in the ledger, in bytes.
    pub bytes: usize,
    /// Maximum number of tombstones, for requests and for programs each.
    #[serde(rename = "tombs")]
    pub tombstones: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            repeats: 8,
            idle_ms: 30 * 60 * 1000,
            retention_ms: 5 * 60 * 1000,
            ledger_ms: 60 * 60 * 1000,
            entries: 50_000,
            bytes: 16 << 20,
            tombstones: 200_000,
        }
    }
}

/// Last recorded state of a customer's rate bucket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Level {
    pub(crate) block: Block,
    /// Time at or after this process received the record; `None` until the next
    /// [`Replica::tick`].
    #[serde(skip)]
    pub(crate) received: Option<Time>,
}

/// The state of one shard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Replica {
    pub(crate) programs: Map<id::Program, Program>,
    pub(crate) ledger: Ledger,
    pub(crate) levels: Map<Customer, Level>,
    /// Tombstones of dropped programs.
    pub(crate) tombstones: Tombstones,
    /// Time of the last loss of state, Unix time in milliseconds.
    lost_ms: Option<u64>,
    #[serde(skip)]
    pub(crate) limits: Limits,
}

impl Replica {
    /// Creates an empty state.
    pub fn new(limits: Limits) -> Replica {
        Replica {
            limits,
            ..Replica::default()
        }
    }

    /// Encodes the state for a new standby or a checkpoint.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes the state; doesn't check histories, see [`Replica::verify`].
    pub fn decode(bytes: &[u8], limits: Limits) -> Result<Replica, postcard::Error> {
        let replica = postcard::from_bytes(bytes)?;
        Ok(Replica { limits, ..replica })
    }

    /// Verifies every link of every history.
    pub fn verify(&self) -> Result<(), Corruption> {
        let mut programs = self.programs.iter();
        programs.try_for_each(|(name, program)| program.history(name).verify())
    }

    /// Sets the reception time of new bucket levels, from which they refill after a fail-over.
    ///
    /// Without a call, buckets refill only from the moment this process becomes primary, which is
    /// safe.
    pub fn tick(&mut self, now: Time) {
        for level in self.levels.values_mut() {
            level.received.get_or_insert(now);
        }
    }

    /// Records that state from before Unix time `at_ms` may be missing.
    pub fn mark_lost(&mut self, at_ms: u64) {
        self.lost_ms = self.lost_ms.max(Some(at_ms));
        self.levels.clear();
        self.ledger.mark_lost();
        for (name, program) in &mut self.programs {
            program.mark_lost(name);
        }
    }

    /// Unix time in milliseconds before which state may be missing; `None` if nothing was lost.
    pub fn lost_ms(&self) -> Option<u64> {
        self.lost_ms
    }

    /// Returns a program of any customer.
    pub fn program(&self, name: &id::Program) -> Option<&Program> {
        self.programs.get(name)
    }

    /// Returns a customer's program; a program of another customer is refused as not found.
    pub fn customer_program(
        &self,
        name: &id::Program,
        customer: &Customer,
    ) -> Result<&Program, Refusal> {
        let program = self.programs.get(name);
        let owned = program.filter(|program| program.customer == *customer);
        owned.ok_or_else(|| match self.is_forgotten(name, customer) {
            true => program::ended_refusal().with_ran(Ran::Unknown),
            false => Refusal::not_found(),
        })
    }

    pub(crate) fn is_forgotten(&self, name: &id::Program, customer: &Customer) -> bool {
        self.tombstones
            .contains(Tombstone::of_program(customer, name))
    }

    /// All programs.
    pub fn programs(&self) -> impl Iterator<Item = (&id::Program, &Program)> {
        self.programs.iter()
    }

    /// The ledger of single requests.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Verifies a program's history and returns its conversation as a JSON array of messages.
    pub fn messages(&self, name: &id::Program) -> Option<Result<Vec<u8>, Corruption>> {
        self.history(name).map(|history| history.messages())
    }

    /// Snapshot of a program's history, to be verified and encoded without the shard's lock.
    pub fn history(&self, name: &id::Program) -> Option<History> {
        let program = self.programs.get(name)?;
        Some(program.history(name))
    }

    /// Creates a customer's bucket for a new primary from the former primary's records.
    pub fn bucket(&self, customer: &Customer, rate: Rate, burst: Burst, now: Time) -> Bucket {
        match (self.levels.get(customer), self.lost_ms) {
            (None, None) => Bucket::new(rate, burst, u64::from(burst.0), now),
            (None, Some(_)) => Bucket::after_loss(rate, burst, now),
            (Some(level), _) => {
                let received = level.received.unwrap_or(now).min(now);
                Bucket::after_failover(rate, burst, level.block, received, now)
            }
        }
    }

    /// Decides on a call.
    pub fn begin(&self, begin: Begin) -> Decision {
        match self.review(&begin) {
            Some(decision) => decision,
            None => Decision::Dispatch(vec![begin.into_record()]),
        }
    }

    /// Returns the decision that prevents a dispatch, or `None` if the call may be dispatched.
    pub fn review(&self, begin: &Begin) -> Option<Decision> {
        match &begin.call {
            Call::Single(customer, _) if *customer != begin.customer => {
                Some(Decision::Refuse(Refusal::not_found()))
            }
            Call::Single(customer, request) => {
                let name = (customer.clone(), request.clone());
                let decision = self.ledger.review(&name, begin, &self.limits);
                let unrecorded = !self.ledger.contains(&name) && self.may_predate_loss(begin);
                decision.or_else(|| unrecorded.then(|| refuse_as_unknown(begin)))
            }
            Call::Step(name, step) => self.review_step(name, *step, begin),
        }
    }

    fn review_step(&self, name: &id::Program, step: Step, begin: &Begin) -> Option<Decision> {
        let program = match self.customer_program(name, &begin.customer) {
            Ok(program) => program,
            Err(refusal) => return Some(Decision::Refuse(self.refuse_missing(refusal, begin))),
        };
        match program.review(step, begin, &self.limits) {
            Some(Verdict::Decided(decision)) => Some(decision),
            Some(Verdict::EndProgram(reason, refusal)) => {
                let records = self.end_records(name, reason, begin.at_ms);
                Some(Decision::RecordAndRefuse(records, refusal))
            }
            None if program.predates_loss && !begin.idempotent => Some(refuse_as_unknown(begin)),
            None => None,
        }
    }

    /// Refuses a call of a program that isn't in the state.
    ///
    /// The program may have existed before a loss of state and the call may have run.
    fn refuse_missing(&self, refusal: Refusal, begin: &Begin) -> Refusal {
        match self.may_predate_loss(begin) {
            true => refusal.with_ran(Ran::Unknown),
            false => refusal,
        }
    }

    fn may_predate_loss(&self, begin: &Begin) -> bool {
        let until_ms = self
            .lost_ms
            .map(|lost| lost.saturating_add(self.limits.ledger_ms));
        !begin.idempotent && !begin.fresh && until_ms > Some(begin.at_ms)
    }

    /// Returns the record of a call's outcome; empty if the attempt isn't in flight.
    pub fn settle(
        &self,
        call: &Call,
        attempt: &Attempt,
        outcome: Outcome,
        at_ms: u64,
    ) -> Vec<Record> {
        match self.awaits_outcome(call, attempt) {
            false => Vec::new(),
            true => vec![Record::Settled {
                call: call.clone(),
                attempt: attempt.clone(),
                outcome,
                at_ms,
            }],
        }
    }

    /// Whether this answer of an attempt is recorded; false for other outcomes.
    pub fn has_outcome(&self, call: &Call, attempt: &Attempt, outcome: &Outcome) -> bool {
        match (call, outcome) {
            (Call::Single(customer, request), Outcome::Answered(_)) => {
                let entry = self.ledger.entry(&(customer.clone(), request.clone()));
                entry.is_some_and(|entry| entry.is_answered_by(attempt))
            }
            (Call::Step(name, step), Outcome::Answered(answer)) => {
                let program = self.programs.get(name);
                program.is_some_and(|program| program.has_answer(*step, answer))
            }
            (_, Outcome::NotRun | Outcome::Unknown) => false,
        }
    }

    /// Whether this attempt is in flight.
    pub fn awaits_outcome(&self, call: &Call, attempt: &Attempt) -> bool {
        match call {
            Call::Single(customer, request) => {
                let entry = self.ledger.entry(&(customer.clone(), request.clone()));
                entry.is_some_and(|entry| entry.awaits_outcome(attempt))
            }
            Call::Step(name, step) => {
                let program = self.programs.get(name);
                program.is_some_and(|program| program.awaits_outcome(*step, attempt))
            }
        }
    }

    /// All calls in flight; a new primary resolves them with the sidecars.
    pub fn in_flight(&self) -> Vec<InFlightCall> {
        let steps = self.programs.iter();
        let steps = steps.filter_map(|(name, program)| program.in_flight(name));
        self.ledger.in_flight().chain(steps).collect()
    }

    /// Returns the record of a call in flight after a sidecar was requested to fence it off.
    ///
    /// `fenced`: the sidecar confirmed that the call hasn't run and can't run.
    pub fn resolve(&self, in_flight: &InFlightCall, fenced: bool, at_ms: u64) -> Vec<Record> {
        let outcome = match fenced {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        };
        self.settle(&in_flight.call, &in_flight.attempt, outcome, at_ms)
    }

    /// Returns records that end a customer's program and its children.
    pub fn end(
        &self,
        name: &id::Program,
        customer: &Customer,
        reason: Ending,
        at_ms: u64,
    ) -> Result<Vec<Record>, Refusal> {
        self.customer_program(name, customer)?;
        Ok(self.end_records(name, reason, at_ms))
    }

    /// Returns records that end a program, children first; empty if it has ended.
    pub(crate) fn end_records(
        &self,
        name: &id::Program,
        reason: Ending,
        at_ms: u64,
    ) -> Vec<Record> {
        let Some(program) = self.programs.get(name).filter(|p| p.ended.is_none()) else {
            return Vec::new();
        };
        let children = (1..=program.children).filter_map(|number| name.child(number).ok());
        let mut records: Vec<Record> = children
            .flat_map(|child| self.end_records(&child, reason, at_ms))
            .collect();
        records.push(Record::Ended {
            program: name.clone(),
            reason,
            at_ms,
        });
        records
    }
}

fn refuse_as_unknown(begin: &Begin) -> Decision {
    Decision::RecordAndRefuse(begin.unknown_outcome_records(), Refusal::outcome_unknown())
}
