//! How current this process's knowledge of the object store is, by kind of object.
//!
//! A waiting watch is silent while nothing changes, and also if the store never received it. Only
//! answers show that nothing was missed.

use std::time::Duration;

use node::object::Kind;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Map;

/// When the object store last answered a call about each kind.
#[derive(Debug, Default)]
pub struct Freshness {
    answered: Mutex<Map<Kind, Instant>>,
}

impl Freshness {
    /// Records an answer that contained all changes up to `now`; returns the age that the knowledge
    /// had before, none at the first answer.
    pub fn record_answer(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let before = self.answered.lock().insert(kind, now);
        before.map(|before| now - before)
    }

    /// Time since the last answer; none before the first.
    pub fn age(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let answered = self.answered.lock();
        answered.get(&kind).map(|answered| now - *answered)
    }
}
