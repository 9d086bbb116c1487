//! Periodic sweep of a shard's state: ends expired and idle programs, and drops old entries.

use crate::id;
use crate::program::Program;
use crate::record::Ending;
use crate::record::Record;
use crate::replica::Replica;

/// Maximum number of ledger entries that one sweep drops.
const LEDGER_SWEEP_LIMIT: usize = 1000;

/// What a sweep does with a program.
enum Action {
    End(Ending),
    Forget,
}

impl Replica {
    /// Returns records that end programs that are idle or out of wall-clock time, and records that
    /// drop programs and ledger entries past their retention time.
    pub fn sweep(&self, at_ms: u64) -> Vec<Record> {
        let mut records = Vec::new();
        for (name, program) in &self.programs {
            match self.due_action(name, program, at_ms) {
                Some(Action::End(reason)) => records.extend(self.end_records(name, reason, at_ms)),
                Some(Action::Forget) => records.push(Record::Forgotten {
                    call: None,
                    program: Some(name.clone()),
                }),
                None => (),
            }
        }
        records.extend(self.ledger.sweep(at_ms, &self.limits, LEDGER_SWEEP_LIMIT));
        records
    }

    fn due_action(&self, name: &id::Program, program: &Program, at_ms: u64) -> Option<Action> {
        let idle_ms = at_ms.saturating_sub(program.touched_ms);
        match program.ended {
            Some((_, ended_ms)) => {
                let since_end_ms = at_ms.saturating_sub(ended_ms);
                let forget = since_end_ms >= self.limits.retention_ms && !program.is_busy();
                forget.then_some(Action::Forget)
            }
            None if program.wall_ms_left(at_ms) == 0 => Some(Action::End(Ending::Budget)),
            None if idle_ms < self.limits.idle_ms || program.is_busy() => None,
            None if self.has_open_child(name, program) => None,
            None => Some(Action::End(Ending::Idle)),
        }
    }

    fn has_open_child(&self, name: &id::Program, program: &Program) -> bool {
        (1..=program.children)
            .filter_map(|number| name.child(number).ok())
            .filter_map(|child| self.programs.get(&child))
            .any(|child| child.ended.is_none())
    }
}
