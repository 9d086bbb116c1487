//! Errors that carry the step and the peer at which they arose.

use std::fmt;

use compact_str::CompactString;
use compact_str::ToCompactString;

/// Result of a fallible operation of a daemon.
pub type Result<T> = eyre::Result<T>;

/// A failed step, the peer it was for and the cause.
#[derive(Debug)]
pub struct Error {
    pub step: &'static str,
    pub peer: CompactString,
    pub cause: eyre::Report,
}

impl Error {
    /// Names the step and peer of a failure.
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

/// Logs a failure with its step and peer.
pub fn warn(error: &Error) {
    let cause = format!("{:#}", error.cause);
    log::warn!(step = error.step, peer = error.peer.as_str(); "{cause}");
}
