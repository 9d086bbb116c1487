//! The shard map: the primary and the standby node of each shard.
//!
//! Every change is a function from one map to the next, written by conditional update. Epochs never
//! decrease, and a shard's epoch increases whenever its primary changes. Plans move as few shards
//! as possible. A standby enters the map only after it holds a whole copy, and is in another data
//! centre than the primary if there is a candidate in one.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Set;
use crate::id::DataCentre;
use crate::id::Epoch;
use crate::id::Node;
use crate::id::SHARDS;
use crate::id::Shard;
use crate::id::Version;

/// A node in the map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub node: Node,
    pub data_centre: DataCentre,
    /// Address on which it listens for other entries.
    pub peers: SocketAddr,
    /// Address on which it listens for callers.
    pub callers: SocketAddr,
    /// Hands over its shards and receives no new ones.
    pub leaving: bool,
}

/// Primary and standby of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    pub primary: Option<Node>,
    pub standby: Option<Node>,
    pub epoch: Epoch,
    /// Whether all rates are halved, until the former pair responds.
    #[serde(default)]
    pub cautious: bool,
    /// Whether no copy is left: the primary must first recover from the log in the platform.
    #[serde(default)]
    pub lost: bool,
}

/// The whole map.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// Version of the platform's object, zero before the first write.
    pub version: Version,
    pub members: Vec<Member>,
    /// One for each shard.
    pub shards: Vec<Owner>,
}

/// Numbers of shards of which a node is primary and standby.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub primary: usize,
    pub standby: usize,
}

impl Map {
    /// Returns the first map of a region; no shard is lost, as nothing was stored before.
    pub fn initial(members: Vec<Member>) -> Map {
        let map = Map {
            version: Version::default(),
            members,
            shards: vec![Owner::default(); usize::from(SHARDS)],
        };
        map.assign_primaries()
    }

    /// Adds a node or updates its addresses, and assigns the shards without a primary.
    pub fn with_member(&self, member: Member) -> Map {
        let mut map = self.clone();
        map.members.retain(|other| other.node != member.node);
        map.members.push(member);
        map.members.sort_by(|a, b| a.node.cmp(&b.node));
        map.assign_primaries()
    }

    /// Removes a node whose lease was fenced; the standbys of its shards become primaries.
    pub fn without_member(&self, node: &Node) -> Map {
        let mut map = self.clone();
        map.members.retain(|member| member.node != *node);
        for owner in &mut map.shards {
            owner.remove_node(node);
        }
        map.assign_primaries()
    }

    /// Marks a node that is about to stop: it receives no new shards and hands over its own.
    pub fn with_leaving(&self, node: &Node) -> Map {
        let mut map = self.clone();
        for member in map.members.iter_mut().filter(|m| m.node == *node) {
            member.leaving = true;
        }
        map
    }

    /// Swaps primary and standby; the primary must have stopped with all records on the standby.
    pub fn hand_over(&self, shard: Shard, from: &Node) -> Option<Map> {
        let owner = self.owner_with_primary(shard, from)?;
        let next = Owner {
            primary: Some(owner.standby.clone()?),
            standby: Some(from.clone()).filter(|node| !self.is_leaving(node)),
            epoch: Epoch(owner.epoch.0 + 1),
            cautious: owner.cautious,
            lost: owner.lost,
        };
        Some(self.with_owner(shard, next))
    }

    /// Sets a synced standby; none if it isn't allowed as the standby of this shard.
    pub fn with_standby(&self, shard: Shard, primary: &Node, standby: &Node) -> Option<Map> {
        let owner = self.owner_with_primary(shard, primary)?;
        let fits = self.can_be_standby(primary, standby);
        let standby = Some(standby.clone()).filter(|_| fits && !owner.lost)?;
        let next = Owner {
            standby: Some(standby),
            ..owner.clone()
        };
        Some(self.with_owner(shard, next))
    }

    /// Removes a standby that doesn't answer; only then may the primary continue without it.
    pub fn without_standby(&self, shard: Shard, primary: &Node) -> Option<Map> {
        let owner = self.owner_with_primary(shard, primary)?;
        let next = Owner {
            standby: None,
            ..owner.clone()
        };
        Some(self.with_owner(shard, next))
    }

    /// Marks a shard as recovered by its primary from the log in the platform.
    pub fn with_recovered(&self, shard: Shard, primary: &Node) -> Option<Map> {
        let owner = self.owner_with_primary(shard, primary)?;
        let next = Owner {
            lost: false,
            ..owner.clone()
        };
        Some(self.with_owner(shard, next))
    }

    /// Sets or clears the halving of a shard's rates.
    pub fn with_cautious(&self, shard: Shard, primary: &Node, cautious: bool) -> Option<Map> {
        let owner = self.owner_with_primary(shard, primary)?;
        let next = Owner {
            cautious,
            ..owner.clone()
        };
        Some(self.with_owner(shard, next))
    }

    /// Primary and standby of a shard.
    pub fn owner(&self, shard: Shard) -> Option<&Owner> {
        self.shards.get(usize::from(shard.0))
    }

    /// The member of this name.
    pub fn member(&self, node: &Node) -> Option<&Member> {
        self.members.iter().find(|member| member.node == *node)
    }

    /// Shards with this primary.
    pub fn shards_with_primary(&self, node: &Node) -> Vec<Shard> {
        self.filter_shards(|owner| owner.primary.as_ref() == Some(node))
    }

    /// Shards with this standby.
    pub fn shards_with_standby(&self, node: &Node) -> Vec<Shard> {
        self.filter_shards(|owner| owner.standby.as_ref() == Some(node))
    }

    /// Numbers of shards that a node has.
    pub fn shard_counts(&self, node: &Node) -> Counts {
        let count = |role: fn(&Owner) -> &Option<Node>| {
            let owners = self.shards.iter();
            owners.filter(|o| role(o).as_ref() == Some(node)).count()
        };
        Counts {
            primary: count(|owner| &owner.primary),
            standby: count(|owner| &owner.standby),
        }
    }

    /// Members that aren't leaving.
    pub fn active_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| !member.leaving)
    }

    /// Whether a node can be the standby of a primary: it isn't leaving, and is in another data
    /// centre if any other active member is.
    pub fn can_be_standby(&self, primary: &Node, standby: &Node) -> bool {
        let home = self.member(primary).map(|member| &member.data_centre);
        let elsewhere = |member: &Member| Some(&member.data_centre) != home;
        let others = || {
            self.active_members()
                .filter(|member| member.node != *primary)
        };
        match others().find(|member| member.node == *standby) {
            Some(member) => elsewhere(member) || !others().any(elsewhere),
            None => false,
        }
    }

    fn is_leaving(&self, node: &Node) -> bool {
        self.member(node).is_none_or(|member| member.leaving)
    }

    fn filter_shards(&self, test: impl Fn(&Owner) -> bool) -> Vec<Shard> {
        let numbers = (0..).map(Shard).zip(&self.shards);
        let chosen = numbers.filter(|(_, owner)| test(owner));
        chosen.map(|(shard, _)| shard).collect()
    }

    fn owner_with_primary(&self, shard: Shard, primary: &Node) -> Option<&Owner> {
        let owner = self.owner(shard)?;
        Some(owner).filter(|owner| owner.primary.as_ref() == Some(primary))
    }

    fn with_owner(&self, shard: Shard, next: Owner) -> Map {
        let mut map = self.clone();
        map.shards[usize::from(shard.0)] = next;
        map
    }

    /// Assigns each shard without a primary to the active member with the fewest primaries.
    fn assign_primaries(mut self) -> Map {
        let mut loads: Vec<(usize, Node)> = self
            .active_members()
            .map(|member| (self.shard_counts(&member.node).primary, member.node.clone()))
            .collect();
        for owner in self.shards.iter_mut().filter(|o| o.primary.is_none()) {
            let least = loads.iter_mut().min();
            let Some((count, node)) = least else { break };
            owner.primary = Some(node.clone());
            owner.epoch.0 += 1;
            *count += 1;
        }
        self
    }
}

impl Owner {
    /// Removes a dead node; its standby becomes primary.
    fn remove_node(&mut self, node: &Node) {
        let dead = Some(node);
        match () {
            () if self.primary.as_ref() == dead => {
                self.primary = self.standby.take();
                self.epoch.0 += 1;
                self.lost |= self.primary.is_none();
            }
            () if self.standby.as_ref() == dead => self.standby = None,
            () => (),
        }
    }
}

/// Nodes with fewer primaries than an even share, and how many each lacks.
fn underloaded(map: &Map) -> Vec<(usize, Node)> {
    let nodes = map.active_members().count().max(1);
    let even_share = map.shards.len() / nodes;
    map.active_members()
        .map(|member| (map.shard_counts(&member.node).primary, &member.node))
        .filter(|(held, _)| *held < even_share)
        .map(|(held, node)| (even_share - held, node.clone()))
        .collect()
}

/// Shards for which a primary should sync a new standby, each with the candidate.
///
/// These are shards without a standby, shards whose standby is leaving or is in the primary's data
/// centre although another has an active member, and as many shards as the primary should move to
/// nodes with too few primaries.
pub fn standby_plan(map: &Map, primary: &Node) -> Vec<(Shard, Node)> {
    let mut plan = replacements(map, primary);
    let planned: Set<Shard> = plan.iter().map(|(shard, _)| *shard).collect();
    let moves = rebalance(map, primary);
    plan.extend(moves.into_iter().filter(|(s, _)| !planned.contains(s)));
    plan
}

fn replacements(map: &Map, primary: &Node) -> Vec<(Shard, Node)> {
    let mut loads: Vec<(usize, Node)> = map
        .active_members()
        .filter(|member| map.can_be_standby(primary, &member.node))
        .map(|member| (map.shard_counts(&member.node).standby, member.node.clone()))
        .collect();
    let mut plan = Vec::new();
    for shard in map.shards_with_primary(primary) {
        let standby = map.owner(shard).and_then(|owner| owner.standby.as_ref());
        let fits = standby.is_some_and(|node| map.can_be_standby(primary, node));
        let least = loads.iter_mut().min();
        match least {
            Some((count, node)) if !fits => {
                *count += 1;
                plan.push((shard, node.clone()));
            }
            _ => (),
        }
    }
    plan
}

/// Shards to be handed over to an underloaded node, which must first become their standby.
fn rebalance(map: &Map, primary: &Node) -> Vec<(Shard, Node)> {
    let mut excess = surplus(map, primary);
    let shards = map.shards_with_primary(primary);
    let mut plan: Vec<(Shard, Node)> = Vec::new();
    for (lack, node) in underloaded(map) {
        if !map.can_be_standby(primary, &node) {
            continue;
        }
        let share = lack.min(excess);
        let standby = |s: &Shard| map.owner(*s).and_then(|owner| owner.standby.clone());
        let ready = shards.iter().filter(|s| standby(s) == Some(node.clone()));
        let missing = share.saturating_sub(ready.count());
        let planned: Set<Shard> = plan.iter().map(|(shard, _)| *shard).collect();
        let others = shards
            .iter()
            .filter(|s| standby(s) != Some(node.clone()) && !planned.contains(s));
        plan.extend(others.take(missing).map(|s| (*s, node.clone())));
        excess -= share;
    }
    plan
}

/// Number of a node's primaries above an even share.
fn surplus(map: &Map, node: &Node) -> usize {
    let nodes = map.active_members().count().max(1);
    let even_share = map.shards.len().div_ceil(nodes);
    map.shard_counts(node).primary.saturating_sub(even_share)
}

/// Shards that a primary should hand over to their standbys now.
pub fn handover_plan(map: &Map, primary: &Node) -> Vec<Shard> {
    let standby = |s: &Shard| map.owner(*s).and_then(|owner| owner.standby.clone());
    let shards = map.shards_with_primary(primary).into_iter();
    if map.is_leaving(primary) {
        let covered = |s: &Shard| standby(s).is_some_and(|node| !map.is_leaving(&node));
        return shards.filter(covered).collect();
    }
    let mut excess = surplus(map, primary);
    let mut underloaded = underloaded(map);
    let mut moves_to_underloaded = |shard: &Shard| {
        let node = standby(shard);
        let found = underloaded
            .iter_mut()
            .find(|(lack, other)| *lack > 0 && node.as_ref() == Some(other));
        match found {
            Some((lack, _)) if excess > 0 => {
                *lack -= 1;
                excess -= 1;
                true
            }
            _ => false,
        }
    };
    shards.filter(|shard| moves_to_underloaded(shard)).collect()
}
