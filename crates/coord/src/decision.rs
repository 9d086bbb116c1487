//! What is asked of a shard's state, and what it decides.

use std::sync::Arc;

use crate::id::Attempt;
use crate::id::Customer;
use crate::id::Model;
use crate::id::Node;
use crate::id::Target;
use crate::id::Tokens;
use crate::record::Answer;
use crate::record::Call;
use crate::record::Outcome;
use crate::record::Record;
use crate::refusal::Refusal;

/// A call to be dispatched.
#[derive(Clone)]
pub struct Begin {
    pub call: Call,
    pub customer: Customer,
    /// The dispatch, if it comes to one.
    pub attempt: Attempt,
    pub target: Target,
    /// The node that sends it.
    pub sender: Node,
    /// Hash of what is asked.
    pub content: u64,
    /// New messages, JSON array; empty for a plain service.
    pub input: Vec<u8>,
    pub model: Option<Model>,
    /// Upper bound of the prompt, history included.
    pub estimate: Tokens,
    /// Upper bound of the answer.
    pub max_tokens: Tokens,
    pub idempotent: bool,
    /// The name was made by the system for this very try, so that it can't be a repeat.
    pub fresh: bool,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}

impl Begin {
    /// Tokens to hold back until the outcome is known.
    pub fn reserve(&self) -> Tokens {
        Tokens(self.estimate.0.saturating_add(self.max_tokens.0))
    }

    /// The record of the dispatch.
    pub fn into_record(self) -> Record {
        Record::Dispatched {
            reserved: self.reserve(),
            call: self.call,
            attempt: self.attempt,
            target: self.target,
            sender: self.sender,
            content: self.content,
            input: self.input,
            model: self.model,
            idempotent: self.idempotent,
            at_ms: self.at_ms,
        }
    }

    /// Records that make an unknown outcome of this call final without a dispatch.
    pub(crate) fn unknown(&self) -> Vec<Record> {
        let settled = Record::Settled {
            call: self.call.clone(),
            attempt: self.attempt.clone(),
            outcome: Outcome::Unknown,
            at_ms: self.at_ms,
        };
        let unpaid = Begin {
            estimate: Tokens(0),
            max_tokens: Tokens(0),
            ..self.clone()
        };
        vec![unpaid.into_record(), settled]
    }
}

/// What becomes of a call.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Dispatch once these records stand in two places.
    Dispatch(Vec<Record>),
    /// Give the recorded answer.
    Replay(Arc<Answer>),
    /// The same call is in flight: wait for its outcome.
    Attach,
    /// Ahead of its turn: wait for the step before.
    Early,
    /// Refuse; nothing changes.
    Refuse(Refusal),
    /// Refuse once these records stand in two places.
    RecordAndRefuse(Vec<Record>, Refusal),
}

/// What becomes of a program to be opened.
#[derive(Debug, Clone)]
pub enum Opening {
    New(Vec<Record>),
    /// A repeat; the program is open already.
    AlreadyOpen,
    Refuse(Refusal),
}

/// A dispatched call without an outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightCall {
    pub call: Call,
    pub attempt: Attempt,
    pub target: Target,
    /// The node that sent it and reports its outcome while it is a member.
    pub sender: Node,
    pub idempotent: bool,
    pub content: u64,
}
