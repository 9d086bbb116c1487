//! A shard's state from its entries in the log.

use std::collections::BTreeMap;

use bytes::Bytes;
use coord::id::Epoch;
use coord::record::Record;
use coord::replica::Limits;
use coord::replica::Replica;

use crate::journal::Body;
use crate::journal::Entry;

/// Where an entry belongs: the epoch and the number of its first record.
type Place = (Epoch, u64);

/// Replays a shard's entries; gives the state and the number of the next record.
///
/// An epoch's records count only up to where the next epoch began: what a deposed primary wrote
/// beyond that never stood in two places.
pub fn rebuild(mut entries: Vec<Entry>, limits: Limits) -> (Replica, u64) {
    entries.sort_by_key(|entry| (entry.epoch, entry.first, part(&entry.body)));
    let mut starts: BTreeMap<Epoch, u64> = BTreeMap::new();
    for entry in &entries {
        starts.entry(entry.epoch).or_insert(entry.first);
    }
    let newest = newest_state(&entries, limits);
    let (base, mut next, mut replica) = newest.unwrap_or((Epoch(0), 0, Replica::new(limits)));
    for ((epoch, first), records) in records(&entries) {
        let later = starts.range(Epoch(epoch.0 + 1)..);
        let limit = later.map(|(_, first)| *first).min().unwrap_or(u64::MAX);
        if epoch >= base {
            next = replay(&mut replica, first, &records, next, limit);
        }
    }
    (replica, next)
}

/// The newest checkpoint that is whole, and what it stands before.
pub fn newest_checkpoint(entries: &[Entry]) -> Option<Place> {
    let whole = checkpoints(entries)
        .into_iter()
        .rev()
        .find(|(_, parts)| parts.is_whole());
    whole.map(|(place, _)| place)
}

fn replay(replica: &mut Replica, first: u64, records: &[Bytes], next: u64, limit: u64) -> u64 {
    let mut next = next;
    for (number, record) in (first..limit).zip(records) {
        match postcard::from_bytes::<Record>(record) {
            Ok(record) if number == next => {
                replica.apply(&record);
                next += 1;
            }
            _ => (),
        }
    }
    next
}

/// Number of the part that an entry holds, zero for a whole.
pub fn part(body: &Body) -> u32 {
    match body {
        Body::Checkpoint { part, .. } | Body::Part { part, .. } => *part,
        Body::Records(_) => 0,
    }
}

/// Parts in order, of which there should be so many.
#[derive(Debug, Default)]
struct Parts<'a> {
    count: u32,
    found: Vec<&'a Bytes>,
}

impl<'a> Parts<'a> {
    fn add(&mut self, part: u32, parts: u32, bytes: &'a Bytes) {
        self.count = parts;
        if self.found.len() == part as usize {
            self.found.push(bytes);
        }
    }

    fn is_whole(&self) -> bool {
        self.found.len() == self.count as usize
    }

    fn join(&self) -> Bytes {
        match self.found.as_slice() {
            [one] => Bytes::clone(one),
            parts => parts.iter().flat_map(|part| part.iter().copied()).collect(),
        }
    }
}

fn checkpoints(entries: &[Entry]) -> BTreeMap<Place, Parts<'_>> {
    let mut found: BTreeMap<Place, Parts<'_>> = BTreeMap::new();
    for entry in entries {
        if let Body::Checkpoint { part, parts, bytes } = &entry.body {
            let place = (entry.epoch, entry.first);
            found.entry(place).or_default().add(*part, *parts, bytes);
        }
    }
    found
}

fn newest_state(entries: &[Entry], limits: Limits) -> Option<(Epoch, u64, Replica)> {
    let found = checkpoints(entries);
    let whole = found.iter().rev().filter(|(_, parts)| parts.is_whole());
    let mut decoded = whole.filter_map(|((epoch, next), parts)| {
        let replica = Replica::decode(&parts.join(), limits).ok()?;
        Some((*epoch, *next, replica))
    });
    decoded.next()
}

/// All batches of records in order, records in parts put together.
fn records(entries: &[Entry]) -> Vec<(Place, Vec<Bytes>)> {
    let mut split: BTreeMap<Place, Parts<'_>> = BTreeMap::new();
    let mut batches = Vec::new();
    for entry in entries {
        let place = (entry.epoch, entry.first);
        match &entry.body {
            Body::Records(records) => batches.push((place, records.clone())),
            Body::Part { part, parts, bytes } => {
                split.entry(place).or_default().add(*part, *parts, bytes);
            }
            Body::Checkpoint { .. } => (),
        }
    }
    let whole = split.iter().filter(|(_, parts)| parts.is_whole());
    batches.extend(whole.map(|(place, parts)| (*place, vec![parts.join()])));
    batches.sort_by_key(|(place, _)| *place);
    batches
}
