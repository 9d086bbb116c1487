//! Records of a shard's state, kept in two places before anything rests on them.
//!
//! A shard's primary turns each decision into records, applies them to its own copy, sends them to
//! its standby and appends them to the log in the platform. Applying the same records in the same
//! order gives the same copy everywhere.

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

/// Limits of a program and its children together.
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
    Looped,
    Idle,
}

/// Name of a request in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Call {
    /// A turn of a program.
    Step(Program, Step),
    /// A request on its own.
    Single(Customer, Request),
}

/// A whole answer as it was given, for repeats.
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

/// What is known of a dispatched request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Answered(Answer),
    /// Confirmed never to have run: may be sent again.
    NotRun,
    /// May have run; never dispatched again.
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
    /// A child was opened under a slice of its parent's budget.
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
        /// The node that sent it and reports its outcome while it is a member.
        sender: Node,
        /// Hash of what was asked, to tell a repeat from another request of the same name.
        content: u64,
        /// The new messages of a program's step, JSON array.
        #[serde(with = "crate::bytes")]
        input: Vec<u8>,
        model: Option<Model>,
        /// Tokens held back from the budget until the outcome is known.
        reserved: Tokens,
        idempotent: bool,
        at_ms: u64,
    },
    /// A call's outcome.
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
    /// A customer's bucket may spend up to this level before the next record.
    Level {
        customer: Customer,
        spent: u64,
        /// Requests in the block that this level allows.
        size: u64,
        /// Requests that the bucket held when it asked for the block.
        available: u64,
        at_ms: u64,
    },
    /// An old entry of the ledger or an ended program was dropped.
    Forgotten {
        call: Option<Call>,
        program: Option<Program>,
    },
}
