//! Calls to a history host and their answers.
//!
//! A call starts with a fixed head, so that one encoded body serves all hosts that are asked the
//! same.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use coord::id::Request;
use serde::Deserialize;
use serde::Serialize;

use crate::membership::Epoch;
use crate::membership::Membership;
use crate::record::Account;
use crate::record::Charge;
use crate::record::Disk;
use crate::record::Entry;
use crate::record::Record;
use crate::record::Turn;

/// Bytes of a call's head: disk and epoch.
const HEAD: usize = 16;

/// For whom a call is, and under which membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    pub disk: Disk,
    pub epoch: Epoch,
}

/// A call to a history host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Keep these records; answered once they are synced.
    Append(Vec<Record>),
    /// Keep this charge, then show its account; answered once it is synced.
    Reserve(Charge),
    /// Show an account.
    Show(Account),
    /// Show a turn and those before it, as far as they are here.
    Chain(Request),
    /// Show the fingerprints of records from a position on, in the order in which they came.
    Digest(Position),
    /// Show the records at these positions.
    Fetch(Vec<Position>),
    /// There is a newer membership.
    Inform(Membership),
}

/// A host's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Appended,
    Account {
        charges: Vec<Entry>,
        /// Whether charges that aren't shown may have counted before this disk did.
        complete: bool,
    },
    Chain {
        /// From the turn asked for backwards.
        turns: Vec<Turn>,
        /// Whether a turn that isn't shown is known not to be on this disk.
        complete: bool,
    },
    Digest {
        /// Drawn at each start of the process; positions hold for one start.
        incarnation: u64,
        /// Of the records from the position asked for on; 0 where there is none any more.
        fingerprints: Vec<u64>,
        next: Position,
        /// Whether there was nothing more.
        end: bool,
    },
    /// Records at the positions asked for, as far as they are still there.
    Records(Vec<Record>),
    Informed,
    /// The call's membership is too old; this is the newest one known here.
    Stale(Membership),
    /// The host holds another disk now.
    OtherDisk,
    /// The host is being emptied, or its disk fails: it keeps no new records.
    Closed,
}

/// A place in the order of a host's records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position(pub u64);

/// Encodes a call's body.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => unreachable!("messages have no types that can't be encoded: {error}"),
    }
}

/// Puts a head before a body.
pub fn frame(head: Head, body: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(HEAD + body.len());
    frame.put_u64(head.disk.0);
    frame.put_u64(head.epoch.0);
    frame.put_slice(body);
    frame.freeze()
}

/// The disk that an encoded call is for; none if it is too short for one.
pub fn disk(mut frame: &[u8]) -> Option<Disk> {
    (frame.len() >= HEAD).then(|| Disk(frame.get_u64()))
}

/// Reads a call.
///
/// Errors: the frame isn't a call.
pub fn read_call(mut frame: Bytes) -> Result<(Head, Call), postcard::Error> {
    if frame.len() < HEAD {
        return Err(postcard::Error::DeserializeUnexpectedEnd);
    }
    let disk = Disk(frame.get_u64());
    let epoch = Epoch(frame.get_u64());
    let call = postcard::from_bytes(&frame)?;
    Ok((Head { disk, epoch }, call))
}

/// Reads an answer.
///
/// Errors: the frame isn't an answer.
pub fn read_answer(frame: &[u8]) -> Result<Answer, postcard::Error> {
    postcard::from_bytes(frame)
}
