//! What the product needs of a platform's object store; adapters implement [`ObjectStore`].
//!
//! Objects have a kind, a name and the revision of their last change. Writes may be conditional on
//! a revision. A write without an answer may have taken effect, or may do so later if its condition
//! still holds.

use std::fmt;
use std::time::Duration;

use serde_json::Value;

/// What an object is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The operators' configuration.
    Config,
    /// Targets, registered by themselves.
    Targets,
    /// Orders to empty a history host.
    Retirements,
    /// Which disks hold the history.
    Members,
    /// Entry processes, registered by themselves.
    Entries,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Config => "config",
            Kind::Targets => "targets",
            Kind::Retirements => "retirements",
            Kind::Members => "members",
            Kind::Entries => "entries",
        })
    }
}

/// A point in the store's history; grows with each change.
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

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    pub objects: Vec<Object>,
    /// Where a watch goes on.
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
    /// Where the next watch goes on.
    pub revision: Revision,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// Not reached, or turned away; nothing was written.
    Unavailable(String),
    /// The connection broke before the answer: a write may have taken effect, so callers read the
    /// object again before they write anew.
    ConnectionLost(String),
    /// Over the rate; nothing was written.
    RateLimited,
    /// The object exists, or has another revision; nothing was written.
    Conflict,
    /// No such object; nothing was written.
    NotFound,
    /// The history after this revision is gone: list again.
    Expired,
    /// No answer in time: a write may have taken effect.
    Unknown,
    /// An answer that can't be read.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unavailable(cause) => write!(f, "object store away: {cause}"),
            Error::ConnectionLost(cause) => {
                write!(f, "connection to the object store broke: {cause}")
            }
            Error::RateLimited => f.write_str("over the object store's rate"),
            Error::Conflict => f.write_str("object has changed"),
            Error::NotFound => f.write_str("no such object"),
            Error::Expired => f.write_str("history is gone"),
            Error::Unknown => f.write_str("no answer from the object store"),
            Error::Malformed(cause) => write!(f, "unreadable answer: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// An object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; none if there is none.
    fn get(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Reads all objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Waits for changes after a revision; none if there were none in time.
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

    /// Replaces an object's spec if it still has this revision.
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
