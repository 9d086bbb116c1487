//! News exchanged between entries until all know the same.
//!
//! The configuration is compared by one hash for each of a few buckets of objects, and only what
//! stands in buckets that differ is sent. What is sent joins without regard to order, loss or
//! repetition. Short-lived news carries its age in place of a time, so that clocks needn't agree.

use std::collections::BTreeMap;
use std::hash::Hash;

use crate::Map;
use crate::config::Change;
use crate::config::Config;
use crate::config::Name;
use crate::config::Revision;
use crate::id::Ticket;
use crate::id::fingerprint;
use crate::time::Millis;
use crate::time::Time;

/// Buckets of a configuration's digest.
pub const BUCKETS: usize = 64;

/// What a node knows of the configuration, as one hash a bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary(Vec<u64>);

impl Default for Summary {
    /// Nothing known.
    fn default() -> Summary {
        Summary(vec![0; BUCKETS])
    }
}

impl Summary {
    /// The summary of a configuration, removed objects included.
    pub fn of(config: &Config) -> Summary {
        let mut summary = Summary::default();
        for (name, entry) in config.revisions() {
            let hash = &mut summary.0[bucket(name)];
            *hash = hash.wrapping_add(hash_of(name, entry));
        }
        summary
    }

    /// The buckets that hold something.
    pub fn pairs(&self) -> impl Iterator<Item = (usize, u64)> {
        let pairs = self.0.iter().copied().enumerate();
        pairs.filter(|(_, hash)| *hash != 0)
    }

    /// The summary from its pairs; others than the known buckets are ignored.
    pub fn from_pairs(pairs: impl IntoIterator<Item = (usize, u64)>) -> Summary {
        let mut summary = Summary::default();
        for (bucket, hash) in pairs {
            if let Some(slot) = summary.0.get_mut(bucket) {
                *slot = hash;
            }
        }
        summary
    }
}

/// What a peer with another summary may lack: at most `limit` objects, others first each round.
pub fn missing_changes(config: &Config, peer: &Summary, round: usize, limit: usize) -> Vec<Change> {
    let own = Summary::of(config);
    let differs = |name: &Name| own.0[bucket(name)] != peer.0[bucket(name)];
    let mut entries: Vec<(&Name, &Revision)> = config
        .revisions()
        .filter(|(name, _)| differs(name))
        .collect();
    entries.sort_by_key(|(name, _)| *name);
    let start = round.wrapping_mul(limit) % entries.len().max(1);
    entries.rotate_left(start);
    entries.truncate(limit);
    changes(&entries)
}

/// Entries as changes, one for each ticket number.
fn changes(entries: &[(&Name, &Revision)]) -> Vec<Change> {
    let mut changes: BTreeMap<Ticket, Change> = BTreeMap::new();
    for (name, entry) in entries {
        let change = changes.entry(entry.ticket).or_insert_with(|| Change {
            number: entry.ticket,
            set: Vec::new(),
            remove: Vec::new(),
        });
        match &entry.object {
            Some(object) => change.set.push(object.clone()),
            None => change.remove.push((*name).clone()),
        }
    }
    changes.into_values().collect()
}

fn bucket(name: &Name) -> usize {
    (fingerprint(&[&bytes(name)]) % BUCKETS as u64) as usize
}

fn hash_of(name: &Name, entry: &Revision) -> u64 {
    fingerprint(&[&bytes(name), &bytes(entry)])
}

fn bytes<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

/// A report counts as newer only by more than this part of the lifetime, so that news passed to
/// and fro doesn't grow younger by the time it is under way.
const SLACK: u64 = 8;

/// Short-lived news, such as quarantines: the youngest report of each key counts.
#[derive(Debug, Clone)]
pub struct ExpiringSet<K> {
    expiries: Map<K, Time>,
    lifetime: Millis,
    limit: usize,
}

impl<K: Clone + Eq + Hash> ExpiringSet<K> {
    /// Keeps each key for `lifetime` from its report, and at most `limit` keys.
    pub fn new(lifetime: Millis, limit: usize) -> ExpiringSet<K> {
        ExpiringSet {
            expiries: Map::default(),
            lifetime,
            limit,
        }
    }

    /// A report of this age; returns whether it was news.
    pub fn record_report(&mut self, key: K, age: Millis, now: Time) -> bool {
        self.expire(now);
        let left = self.lifetime.0.saturating_sub(age.0);
        let expiry = now + Millis(left);
        let slack = Millis(self.lifetime.0 / SLACK);
        let known = self.expiries.get(&key);
        let has_room = known.is_some() || self.expiries.len() < self.limit;
        match known {
            _ if left == 0 || !has_room => false,
            Some(known) if *known + slack >= expiry => false,
            _ => self.expiries.insert(key, expiry).is_none(),
        }
    }

    /// Whether a key is in force.
    pub fn contains(&self, key: &K, now: Time) -> bool {
        self.expiries.get(key).is_some_and(|expiry| now < *expiry)
    }

    /// All keys in force with the ages of their reports.
    pub fn reports(&self, now: Time) -> impl Iterator<Item = (&K, Millis)> {
        let in_force = self.expiries.iter().filter(move |(_, e)| now < **e);
        in_force.map(move |(key, expiry)| {
            let left = expiry.since(now).0;
            (key, Millis(self.lifetime.0.saturating_sub(left)))
        })
    }

    fn expire(&mut self, now: Time) {
        self.expiries.retain(|_, expiry| now < *expiry);
    }
}
