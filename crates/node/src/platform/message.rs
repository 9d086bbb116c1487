//! Requests, replies and errors of the object API.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use coord::id::Version;
use serde::Deserialize;

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The object exists with this version.
    At(Version),
    /// Unconditional.
    Any,
}

impl Condition {
    /// Version sent with the write: 0 if the object must not exist, `None` if unconditional.
    pub(super) fn version(self) -> Option<Version> {
        match self {
            Condition::Absent => Some(Version(0)),
            Condition::At(version) => Some(version),
            Condition::Any => None,
        }
    }
}

/// An object as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    pub version: Version,
    pub value: Bytes,
}

/// An object in a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedObject {
    pub name: String,
    pub version: Version,
    pub value: Bytes,
}

/// Objects changed and deleted under a prefix after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Revision after which the next listing starts.
    pub revision: Version,
    pub objects: Vec<ListedObject>,
    pub deleted: Vec<String>,
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Host {
    pub name: String,
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Debug, Deserialize)]
pub(super) struct RawChanges {
    revision: u64,
    objects: Vec<RawListedObject>,
    #[serde(default)]
    deleted: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct RawListedObject {
    name: String,
    version: u64,
    value: String,
}

impl RawChanges {
    pub(super) fn decode(self) -> Result<Changes, Error> {
        let objects: Result<Vec<ListedObject>, Error> = self
            .objects
            .into_iter()
            .map(RawListedObject::decode)
            .collect();
        Ok(Changes {
            revision: Version(self.revision),
            objects: objects?,
            deleted: self.deleted,
        })
    }
}

impl RawListedObject {
    fn decode(self) -> Result<ListedObject, Error> {
        let value = STANDARD.decode(&self.value);
        let value = value.map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(ListedObject {
            name: self.name,
            version: Version(self.version),
            value: Bytes::from(value),
        })
    }
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The object has another version; nothing was written.
    Conflict { current: Version },
    /// No such object.
    NotFound,
    /// The platform can't be reached or is out of service; nothing was written.
    Unavailable,
    /// No call was made: the caller has no valid lease, or is bound by a promise not to write.
    NotAllowed,
    /// Over the platform's rate limit; nothing was written.
    RateLimited,
    /// No reply within the timeout, or the connection was lost: a write may have taken effect.
    Unknown,
    /// The request can't be built, or the reply has an unexpected status or can't be decoded.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict { current } => write!(f, "conflict: the object has version {current}"),
            Error::NotFound => f.write_str("no such object"),
            Error::Unavailable => f.write_str("platform unavailable"),
            Error::NotAllowed => f.write_str("not written: no valid lease, or bound by a promise"),
            Error::RateLimited => f.write_str("platform's rate limit exceeded"),
            Error::Unknown => f.write_str("no reply from the platform"),
            Error::Malformed(message) => write!(f, "malformed reply from the platform: {message}"),
        }
    }
}

impl std::error::Error for Error {}
