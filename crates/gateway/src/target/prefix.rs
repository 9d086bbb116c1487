//! Shared prompt prefixes that engines hold in their caches, as estimated by the entries.

use coord::time::Millis;
use coord::time::Time;

use crate::Map;

/// Time after its last use for which a prefix is assumed to stay in an engine's cache.
const CACHE_LIFETIME: Millis = Millis(20_000);

/// Minimum time between two updates of the same pair of prefix and engine.
const UPDATE_INTERVAL: Millis = Millis(500);

/// Maximum number of stored pairs of prefix and engine; when it is exceeded, all are dropped.
const MAX_PAIRS: usize = 20_000;

/// Last uses of prefixes on engines, by the hashes of both.
#[derive(Debug, Default)]
pub struct Prefixes {
    /// By turns of any entry.
    last_used: Map<(u32, u32), Time>,
    /// By turns of this entry, which it reports to the others.
    own: Map<(u32, u32), Time>,
}

impl Prefixes {
    /// Records that an engine processes a prefix for a turn of this entry.
    pub fn record_use(&mut self, prefix: u32, target: u32, now: Time) {
        self.own.insert((prefix, target), now);
        self.merge_use(prefix, target, now);
    }

    /// Records that an engine processes a prefix for a turn of any entry.
    pub fn merge_use(&mut self, prefix: u32, target: u32, now: Time) {
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

    /// Pairs used by turns of this entry since a time, for reports to other entries.
    pub fn own_uses(&self, since: Time) -> Vec<(u32, u32)> {
        let used = self.own.iter();
        used.filter(|(_, used)| **used >= since)
            .map(|(pair, _)| *pair)
            .collect()
    }

    /// Drops the pairs whose prefix is no longer assumed to be in the engine's cache.
    pub fn expire(&mut self, now: Time) {
        for uses in [&mut self.last_used, &mut self.own] {
            uses.retain(|_, used| now.since(*used) < CACHE_LIFETIME);
        }
        if self.last_used.len() > MAX_PAIRS {
            self.last_used.clear();
        }
    }
}
