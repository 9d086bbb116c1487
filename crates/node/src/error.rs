//! Errors with the step that failed and the peer involved.

use std::fmt;

use compact_str::CompactString;
use compact_str::ToCompactString;

/// Result of a daemon's operation.
pub type Result<T> = eyre::Result<T>;

/// A failed step, the peer involved and the cause.
#[derive(Debug)]
pub struct Error {
    pub step: &'static str,
    pub peer: CompactString,
    pub cause: eyre::Report,
}

impl Error {
    pub fn new(
        step: &'static str,
        peer: impl fmt::Display,
        cause: impl Into<eyre::Report>,
    ) -> Self {
        let peer = peer.to_compact_string();
        let cause = cause.into();
        Self { step, peer, cause }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {:#}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for Error {}

/// Logs an error as a warning, with its step and peer.
pub fn warn(error: &Error) {
    let cause = format!("{:#}", error.cause);
    log::warn!(step = error.step, peer = error.peer.as_str(); "{cause}");
}
