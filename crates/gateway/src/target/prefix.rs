//! Shared prompt prefixes that engines hold in their caches, as estimated by the entries.

use coord::time::Millis;
use coord::time::Time;

use crate::Map;

/// Time after its last use for which a prefix is assumed to stay in an engine's cache.
const CACHE_LIFETIME: Millis = Millis(20_000);

/// Time for which a recorded use is reported to other entries.
const REPORT_WINDOW: Millis = Millis(1_000);

/// Minimum time between two updates of the same pair of prefix and engine.
const UPDATE_INTERVAL: Millis = Millis(500);

/// Maximum number of stored pairs of prefix and engine; when it is exceeded, all are dropped.
const MAX_PAIRS: usize = 20_000;

/// Last uses of prefixes on engines, by the hashes of both.
#[derive(Debug, Default)]
pub struct Prefixes {
    last_used: Map<(u32, u32), Time>,
}

impl Prefixes {
    /// Records that an engine processes a prefix.
    pub fn record_use(&mut self, prefix: u32, target: u32, now: Time) {
        let used = self.last_used.entry((prefix, target)).or_insert(now);
        if now.since(*used) >= UPDATE_INTERVAL {
            *used = now;
        }
    }

    /// Whether an engine is assumed to hold a prefix in its cache.
    pub fn is_cached(&self, prefix: u32, target: u32, now: Time) -> bool {
        let used = self.last_used.get(&(prefix, target));
        used.is_some_and(|used| now.since(*used) < CACHE_LIFETIME)
    }

    /// Pairs used within [`REPORT_WINDOW`], for reports to other entries.
    pub fn recent_uses(&self, now: Time) -> Vec<(u32, u32)> {
        let used = self.last_used.iter();
        used.filter(|(_, used)| now.since(**used) < REPORT_WINDOW)
            .map(|(pair, _)| *pair)
            .collect()
    }

    /// Drops the pairs whose prefix is no longer assumed to be in the engine's cache.
    pub fn expire(&mut self, now: Time) {
        self.last_used
            .retain(|_, used| now.since(*used) < CACHE_LIFETIME);
        if self.last_used.len() > MAX_PAIRS {
            self.last_used.clear();
        }
    }
}
