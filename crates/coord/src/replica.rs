//! One shard's replicated state: its programs, its ledger and its customers' bucket levels.
//!
//! Decisions read the state and return records; applying the records changes it. The primary
//! applies them at once and acts on a decision only when they stand in two places. The standby
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
use crate::program::Bar;
use crate::program::Program;
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

/// Bounds of a shard's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Consecutive steps of one content that a program may run.
    pub repeats: u32,
    /// Milliseconds after which a program without a call ends.
    pub idle_ms: u64,
    /// Milliseconds for which ended programs and recorded answers are kept.
    pub retention_ms: u64,
    /// Milliseconds for which names are kept that must not be used again.
    pub ledger_ms: u64,
    /// Requests in the ledger.
    pub entries: usize,
    /// Bytes of answers in the ledger.
    pub bytes: usize,
    /// Names that must not be used again, of requests and of programs each.
    pub tombs: usize,
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
            tombs: 200_000,
        }
    }
}

/// What a standby knows of a bucket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Level {
    pub(crate) block: Block,
    /// A moment after this process had the record.
    #[serde(skip)]
    pub(crate) seen: Option<Time>,
}

/// The state of one shard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Replica {
    pub(crate) programs: Map<id::Program, Program>,
    pub(crate) ledger: Ledger,
    pub(crate) levels: Map<Customer, Level>,
    /// Names of forgotten programs.
    pub(crate) tombs: Tombstones,
    lost_ms: Option<u64>,
    #[serde(skip)]
    pub(crate) limits: Limits,
}

impl Replica {
    /// An empty state.
    pub fn new(limits: Limits) -> Replica {
        Replica {
            limits,
            ..Replica::default()
        }
    }

    /// The state as bytes, for a new standby or a checkpoint.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// The state from bytes; check histories with [`Replica::verify`].
    pub fn decode(bytes: &[u8], limits: Limits) -> Result<Replica, postcard::Error> {
        let replica = postcard::from_bytes(bytes)?;
        Ok(Replica { limits, ..replica })
    }

    /// Checks every link of every history.
    pub fn verify(&self) -> Result<(), Corruption> {
        let mut programs = self.programs.iter();
        programs.try_for_each(|(name, program)| program.history(name).verify())
    }

    /// Tells the time of this process, from which bucket levels refill after a fail-over.
    ///
    /// Without it they don't refill until this process is the primary, which is safe.
    pub fn tick(&mut self, now: Time) {
        for level in self.levels.values_mut() {
            level.seen.get_or_insert(now);
        }
    }

    /// State from before this moment may be missing.
    pub fn mark_lost(&mut self, at_ms: u64) {
        self.lost_ms = self.lost_ms.max(Some(at_ms));
        self.levels.clear();
        self.ledger.mark_lost();
        for (name, program) in &mut self.programs {
            program.mark_lost(name);
        }
    }

    /// Since when state may be missing.
    pub fn lost_ms(&self) -> Option<u64> {
        self.lost_ms
    }

    /// A program, whoever it belongs to.
    pub fn program(&self, name: &id::Program) -> Option<&Program> {
        self.programs.get(name)
    }

    /// A customer's own program; another's is answered like none.
    pub fn customer_program(
        &self,
        name: &id::Program,
        customer: &Customer,
    ) -> Result<&Program, Refusal> {
        let program = self.programs.get(name);
        let own = program.filter(|program| program.customer == *customer);
        own.ok_or_else(|| match self.is_forgotten(name, customer) {
            true => program::ended().ran(Ran::Unknown),
            false => Refusal::not_found(),
        })
    }

    pub(crate) fn is_forgotten(&self, name: &id::Program, customer: &Customer) -> bool {
        self.tombs.contains(Tombstone::of_program(customer, name))
    }

    /// All programs.
    pub fn programs(&self) -> impl Iterator<Item = (&id::Program, &Program)> {
        self.programs.iter()
    }

    /// The requests on their own.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The conversation of a program so far, JSON array of messages; every link is checked.
    pub fn messages(&self, name: &id::Program) -> Option<Result<Vec<u8>, Corruption>> {
        self.history(name).map(|history| history.messages())
    }

    /// The same to be checked and written out off the lock.
    pub fn history(&self, name: &id::Program) -> Option<History> {
        let program = self.programs.get(name)?;
        Some(program.history(name))
    }

    /// A customer's bucket for a new primary, from what the former one recorded.
    pub fn bucket(&self, customer: &Customer, rate: Rate, burst: Burst, now: Time) -> Bucket {
        match (self.levels.get(customer), self.lost_ms) {
            (None, None) => Bucket::new(rate, burst, u64::from(burst.0), now),
            (None, Some(_)) => Bucket::after_loss(rate, burst, now),
            (Some(level), _) => {
                let seen = level.seen.unwrap_or(now).min(now);
                Bucket::after_failover(rate, burst, level.block, seen, now)
            }
        }
    }

    /// What becomes of a call.
    pub fn begin(&self, ask: Begin) -> Decision {
        match self.review(&ask) {
            Some(decision) => decision,
            None => Decision::Dispatch(vec![ask.into_record()]),
        }
    }

    /// What stands against dispatching a call; none: nothing.
    pub fn review(&self, ask: &Begin) -> Option<Decision> {
        match &ask.call {
            Call::Single(customer, _) if *customer != ask.customer => {
                Some(Decision::Refuse(Refusal::not_found()))
            }
            Call::Single(customer, request) => {
                let name = (customer.clone(), request.clone());
                let known = self.ledger.review(&name, ask, &self.limits);
                let doubtful = !self.ledger.contains(&name) && self.may_predate_loss(ask);
                known.or_else(|| doubtful.then(|| unknown(ask)))
            }
            Call::Step(name, step) => self.review_step(name, *step, ask),
        }
    }

    fn review_step(&self, name: &id::Program, step: Step, ask: &Begin) -> Option<Decision> {
        let program = match self.customer_program(name, &ask.customer) {
            Ok(program) => program,
            Err(refusal) => return Some(Decision::Refuse(self.missing(refusal, ask))),
        };
        match program.review(step, ask, &self.limits) {
            Some(Bar::Decided(decision)) => Some(decision),
            Some(Bar::End(reason, refusal)) => {
                let records = self.ends(name, reason, ask.at_ms);
                Some(Decision::RecordAndRefuse(records, refusal))
            }
            None if program.doubtful && !ask.idempotent => Some(unknown(ask)),
            None => None,
        }
    }

    /// A program that isn't here may have been, and run, before a loss.
    fn missing(&self, refusal: Refusal, ask: &Begin) -> Refusal {
        match self.may_predate_loss(ask) {
            true => refusal.ran(Ran::Unknown),
            false => refusal,
        }
    }

    fn may_predate_loss(&self, ask: &Begin) -> bool {
        let until_ms = self
            .lost_ms
            .map(|lost| lost.saturating_add(self.limits.ledger_ms));
        !ask.idempotent && !ask.fresh && until_ms > Some(ask.at_ms)
    }

    /// Records of a call's outcome; none when the attempt isn't the one awaited.
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

    /// Whether this outcome of an attempt is recorded.
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

    /// Whether this attempt's outcome is awaited.
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

    /// All calls in flight, for a new primary to resolve with the sidecars.
    pub fn in_flight(&self) -> Vec<InFlightCall> {
        let steps = self.programs.iter();
        let steps = steps.filter_map(|(name, program)| program.in_flight(name));
        self.ledger.in_flight().chain(steps).collect()
    }

    /// Records of a call that a sidecar was asked to fence off.
    pub fn resolve(&self, flight: &InFlightCall, fenced: bool, at_ms: u64) -> Vec<Record> {
        let outcome = match fenced {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        };
        self.settle(&flight.call, &flight.attempt, outcome, at_ms)
    }

    /// Records that end a customer's program and its children.
    pub fn end(
        &self,
        name: &id::Program,
        customer: &Customer,
        reason: Ending,
        at_ms: u64,
    ) -> Result<Vec<Record>, Refusal> {
        self.customer_program(name, customer)?;
        Ok(self.ends(name, reason, at_ms))
    }

    /// Records that end a program, children first; none when it has ended.
    pub(crate) fn ends(&self, name: &id::Program, reason: Ending, at_ms: u64) -> Vec<Record> {
        let Some(program) = self.programs.get(name).filter(|p| p.ended.is_none()) else {
            return Vec::new();
        };
        let children = (1..=program.children).filter_map(|number| name.child(number).ok());
        let mut records: Vec<Record> = children
            .flat_map(|child| self.ends(&child, reason, at_ms))
            .collect();
        records.push(Record::Ended {
            program: name.clone(),
            reason,
            at_ms,
        });
        records
    }
}

fn unknown(ask: &Begin) -> Decision {
    Decision::RecordAndRefuse(ask.unknown(), Refusal::outcome_unknown())
}
