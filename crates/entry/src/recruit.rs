//! Standbys of the shards that this node owns: finding them, and going on without them.

use std::sync::Arc;

use coord::id::Node;
use coord::id::Shard;
use coord::shard;
use coord::shard::Map;
use futures::StreamExt;
use node::platform::Error;

use crate::member::Member;
use crate::replicate;
use crate::shards::Phase;
use crate::upkeep::change;
use crate::upkeep::fold;

/// Copies sent at a time.
const PARALLEL: usize = 16;

/// Shards that get a standby in one change of the map.
const BATCH: usize = 128;

/// Takes standbys that don't answer out of the map.
pub async fn drop_broken(member: &Arc<Member>) -> Result<(), Error> {
    let broken = member.shards().broken();
    if broken.is_empty() {
        return Ok(());
    }
    let me = member.node();
    let shards: Vec<Shard> = broken.iter().map(|(shard, _)| *shard).collect();
    let changed = change(member, |map| {
        fold(map, &shards, |map, shard| {
            let standby = broken
                .iter()
                .find(|(other, _)| *other == shard)
                .map(|(_, node)| node);
            let named = map.owner(shard)?.standby.as_ref() == standby;
            named.then(|| map.without_standby(shard, &me)).flatten()
        })
    })
    .await?;
    if !changed {
        forget_unnamed(member, &shards);
    }
    Ok(())
}

/// Drops broken links to nodes that the map doesn't name.
fn forget_unnamed(member: &Member, shards: &[Shard]) {
    let map = member.map();
    for shard in shards {
        let standby = map.owner(*shard).and_then(|owner| owner.standby.clone());
        let slot = member.shards().slot(*shard);
        let mut state = slot.state.lock();
        let unnamed = |node: &Node| standby.as_ref() != Some(node);
        if state
            .link
            .as_ref()
            .is_some_and(|link| link.broken && unnamed(&link.node))
        {
            state.link = None;
            slot.publish(&mut state);
        }
    }
}

/// Brings standbys up to date and writes them into the map.
pub async fn find_standbys(member: &Arc<Member>) -> Result<(), Error> {
    let me = member.node();
    let mut plan = shard::standby_plan(&member.map(), &me);
    plan.truncate(BATCH);
    if plan.is_empty() {
        return Ok(());
    }
    make_room(member, &plan).await?;
    let synced = sync_all(member, &plan).await;
    if synced.is_empty() {
        return Ok(());
    }
    change(member, |map| enter(member, map, &synced)).await?;
    Ok(())
}

/// A shard has one standby at a time: the former one leaves the map first.
async fn make_room(member: &Arc<Member>, plan: &[(Shard, Node)]) -> Result<(), Error> {
    let me = member.node();
    let shards: Vec<Shard> = plan.iter().map(|(shard, _)| *shard).collect();
    change(member, |map| {
        fold(map, &shards, |map, shard| {
            let occupied = map.owner(shard)?.standby.is_some();
            occupied.then(|| map.without_standby(shard, &me)).flatten()
        })
    })
    .await?;
    Ok(())
}

async fn sync_all(member: &Arc<Member>, plan: &[(Shard, Node)]) -> Vec<Shard> {
    let synced = futures::stream::iter(plan.to_vec())
        .map(|(shard, node)| sync_one(Arc::clone(member), shard, node))
        .buffer_unordered(PARALLEL);
    synced.filter_map(std::future::ready).collect().await
}

async fn sync_one(member: Arc<Member>, shard: Shard, node: Node) -> Option<Shard> {
    let address = member.map().member(&node)?.peers;
    let slot = member.shards().slot(shard);
    let synced = replicate::bring_up(member.shards(), slot, &node, address).await;
    synced.then_some(shard)
}

/// Plans the standbys' entry. From here on their shards' records need both the standby and the log.
fn enter(member: &Member, map: &Map, synced: &[Shard]) -> Option<Map> {
    let me = member.node();
    fold(map, synced, |map, shard| {
        let slot = member.shards().slot(shard);
        let mut state = slot.state.lock();
        let holds_all = state.standby_holds_durable();
        let link = state
            .link
            .as_mut()
            .filter(|link| !link.broken && holds_all)?;
        let next = map.with_standby(shard, &me, &link.node)?;
        link.phase = Phase::Joining;
        Some(next)
    })
}
