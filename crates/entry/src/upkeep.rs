//! Upkeep of the shard map: joining it, taking dead members out, finding standbys, moving shards.
//!
//! Every change is a conditional update of one platform object, made by whoever sees the need; the
//! version decides between racing nodes. No node writes the map while it is bound by a promise.

use std::sync::Arc;

use bytes::Bytes;
use coord::id::Version;
use coord::shard;
use coord::shard::Map;
use node::error;
use node::platform::Condition;
use node::platform::Error;
use tokio::time::timeout;

use crate::fence;
use crate::handover;
use crate::member::Member;
use crate::recovery;
use crate::recruit;

pub use crate::settle::settle;

/// Name of the object that holds the shard map.
pub const OBJECT: &str = "shard-map";

/// Rounds of upkeep in the length of a lease, at least.
const ROUNDS: u32 = 6;

/// Attempts at one change of the map against other writers.
const ATTEMPTS: u32 = 6;

/// Works until dropped.
pub async fn run(member: Arc<Member>) {
    loop {
        let length = member.lease.duration() / ROUNDS;
        let _ = timeout(length, member.shards().upkeep.notified()).await;
        if member.lease.authority().is_none() {
            continue;
        }
        if let Err(cause) = round(&member).await {
            error::warn(&error::Error::new("shard map upkeep", "platform", cause));
        }
    }
}

async fn round(member: &Arc<Member>) -> Result<(), Error> {
    refresh(member).await?;
    join(member).await?;
    clear_doubt(member).await?;
    recruit::drop_broken(member).await?;
    fence::dead_members(member).await?;
    recovery::recover(member).await?;
    recruit::find_standbys(member).await?;
    handover::hand_over(member).await
}

/// Reads the map from the platform if others may have changed it.
pub async fn refresh(member: &Member) -> Result<(), Error> {
    if let Some(object) = member.platform.get(OBJECT).await? {
        take(member, object.version, &object.value)?;
    }
    Ok(())
}

fn take(member: &Member, version: Version, value: &[u8]) -> Result<(), Error> {
    let map: Map = serde_json::from_slice(value).map_err(|e| Error::Malformed(e.to_string()))?;
    member.take_map(Map { version, ..map });
    Ok(())
}

async fn join(member: &Member) -> Result<(), Error> {
    let me = member.node();
    if member.map().member(&me).is_some() || member.is_stopping() {
        return Ok(());
    }
    let description = member.description();
    let _changing = member.changing.lock().await;
    let map = member.map();
    let next = match map.version {
        Version(0) => Map::initial(vec![description]),
        _ => map.with_member(description),
    };
    write(member, &map, next).await
}

/// Moves the map on when a write of it is in doubt, so that it can't land later.
async fn clear_doubt(member: &Member) -> Result<(), Error> {
    if member.given.is_writing() {
        change(member, |map| Some(map.clone())).await?;
    }
    Ok(())
}

/// Changes the map: the closure plans the next one from the newest, or none if nothing is to do.
/// True: the map was changed.
///
/// # Errors
///
/// The platform is away, this node is bound by a promise, or others kept changing the map;
/// [`Error::Unknown`]: the change may have taken effect.
pub async fn change(
    member: &Member,
    mut plan: impl FnMut(&Map) -> Option<Map>,
) -> Result<bool, Error> {
    let _changing = member.changing.lock().await;
    let mut last = Error::Unknown;
    for _ in 0..ATTEMPTS {
        let map = member.map();
        if !member.given.may_write(member.now()) || member.lease.authority().is_none() {
            return Err(Error::NotAllowed);
        }
        let Some(next) = plan(&map) else {
            return Ok(false);
        };
        if !member.given.begin_write(map.version, member.now()) {
            return Err(Error::NotAllowed);
        }
        match write(member, &map, next).await {
            Ok(()) => return Ok(true),
            Err(Error::Conflict { current }) => {
                refresh(member).await?;
                last = Error::Conflict { current };
            }
            Err(Error::Unknown) => return Err(Error::Unknown),
            Err(error) => {
                member.given.withdrawn(map.version);
                return Err(error);
            }
        }
    }
    Err(last)
}

async fn write(member: &Member, map: &Map, next: Map) -> Result<(), Error> {
    let condition = match map.version {
        Version(0) => Condition::Absent,
        version => Condition::At(version),
    };
    let value = serde_json::to_vec(&next).map_err(|error| Error::Malformed(error.to_string()))?;
    let version = member
        .platform
        .update(OBJECT, Bytes::from(value), condition)
        .await?;
    member.take_map(Map { version, ..next });
    Ok(())
}

/// Applies a plan for one shard after another; none: no shard was changed.
pub fn fold<T: Copy>(map: &Map, items: &[T], step: impl Fn(&Map, T) -> Option<Map>) -> Option<Map> {
    let mut next: Option<Map> = None;
    for item in items {
        let base = next.as_ref().unwrap_or(map);
        next = step(base, *item).or(next);
    }
    next
}

/// Whether a node is a member that takes shards.
pub fn stays(map: &Map, member: &Member) -> bool {
    let me = member.node();
    map.active_members()
        .any(|other: &shard::Member| other.node == me)
}
