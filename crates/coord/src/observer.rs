//! Assignment of observers to members, so that not all nodes act on a failure at once.
//!
//! For each member, all nodes compute the same order of the others. The first group observes the
//! lease at once; each following group waits for a delay that doubles from group to group, in case
//! the groups before it have failed too. The order alternates between the data centres, so that the
//! first observers of a member don't fail together.

use crate::Map;
use crate::id::DataCentre;
use crate::id::Node;
use crate::id::fingerprint;
use crate::shard::Member;
use crate::time::Millis;

/// Number of observers in each group.
pub const OBSERVERS_PER_GROUP: usize = 3;

/// Number of doublings after which the delay is constant.
const MAX_DOUBLINGS: u32 = 10;

/// Position of a node in the order of a member's observers; none if it isn't one of them.
pub fn rank(members: &[Member], node: &Node, observed: &Node) -> Option<usize> {
    let ordered = observer_order(members, observed);
    ordered.iter().position(|candidate| *candidate == node)
}

/// Delay after which a node observes a member: zero for the first group, `unit` for the second.
pub fn delay(members: &[Member], node: &Node, observed: &Node, unit: Millis) -> Millis {
    let rank = rank(members, node, observed).unwrap_or(members.len());
    let group = u32::try_from(rank / OBSERVERS_PER_GROUP).unwrap_or(u32::MAX);
    let units = (1_u64 << group.min(MAX_DOUBLINGS)) - 1;
    Millis(unit.0.saturating_mul(units))
}

/// All other members in the order in which they observe this one.
fn observer_order<'a>(members: &'a [Member], observed: &Node) -> Vec<&'a Node> {
    let weight = |member: &Member| {
        let parts = [observed.as_str(), member.node.as_str()];
        fingerprint(&parts.map(str::as_bytes))
    };
    let candidates = members.iter().filter(|member| member.node != *observed);
    let mut by_weight: Vec<(u64, &Member)> = candidates.map(|m| (weight(m), m)).collect();
    by_weight.sort_by_key(|(weight, member)| (*weight, &member.node));
    let mut counts: Map<&DataCentre, usize> = Map::default();
    let mut rounds: Vec<(usize, &Node)> = Vec::new();
    for (_, member) in by_weight {
        let round = counts.entry(&member.data_centre).or_default();
        rounds.push((*round, &member.node));
        *round += 1;
    }
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, node)| node).collect()
}
