//! Collects the bodies of answers that are relayed only once they are complete.
//!
//! A faulty target may send bytes without end, so that an answer has a limit.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::error::Error as AttemptError;
use crate::serve::memory::Exhausted;
use crate::serve::memory::Memory;
use crate::serve::memory::Source;
use crate::target::pool::Lease;

/// Maximum size of an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why a body wasn't collected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// It ended early.
    CutShort(String),
    /// It exceeds [`MAX_ANSWER_BYTES`].
    TooLong,
    /// Other answers occupy the memory; the target isn't at fault.
    NoMemory,
    /// It didn't end in time.
    Timeout,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::CutShort(cause) => write!(f, "body is cut short: {cause}"),
            Error::TooLong => f.write_str("answer is too long"),
            Error::NoMemory => f.write_str("no memory for a long answer"),
            Error::Timeout => f.write_str("no answer before the deadline"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Exhausted> for Error {
    fn from(_: Exhausted) -> Error {
        Error::NoMemory
    }
}

impl From<Error> for AttemptError {
    fn from(error: Error) -> AttemptError {
        match error {
            Error::Timeout => AttemptError::Timeout,
            error => AttemptError::MaybeRun(error.to_string()),
        }
    }
}

/// Reads a whole body. It occupies memory until it is dropped, as its caller may be slow to read it.
///
/// Errors: the body ends early, or is longer than the limits allow.
pub async fn collect(memory: &Memory, lease: &Lease, mut body: Incoming) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    let mut share = memory.share(Source::target(lease.target_id()));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::CutShort(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        lease.record_data(data.len());
        let size = bytes.len() + data.len();
        if size > MAX_ANSWER_BYTES {
            return Err(Error::TooLong);
        }
        share.resize(size)?;
        bytes.extend_from_slice(&data);
    }
    Ok(share.attach(bytes.freeze()))
}
