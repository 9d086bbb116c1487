//! Shared parts of prompts that engines have read, as far as entries know.

use coord::time::Millis;
use coord::time::Time;

use crate::Map;

/// How long an engine is taken to remember a shared part that nobody used.
const MEMORY: Millis = Millis(20_000);

/// How long a new use is told to other entries.
const TELL: Millis = Millis(1_000);

/// Pause between two notes of the same use.
const NOTE_PAUSE: Millis = Millis(500);

/// Pairs remembered at most.
const LIMIT: usize = 20_000;

/// Which engines have read which shared parts; both by hash.
#[derive(Debug, Default)]
pub struct Prefixes {
    used: Map<(u32, u32), Time>,
}

impl Prefixes {
    /// Notes that an engine reads a shared part.
    pub fn record_use(&mut self, prefix: u32, target: u32, now: Time) {
        let used = self.used.entry((prefix, target)).or_insert(now);
        if now.since(*used) >= NOTE_PAUSE {
            *used = now;
        }
    }

    /// Whether an engine has read a shared part.
    pub fn is_cached(&self, prefix: u32, target: u32, now: Time) -> bool {
        let used = self.used.get(&(prefix, target));
        used.is_some_and(|used| now.since(*used) < MEMORY)
    }

    /// What other entries should know.
    pub fn recent_uses(&self, now: Time) -> Vec<(u32, u32)> {
        let used = self.used.iter();
        used.filter(|(_, used)| now.since(**used) < TELL)
            .map(|(pair, _)| *pair)
            .collect()
    }

    /// Forgets what engines don't remember.
    pub fn expire(&mut self, now: Time) {
        self.used.retain(|_, used| now.since(*used) < MEMORY);
        if self.used.len() > LIMIT {
            self.used.clear();
        }
    }
}
