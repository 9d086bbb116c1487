//! Errors of attempts at targets.

use std::fmt;

use crate::target::directory::Withdrawal;

/// Failed attempt at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The request wasn't sent: the target stopped accepting requests after it was chosen.
    NotSent(Withdrawal),
    /// The target hasn't run the request and never will.
    NotRun(String),
    /// The target may have run the request.
    MaybeRun(String),
    /// The caller's deadline has passed; the target may have run the request.
    Timeout,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent(withdrawal) => write!(f, "not sent: {withdrawal}"),
            Error::NotRun(cause) => write!(f, "not run: {cause}"),
            Error::MaybeRun(cause) => write!(f, "may have run: {cause}"),
            Error::Timeout => f.write_str("no answer before the deadline"),
        }
    }
}

impl std::error::Error for Error {}
