//! Credits: how many calls senders may have on their way to one target.
//!
//! The target's sidecar admits `slots` running calls and `spare` waiting ones. It grants credits to
//! the entries that ask, each in turn, and takes one back with every call that ends. A call without
//! a credit waits at its owner, which can still send it elsewhere. A grant that isn't used expires.

use std::collections::VecDeque;

use coord::id::Node;
use coord::time::Millis;
use coord::time::Time;

use crate::Map;

/// Credits given to one entry at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Entry that may send.
    pub node: Node,
    /// Number of calls.
    pub credits: u32,
}

#[derive(Debug, Clone, Default)]
struct Holder {
    wanted: u32,
    granted: VecDeque<Time>,
}

/// Credits of one target.
#[derive(Debug, Clone)]
pub struct Pool {
    limit: u32,
    lifetime: Millis,
    held: u32,
    holders: Map<Node, Holder>,
    turn: VecDeque<Node>,
}

impl Pool {
    /// A pool for a target with this many slots; unused credits expire after `lifetime`.
    pub fn new(slots: u32, spare: u32, lifetime: Millis) -> Pool {
        Pool {
            limit: slots.saturating_add(spare),
            lifetime,
            held: 0,
            holders: Map::default(),
            turn: VecDeque::new(),
        }
    }

    /// Credits that nobody holds and no call uses.
    pub fn free(&self) -> u32 {
        let granted: usize = self.holders.values().map(|one| one.granted.len()).sum();
        self.limit
            .saturating_sub(self.held)
            .saturating_sub(granted as u32)
    }

    /// Notes how many calls wait at an entry.
    pub fn set_demand(&mut self, node: &Node, calls: u32) {
        if !self.holders.contains_key(node) {
            self.turn.push_back(node.clone());
        }
        self.holders.entry(node.clone()).or_default().wanted = calls;
    }

    /// Grants free credits, one to each entry in turn.
    pub fn grant(&mut self, now: Time) -> Vec<Grant> {
        self.expire(now);
        let mut grants: Vec<Grant> = Vec::new();
        let mut passed = 0;
        let mut free = self.free();
        while free > 0 && passed < self.turn.len() {
            let Some(node) = self.turn.pop_front() else {
                break;
            };
            let granted = self.give(&node, now);
            match (granted, grants.iter_mut().find(|grant| grant.node == node)) {
                (false, _) => passed += 1,
                (true, Some(grant)) => grant.credits += 1,
                (true, None) => grants.push(Grant {
                    node: node.clone(),
                    credits: 1,
                }),
            }
            if granted {
                passed = 0;
                free -= 1;
            }
            self.turn.push_back(node);
        }
        grants
    }

    /// Uses a credit for a call that came; false if the entry holds none.
    pub fn consume(&mut self, node: &Node) -> bool {
        let credit = self
            .holders
            .get_mut(node)
            .and_then(|one| one.granted.pop_front());
        self.held += u32::from(credit.is_some());
        credit.is_some()
    }

    /// Takes a credit back from a call that ended.
    pub fn release(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Forgets an entry; its calls that run keep their credits until they end.
    pub fn remove(&mut self, node: &Node) {
        self.holders.remove(node);
        self.turn.retain(|one| one != node);
    }

    fn give(&mut self, node: &Node, now: Time) -> bool {
        match self.holders.get_mut(node) {
            Some(holder) if holder.wanted > 0 => {
                holder.wanted -= 1;
                holder.granted.push_back(now);
                true
            }
            _ => false,
        }
    }

    fn expire(&mut self, now: Time) {
        let lifetime = self.lifetime;
        for holder in self.holders.values_mut() {
            holder
                .granted
                .retain(|granted| now.since(*granted) < lifetime);
        }
    }
}
