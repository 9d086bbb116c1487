//! Records of changes to a shard's state, stored in two places before a decision takes effect.
//!
//! A shard's primary turns each decision into records, applies them to its own replica, sends them
//! to its standby and appends them to the log in the platform. Applying the same records in the
//! same order gives the same state on every replica.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Attempt;
use crate::id::Customer;
use crate::id::Model;
use crate::id::Node;
use crate::id::Program;
use crate::id::Request;
use crate::id::Step;
use crate::id::Target;
use crate::id::Tokens;

/// Limits shared by a program and its children.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    pub tokens: Tokens,
    pub calls: u64,
    /// Milliseconds from opening.
    pub wall_ms: u64,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    Finished,
    Cancelled,
    Budget,
    /// It repeated the same call too often.
    Looped,
    /// It was without a call for too long.
    Idle,
}

/// Identifies a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Call {
    /// A step of a program.
    Step(Program, Step),
    /// A single request outside any program.
    Single(Customer, Request),
}

/// A complete answer, kept to replay it when the call is repeated.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    pub content_type: CompactString,
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
    pub prompt_tokens: Tokens,
    pub cached_tokens: Tokens,
    pub completion_tokens: Tokens,
    pub finish: CompactString,
}

/// Outcome of a dispatched call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Answered(Answer),
    /// Confirmed not to have run; may be dispatched again.
    NotRun,
    /// May have run; dispatched again only if it is idempotent.
    Unknown,
}

/// One change of a shard's state.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A root program was opened.
    Opened {
        program: Program,
        customer: Customer,
        budget: Budget,
        at_ms: u64,
    },
    /// A child program was opened with a share of its parent's budget.
    Child {
        program: Program,
        budget: Budget,
        at_ms: u64,
    },
    /// A call was sent to a target.
    Dispatched {
        call: Call,
        attempt: Attempt,
        target: Target,
        /// Node that sent the call and reports its outcome while it is a member.
        sender: Node,
        /// Hash of the request, to distinguish a repeat from another request of the same name.
        content: u64,
        /// New messages of a program's step, as a JSON array.
        #[serde(with = "crate::bytes")]
        input: Vec<u8>,
        model: Option<Model>,
        /// Tokens reserved from the budget until the outcome is known.
        reserved: Tokens,
        idempotent: bool,
        at_ms: u64,
    },
    /// The outcome of a call's attempt.
    Settled {
        call: Call,
        attempt: Attempt,
        outcome: Outcome,
        at_ms: u64,
    },
    /// A program ended.
    Ended {
        program: Program,
        reason: Ending,
        at_ms: u64,
    },
    /// The token bucket of a customer's rate limit may grant a block of requests, until it has
    /// granted `spent` in total. A record per block saves one per request; see [`crate::bucket`].
    Level {
        customer: Customer,
        /// Requests granted in total once the block is used up.
        spent: u64,
        /// Number of requests in the block that ends at `spent`.
        size: u64,
        /// Requests that the bucket held when it requested the block.
        available: u64,
        at_ms: u64,
    },
    /// A ledger entry or an ended program was dropped after its retention time.
    Forgotten {
        call: Option<Call>,
        program: Option<Program>,
    },
}
