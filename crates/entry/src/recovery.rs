//! Reading a shard back from the log in the platform when both its owners are gone.
//!
//! What was acknowledged in the last moments may be missing, so that the copy is marked: requests
//! from before it have an unknown outcome.

use std::sync::Arc;

use coord::Map;
use coord::id::Shard;
use coord::id::Version;
use node::platform::Error;

use crate::clock;
use crate::journal;
use crate::journal::Entry;
use crate::member::Member;
use crate::replay::rebuild;
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
        return Err(Error::Malformed("stale listing of the log".to_owned()));
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
    let mut shards = map.shards_with_primary(&me);
    shards.retain(|shard| lost(shard) && written(shard));
    change(member, |map| {
        fold(map, &shards, |map, shard| {
            let lost = map.owner(shard)?.lost;
            lost.then(|| map.with_recovered(shard, &me)).flatten()
        })
    })
    .await?;
    Ok(())
}
