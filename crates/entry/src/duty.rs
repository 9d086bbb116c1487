//! Which entries tell a target's sidecar what is wanted of it: a few for each target, by
//! rendezvous hash over the members, so that a change of members moves few targets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Map;
use coord::id;
use coord::id::Node;
use coord::id::Ticket;
use coord::shard;

use crate::roster::Listed;
use crate::roster::Roster;

/// Entries responsible for one target.
pub const RESPONSIBLE: usize = 2;
/// A responsible entry asks its targets this often.
pub const INTERVAL: Duration = Duration::from_secs(20);
/// Pause before a target is told again what it has not confirmed.
const RETRY: Duration = Duration::from_secs(2);

/// The targets that this node is responsible for.
#[derive(Debug, Default)]
pub struct Duty {
    roster: Arc<Roster>,
    members: Vec<Node>,
    me: Option<Node>,
    own: Vec<Arc<Listed>>,
    known: Map<id::Target, Known>,
}

/// What was said to a target so far.
#[derive(Debug, Default)]
struct Known {
    asked: Option<Instant>,
    /// The ticket that it was asked with.
    tried: Option<Ticket>,
    /// The ticket that it confirmed.
    told: Option<Ticket>,
}

impl Duty {
    /// Works them out anew if the targets or the members have changed.
    pub fn update(&mut self, roster: &Arc<Roster>, map: &shard::Map, me: &Node) {
        let staying = || map.members.iter().filter(|member| !member.leaving);
        let nodes = || staying().map(|member| &member.node);
        let same = Arc::ptr_eq(&self.roster, roster)
            && self.me.as_ref() == Some(me)
            && nodes().eq(&self.members);
        if same {
            return;
        }
        self.roster = Arc::clone(roster);
        self.members = nodes().cloned().collect();
        self.me = Some(me.clone());
        self.own = responsible(roster, &self.members, me);
        let mut before = std::mem::take(&mut self.known);
        let known = self.own.iter().map(|listed| {
            let id = &listed.target.id;
            (id.clone(), before.remove(id).unwrap_or_default())
        });
        self.known = known.collect();
    }

    /// The targets.
    pub fn own(&self) -> &[Arc<Listed>] {
        &self.own
    }

    /// Notes that a target is asked.
    pub fn asked(&mut self, listed: &Listed, now: Instant) {
        if let Some(known) = self.known.get_mut(&listed.target.id) {
            known.asked = Some(now);
            known.tried = Some(listed.ticket);
        }
    }

    /// Notes that a target has confirmed a ticket.
    pub fn told(&mut self, listed: &Listed) {
        if let Some(known) = self.known.get_mut(&listed.target.id) {
            known.told = known.told.max(Some(listed.ticket));
        }
    }

    /// Targets that don't know their newest ticket and were never asked with it.
    pub fn news(&self) -> Vec<Arc<Listed>> {
        self.longest_unasked(|known, listed| known.tried < Some(listed.ticket))
    }

    /// Targets to be asked as a matter of routine.
    pub fn routine(&self, now: Instant) -> Vec<Arc<Listed>> {
        self.longest_unasked(|known, listed| {
            let pause = match known.told >= Some(listed.ticket) {
                true => INTERVAL,
                false => RETRY,
            };
            let recent = |at: Instant| now.saturating_duration_since(at) < pause;
            !known.asked.is_some_and(recent)
        })
    }

    fn longest_unasked(&self, test: impl Fn(&Known, &Listed) -> bool) -> Vec<Arc<Listed>> {
        let known = self.own.iter().filter_map(|listed| {
            let known = self.known.get(&listed.target.id)?;
            test(known, listed).then_some((known.asked, listed))
        });
        let mut due: Vec<(Option<Instant>, &Arc<Listed>)> = known.collect();
        due.sort_by_key(|(asked, _)| *asked);
        due.into_iter()
            .map(|(_, listed)| Arc::clone(listed))
            .collect()
    }
}

/// Targets for which this node is among the responsible members.
fn responsible(roster: &Roster, members: &[Node], me: &Node) -> Vec<Arc<Listed>> {
    let hash = |node: &Node| id::fingerprint(&[node.as_str().as_bytes()]);
    let others: Vec<u64> = members
        .iter()
        .filter(|node| *node != me)
        .map(hash)
        .collect();
    if !members.contains(me) {
        return Vec::new();
    }
    let mine = hash(me);
    let is_own = |listed: &&Arc<Listed>| {
        let weight = weight(mine, listed.hash);
        let heavier = others
            .iter()
            .filter(|other| self::weight(**other, listed.hash) > weight);
        heavier.take(RESPONSIBLE).count() < RESPONSIBLE
    };
    let mut own: Vec<Arc<Listed>> = roster.targets().filter(is_own).cloned().collect();
    own.sort_by(|a, b| a.target.id.cmp(&b.target.id));
    own
}

/// Weight of a member for a target: both hashes, mixed.
fn weight(member: u64, target: u64) -> u64 {
    let mixed = member ^ target.rotate_left(32);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
