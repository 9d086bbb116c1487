//! What the object API takes and answers.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use coord::id::Version;
use serde::Deserialize;

/// When a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    At(Version),
    /// Always.
    Any,
}

impl Condition {
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
pub struct Listed {
    pub name: String,
    pub version: Version,
    pub value: Bytes,
}

/// What changed under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Where the next listing starts.
    pub revision: Version,
    pub objects: Vec<Listed>,
    pub deleted: Vec<String>,
}

/// A host of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Host {
    pub name: String,
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Debug, Deserialize)]
pub(super) struct RawChanges {
    revision: u64,
    objects: Vec<RawListed>,
    #[serde(default)]
    deleted: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct RawListed {
    name: String,
    version: u64,
    value: String,
}

impl RawChanges {
    pub(super) fn decode(self) -> Result<Changes, Error> {
        let objects: Result<Vec<Listed>, Error> =
            self.objects.into_iter().map(RawListed::decode).collect();
        Ok(Changes {
            revision: Version(self.revision),
            objects: objects?,
            deleted: self.deleted,
        })
    }
}

impl RawListed {
    fn decode(self) -> Result<Listed, Error> {
        let value = STANDARD.decode(&self.value);
        let value = value.map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Listed {
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
    /// Not reached or out of service; nothing was written.
    Unavailable,
    /// Over the rate; nothing was written.
    RateLimited,
    /// No reply: a write may have taken effect.
    Unknown,
    /// A reply that makes no sense.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict { current } => write!(f, "conflict: the object has version {current}"),
            Error::NotFound => f.write_str("no such object"),
            Error::Unavailable => f.write_str("platform away"),
            Error::RateLimited => f.write_str("over the platform's rate"),
            Error::Unknown => f.write_str("no reply from the platform"),
            Error::Malformed(message) => write!(f, "broken reply from the platform: {message}"),
        }
    }
}

impl std::error::Error for Error {}
