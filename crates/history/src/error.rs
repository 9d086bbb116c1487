//! Errors of calls to the history hosts.

use std::fmt;

/// Reason why a call has no definite result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The client has no current membership.
    NoMembership,
    /// Fewer disks than the quorum answered in time.
    NoQuorum {
        /// Number of disks that answered.
        answered: usize,
        /// Size of the quorum.
        needed: usize,
    },
    /// The caller doesn't admit a chain of this size, in bytes.
    NotAdmitted(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NoMembership => f.write_str("no current membership of history hosts"),
            Error::NoQuorum { answered, needed } => {
                write!(f, "{answered} of {needed} history hosts answered")
            }
            Error::NotAdmitted(bytes) => {
                write!(f, "a chain of {bytes} bytes or more isn't admitted")
            }
        }
    }
}

impl std::error::Error for Error {}
