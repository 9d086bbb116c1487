//! The shard map: which node is primary and which standby for each shard.
//!
//! Every change is a function from a map to the next, written by conditional update. Epochs never
//! go down, and a shard's epoch rises whenever its primary changes. Plans move as few shards as
//! possible. A standby stands in the map only once it holds a whole copy, and in another data
//! centre than the primary whenever there is one to choose.

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
    /// Where it listens for other entries.
    pub peers: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Hands over its shards and takes no more.
    pub leaving: bool,
}

/// Who owns one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    pub primary: Option<Node>,
    pub standby: Option<Node>,
    pub epoch: Epoch,
    /// Half of each rate only, until the former pair is heard from.
    #[serde(default)]
    pub cautious: bool,
    /// No copy was handed on: the primary recovers from the log in the platform first.
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

/// Counts of the shards that a node holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub primary: usize,
    pub standby: usize,
}

impl Map {
    /// The first map of a region: nothing has ever been stored, so nothing is lost.
    pub fn initial(members: Vec<Member>) -> Map {
        let map = Map {
            version: Version::default(),
            members,
            shards: vec![Owner::default(); usize::from(SHARDS)],
        };
        map.fill()
    }

    /// A node joins, or changes its addresses; shards without a primary go to it at once.
    pub fn with_member(&self, member: Member) -> Map {
        let mut map = self.clone();
        map.members.retain(|other| other.node != member.node);
        map.members.push(member);
        map.members.sort_by(|a, b| a.node.cmp(&b.node));
        map.fill()
    }

    /// A node's lease was fenced: its standbys become primaries.
    pub fn without_member(&self, node: &Node) -> Map {
        let mut map = self.clone();
        map.members.retain(|member| member.node != *node);
        for owner in &mut map.shards {
            owner.without(node);
        }
        map.fill()
    }

    /// A node is going to stop: it takes no more shards and hands over those it has.
    pub fn with_leaving(&self, node: &Node) -> Map {
        let mut map = self.clone();
        for member in map.members.iter_mut().filter(|m| m.node == *node) {
            member.leaving = true;
        }
        map
    }

    /// A shard's primary, stopped and synced, hands over to its standby; they change places.
    pub fn hand_over(&self, shard: Shard, from: &Node) -> Option<Map> {
        let owner = self.owned_by(shard, from)?;
        let next = Owner {
            primary: Some(owner.standby.clone()?),
            standby: Some(from.clone()).filter(|node| !self.is_leaving(node)),
            epoch: Epoch(owner.epoch.0 + 1),
            cautious: owner.cautious,
            lost: owner.lost,
        };
        Some(self.with_owner(shard, next))
    }

    /// A synced standby enters the map.
    pub fn with_standby(&self, shard: Shard, primary: &Node, standby: &Node) -> Option<Map> {
        let owner = self.owned_by(shard, primary)?;
        let fits = self.can_be_standby(primary, standby);
        let standby = Some(standby.clone()).filter(|_| fits && !owner.lost)?;
        let next = Owner {
            standby: Some(standby),
            ..owner.clone()
        };
        Some(self.with_owner(shard, next))
    }

    /// A standby that doesn't answer leaves the map; only then may the primary go on without it.
    pub fn without_standby(&self, shard: Shard, primary: &Node) -> Option<Map> {
        let owner = self.owned_by(shard, primary)?;
        let next = Owner {
            standby: None,
            ..owner.clone()
        };
        Some(self.with_owner(shard, next))
    }

    /// The primary has recovered from the log in the platform.
    pub fn with_recovered(&self, shard: Shard, primary: &Node) -> Option<Map> {
        let owner = self.owned_by(shard, primary)?;
        let next = Owner {
            lost: false,
            ..owner.clone()
        };
        Some(self.with_owner(shard, next))
    }

    /// Sets or clears the halving of a shard's rates.
    pub fn with_cautious(&self, shard: Shard, primary: &Node, cautious: bool) -> Option<Map> {
        let owner = self.owned_by(shard, primary)?;
        let next = Owner {
            cautious,
            ..owner.clone()
        };
        Some(self.with_owner(shard, next))
    }

    /// Who owns a shard.
    pub fn owner(&self, shard: Shard) -> Option<&Owner> {
        self.shards.get(usize::from(shard.0))
    }

    /// The member of this name.
    pub fn member(&self, node: &Node) -> Option<&Member> {
        self.members.iter().find(|member| member.node == *node)
    }

    /// Shards with this primary.
    pub fn shards_with_primary(&self, node: &Node) -> Vec<Shard> {
        self.shards_where(|owner| owner.primary.as_ref() == Some(node))
    }

    /// Shards with this standby.
    pub fn shards_with_standby(&self, node: &Node) -> Vec<Shard> {
        self.shards_where(|owner| owner.standby.as_ref() == Some(node))
    }

    /// What a node holds.
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

    /// Nodes that take shards.
    pub fn active_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| !member.leaving)
    }

    /// Whether a node may stand by for a primary: it stays, and in another data centre if any does.
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

    fn shards_where(&self, test: impl Fn(&Owner) -> bool) -> Vec<Shard> {
        let numbers = (0..).map(Shard).zip(&self.shards);
        let chosen = numbers.filter(|(_, owner)| test(owner));
        chosen.map(|(shard, _)| shard).collect()
    }

    fn owned_by(&self, shard: Shard, primary: &Node) -> Option<&Owner> {
        let owner = self.owner(shard)?;
        Some(owner).filter(|owner| owner.primary.as_ref() == Some(primary))
    }

    fn with_owner(&self, shard: Shard, next: Owner) -> Map {
        let mut map = self.clone();
        map.shards[usize::from(shard.0)] = next;
        map
    }

    /// Gives each shard without a primary to the staying node with the fewest.
    fn fill(mut self) -> Map {
        let mut holdings: Vec<(usize, Node)> = self
            .active_members()
            .map(|member| (self.shard_counts(&member.node).primary, member.node.clone()))
            .collect();
        for owner in self.shards.iter_mut().filter(|o| o.primary.is_none()) {
            let least = holdings.iter_mut().min();
            let Some((count, node)) = least else { break };
            owner.primary = Some(node.clone());
            owner.epoch.0 += 1;
            *count += 1;
        }
        self
    }
}

impl Owner {
    /// Takes a dead node out.
    fn without(&mut self, node: &Node) {
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

/// Nodes under their fair number of primaries, with how many they lack.
fn lacking(map: &Map) -> Vec<(usize, Node)> {
    let nodes = map.active_members().count().max(1);
    let fair = map.shards.len() / nodes;
    map.active_members()
        .map(|member| (map.shard_counts(&member.node).primary, &member.node))
        .filter(|(held, _)| *held < fair)
        .map(|(held, node)| (fair - held, node.clone()))
        .collect()
}

/// Shards that a primary should bring a new standby up to date for, each with the candidate.
///
/// These are shards without a standby, with one in the primary's own data centre though another
/// has room, with one that is leaving, and as many as the primary should move to nodes that hold
/// too few.
pub fn standby_plan(map: &Map, primary: &Node) -> Vec<(Shard, Node)> {
    let mut plan = replacements(map, primary);
    let planned: Set<Shard> = plan.iter().map(|(shard, _)| *shard).collect();
    let moves = rebalance(map, primary);
    plan.extend(moves.into_iter().filter(|(s, _)| !planned.contains(s)));
    plan
}

fn replacements(map: &Map, primary: &Node) -> Vec<(Shard, Node)> {
    let mut holdings: Vec<(usize, Node)> = map
        .active_members()
        .filter(|member| map.can_be_standby(primary, &member.node))
        .map(|member| (map.shard_counts(&member.node).standby, member.node.clone()))
        .collect();
    let mut plan = Vec::new();
    for shard in map.shards_with_primary(primary) {
        let standby = map.owner(shard).and_then(|owner| owner.standby.as_ref());
        let fits = standby.is_some_and(|node| map.can_be_standby(primary, node));
        let least = holdings.iter_mut().min();
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

/// Shards whose standby should become a node that lacks primaries, to be handed over to it then.
fn rebalance(map: &Map, primary: &Node) -> Vec<(Shard, Node)> {
    let mut spare = surplus(map, primary);
    let shards = map.shards_with_primary(primary);
    let mut plan: Vec<(Shard, Node)> = Vec::new();
    for (lack, node) in lacking(map) {
        if !map.can_be_standby(primary, &node) {
            continue;
        }
        let share = lack.min(spare);
        let standby = |s: &Shard| map.owner(*s).and_then(|owner| owner.standby.clone());
        let ready = shards.iter().filter(|s| standby(s) == Some(node.clone()));
        let wanted = share.saturating_sub(ready.count());
        let taken: Set<Shard> = plan.iter().map(|(shard, _)| *shard).collect();
        let others = shards
            .iter()
            .filter(|s| standby(s) != Some(node.clone()) && !taken.contains(s));
        plan.extend(others.take(wanted).map(|s| (*s, node.clone())));
        spare -= share;
    }
    plan
}

/// Primaries above the node's fair number.
fn surplus(map: &Map, node: &Node) -> usize {
    let nodes = map.active_members().count().max(1);
    let fair = map.shards.len().div_ceil(nodes);
    map.shard_counts(node).primary.saturating_sub(fair)
}

/// Shards that a primary should hand over to their standby now.
pub fn handover_plan(map: &Map, primary: &Node) -> Vec<Shard> {
    let standby = |s: &Shard| map.owner(*s).and_then(|owner| owner.standby.clone());
    let shards = map.shards_with_primary(primary).into_iter();
    if map.is_leaving(primary) {
        let covered = |s: &Shard| standby(s).is_some_and(|node| !map.is_leaving(&node));
        return shards.filter(covered).collect();
    }
    let mut spare = surplus(map, primary);
    let mut lacking = lacking(map);
    let mut moves_to_lacking = |shard: &Shard| {
        let node = standby(shard);
        let found = lacking
            .iter_mut()
            .find(|(lack, other)| *lack > 0 && node.as_ref() == Some(other));
        match found {
            Some((lack, _)) if spare > 0 => {
                *lack -= 1;
                spare -= 1;
                true
            }
            _ => false,
        }
    };
    shards.filter(|shard| moves_to_lacking(shard)).collect()
}
