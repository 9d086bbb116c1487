//! Interface to a platform's object store; adapters implement [`ObjectStore`].
//!
//! Objects have a kind, a name and the revision of their last change. Writes may be conditional on
//! a revision. A write without an answer may have taken effect, or may still take effect later if
//! its condition holds then.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The operators' configuration.
    Config,
    /// Targets; each registers itself.
    Targets,
    /// Requests to empty history hosts before they are retired.
    Retirements,
    /// Membership: the disks that hold the history.
    Members,
    /// Entry processes; each registers itself.
    Entries,
    /// Data centres whose targets are to get no requests.
    Evacuations,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Config => "config",
            Kind::Targets => "targets",
            Kind::Retirements => "retirements",
            Kind::Members => "members",
            Kind::Entries => "entries",
            Kind::Evacuations => "evacuations",
        })
    }
}

/// Position in the store's sequence of changes; increases with each change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// An object as read.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    pub name: String,
    pub revision: Revision,
    pub spec: Value,
    pub status: Value,
}

/// All objects of a kind, as of a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    pub objects: Vec<Object>,
    /// Revision after which a watch continues.
    pub revision: Revision,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Put(Object),
    Deleted(String),
}

/// Changes after a revision, in order.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    pub changes: Vec<Change>,
    /// Revision after which the next watch continues.
    pub revision: Revision,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// The store can't be reached or refuses requests; nothing was written.
    Unavailable(String),
    /// The connection was lost before the answer: a write may have taken effect, so callers read
    /// the object again before they retry.
    ConnectionLost(String),
    /// Over the store's rate limit; nothing was written.
    RateLimited,
    /// The object already exists or has another revision; nothing was written.
    Conflict,
    /// No such object; nothing was written.
    NotFound,
    /// The changes after this revision are no longer kept: list again.
    Expired,
    /// No answer within the timeout: a write may have taken effect.
    Unknown,
    /// The answer can't be decoded.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unavailable(cause) => write!(f, "object store away: {cause}"),
            Error::ConnectionLost(cause) => {
                write!(f, "connection to the object store lost: {cause}")
            }
            Error::RateLimited => f.write_str("object store's rate limit exceeded"),
            Error::Conflict => {
                f.write_str("conflict: the object already exists or has another revision")
            }
            Error::NotFound => f.write_str("no such object"),
            Error::Expired => f.write_str("changes after this revision are no longer kept"),
            Error::Unknown => f.write_str("no answer from the object store"),
            Error::Malformed(cause) => write!(f, "malformed answer from the object store: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// An object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` if it doesn't exist.
    fn get(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Reads all objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Waits up to `wait` for changes after a revision; returns an empty list if there are none.
    fn watch(
        &self,
        kind: Kind,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Creates an object.
    fn create(
        &self,
        kind: Kind,
        name: &str,
        spec: Value,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Replaces an object's spec if the object still has this revision.
    fn update(
        &self,
        kind: Kind,
        name: &str,
        revision: Revision,
        spec: Value,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Replaces an object's status.
    fn set_status(
        &self,
        kind: Kind,
        name: &str,
        status: Value,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
