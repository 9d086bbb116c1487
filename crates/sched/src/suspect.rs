//! Detection of requests that crash every target that runs them.
//!
//! Guards against a request that is repeated at any entry and crashes a target each time. Requests
//! are identified by a fingerprint of caller and content. A request is refused once it was in
//! flight at the crashes of several targets and no target has answered it since; an answer clears
//! it. After a while it may run once more; another crash doubles the time for which it is refused.
//!
//! Entry nodes exchange their records; each crash has an id, so that it counts once. They send new
//! crashes for a short time, and all of them to an entry that has started or was out of reach, as it
//! would need as many crashes of its own otherwise.

use std::cmp::Reverse;

use coord::time::Millis;
use coord::time::Time;

use crate::Map;

/// Number of crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 3;

/// Time after the last of [`CRASH_LIMIT`] crashes for which a request is refused, and after which the
/// record of fewer crashes expires.
const RETENTION: Millis = Millis(60_000);

/// Maximum number of crashes recorded of one request.
const MAX_CRASHES: usize = 8;

/// Period after a request's last crash in which its crashes are sent to other entry nodes.
const GOSSIP_PERIOD: Millis = Millis(1_500);

/// Maximum number of requests recorded.
const RECORD_LIMIT: usize = 4_096;

/// Maximum number of crashes sent in one message; 20 bytes each.
const MESSAGE_LIMIT: usize = 512;

#[derive(Debug, Clone)]
struct Record {
    /// Ids of the crashes.
    crashes: Vec<u64>,
    last_crash: Time,
}

impl Record {
    fn is_refusable(&self) -> bool {
        self.crashes.len() >= CRASH_LIMIT
    }

    /// Time after the last crash for which the request is refused.
    fn refusal(&self) -> Millis {
        match self.crashes.len().checked_sub(CRASH_LIMIT) {
            None => Millis(0),
            Some(further) => Millis(RETENTION.0 << further),
        }
    }

    /// Whether the record is of no use any more. One that was refused is kept while the request may run
    /// once more.
    fn is_expired(&self, now: Time) -> bool {
        now.since(self.last_crash).0 >= RETENTION.0.max(2 * self.refusal().0)
    }
}

/// Requests that were in flight at crashes.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    records: Map<u64, Record>,
    /// Number of crashes that earlier messages with all of them have skipped.
    sent: usize,
}

impl Suspects {
    /// Returns whether no request is recorded, so that none needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that a target crashed while it ran a request.
    pub fn record_crash(&mut self, fingerprint: u64, crash: u64, now: Time) {
        if self.records.len() >= RECORD_LIMIT && !self.records.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            crashes: Vec::new(),
            last_crash: now,
        });
        if !record.crashes.contains(&crash) && record.crashes.len() < MAX_CRASHES {
            record.crashes.push(crash);
            record.last_crash = now;
        }
    }

    /// Removes expired records, or else the oldest of those with the fewest crashes.
    fn make_room(&mut self, now: Time) {
        self.expire(now);
        if self.records.len() < RECORD_LIMIT {
            return;
        }
        let records = self.records.iter();
        let oldest = records.min_by_key(|(_, record)| (record.crashes.len(), record.last_crash));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// Records that a target answered a request, which clears it.
    pub fn record_answer(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether a request has to be refused.
    pub fn is_refused(&self, fingerprint: u64, now: Time) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|record| now.since(record.last_crash) < record.refusal())
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

    /// Returns the next pairs of all that are recorded, to send to an entry node that may lack them;
    /// those of refused requests first, then page by page.
    pub fn next_crashes(&mut self, now: Time) -> Vec<(u64, u64)> {
        self.expire(now);
        let mut records: Vec<(&u64, &Record)> = self.records.iter().collect();
        records.sort_unstable_by_key(|(fingerprint, record)| {
            (Reverse(record.is_refusable()), **fingerprint)
        });
        let records = records.into_iter();
        let pairs: Vec<(u64, u64)> = records
            .flat_map(|(fingerprint, record)| {
                record.crashes.iter().map(|crash| (*fingerprint, *crash))
            })
            .collect();
        if self.sent >= pairs.len() {
            self.sent = 0;
        }
        let page = pairs.into_iter().skip(self.sent).take(MESSAGE_LIMIT);
        let page: Vec<(u64, u64)> = page.collect();
        self.sent += page.len();
        page
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_expired(now));
    }
}
