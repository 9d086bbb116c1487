//! Applying records to a shard's state.
//!
//! A record that no longer fits, such as a late outcome of a former attempt, changes nothing.

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
    /// Applies one record; the same records in the same order give the same state everywhere.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Opened {
                program,
                customer,
                budget,
                at_ms,
            } => {
                self.tombs
                    .prune(at_ms.saturating_sub(self.limits.ledger_ms));
                let opened = Program::new(customer.clone(), *budget, *at_ms);
                self.programs.entry(program.clone()).or_insert(opened);
            }
            Record::Child {
                program,
                budget,
                at_ms,
            } => self.opened_child(program, budget, *at_ms),
            Record::Dispatched { .. } => self.dispatched(record),
            Record::Settled { .. } => self.settled(record),
            Record::Ended {
                program,
                reason,
                at_ms,
            } => self.ended(program, *reason, *at_ms),
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
                self.level(customer, block);
            }
            Record::Forgotten { call, program } => {
                if let Some(Call::Single(customer, request)) = call {
                    self.ledger.forgotten(&(customer.clone(), request.clone()));
                }
                if let Some(program) = program {
                    self.forgotten(program);
                }
            }
        }
    }

    fn opened_child(&mut self, name: &id::Program, budget: &crate::record::Budget, at_ms: u64) {
        let parent = name
            .parent()
            .and_then(|parent| self.programs.get_mut(&parent));
        let Some(parent) = parent else { return };
        parent.lend(budget, at_ms);
        let child = Program::new(parent.customer.clone(), *budget, at_ms);
        self.programs.insert(name.clone(), child);
    }

    fn dispatched(&mut self, record: &Record) {
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
                self.ledger
                    .dispatched(&(customer.clone(), request.clone()), entry, &self.limits);
            }
            Call::Step(name, step) => {
                let turn = Turn {
                    entry,
                    input: input.clone(),
                    reserved: *reserved,
                    engine: model.is_some(),
                };
                if let Some(program) = self.programs.get_mut(name) {
                    program.dispatched(*step, turn);
                }
            }
        }
    }

    fn settled(&mut self, record: &Record) {
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
                self.ledger.settled(&name, attempt, outcome);
            }
            Call::Step(name, step) => {
                let settled = Settled {
                    step: *step,
                    attempt,
                    outcome,
                    at_ms: *at_ms,
                };
                if let Some(program) = self.programs.get_mut(name) {
                    program.settled(name, settled);
                }
            }
        }
    }

    fn ended(&mut self, name: &id::Program, reason: Ending, at_ms: u64) {
        let open = self.programs.get_mut(name).filter(|p| p.ended.is_none());
        let Some(program) = open else { return };
        program.ended = Some((reason, at_ms));
        let (slice, calls) = (program.budget, program.calls);
        let used = id::Tokens(program.spent.0 + program.reserved.0);
        let parent = name
            .parent()
            .and_then(|parent| self.programs.get_mut(&parent));
        if let Some(parent) = parent {
            parent.take_back(&slice, used, calls, at_ms);
        }
    }

    fn forgotten(&mut self, name: &id::Program) {
        if let Some(program) = self.programs.remove(name) {
            let ended_ms = program.ended.map_or(program.touched_ms, |(_, at_ms)| at_ms);
            let tomb = Tombstone::of_program(&program.customer, name);
            self.tombs.insert(tomb, ended_ms);
        }
    }

    fn level(&mut self, customer: &Customer, block: Block) {
        let former = self.levels.get(customer).map(|level| level.block);
        let block = former.map_or(block, |former| former.join(block));
        let level = Level { block, seen: None };
        self.levels.insert(customer.clone(), level);
    }
}
