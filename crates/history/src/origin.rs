//! Software version that began a stream.
//!
//! What targets of two versions write into one stream doesn't fit together, so a broken stream goes
//! on only at the version that began it. A caller resumes it with a new request, at any entry, and
//! names the request that brought the first event. The version is therefore stored under that
//! request before it is sent to a target, and read when the stream is resumed.

use compact_str::CompactString;
use coord::id::Customer;
use coord::id::Request;
use coord::id::SoftwareVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Timestamp;

/// Software version that runs a request's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub customer: Customer,
    pub request: Request,
    pub state: State,
    /// End of retention.
    pub expires: Timestamp,
}

/// What is known of the version that runs a request's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Chosen(Choice),
    /// The caller used one id for several requests, whose streams can't be told apart.
    Ambiguous,
}

/// Choice of a version by the entry that relays the stream. Choices of one relay are ordered by their
/// numbers, which determine the other fields.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Choice {
    /// Random number drawn for each request that an entry receives.
    pub relay: u64,
    /// Number of the choice, from 0. A later one supersedes earlier ones, which have brought no
    /// event.
    pub number: u32,
    /// Name of the service that the target belongs to.
    pub service: CompactString,
    pub version: SoftwareVersion,
}

impl State {
    /// Merges two states of the same request; commutative, associative and idempotent, so the order
    /// of arrival is irrelevant.
    pub fn merge(self, other: State) -> State {
        match (self, other) {
            (State::Chosen(a), State::Chosen(b)) if a.relay != b.relay => State::Ambiguous,
            (State::Chosen(a), State::Chosen(b)) => State::Chosen(a.max(b)),
            (State::Ambiguous, _) | (_, State::Ambiguous) => State::Ambiguous,
        }
    }
}
