//! Which members look after which, so that a death isn't everybody's business at once.
//!
//! For each member the others have an order that all compute alike. The first few look after its
//! lease at once; the next few only after a delay that doubles from group to group, in case those
//! before them are gone too. The order goes through the data centres in turn, so that a member's
//! first observers don't go down together.

use crate::Map;
use crate::id::DataCentre;
use crate::id::Node;
use crate::id::fingerprint;
use crate::shard::Member;
use crate::time::Millis;

/// Members that look after another at once.
pub const OBSERVERS: usize = 3;

/// Doublings after which the delay stays the same.
const DOUBLINGS: u32 = 10;

/// Position of a node in the order of those that look after a member; none: it isn't among them.
pub fn rank(members: &[Member], node: &Node, other: &Node) -> Option<usize> {
    let ordered = order(members, other);
    ordered.iter().position(|candidate| *candidate == node)
}

/// How much longer than the first observers a node waits before it looks after a member.
pub fn delay(members: &[Member], node: &Node, other: &Node, unit: Millis) -> Millis {
    let rank = rank(members, node, other).unwrap_or(members.len());
    let group = u32::try_from(rank / OBSERVERS).unwrap_or(u32::MAX);
    let units = (1_u64 << group.min(DOUBLINGS)) - 1;
    Millis(unit.0.saturating_mul(units))
}

/// All other members in the order in which they look after this one.
fn order<'a>(members: &'a [Member], other: &Node) -> Vec<&'a Node> {
    let weight = |member: &Member| {
        let parts = [other.as_str(), member.node.as_str()];
        fingerprint(&parts.map(str::as_bytes))
    };
    let candidates = members.iter().filter(|member| member.node != *other);
    let mut weighed: Vec<(u64, &Member)> = candidates.map(|m| (weight(m), m)).collect();
    weighed.sort_by_key(|(weight, member)| (*weight, &member.node));
    let mut taken: Map<&DataCentre, usize> = Map::default();
    let mut turns: Vec<(usize, &Node)> = Vec::new();
    for (_, member) in weighed {
        let turn = taken.entry(&member.data_centre).or_default();
        turns.push((*turn, &member.node));
        *turn += 1;
    }
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, node)| node).collect()
}
