//! Opening programs, and children under a slice of their parent's budget.

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

const CROWDED_WAIT: Millis = Millis(1000);

impl Replica {
    /// Opens a root program.
    pub fn open(
        &self,
        name: &id::Program,
        customer: &Customer,
        budget: Budget,
        at_ms: u64,
    ) -> Opening {
        match self.programs.get(name) {
            None if self.is_forgotten(name, customer) => Opening::Refuse(program::ended()),
            None if self.tombs.len() >= self.limits.tombs => Opening::Refuse(crowded()),
            None => Opening::New(vec![Record::Opened {
                program: name.clone(),
                customer: customer.clone(),
                budget,
                at_ms,
            }]),
            Some(old) if old.customer == *customer && old.budget == budget => Opening::AlreadyOpen,
            Some(_) => Opening::Refuse(taken()),
        }
    }

    /// The name of a program's next child.
    pub fn next_child(&self, parent: &id::Program) -> Option<id::Program> {
        let program = self.programs.get(parent)?;
        parent.child(program.children + 1).ok()
    }

    /// Opens a child with a slice of its parent's budget; `name` is [`Replica::next_child`].
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
            Some(old) if same_slice(&old.budget, &budget) => Opening::AlreadyOpen,
            Some(_) => Opening::Refuse(taken()),
            None if program.ended.is_some() => Opening::Refuse(program::ended()),
            None if self.next_child(&parent).as_ref() != Some(name) => {
                let message = "not the number of the next child";
                Opening::Refuse(Refusal::new(Code::OutOfOrder, message))
            }
            None if exceeds(program, &budget) || wall_ms == 0 => {
                let message = "more than the parent has left";
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

fn crowded() -> Refusal {
    Refusal::new(Code::Overloaded, "too many programs").after(CROWDED_WAIT)
}

fn taken() -> Refusal {
    Refusal::new(Code::Conflict, "the name is taken")
}

fn same_slice(old: &Budget, new: &Budget) -> bool {
    old.tokens == new.tokens && old.calls == new.calls
}

fn exceeds(parent: &Program, slice: &Budget) -> bool {
    slice.tokens > parent.tokens_left() || slice.calls > parent.calls_left()
}
