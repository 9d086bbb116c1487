//! Reading a shard back from the log in the platform when both its owners are gone.
//!
//! What was acknowledged in the last moments may be missing, so that the copy is marked: requests
//! from before it have an unknown outcome.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use coord::Map;
use coord::id::Epoch;
use coord::id::Shard;
use coord::id::Version;
use coord::record::Record;
use coord::replica::Limits;
use coord::replica::Replica;
use node::platform::Error;

use crate::clock;
use crate::journal;
use crate::journal::Body;
use crate::journal::Entry;
use crate::member::Member;
use crate::shards::Role;
use crate::upkeep::change;
use crate::upkeep::fold;

/// Recovers the shards of which this node is the primary without a copy.
pub async fn recover(member: &Arc<Member>) -> Result<(), Error> {
    let waiting: Vec<Shard> = waiting(member);
    if !waiting.is_empty() {
        let mut entries = read_log(member).await?;
        for shard in &waiting {
            install(member, *shard, entries.remove(shard).unwrap_or_default());
        }
    }
    clear_marks(member).await
}

fn waiting(member: &Member) -> Vec<Shard> {
    let recovering = member
        .shards()
        .all()
        .filter(|(_, slot)| slot.state.lock().role == Role::Recovering);
    recovering.map(|(shard, _)| shard).collect()
}

async fn read_log(member: &Member) -> Result<Map<Shard, Vec<Entry>>, Error> {
    let listing = member.platform.list(journal::PREFIX, Version(0)).await?;
    if listing.revision < member.map().version {
        return Err(Error::Broken("stale listing of the log".to_owned()));
    }
    let mut shards: Map<Shard, Vec<Entry>> = Map::default();
    for object in &listing.objects {
        for entry in journal::decode(&object.value).unwrap_or_default() {
            shards.entry(entry.shard).or_default().push(entry);
        }
    }
    Ok(shards)
}

fn install(member: &Member, shard: Shard, entries: Vec<Entry>) {
    let (mut replica, next) = rebuild(entries, member.shards().limits());
    replica.mark_lost(clock::unix_ms());
    let slot = member.shards().slot(shard);
    let mut state = slot.state.lock();
    if state.role == Role::Recovering {
        let epoch = state.epoch;
        state.replica = replica;
        state.next = next;
        member.shards().promote(slot, &mut state, epoch);
    }
}

/// Tells in the map that the shards have been recovered, once their checkpoint stands in the log.
async fn clear_marks(member: &Arc<Member>) -> Result<(), Error> {
    let me = member.node();
    let map = member.map();
    let lost = |shard: &Shard| map.owner(*shard).is_some_and(|owner| owner.lost);
    let written = |shard: &Shard| {
        let state = member.shards().slot(*shard).state.lock();
        state.role == Role::Primary && state.journalled > 0
    };
    let mut shards = map.primary_of(&me);
    shards.retain(|shard| lost(shard) && written(shard));
    change(member, |map| {
        fold(map, &shards, |map, shard| {
            let lost = map.owner(shard)?.lost;
            lost.then(|| map.recovered(shard, &me)).flatten()
        })
    })
    .await?;
    Ok(())
}

/// Replays a shard's entries; gives the state and the number of the next record.
///
/// An epoch's records count only up to where the next epoch began: what a deposed primary wrote
/// beyond that never stood in two places.
pub fn rebuild(mut entries: Vec<Entry>, limits: Limits) -> (Replica, u64) {
    entries.sort_by_key(|entry| (entry.epoch, entry.first, part(entry)));
    let mut starts: BTreeMap<Epoch, u64> = BTreeMap::new();
    for entry in &entries {
        starts.entry(entry.epoch).or_insert(entry.first);
    }
    let newest = newest_checkpoint(&entries, limits);
    let (base, mut next, mut replica) = newest.unwrap_or((Epoch(0), 0, Replica::new(limits)));
    for entry in entries.iter().filter(|entry| entry.epoch >= base) {
        let later = starts.range(Epoch(entry.epoch.0 + 1)..);
        let limit = later.map(|(_, first)| *first).min().unwrap_or(u64::MAX);
        next = replay(&mut replica, entry, next, limit);
    }
    (replica, next)
}

fn replay(replica: &mut Replica, entry: &Entry, mut next: u64, limit: u64) -> u64 {
    let Body::Records(records) = &entry.body else {
        return next;
    };
    for (number, record) in (entry.first..limit).zip(records) {
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

fn part(entry: &Entry) -> u32 {
    match &entry.body {
        Body::Checkpoint { part, .. } => *part,
        Body::Records(_) => u32::MAX,
    }
}

/// The newest whole checkpoint: its epoch, the next record and the state.
fn newest_checkpoint(entries: &[Entry], limits: Limits) -> Option<(Epoch, u64, Replica)> {
    let mut found: BTreeMap<(Epoch, u64), (u32, Vec<&Bytes>)> = BTreeMap::new();
    for entry in entries {
        if let Body::Checkpoint { parts, bytes, .. } = &entry.body {
            let checkpoint = found.entry((entry.epoch, entry.first)).or_default();
            checkpoint.0 = *parts;
            checkpoint.1.push(bytes);
        }
    }
    let whole = found
        .into_iter()
        .rev()
        .filter(|(_, (parts, seen))| seen.len() >= *parts as usize);
    let decoded = whole.filter_map(|((epoch, next), (parts, seen))| {
        let bytes: Vec<u8> = seen[..parts as usize]
            .iter()
            .flat_map(|b| b.iter().copied())
            .collect();
        let replica = Replica::decode(&bytes, limits).ok()?;
        Some((epoch, next, replica))
    });
    decoded.into_iter().next()
}
