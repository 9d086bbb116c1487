//! Records that disks store.

use bytes::Bytes;
use compact_str::CompactString;
use coord::id::Customer;
use coord::id::Program;
use coord::id::Request;
use serde::Deserialize;
use serde::Serialize;

use crate::membership::Membership;
use crate::origin::Origin;
use crate::time::Timestamp;

/// One entry of a disk's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    Turn(Turn),
    Charge(Charge),
    /// The newest membership that this disk has received.
    Membership(Membership),
    /// Whether this disk still copies records that were committed before it became a member.
    Joining(bool),
    Origin(Origin),
}

impl Record {
    /// The turn, if the record is one.
    pub fn into_turn(self) -> Option<Turn> {
        match self {
            Record::Turn(turn) => Some(turn),
            _ => None,
        }
    }
}

/// A turn that was answered completely.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Request that ran the turn.
    pub id: Request,
    pub customer: Customer,
    /// The preceding turn of its chain.
    pub previous: Option<Request>,
    /// Input followed by output, in the form in which they precede a later turn's input.
    pub content: Bytes,
    /// End of retention.
    pub expires: Timestamp,
}

/// Tokens that one turn reserves or uses of its program's budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    pub account: Account,
    pub turn: Request,
    pub state: State,
    /// Hash of the target chosen to run the turn; its cache may contain the program's prompts.
    pub target: u32,
    /// End of retention.
    pub expires: Timestamp,
}

/// One turn's charge as listed in an account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub turn: Request,
    pub state: State,
    /// Hash of the target chosen to run the turn; 0 for none.
    pub target: u32,
}

/// Key of a program's budget: customer and program name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account {
    pub customer: Customer,
    pub program: Program,
}

impl Account {
    /// An account without charges, read to learn whether a disk answers and counts.
    pub fn probe() -> Account {
        Account {
            customer: probe_name(),
            program: probe_name(),
        }
    }
}

fn probe_name<T: std::str::FromStr>() -> T {
    match "probe".parse() {
        Ok(name) => name,
        Err(_) => unreachable!("a plain word is a name"),
    }
}

/// State of a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The turn is in progress and may generate up to this many tokens.
    Reserved(u64),
    /// The turn has ended after generating this many tokens.
    Settled(u64),
}

impl State {
    /// Tokens that count against the budget.
    pub fn tokens(self) -> u64 {
        match self {
            State::Reserved(tokens) | State::Settled(tokens) => tokens,
        }
    }

    /// Merges two states of the same charge; commutative, so the order of arrival is irrelevant.
    pub fn merge(self, other: State) -> State {
        match (self, other) {
            (State::Settled(a), State::Settled(b)) => State::Settled(a.max(b)),
            (State::Settled(_), State::Reserved(_)) => self,
            (State::Reserved(_), State::Settled(_)) => other,
            (State::Reserved(a), State::Reserved(b)) => State::Reserved(a.max(b)),
        }
    }
}

/// Identifier of a disk's content; an empty disk gets a new random one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Disk(pub u64);

/// Bits that the identifiers of vacancies have in common, and no disk's.
const VACANCY: u64 = 0xFFFF_FFFF << 32;

impl Disk {
    /// Identifier of an empty disk.
    pub fn random() -> Disk {
        loop {
            let disk = Disk(rand::random());
            if !disk.is_vacancy() {
                return disk;
            }
        }
    }

    /// Identifier of the vacancy that takes this disk's place: a member that no host serves. A vacancy's own
    /// is the same.
    pub fn vacancy(self) -> Disk {
        Disk(VACANCY | self.0)
    }

    /// Whether no host serves a disk with this identifier.
    pub fn is_vacancy(self) -> bool {
        self.0 & VACANCY == VACANCY
    }
}

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

/// Host name, from the settings.
pub type Host = CompactString;
