//! Requests that crash every target that runs them.
//!
//! Answers the load of one request that comes again and again, at any entry, and takes a target
//! down each time. A request is known by a fingerprint of its caller and content. It is refused
//! once it was in flight at the crashes of several targets and no target has answered it since;
//! a request that others answer is a bystander. Crashes have names, so that what entries tell each
//! other counts once.

use coord::time::Millis;
use coord::time::Time;

use crate::Map;

/// Crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 3;

/// How long a crash is remembered.
const LIFETIME: Millis = Millis(60_000);

/// How long a crash is told to other entries.
const TELL: Millis = Millis(1_500);

/// Requests remembered at most.
const LIMIT: usize = 4_096;

#[derive(Debug, Clone)]
struct Record {
    crashes: Vec<u64>,
    last: Time,
}

/// Requests that were in flight at crashes.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    records: Map<u64, Record>,
}

impl Suspects {
    /// Whether nothing is known, so that no request needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Notes that a target crashed while it ran a request.
    pub fn record_crash(&mut self, fingerprint: u64, crash: u64, now: Time) {
        if self.records.len() >= LIMIT && !self.records.contains_key(&fingerprint) {
            self.expire(now);
            if self.records.len() >= LIMIT {
                return;
            }
        }
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            crashes: Vec::new(),
            last: now,
        });
        if !record.crashes.contains(&crash) && record.crashes.len() < CRASH_LIMIT {
            record.crashes.push(crash);
            record.last = now;
        }
    }

    /// Notes that a target answered a request.
    pub fn record_answer(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Whether a request is to be refused.
    pub fn is_refused(&self, fingerprint: u64, now: Time) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.crashes.len() >= CRASH_LIMIT && now.since(record.last) < LIFETIME
        })
    }

    /// Fingerprints and crashes to tell other entries.
    pub fn recent_crashes(&self, now: Time) -> Vec<(u64, u64)> {
        let fresh = self.records.iter();
        fresh
            .filter(|(_, record)| now.since(record.last) < TELL)
            .flat_map(|(fingerprint, record)| {
                record.crashes.iter().map(|crash| (*fingerprint, *crash))
            })
            .collect()
    }

    /// Forgets what is long ago.
    pub fn expire(&mut self, now: Time) {
        self.records
            .retain(|_, record| now.since(record.last) < LIFETIME);
    }
}
