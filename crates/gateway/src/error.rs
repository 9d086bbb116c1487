//! Why a request can't be answered by a target.

use std::fmt;

/// A failed attempt at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The target has not run the request and never will.
    NotRun(String),
    /// The target may have run the request.
    MaybeRun(String),
    /// The caller's time is up; the target may have run the request.
    Timeout,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotRun(cause) => write!(f, "not run: {cause}"),
            Error::MaybeRun(cause) => write!(f, "may have run: {cause}"),
            Error::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for Error {}
