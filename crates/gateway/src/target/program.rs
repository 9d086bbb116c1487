//! Running programs whose turns this entry has relayed.

use std::collections::VecDeque;

use coord::id::Program;

use crate::Map;

/// Maximum number of stored programs; the oldest is dropped first.
const MAX_PROGRAMS: usize = 20_000;

/// Target of each program's newest turn.
#[derive(Debug, Default)]
pub struct Programs {
    targets: Map<Program, u32>,
    order: VecDeque<Program>,
}

impl Programs {
    /// Hash of the target that ran the program's newest turn.
    pub fn target(&self, program: &Program) -> Option<u32> {
        self.targets.get(program).copied()
    }

    /// Records the target of a program's newest turn.
    pub fn set_target(&mut self, program: &Program, target: u32) {
        if let Some(stored) = self.targets.get_mut(program) {
            *stored = target;
            return;
        }
        self.targets.insert(program.clone(), target);
        self.order.push_back(program.clone());
        if self.order.len() > MAX_PROGRAMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.targets.remove(&oldest);
        }
    }
}
