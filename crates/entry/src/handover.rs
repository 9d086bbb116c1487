//! Handing shards over to their standbys, to balance the fleet or because this node stops.

use std::sync::Arc;
use std::time::Duration;

use coord::id::Shard;
use coord::shard;
use node::error;
use node::platform::Error;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::member::Member;
use crate::upkeep::change;
use crate::upkeep::fold;
use crate::upkeep::refresh;

/// Shards handed over in one change of the map.
const BATCH: usize = 64;

/// Longest time for the standbys to take in the last records.
const SYNC_LIMIT: Duration = Duration::from_millis(500);

/// Leases for which a leaving node goes on as a standby until others have taken its place.
const STANDBY_LEASES: u32 = 2;

/// Time between two looks at how far a planned stop has come.
const PAUSE: Duration = Duration::from_millis(50);

/// Hands over what the plan says.
///
/// What is frozen stays so while a write of the map is in doubt; the map's next version tells.
pub async fn hand_over(member: &Arc<Member>) -> Result<(), Error> {
    if !member.given.is_writing() {
        member.shards().thaw();
    }
    let me = member.node();
    let mut plan = shard::handover_plan(&member.map(), &me);
    plan.truncate(BATCH);
    if plan.is_empty() {
        return Ok(());
    }
    let ready = member.shards().freeze(&plan, SYNC_LIMIT).await;
    let changed = change(member, |map| transfer(member, map, &ready)).await;
    if member.given.is_writing() {
        refresh(member).await?;
    }
    if !member.given.is_writing() {
        member.shards().thaw();
    }
    changed.map(|_| ())
}

fn transfer(member: &Member, map: &shard::Map, ready: &[Shard]) -> Option<shard::Map> {
    let me = member.node();
    fold(map, ready, |map, shard| {
        let complete = member.shards().slot(shard).state.lock().is_complete();
        complete.then(|| map.hand_over(shard, &me)).flatten()
    })
}

/// Hands over every shard. Returns when that is done or the limit is over.
pub async fn shed(member: &Arc<Member>, limit: Duration) {
    let end = Instant::now() + limit;
    member.stop();
    while Instant::now() < end && leads(member) {
        step(member).await;
        sleep(PAUSE).await;
    }
    // Where nobody else may stand by, the log in the platform is the second place.
    let end = end.min(Instant::now() + member.lease_duration() * STANDBY_LEASES);
    while Instant::now() < end && !has_left(member) {
        step(member).await;
        sleep(PAUSE).await;
    }
}

/// Leaves the shard map, the log written out.
/// Returns when that is done or the limit is over.
pub async fn depart(member: &Arc<Member>, limit: Duration) {
    let end = Instant::now() + limit;
    while Instant::now() < end && !member.journal().is_idle() {
        sleep(PAUSE).await;
    }
    let me = member.node();
    if let Err(cause) = change(member, |map| {
        map.member(&me).map(|_| map.without_member(&me))
    })
    .await
    {
        error::warn(&error::Error::new("leave shard map", "platform", cause));
    }
}

async fn step(member: &Arc<Member>) {
    let me = member.node();
    let marked = change(member, |map| {
        let staying = map.active_members().any(|other| other.node == me);
        staying.then(|| map.with_leaving(&me))
    });
    if let Err(cause) = marked.await {
        error::warn(&error::Error::new("leave shard map", "platform", cause));
    }
    member.shards().upkeep.notify_one();
}

/// Whether this node leads a shard that it can hand over.
fn leads(member: &Member) -> bool {
    let map = member.map();
    let me = member.node();
    let alone = map.active_members().all(|other| other.node == me);
    map.member(&me).is_some() && !alone && map.shard_counts(&me).primary > 0
}

/// Whether no shard rests on this node; the last node in the map can't hand anything over.
fn has_left(member: &Member) -> bool {
    let map = member.map();
    let me = member.node();
    let holding = map.shard_counts(&me);
    let alone = map.active_members().all(|other| other.node == me);
    map.member(&me).is_none() || alone || (holding.primary == 0 && holding.standby == 0)
}
