//! What disks keep.

use bytes::Bytes;
use compact_str::CompactString;
use coord::id::Customer;
use coord::id::Program;
use coord::id::Request;
use serde::Deserialize;
use serde::Serialize;

use crate::membership::Membership;
use crate::time::Timestamp;

/// One entry of a disk's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    Turn(Turn),
    Charge(Charge),
    /// The newest membership that this disk was told of.
    Membership(Membership),
    /// Whether this disk still copies what it missed before it counted.
    Joining(bool),
}

/// A turn that was answered whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The request that ran it.
    pub id: Request,
    pub customer: Customer,
    /// The turn that it continues.
    pub previous: Option<Request>,
    /// Its input followed by its output, as a later turn's engine reads them.
    pub content: Bytes,
    /// End of retention.
    pub expires: Timestamp,
}

/// What one turn takes of its program's budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    pub account: Account,
    pub turn: Request,
    pub state: State,
    /// Hash of the target that was to run the turn; its memory may hold the program's prompts.
    pub target: u32,
    /// End of retention.
    pub expires: Timestamp,
}

/// What an account shows of one turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub turn: Request,
    pub state: State,
    /// Hash of the target that was to run the turn.
    pub target: u32,
}

/// A program's budget: its customer and name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account {
    pub customer: Customer,
    pub program: Program,
}

/// How much a turn takes of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The turn may still generate up to this many tokens.
    Reserved(u64),
    /// The turn has ended after this many tokens.
    Settled(u64),
}

impl State {
    /// Tokens that count against the budget.
    pub fn tokens(self) -> u64 {
        match self {
            State::Reserved(tokens) | State::Settled(tokens) => tokens,
        }
    }

    /// The state after both were heard of, in any order.
    pub fn merge(self, other: State) -> State {
        match (self, other) {
            (State::Settled(a), State::Settled(b)) => State::Settled(a.max(b)),
            (State::Settled(_), State::Reserved(_)) => self,
            (State::Reserved(_), State::Settled(_)) => other,
            (State::Reserved(a), State::Reserved(b)) => State::Reserved(a.max(b)),
        }
    }
}

/// Name of a disk's content: drawn anew for each empty disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Disk(pub u64);

impl std::fmt::Display for Disk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for Disk {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Disk, Self::Err> {
        u64::from_str_radix(text, 16).map(Disk)
    }
}

/// Name of a host, from its settings.
pub type Host = CompactString;
