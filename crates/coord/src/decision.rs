//! Requests to a shard's state, and the decisions on them.

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

/// Request to dispatch a call.
#[derive(Clone)]
pub struct Begin {
    pub call: Call,
    pub customer: Customer,
    /// Name of the attempt, if the call is dispatched.
    pub attempt: Attempt,
    pub target: Target,
    /// Node that sends the call to the target.
    pub sender: Node,
    /// Hash of the request.
    pub content: u64,
    /// New messages, as a JSON array; empty for a plain service.
    pub input: Vec<u8>,
    pub model: Option<Model>,
    /// Upper bound of the prompt's tokens, history included.
    pub estimate: Tokens,
    /// Upper bound of the answer's tokens.
    pub max_tokens: Tokens,
    pub idempotent: bool,
    /// Whether the system generated the call's name for this attempt, so that it can't be a repeat.
    pub fresh: bool,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}

impl Begin {
    /// Tokens to reserve until the outcome is known.
    pub fn reservation(&self) -> Tokens {
        Tokens(self.estimate.0.saturating_add(self.max_tokens.0))
    }

    /// Converts the request to the record of its dispatch.
    pub fn into_record(self) -> Record {
        Record::Dispatched {
            reserved: self.reservation(),
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

    /// Returns records that settle the call with an unknown outcome.
    ///
    /// The call is neither sent nor charged tokens.
    pub(crate) fn unknown_outcome_records(&self) -> Vec<Record> {
        let settled = Record::Settled {
            call: self.call.clone(),
            attempt: self.attempt.clone(),
            outcome: Outcome::Unknown,
            at_ms: self.at_ms,
        };
        let uncharged = Begin {
            estimate: Tokens(0),
            max_tokens: Tokens(0),
            ..self.clone()
        };
        vec![uncharged.into_record(), settled]
    }
}

/// Decision on a call.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Dispatch the call once these records are stored in two places.
    Dispatch(Vec<Record>),
    /// Return the recorded answer.
    Replay(Arc<Answer>),
    /// The same call is in flight; wait for its outcome.
    Attach,
    /// An earlier step is unfinished; wait for it.
    Early,
    /// Refuse the call; nothing is recorded.
    Refuse(Refusal),
    /// Refuse the call once these records are stored in two places.
    RecordAndRefuse(Vec<Record>, Refusal),
}

/// Decision on opening a program.
#[derive(Debug, Clone)]
pub enum Opening {
    /// Open the program once these records are stored in two places.
    New(Vec<Record>),
    /// The request is a repeat; the program is already open.
    AlreadyOpen,
    Refuse(Refusal),
}

/// A dispatched call without an outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightCall {
    pub call: Call,
    pub attempt: Attempt,
    pub target: Target,
    /// Node that sent the call and reports its outcome while it is a member.
    pub sender: Node,
    pub idempotent: bool,
    /// Hash of the request.
    pub content: u64,
}
