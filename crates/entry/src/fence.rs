//! Taking members out of the shard map whose lease has run out unrenewed.
//!
//! The lease is fenced first, by a conditional write at just the version that was seen to expire.
//! Only if that succeeds has the member no authority left, and the map may be changed. A member's
//! first observers see to it; others only when these don't, see [`observer`].

use std::sync::Arc;

use coord::id::Node;
use coord::id::Version;
use coord::observer;
use coord::shard::Map;
use coord::time::Millis;
use node::platform::Condition;
use node::platform::Error;

use crate::lease;
use crate::lease::Object;
use crate::member::Member;
use crate::renewal;
use crate::upkeep::change;

/// Fences members whose lease has run out and takes them out of the map, and this node's former
/// names, whose leases others have fenced.
pub async fn dead_members(member: &Arc<Member>) -> Result<(), Error> {
    let me = member.node();
    for name in member.former_names() {
        if member.map().member(&name).is_some() {
            bury(member, &name).await?;
        }
    }
    let map = member.map();
    let unit = Millis(member.duration().0 / 2);
    for other in map.members.iter().filter(|other| other.node != me) {
        let node = &other.node;
        let suspect = member.heard.is_overdue(member, node, Millis(0)) && {
            let delay = observer::delay(&map.members, &me, node, unit);
            member.heard.is_overdue(member, node, delay)
        };
        if suspect && fence(member, node).await? {
            log::warn!(step = "fence", peer = node.as_str(); "lease ran out unrenewed");
            bury(member, node).await?;
        }
    }
    Ok(())
}

/// Fences a member's lease if it has run out; true: the member has no authority left.
async fn fence(member: &Member, node: &Node) -> Result<bool, Error> {
    let Some(version) = member.heard.expired(member, node) else {
        return look(member, node).await;
    };
    let _changing = member.changing.lock().await;
    if !may_fence(member, node) || member.lease.authority().is_none() {
        return look(member, node).await;
    }
    match revoke(member, node, Condition::At(version)).await {
        Ok(_) => Ok(true),
        Err(Error::Conflict { .. }) => look(member, node).await,
        Err(error) => Err(error),
    }
}

/// Whether the member can't be going on by promises that this node doesn't know of.
fn may_fence(member: &Member, node: &Node) -> bool {
    let now = member.now();
    let standing = member.heard.standing(member, node).unwrap_or_default();
    let map = member.map();
    let me = member.node();
    // With nobody to ask it doesn't go on.
    let alone = map
        .members
        .iter()
        .all(|other| other.node == me || other.node == *node);
    member.given.may_write(now) && (alone || member.given.may_write_out(node, standing, now))
}

/// Reads the lease of a silent member; true: it was fenced by another node or given up.
async fn look(member: &Member, node: &Node) -> Result<bool, Error> {
    let now = member.now();
    let name = lease::object_name(node);
    let Some(object) = member.platform.get(&name).await? else {
        return match revoke(member, node, Condition::Absent).await {
            Ok(_) => Ok(true),
            Err(Error::Conflict { .. }) => Ok(false),
            Err(error) => Err(error),
        };
    };
    member.heard.saw(member, node, object.version, now);
    Ok(renewal::decode(&object.value).is_some_and(|lease| lease.revoked))
}

async fn revoke(member: &Member, node: &Node, condition: Condition) -> Result<Version, Error> {
    let object = Object {
        node: node.clone(),
        counter: 0,
        revoked: true,
    };
    let name = lease::object_name(node);
    member
        .platform
        .update(&name, renewal::encode(&object), condition)
        .await
}

/// Takes a fenced member out of the map; its lease object is of no more use then.
async fn bury(member: &Member, node: &Node) -> Result<(), Error> {
    let plan = |map: &Map| {
        let listed = map.member(node).filter(|_| may_fence(member, node));
        listed.map(|_| map.without_member(node))
    };
    if !change(member, plan).await? {
        return Ok(());
    }
    let name = lease::object_name(node);
    let _ = member.platform.delete(&name, Condition::Any).await;
    Ok(())
}
