//! Calls to a history host and their answers.
//!
//! A call is a fixed-size header followed by a `postcard` body, so that a body is encoded once and
//! sent to several hosts.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use coord::id::Customer;
use coord::id::Request;
use node::link::Payload;
use serde::Deserialize;
use serde::Serialize;

use crate::membership::Epoch;
use crate::membership::Membership;
use crate::origin;
use crate::origin::Origin;
use crate::record::Account;
use crate::record::Charge;
use crate::record::Disk;
use crate::record::Entry;
use crate::record::Record;
use crate::record::Turn;

/// Bytes of a call's header: disk and epoch.
const HEADER_BYTES: usize = 16;

/// Addressed disk of a call and the membership epoch of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    pub disk: Disk,
    pub epoch: Epoch,
}

/// A call to a history host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Stores records; answered once they are synced.
    Append(Vec<Record>),
    /// Stores a charge and returns the account as it was before; answered once the charge is
    /// synced.
    Reserve(Charge),
    /// Returns the charges of an account.
    ReadAccount(Account),
    /// Returns a turn and its predecessors, as far as this disk has them.
    Chain(Request),
    /// Returns the fingerprints of records from a position on, in order of arrival.
    Digest(Position),
    /// Returns the records at these positions.
    Fetch(Vec<Position>),
    /// Sends a newer membership.
    Inform(Membership),
    /// [`Call::Reserve`] that also stores the origin of the turn's stream.
    ReserveStream { charge: Charge, origin: Origin },
    /// Returns what is stored of a request's origin.
    ReadOrigin {
        customer: Customer,
        request: Request,
    },
}

/// A host's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Appended,
    Account {
        charges: Vec<Entry>,
        /// Whether the disk has finished joining; until then it may lack committed charges.
        complete: bool,
    },
    Chain {
        /// The requested turn first, then its predecessors.
        turns: Vec<Turn>,
        /// Whether the disk has finished joining; until then it may lack committed turns.
        complete: bool,
    },
    Digest {
        /// Random number drawn at each process start; positions are valid for one incarnation.
        incarnation: u64,
        /// Fingerprints from the requested position on; 0 for pruned records.
        fingerprints: Vec<u64>,
        next: Position,
        /// Whether this is the last page.
        end: bool,
    },
    /// Records at the requested positions, without expired ones.
    Records(Vec<Record>),
    Informed,
    /// The call's epoch is outdated; contains the host's membership.
    Stale(Membership),
    /// The host's disk isn't the addressed one.
    OtherDisk,
    /// The host accepts no new records: it is retiring, or its disk is full or has failed.
    Closed,
    Origin {
        state: Option<origin::State>,
        /// Whether the disk has finished joining; until then it may lack committed origins.
        complete: bool,
    },
}

/// Index of a record in a host's order of arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position(pub u64);

/// Encodes a call's body, an answer or a record.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    Bytes::from(append(message, Vec::new()))
}

/// Appends an encoded message to `output`.
pub fn append<T: Serialize>(message: &T, mut output: Vec<u8>) -> Vec<u8> {
    // A vector that grows would take up to three times the message's size.
    output.reserve(postcard::experimental::serialized_size(message).unwrap_or(0));
    match postcard::to_extend(message, output) {
        Ok(output) => output,
        Err(error) => unreachable!("all message types are encodable: {error}"),
    }
}

/// A header and a body that other frames share.
pub fn shared_frame(header: Header, body: Bytes) -> Payload {
    Payload {
        head: frame(header, &[]),
        body,
    }
}

/// Prepends a header to a body.
pub fn frame(header: Header, body: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
    frame.put_u64(header.disk.0);
    frame.put_u64(header.epoch.0);
    frame.put_slice(body);
    frame.freeze()
}

/// Disk in an encoded call's header; `None` if the frame is shorter than a header.
pub fn addressed_disk(mut frame: &[u8]) -> Option<Disk> {
    (frame.len() >= HEADER_BYTES).then(|| Disk(frame.get_u64()))
}

/// Decodes a call.
///
/// Errors: the frame is too short or its body isn't a valid call.
pub fn read_call(mut frame: Bytes) -> Result<(Header, Call), postcard::Error> {
    if frame.len() < HEADER_BYTES {
        return Err(postcard::Error::DeserializeUnexpectedEnd);
    }
    let disk = Disk(frame.get_u64());
    let epoch = Epoch(frame.get_u64());
    let call = postcard::from_bytes(&frame)?;
    Ok((Header { disk, epoch }, call))
}

/// Decodes an answer.
///
/// Errors: the frame isn't a valid answer.
pub fn read_answer(frame: &[u8]) -> Result<Answer, postcard::Error> {
    postcard::from_bytes(frame)
}
