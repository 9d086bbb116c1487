//! Opens root programs, and child programs with a share of their parent's budget.

use crate::decision::Opening;
use crate::id;
use crate::id::Customer;
use crate::program;
use crate::program::Program;
use crate::record::Budget;
use crate::record::Record;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::replica::Replica;
use crate::time::Millis;

const FULL_RETRY_AFTER: Millis = Millis(1000);

impl Replica {
    /// Decides whether to open a root program.
    pub fn open(
        &self,
        name: &id::Program,
        customer: &Customer,
        budget: Budget,
        at_ms: u64,
    ) -> Opening {
        match self.programs.get(name) {
            None if self.is_forgotten(name, customer) => Opening::Refuse(program::ended_refusal()),
            None if self.tombstones.len() >= self.limits.tombstones => {
                Opening::Refuse(too_many_programs())
            }
            None => Opening::New(vec![Record::Opened {
                program: name.clone(),
                customer: customer.clone(),
                budget,
                at_ms,
            }]),
            Some(old) if old.customer == *customer && old.budget == budget => Opening::AlreadyOpen,
            Some(_) => Opening::Refuse(name_conflict()),
        }
    }

    /// Name of a program's next child.
    ///
    /// `None` if the parent is unknown or the name would be too long.
    pub fn next_child(&self, parent: &id::Program) -> Option<id::Program> {
        let program = self.programs.get(parent)?;
        parent.child(program.children + 1).ok()
    }

    /// Decides whether to open a child with a share of its parent's budget; `name` must be
    /// [`Replica::next_child`].
    pub fn open_child(
        &self,
        name: &id::Program,
        customer: &Customer,
        budget: Budget,
        at_ms: u64,
    ) -> Opening {
        let parent = name.parent().unwrap_or_else(|| name.clone());
        let program = match self.customer_program(&parent, customer) {
            Ok(program) => program,
            Err(refusal) => return Opening::Refuse(refusal),
        };
        let wall_ms = budget.wall_ms.min(program.wall_ms_left(at_ms));
        match self.programs.get(name) {
            Some(old) if same_share(&old.budget, &budget) => Opening::AlreadyOpen,
            Some(_) => Opening::Refuse(name_conflict()),
            None if program.ended.is_some() => Opening::Refuse(program::ended_refusal()),
            None if self.next_child(&parent).as_ref() != Some(name) => {
                let message = "the child number isn't the parent's next one";
                Opening::Refuse(Refusal::new(Code::OutOfOrder, message))
            }
            None if exceeds(program, &budget) || wall_ms == 0 => {
                let message = "the child's budget exceeds the parent's remaining budget";
                Opening::Refuse(Refusal::new(Code::Budget, message))
            }
            None => Opening::New(vec![Record::Child {
                program: name.clone(),
                budget: Budget { wall_ms, ..budget },
                at_ms,
            }]),
        }
    }
}

fn too_many_programs() -> Refusal {
    Refusal::new(Code::Overloaded, "too many programs").with_retry_after(FULL_RETRY_AFTER)
}

fn name_conflict() -> Refusal {
    Refusal::new(Code::Conflict, "another program has this name")
}

fn same_share(old: &Budget, new: &Budget) -> bool {
    old.tokens == new.tokens && old.calls == new.calls
}

fn exceeds(parent: &Program, share: &Budget) -> bool {
    share.tokens > parent.tokens_left() || share.calls > parent.calls_left()
}
