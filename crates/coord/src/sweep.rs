//! Sweeps over a shard's state: programs over their time or idle end, what is old is forgotten.

use crate::id;
use crate::program::Program;
use crate::record::Ending;
use crate::record::Record;
use crate::replica::Replica;

/// Most records of one sweep.
const SWEEP_LIMIT: usize = 1000;

enum Overdue {
    End(Ending),
    Forget,
}

impl Replica {
    /// Records that end programs over their time or idle, and forget what is old.
    pub fn sweep(&self, at_ms: u64) -> Vec<Record> {
        let mut records = Vec::new();
        for (name, program) in &self.programs {
            match self.overdue(name, program, at_ms) {
                Some(Overdue::End(reason)) => records.extend(self.ends(name, reason, at_ms)),
                Some(Overdue::Forget) => records.push(Record::Forgotten {
                    call: None,
                    program: Some(name.clone()),
                }),
                None => (),
            }
        }
        records.extend(self.ledger.sweep(at_ms, &self.limits, SWEEP_LIMIT));
        records
    }

    fn overdue(&self, name: &id::Program, program: &Program, at_ms: u64) -> Option<Overdue> {
        let quiet_ms = at_ms.saturating_sub(program.touched_ms);
        match program.ended {
            Some((_, ended_ms)) => {
                let kept_ms = at_ms.saturating_sub(ended_ms);
                let forget = kept_ms >= self.limits.retention_ms && !program.is_busy();
                forget.then_some(Overdue::Forget)
            }
            None if program.wall_ms_left(at_ms) == 0 => Some(Overdue::End(Ending::Budget)),
            None if quiet_ms < self.limits.idle_ms || program.is_busy() => None,
            None if self.has_open_child(name, program) => None,
            None => Some(Overdue::End(Ending::Idle)),
        }
    }

    fn has_open_child(&self, name: &id::Program, program: &Program) -> bool {
        (1..=program.children)
            .filter_map(|number| name.child(number).ok())
            .filter_map(|child| self.programs.get(&child))
            .any(|child| child.ended.is_none())
    }
}
