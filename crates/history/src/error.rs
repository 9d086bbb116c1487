//! Why the history can't answer.

use std::fmt;

/// A call that has no certain answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// Which disks count isn't known yet.
    NoMembership,
    /// Too few disks answered in time.
    NoQuorum {
        /// Disks that answered.
        answered: usize,
        /// Disks that must answer.
        needed: usize,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NoMembership => f.write_str("history hosts are not known yet"),
            Error::NoQuorum { answered, needed } => {
                write!(f, "{answered} of {needed} history hosts answered")
            }
        }
    }
}

impl std::error::Error for Error {}
