//! Requests that crash the targets that run them.
//!
//! A target's death is reported with the fingerprints of all that it ran. Alone in flight at one
//! crash, or common to two crashes, a fingerprint is quarantined; in flight with others at one
//! crash, it is a suspect, to be retried alone. A suspect that completes is cleared of the crashes
//! that it was suspected for, and so are the companions of a suspect that crashes alone.
//!
//! Marks only grow, so that the states of several processes merge in any order, with repetition.
//! Entries expire; what is remaining of a lifetime is sent as a duration since clocks differ.

use coord::time::Millis;
use coord::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Map;

/// How long a crash is remembered.
const LIFETIME: Millis = Millis(600_000);

/// Shortest rest of a lifetime that is told to others.
const TOLD_LIFETIME: Millis = Millis(1_000);

/// Most fingerprints remembered.
const ENTRY_LIMIT: usize = 4096;

/// Most crashes remembered for each fingerprint.
const CRASH_LIMIT: usize = 8;

/// Crashes that quarantine a fingerprint common to them.
const CRASHES_TO_QUARANTINE: usize = 2;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Runs as any other.
    Allowed,
    /// Runs alone on its target.
    Suspect,
    /// Is refused.
    Quarantined,
}

/// A crash that a fingerprint was in flight at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The crash.
    pub id: u64,
    /// Whether the fingerprint has completed since.
    pub cleared: bool,
}

/// A fingerprint's state as told to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of customer and content.
    pub fingerprint: u64,
    /// Whether it was alone in flight at a crash.
    pub alone: bool,
    /// The crashes it was in flight at.
    pub crashes: Vec<Crash>,
    /// Rest of its lifetime.
    pub remaining: Millis,
}

/// A crash whose cause is known, as told to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explained {
    /// The crash.
    pub crash: u64,
    /// Rest of its lifetime.
    pub remaining: Millis,
}

/// State as told to others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Fingerprints.
    pub entries: Vec<Entry>,
    /// Crashes whose cause is known.
    pub explained: Vec<Explained>,
}

#[derive(Debug, Clone)]
struct Record {
    alone: bool,
    crashes: Vec<Crash>,
    ends: Time,
}

/// Fingerprints that were in flight at crashes.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: Map<u64, Record>,
    explained: Map<u64, Time>,
    repeats: Map<u64, Time>,
}

impl Quarantine {
    /// Nothing in quarantine.
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// Number of fingerprints remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no fingerprint is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Notes a crash of a target that ran these. Processes that are told of the same crash derive
    /// the same name for it; the same process is told of a crash once.
    pub fn record_crash(&mut self, fingerprints: &[u64], now: Time) {
        let set = sorted(fingerprints);
        let mut crash = name(&set, 0);
        let mut repeat = 0;
        while self.repeats.get(&crash).is_some_and(|ends| now < *ends) {
            repeat += 1;
            crash = name(&set, repeat);
        }
        self.repeats.insert(crash, now + LIFETIME);
        self.note(crash, &set, now);
    }

    /// Notes a crash under a name that all who are told of it share, such as a hash of the target's
    /// incarnation; telling it again changes nothing.
    pub fn record_crash_with_id(&mut self, crash: u64, fingerprints: &[u64], now: Time) {
        self.note(crash, &sorted(fingerprints), now);
    }

    /// Notes that a request ran to its end.
    pub fn record_completion(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record
                .crashes
                .iter_mut()
                .for_each(|mark| mark.cleared = true);
        }
    }

    /// What may be done with a request.
    pub fn check(&self, fingerprint: u64, now: Time) -> Verdict {
        let Some(record) = self.records.get(&fingerprint) else {
            return Verdict::Allowed;
        };
        let explained = |crash| self.explained.get(&crash).is_some_and(|ends| now < *ends);
        let open = |mark: &&Crash| !mark.cleared && !explained(mark.id);
        match record.crashes.iter().filter(open).count() {
            _ if now >= record.ends => Verdict::Allowed,
            _ if record.alone => Verdict::Quarantined,
            0 => Verdict::Allowed,
            count if count >= CRASHES_TO_QUARANTINE => Verdict::Quarantined,
            _ => Verdict::Suspect,
        }
    }

    /// State to tell others.
    pub fn digest(&self, now: Time) -> Digest {
        let told =
            |ends: Time| Some(ends.since(now)).filter(|remaining| *remaining >= TOLD_LIFETIME);
        let entry = |(fingerprint, record): (&u64, &Record)| {
            told(record.ends).map(|remaining| Entry {
                fingerprint: *fingerprint,
                alone: record.alone,
                crashes: record.crashes.clone(),
                remaining,
            })
        };
        let explained = |(crash, ends): (&u64, &Time)| {
            told(*ends).map(|remaining| Explained {
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

    /// Takes in what another process told.
    pub fn merge(&mut self, digest: &Digest, now: Time) {
        self.expire(now);
        for entry in &digest.entries {
            let ends = now + entry.remaining.min(LIFETIME);
            let record = self
                .records
                .entry(entry.fingerprint)
                .or_insert_with(|| Record::new(ends));
            record.alone |= entry.alone;
            entry.crashes.iter().for_each(|mark| record.mark(*mark));
        }
        for explained in &digest.explained {
            let ends = now + explained.remaining.min(LIFETIME);
            self.explained.entry(explained.crash).or_insert(ends);
        }
        self.bound(now);
    }

    fn note(&mut self, crash: u64, fingerprints: &[u64], now: Time) {
        let ends = now + LIFETIME;
        let alone = fingerprints.len() == 1;
        for fingerprint in fingerprints {
            let record = self
                .records
                .entry(*fingerprint)
                .or_insert_with(|| Record::new(ends));
            if now >= record.ends {
                *record = Record::new(ends);
            }
            record.alone |= alone;
            record.ends = ends;
            record.mark(Crash {
                id: crash,
                cleared: false,
            });
            if alone {
                let crashes = record.crashes.iter().map(|mark| mark.id);
                self.explained.extend(crashes.map(|crash| (crash, ends)));
            }
        }
        self.bound(now);
    }

    fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| now < record.ends);
        self.explained.retain(|_, ends| now < *ends);
        self.repeats.retain(|_, ends| now < *ends);
    }

    /// Drops what has ended, then what ends first, once too much is remembered.
    fn bound(&mut self, now: Time) {
        let sizes = [self.records.len(), self.explained.len(), self.repeats.len()];
        if sizes.iter().all(|size| *size <= ENTRY_LIMIT) {
            return;
        }
        self.expire(now);
        shrink(&mut self.records, |record| record.ends);
        shrink(&mut self.explained, |ends| *ends);
        shrink(&mut self.repeats, |ends| *ends);
    }
}

impl Record {
    fn new(ends: Time) -> Record {
        Record {
            alone: false,
            crashes: Vec::new(),
            ends,
        }
    }

    fn mark(&mut self, mark: Crash) {
        match self
            .crashes
            .binary_search_by_key(&mark.id, |known| known.id)
        {
            Ok(at) => self.crashes[at].cleared |= mark.cleared,
            Err(at) => self.crashes.insert(at, mark),
        }
        self.crashes.truncate(CRASH_LIMIT);
    }
}

fn sorted(fingerprints: &[u64]) -> Vec<u64> {
    let mut set = fingerprints.to_vec();
    set.sort_unstable();
    set.dedup();
    set
}

fn name(set: &[u64], repeat: u64) -> u64 {
    let bytes: Vec<u8> = set.iter().flat_map(|one| one.to_be_bytes()).collect();
    coord::id::fingerprint(&[&bytes, &repeat.to_be_bytes()])
}

/// Halves a full map, keeping what ends last.
fn shrink<V>(map: &mut Map<u64, V>, ends: impl Fn(&V) -> Time) {
    if map.len() <= ENTRY_LIMIT {
        return;
    }
    let mut order: Vec<(Time, u64)> = map.iter().map(|(key, value)| (ends(value), *key)).collect();
    order.sort_unstable();
    let excess = order.len() - ENTRY_LIMIT / 2;
    for (_, key) in order.into_iter().take(excess) {
        map.remove(&key);
    }
}
