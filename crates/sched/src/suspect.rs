//! Detection of requests that crash every target that runs them.
//!
//! Guards against a request that is repeated at any entry and crashes a target each time. Requests
//! are identified by a fingerprint of caller and content. A request is refused once it was in
//! flight at the crashes of several targets and no target has answered it since; an answer clears
//! it. Entry nodes exchange their records; each crash has an id, so that it counts once.

use coord::time::Millis;
use coord::time::Time;

use crate::Map;

/// Number of crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 3;

/// Time from a request's last crash until its record expires.
const RETENTION: Millis = Millis(60_000);

/// Period after a request's last crash in which its crashes are sent to other entry nodes.
const GOSSIP_PERIOD: Millis = Millis(1_500);

/// Maximum number of requests recorded.
const RECORD_LIMIT: usize = 4_096;

#[derive(Debug, Clone)]
struct Record {
    /// Ids of the crashes.
    crashes: Vec<u64>,
    last_crash: Time,
}

/// Requests that were in flight at crashes.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    records: Map<u64, Record>,
}

impl Suspects {
    /// Returns whether no request is recorded, so that none needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that a target crashed while it ran a request.
    pub fn record_crash(&mut self, fingerprint: u64, crash: u64, now: Time) {
        if self.records.len() >= RECORD_LIMIT && !self.records.contains_key(&fingerprint) {
            self.expire(now);
            if self.records.len() >= RECORD_LIMIT {
                return;
            }
        }
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            crashes: Vec::new(),
            last_crash: now,
        });
        if !record.crashes.contains(&crash) && record.crashes.len() < CRASH_LIMIT {
            record.crashes.push(crash);
            record.last_crash = now;
        }
    }

    /// Records that a target answered a request, which clears it.
    pub fn record_answer(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether a request has to be refused.
    pub fn is_refused(&self, fingerprint: u64, now: Time) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.crashes.len() >= CRASH_LIMIT && now.since(record.last_crash) < RETENTION
        })
    }

    /// Returns pairs of fingerprint and crash id to send to other entry nodes.
    pub fn recent_crashes(&self, now: Time) -> Vec<(u64, u64)> {
        let records = self.records.iter();
        records
            .filter(|(_, record)| now.since(record.last_crash) < GOSSIP_PERIOD)
            .flat_map(|(fingerprint, record)| {
                record.crashes.iter().map(|crash| (*fingerprint, *crash))
            })
            .collect()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Time) {
        self.records
            .retain(|_, record| now.since(record.last_crash) < RETENTION);
    }
}
