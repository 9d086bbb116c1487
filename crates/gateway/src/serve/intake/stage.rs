//! Stages of a caller's connection, and the memory that each occupies without a body.

use std::fmt;

/// Memory of a connection that has sent nothing, in bytes.
pub(super) const CONNECTED_BYTES: usize = 2 * 1024;

/// Memory of a connection that waits for its next request, in bytes: the HTTP library's buffers, of 16 KB for
/// reading and 8 KB for writing, and its state.
const IDLE_BYTES: usize = 28 * 1024;

/// Memory of a connection with a request, or a part of one, in bytes: the head, the connection's buffers and the
/// request's state. The body isn't included.
pub(super) const REQUEST_BYTES: usize = 40 * 1024;

/// Memory that a request in progress occupies besides, in bytes: the connection to its target and its buffers.
const TARGET_BYTES: usize = 24 * 1024;

/// What a connection does at present. Those of earlier stages make room first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It has sent nothing.
    Connected,
    /// It has sent a part of a head.
    Head,
    /// It sends a body.
    Body,
    /// It waits for the next request.
    Idle,
    /// Its request is in progress.
    Running,
    /// The end of its answer is being sent.
    Answered,
    /// Its request is refused because the body had to make room; the connection ends with the refusal.
    Refused,
    /// There was no room for its request, which is refused if its head has arrived; the connection ends.
    Rejected,
}

impl Stage {
    pub(super) fn bytes(self) -> usize {
        match self {
            Stage::Connected => CONNECTED_BYTES,
            Stage::Idle => IDLE_BYTES,
            Stage::Head | Stage::Body | Stage::Answered => REQUEST_BYTES,
            Stage::Running => REQUEST_BYTES + TARGET_BYTES,
            Stage::Refused | Stage::Rejected => 0,
        }
    }

    /// Whether the connection must make room when it makes no progress.
    pub(super) fn makes_room(self) -> bool {
        match self {
            Stage::Connected | Stage::Head | Stage::Body | Stage::Idle => true,
            Stage::Running | Stage::Answered | Stage::Refused | Stage::Rejected => false,
        }
    }

    /// Whether the connection is about to be closed.
    pub(super) fn ends(self) -> bool {
        matches!(self, Stage::Refused | Stage::Rejected)
    }

    /// Returns the value of the metric label `stage`.
    pub fn label(self) -> &'static str {
        match self {
            Stage::Connected => "connected",
            Stage::Head => "head",
            Stage::Body => "body",
            Stage::Idle => "idle",
            Stage::Running => "running",
            Stage::Answered => "answered",
            Stage::Refused => "refused",
            Stage::Rejected => "rejected",
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
