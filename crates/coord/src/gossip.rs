//! Exchange of configuration changes and short-lived reports between entries.
//!
//! Configurations are compared by one hash per bucket of objects, and only objects in buckets that
//! differ are sent. Merging them doesn't depend on order, loss or repetition. Short-lived reports
//! carry their age instead of a time, so that clocks needn't agree.

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

/// Number of buckets in a summary.
pub const BUCKETS: usize = 64;

/// One hash per bucket of a node's configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary(Vec<u64>);

impl Default for Summary {
    /// Summary of an empty configuration.
    fn default() -> Summary {
        Summary(vec![0; BUCKETS])
    }
}

impl Summary {
    /// Returns the summary of a configuration, including its removed objects.
    pub fn of(config: &Config) -> Summary {
        let mut summary = Summary::default();
        for (name, revision) in config.revisions() {
            let hash = &mut summary.0[bucket_of(name)];
            *hash = hash.wrapping_add(hash_of(name, revision));
        }
        summary
    }

    /// Numbers and hashes of the buckets that contain objects.
    pub fn pairs(&self) -> impl Iterator<Item = (usize, u64)> {
        let pairs = self.0.iter().copied().enumerate();
        pairs.filter(|(_, hash)| *hash != 0)
    }

    /// Builds a summary from bucket numbers and hashes; ignores bucket numbers out of range.
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

/// Returns the changes that a peer may lack, at most `limit` objects; each round starts at
/// different ones.
pub fn missing_changes(config: &Config, peer: &Summary, round: usize, limit: usize) -> Vec<Change> {
    let own = Summary::of(config);
    let differs = |name: &Name| own.0[bucket_of(name)] != peer.0[bucket_of(name)];
    let mut revisions: Vec<(&Name, &Revision)> = config
        .revisions()
        .filter(|(name, _)| differs(name))
        .collect();
    revisions.sort_by_key(|(name, _)| *name);
    let start = round.wrapping_mul(limit) % revisions.len().max(1);
    revisions.rotate_left(start);
    revisions.truncate(limit);
    changes(&revisions)
}

/// Groups revisions by ticket number into changes.
fn changes(revisions: &[(&Name, &Revision)]) -> Vec<Change> {
    let mut changes: BTreeMap<Ticket, Change> = BTreeMap::new();
    for (name, revision) in revisions {
        let change = changes.entry(revision.ticket).or_insert_with(|| Change {
            number: revision.ticket,
            set: Vec::new(),
            remove: Vec::new(),
        });
        match &revision.object {
            Some(object) => change.set.push(object.clone()),
            None => change.remove.push((*name).clone()),
        }
    }
    changes.into_values().collect()
}

fn bucket_of(name: &Name) -> usize {
    (fingerprint(&[&encode(name)]) % BUCKETS as u64) as usize
}

fn hash_of(name: &Name, revision: &Revision) -> u64 {
    fingerprint(&[&encode(name), &encode(revision)])
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

/// A repeated report must extend the expiry by more than the lifetime divided by this. The age of a
/// report excludes its transmission time, so otherwise a report relayed back and forth would never
/// expire.
const MIN_EXTENSION_DIVISOR: u64 = 8;

/// Set of keys from short-lived reports, such as quarantines; the youngest report of a key
/// determines its expiry.
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

    /// Records a report of this age; returns whether the key is new.
    pub fn record_report(&mut self, key: K, age: Millis, now: Time) -> bool {
        self.expire(now);
        let remaining = self.lifetime.0.saturating_sub(age.0);
        let expiry = now + Millis(remaining);
        let min_extension = Millis(self.lifetime.0 / MIN_EXTENSION_DIVISOR);
        let current = self.expiries.get(&key);
        let has_room = current.is_some() || self.expiries.len() < self.limit;
        match current {
            _ if remaining == 0 || !has_room => false,
            Some(current) if *current + min_extension >= expiry => false,
            _ => self.expiries.insert(key, expiry).is_none(),
        }
    }

    /// Whether a key's report hasn't expired.
    pub fn contains(&self, key: &K, now: Time) -> bool {
        self.expiries.get(key).is_some_and(|expiry| now < *expiry)
    }

    /// Unexpired keys with the ages of their reports.
    pub fn reports(&self, now: Time) -> impl Iterator<Item = (&K, Millis)> {
        let unexpired = self.expiries.iter().filter(move |(_, e)| now < **e);
        unexpired.map(move |(key, expiry)| {
            let remaining = expiry.since(now).0;
            (key, Millis(self.lifetime.0.saturating_sub(remaining)))
        })
    }

    fn expire(&mut self, now: Time) {
        self.expiries.retain(|_, expiry| now < *expiry);
    }
}
