//! What a new shard map means for the copies that this node holds.

use coord::id::Node;
use coord::replica::Replica;
use coord::shard::Map;
use coord::shard::Owner;

use crate::member::Member;
use crate::shards::Link;
use crate::shards::Phase;
use crate::shards::Role;
use crate::shards::Slot;
use crate::shards::State;

/// The first epoch of a shard that nobody has owned before.
const FIRST_EPOCH: u64 = 1;

/// Brings each shard's role in line with the newest map.
pub fn settle(member: &Member) {
    let map = member.map();
    let me = member.node();
    for (shard, slot) in member.shards().all() {
        let Some(owner) = map.owner(shard) else {
            continue;
        };
        let mut state = slot.state.lock();
        if owner.epoch < state.epoch {
            continue;
        }
        match () {
            () if owner.primary.as_ref() == Some(&me) => {
                lead(member, &map, slot, &mut state, owner);
            }
            () if owner.standby.as_ref() == Some(&me) => {
                follow(member, slot, &mut state, owner);
            }
            () => release(member, slot, &mut state, owner),
        }
        slot.publish(&mut state);
    }
    member.heard.retain(|node| map.member(node).is_some());
}

/// This node is the primary.
fn lead(member: &Member, map: &Map, slot: &Slot, state: &mut State, owner: &Owner) {
    state.cautious = owner.cautious;
    match state.role {
        Role::Primary if state.epoch == owner.epoch => {
            review_link(state, owner.standby.as_ref());
        }
        Role::Recovering if state.epoch == owner.epoch => (),
        Role::Recovering => state.change_epoch(owner.epoch),
        // Handed over and back unseen: nothing was durable in between without this copy.
        Role::Primary if !owner.lost && state.frozen && state.is_complete() => {
            state.link = None;
            member.shards().promote(slot, state, owner.epoch);
        }
        // Only the standby that the last map named is sure to hold everything.
        Role::Standby if !owner.lost && state.epoch < owner.epoch => {
            state.link = owner
                .standby
                .as_ref()
                .and_then(|node| joined(map, state, node));
            member.shards().promote(slot, state, owner.epoch);
        }
        _ if !owner.lost && owner.epoch.0 == FIRST_EPOCH => {
            state.replica = Replica::new(member.shards().limits());
            state.next = 0;
            state.link = None;
            member.shards().promote(slot, state, owner.epoch);
        }
        _ => {
            state.reset(member.shards().limits());
            state.change_epoch(owner.epoch);
            state.role = Role::Recovering;
        }
    }
}

/// The link of a primary that was the standby until now: the former primary holds the same.
fn joined(map: &Map, state: &State, node: &Node) -> Option<Link> {
    let address = map.member(node)?.peers;
    Some(Link::new(node.clone(), address, Phase::Joined, state.next))
}

/// Brings a primary's link in line with the standby that the map names.
fn review_link(state: &mut State, standby: Option<&Node>) {
    let Some(link) = &mut state.link else { return };
    let named = standby == Some(&link.node);
    match link.phase {
        Phase::Syncing | Phase::Joining if named => link.phase = Phase::Joined,
        // The write that was to name it can't land on this newer map.
        Phase::Joining => link.phase = Phase::Syncing,
        Phase::Joined if !named => state.link = None,
        Phase::Syncing | Phase::Joined => (),
    }
}

/// This node is the standby.
fn follow(member: &Member, slot: &Slot, state: &mut State, owner: &Owner) {
    match state.role {
        Role::Standby if state.epoch == owner.epoch => (),
        // Handed over: the new primary went on from just this state.
        Role::Primary if state.frozen && state.is_complete() && follows(state, owner) => {
            state.change_epoch(owner.epoch);
            state.role = Role::Standby;
            state.link = None;
            state.frozen = false;
        }
        _ => release(member, slot, state, owner),
    }
}

fn follows(state: &State, owner: &Owner) -> bool {
    let heir = state.link.as_ref().map(|link| &link.node);
    owner.epoch.0 == state.epoch.0 + 1 && owner.primary.as_ref() == heir
}

/// This node has no part in the shard. A copy of the present epoch is kept: its primary may have
/// sent it already, to write it into a newer map than this one.
fn release(member: &Member, slot: &Slot, state: &mut State, owner: &Owner) {
    let candidate = state.role == Role::Standby && state.epoch == owner.epoch;
    if candidate {
        return;
    }
    if state.role != Role::None {
        log::info!(step = "release shard"; "shard {} epoch {}", slot.shard, owner.epoch);
        state.reset(member.shards().limits());
    }
    state.epoch = owner.epoch;
}
