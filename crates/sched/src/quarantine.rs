//! Quarantine of requests that crash the targets that run them.
//!
//! A target's crash is reported with the fingerprints of all requests that it ran. A fingerprint is
//! quarantined if it was in flight alone at one crash or was in flight at two crashes. In flight
//! with others at one crash, it is a suspect and is retried alone. A suspect that completes is
//! cleared of its crashes so far. If a suspect crashes a target alone, its earlier crashes are
//! explained, which clears the other requests in flight at them.
//!
//! Crashes are only added and only change to cleared, so that the states of several processes merge
//! in any order and any number of times. Entries expire; the remaining lifetime is sent as a
//! duration because clocks differ.

use coord::time::Millis;
use coord::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Map;

/// Time from a crash until its record expires.
const LIFETIME: Millis = Millis(600_000);

/// Shortest remaining lifetime that is sent to other processes.
const MIN_SENT_LIFETIME: Millis = Millis(1_000);

/// Maximum number of fingerprints, and of explained and derived crash ids, that are stored.
const ENTRY_LIMIT: usize = 4096;

/// Maximum number of crashes stored for each fingerprint.
const CRASH_LIMIT: usize = 8;

/// Number of uncleared crashes at which a fingerprint is quarantined.
const QUARANTINE_THRESHOLD: usize = 2;

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Runs without restriction.
    Allowed,
    /// Runs alone on its target.
    Suspect,
    /// Refused.
    Quarantined,
}

/// A crash at which a fingerprint was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Identifies the crash.
    pub id: u64,
    /// Whether the fingerprint has completed since.
    pub cleared: bool,
}

/// A fingerprint's state as sent to other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of customer and content.
    pub fingerprint: u64,
    /// Whether it was in flight alone at a crash.
    pub alone: bool,
    /// Crashes at which it was in flight.
    pub crashes: Vec<Crash>,
    /// Rest of its lifetime.
    pub remaining: Millis,
}

/// A crash whose cause is known, as sent to other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explained {
    /// Identifies the crash.
    pub crash: u64,
    /// Rest of its lifetime.
    pub remaining: Millis,
}

/// State as sent to other processes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Fingerprints that were in flight at crashes.
    pub entries: Vec<Entry>,
    /// Crashes whose cause is known.
    pub explained: Vec<Explained>,
}

#[derive(Debug, Clone)]
struct Record {
    alone: bool,
    crashes: Vec<Crash>,
    expires_at: Time,
}

/// Fingerprints that were in flight at crashes.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: Map<u64, Record>,
    /// Crashes whose cause is known, with their expiry times.
    explained: Map<u64, Time>,
    /// Crash ids derived by this process, with their expiry times.
    derived_ids: Map<u64, Time>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// Returns the number of fingerprints stored.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no fingerprint is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records the crash of a target that ran these requests. Processes that receive the same
    /// report derive the same id for the crash; each process must record a crash only once.
    pub fn record_crash(&mut self, fingerprints: &[u64], now: Time) {
        let set = sorted_set(fingerprints);
        let mut crash = derive_id(&set, 0);
        let mut repeat = 0;
        while self
            .derived_ids
            .get(&crash)
            .is_some_and(|expires_at| now < *expires_at)
        {
            repeat += 1;
            crash = derive_id(&set, repeat);
        }
        self.derived_ids.insert(crash, now + LIFETIME);
        self.add_crash(crash, &set, now);
    }

    /// Records a crash under an id that is the same in all processes, such as a hash of the
    /// target's incarnation. Recording the same id again doesn't count as another crash.
    pub fn record_crash_with_id(&mut self, crash: u64, fingerprints: &[u64], now: Time) {
        self.add_crash(crash, &sorted_set(fingerprints), now);
    }

    /// Records that a request ran to its end, which clears it of its crashes so far.
    pub fn record_completion(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record
                .crashes
                .iter_mut()
                .for_each(|crash| crash.cleared = true);
        }
    }

    /// Returns how a request may run.
    pub fn check(&self, fingerprint: u64, now: Time) -> Verdict {
        let Some(record) = self.records.get(&fingerprint) else {
            return Verdict::Allowed;
        };
        let explained = |crash| {
            self.explained
                .get(&crash)
                .is_some_and(|expires_at| now < *expires_at)
        };
        let unexplained = |crash: &&Crash| !crash.cleared && !explained(crash.id);
        match record.crashes.iter().filter(unexplained).count() {
            _ if now >= record.expires_at => Verdict::Allowed,
            _ if record.alone => Verdict::Quarantined,
            0 => Verdict::Allowed,
            count if count >= QUARANTINE_THRESHOLD => Verdict::Quarantined,
            _ => Verdict::Suspect,
        }
    }

    /// Returns the state to send to other processes.
    pub fn digest(&self, now: Time) -> Digest {
        let remaining_to_send = |expires_at: Time| {
            Some(expires_at.since(now)).filter(|remaining| *remaining >= MIN_SENT_LIFETIME)
        };
        let entry = |(fingerprint, record): (&u64, &Record)| {
            remaining_to_send(record.expires_at).map(|remaining| Entry {
                fingerprint: *fingerprint,
                alone: record.alone,
                crashes: record.crashes.clone(),
                remaining,
            })
        };
        let explained = |(crash, expires_at): (&u64, &Time)| {
            remaining_to_send(*expires_at).map(|remaining| Explained {
                crash: *crash,
                remaining,
            })
        };
        let mut digest = Digest {
            entries: self.records.iter().filter_map(entry).collect(),
            explained: self.explained.iter().filter_map(explained).collect(),
        };
        digest.entries.sort_by_key(|entry| entry.fingerprint);
        digest.explained.sort_by_key(|explained| explained.crash);
        digest
    }

    /// Merges the state of another process.
    pub fn merge(&mut self, digest: &Digest, now: Time) {
        self.expire(now);
        for entry in &digest.entries {
            let expires_at = now + entry.remaining.min(LIFETIME);
            let record = self
                .records
                .entry(entry.fingerprint)
                .or_insert_with(|| Record::new(expires_at));
            record.alone |= entry.alone;
            entry
                .crashes
                .iter()
                .for_each(|crash| record.add_crash(*crash));
        }
        for explained in &digest.explained {
            let expires_at = now + explained.remaining.min(LIFETIME);
            self.explained.entry(explained.crash).or_insert(expires_at);
        }
        self.enforce_limits(now);
    }

    fn add_crash(&mut self, crash: u64, fingerprints: &[u64], now: Time) {
        let expires_at = now + LIFETIME;
        let alone = fingerprints.len() == 1;
        for fingerprint in fingerprints {
            let record = self
                .records
                .entry(*fingerprint)
                .or_insert_with(|| Record::new(expires_at));
            if now >= record.expires_at {
                *record = Record::new(expires_at);
            }
            record.alone |= alone;
            record.expires_at = expires_at;
            record.add_crash(Crash {
                id: crash,
                cleared: false,
            });
            if alone {
                let crashes = record.crashes.iter().map(|crash| crash.id);
                self.explained
                    .extend(crashes.map(|crash| (crash, expires_at)));
            }
        }
        self.enforce_limits(now);
    }

    fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| now < record.expires_at);
        self.explained.retain(|_, expires_at| now < *expires_at);
        self.derived_ids.retain(|_, expires_at| now < *expires_at);
    }

    /// Drops expired records, then those that expire first, if any map is over its limit.
    fn enforce_limits(&mut self, now: Time) {
        let sizes = [
            self.records.len(),
            self.explained.len(),
            self.derived_ids.len(),
        ];
        if sizes.iter().all(|size| *size <= ENTRY_LIMIT) {
            return;
        }
        self.expire(now);
        evict_earliest(&mut self.records, |record| record.expires_at);
        evict_earliest(&mut self.explained, |expires_at| *expires_at);
        evict_earliest(&mut self.derived_ids, |expires_at| *expires_at);
    }
}

impl Record {
    fn new(expires_at: Time) -> Record {
        Record {
            alone: false,
            crashes: Vec::new(),
            expires_at,
        }
    }

    fn add_crash(&mut self, crash: Crash) {
        match self
            .crashes
            .binary_search_by_key(&crash.id, |existing| existing.id)
        {
            Ok(index) => self.crashes[index].cleared |= crash.cleared,
            Err(index) => self.crashes.insert(index, crash),
        }
        self.crashes.truncate(CRASH_LIMIT);
    }
}

fn sorted_set(fingerprints: &[u64]) -> Vec<u64> {
    let mut set = fingerprints.to_vec();
    set.sort_unstable();
    set.dedup();
    set
}

fn derive_id(set: &[u64], repeat: u64) -> u64 {
    let bytes: Vec<u8> = set
        .iter()
        .flat_map(|fingerprint| fingerprint.to_be_bytes())
        .collect();
    coord::id::fingerprint(&[&bytes, &repeat.to_be_bytes()])
}

/// Shrinks a map over its limit to half of the limit, keeping the elements that expire last.
fn evict_earliest<V>(map: &mut Map<u64, V>, expires_at: impl Fn(&V) -> Time) {
    if map.len() <= ENTRY_LIMIT {
        return;
    }
    let mut order: Vec<(Time, u64)> = map
        .iter()
        .map(|(key, value)| (expires_at(value), *key))
        .collect();
    order.sort_unstable();
    let excess = order.len() - ENTRY_LIMIT / 2;
    for (_, key) in order.into_iter().take(excess) {
        map.remove(&key);
    }
}
