//! Applies records to a shard's state.
//!
//! A record that no longer applies, such as a late outcome of an earlier attempt, is ignored.

use crate::bucket::Block;
use crate::id;
use crate::id::Customer;
use crate::ledger::Entry;
use crate::ledger::State;
use crate::program::Program;
use crate::program::Settled;
use crate::program::Turn;
use crate::record::Call;
use crate::record::Ending;
use crate::record::Record;
use crate::replica::Level;
use crate::replica::Replica;
use crate::tombstone::Tombstone;

impl Replica {
    /// Applies one record; the same records in the same order give the same state on every replica.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Opened {
                program,
                customer,
                budget,
                at_ms,
            } => {
                self.tombstones
                    .prune(at_ms.saturating_sub(self.limits.ledger_ms));
                let opened = Program::new(customer.clone(), *budget, *at_ms);
                self.programs.entry(program.clone()).or_insert(opened);
            }
            Record::Child {
                program,
                budget,
                at_ms,
            } => self.apply_child(program, budget, *at_ms),
            Record::Dispatched { .. } => self.apply_dispatched(record),
            Record::Settled { .. } => self.apply_settled(record),
            Record::Ended {
                program,
                reason,
                at_ms,
            } => self.apply_ended(program, *reason, *at_ms),
            Record::Level {
                customer,
                spent,
                size,
                available,
                ..
            } => {
                let block = Block {
                    level: *spent,
                    size: *size,
                    available: *available,
                };
                self.apply_level(customer, block);
            }
            Record::Forgotten { call, program } => {
                if let Some(Call::Single(customer, request)) = call {
                    self.ledger
                        .apply_forgotten(&(customer.clone(), request.clone()));
                }
                if let Some(program) = program {
                    self.apply_forgotten(program);
                }
            }
        }
    }

    fn apply_child(&mut self, name: &id::Program, budget: &crate::record::Budget, at_ms: u64) {
        let parent = name
            .parent()
            .and_then(|parent| self.programs.get_mut(&parent));
        let Some(parent) = parent else { return };
        parent.reserve_for_child(budget, at_ms);
        let child = Program::new(parent.customer.clone(), *budget, at_ms);
        self.programs.insert(name.clone(), child);
    }

    fn apply_dispatched(&mut self, record: &Record) {
        let Record::Dispatched {
            call,
            attempt,
            target,
            sender,
            content,
            input,
            model,
            reserved,
            idempotent,
            at_ms,
            ..
        } = record
        else {
            return;
        };
        let entry = Entry {
            attempt: attempt.clone(),
            target: target.clone(),
            sender: sender.clone(),
            content: *content,
            idempotent: *idempotent,
            state: State::InFlight,
            at_ms: *at_ms,
        };
        match call {
            Call::Single(customer, request) => {
                self.ledger.apply_dispatched(
                    &(customer.clone(), request.clone()),
                    entry,
                    &self.limits,
                );
            }
            Call::Step(name, step) => {
                let turn = Turn {
                    entry,
                    input: input.clone(),
                    reserved: *reserved,
                    engine: model.is_some(),
                };
                if let Some(program) = self.programs.get_mut(name) {
                    program.apply_dispatched(*step, turn);
                }
            }
        }
    }

    fn apply_settled(&mut self, record: &Record) {
        let Record::Settled {
            call,
            attempt,
            outcome,
            at_ms,
        } = record
        else {
            return;
        };
        match call {
            Call::Single(customer, request) => {
                let name = (customer.clone(), request.clone());
                self.ledger.apply_settled(&name, attempt, outcome);
            }
            Call::Step(name, step) => {
                let settled = Settled {
                    step: *step,
                    attempt,
                    outcome,
                    at_ms: *at_ms,
                };
                if let Some(program) = self.programs.get_mut(name) {
                    program.apply_settled(name, settled);
                }
            }
        }
    }

    fn apply_ended(&mut self, name: &id::Program, reason: Ending, at_ms: u64) {
        let open = self.programs.get_mut(name).filter(|p| p.ended.is_none());
        let Some(program) = open else { return };
        program.ended = Some((reason, at_ms));
        let (share, calls) = (program.budget, program.calls);
        let used = id::Tokens(program.spent.0 + program.reserved.0);
        let parent = name
            .parent()
            .and_then(|parent| self.programs.get_mut(&parent));
        if let Some(parent) = parent {
            parent.release_child(&share, used, calls, at_ms);
        }
    }

    fn apply_forgotten(&mut self, name: &id::Program) {
        if let Some(program) = self.programs.remove(name) {
            let ended_ms = program.ended.map_or(program.touched_ms, |(_, at_ms)| at_ms);
            let tombstone = Tombstone::of_program(&program.customer, name);
            self.tombstones.insert(tombstone, ended_ms);
        }
    }

    fn apply_level(&mut self, customer: &Customer, block: Block) {
        let former = self.levels.get(customer).map(|level| level.block);
        let block = former.map_or(block, |former| former.merge(block));
        let level = Level {
            block,
            received: None,
        };
        self.levels.insert(customer.clone(), level);
    }
}
