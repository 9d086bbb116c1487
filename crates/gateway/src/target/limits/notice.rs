//! What entries tell each other of limits, and who told this one.

use compact_str::CompactString;
use coord::id::Rate;
use coord::limit::Statement;
use coord::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::target::departure::Incarnation;

/// A limit, or the end of one, in a report to another entry. Times are ages, as clocks of hosts
/// differ.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    pub incarnation: Incarnation,
    /// None if the limit has ended.
    pub limit: Option<Rate>,
    pub asked_ms_ago: u64,
    pub answered_ms_ago: u64,
}

impl Notice {
    /// The statement in the receiver's time.
    pub(super) fn statement(&self, now: Time) -> Statement {
        let at = |ago: u64| Time(now.0.saturating_sub(ago));
        Statement {
            limit: self.limit,
            asked: at(self.asked_ms_ago),
            answered: at(self.answered_ms_ago),
        }
    }
}

/// Who told this entry of a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// An answer of the target with this id.
    Answer(CompactString),
    /// The report of the entry on this host.
    Report(CompactString),
}

impl Source {
    pub(super) fn name(&self) -> &str {
        match self {
            Source::Answer(name) | Source::Report(name) => name,
        }
    }
}
