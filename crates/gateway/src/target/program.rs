//! Programs under way, as this entry has seen them.

use std::collections::VecDeque;

use coord::id::Program;

use crate::Map;

/// Programs remembered at most.
const LIMIT: usize = 20_000;

/// Which target ran a program's newest turn.
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

    /// Notes which target runs a turn.
    pub fn set_target(&mut self, program: &Program, target: u32) {
        if let Some(known) = self.targets.get_mut(program) {
            *known = target;
            return;
        }
        self.targets.insert(program.clone(), target);
        self.order.push_back(program.clone());
        if self.order.len() > LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.targets.remove(&oldest);
        }
    }
}
