//! Credit-based flow control between entries and one target.
//!
//! The target's sidecar admits `slots` running calls and `spare` waiting ones. It grants credits
//! round-robin to the entries that request them; a credit returns to the pool when its call ends.
//! A call without a credit waits at the entry that owns it, which can still send it to another
//! target. Unused credits expire.

use std::collections::VecDeque;

use coord::id::Node;
use coord::time::Millis;
use coord::time::Time;

use crate::Map;

/// Credits granted to one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Entry that receives the credits.
    pub node: Node,
    /// Number of calls that it may send.
    pub credits: u32,
}

#[derive(Debug, Clone, Default)]
struct Holder {
    /// Waiting calls without a credit.
    demand: u32,
    /// Times at which the unused credits were granted, oldest first.
    granted: VecDeque<Time>,
}

/// Credits of one target.
#[derive(Debug, Clone)]
pub struct Pool {
    limit: u32,
    lifetime: Millis,
    /// Credits used by calls that haven't ended.
    in_use: u32,
    holders: Map<Node, Holder>,
    /// Entries in the order of the next grants.
    rotation: VecDeque<Node>,
}

impl Pool {
    /// Creates the pool of a target; unused credits expire after `lifetime`.
    pub fn new(slots: u32, spare: u32, lifetime: Millis) -> Pool {
        Pool {
            limit: slots.saturating_add(spare),
            lifetime,
            in_use: 0,
            holders: Map::default(),
            rotation: VecDeque::new(),
        }
    }

    /// Returns the number of credits that are neither granted nor in use.
    pub fn free(&self) -> u32 {
        let granted: usize = self
            .holders
            .values()
            .map(|holder| holder.granted.len())
            .sum();
        self.limit
            .saturating_sub(self.in_use)
            .saturating_sub(granted as u32)
    }

    /// Sets the number of calls that wait at an entry.
    pub fn set_demand(&mut self, node: &Node, calls: u32) {
        if !self.holders.contains_key(node) {
            self.rotation.push_back(node.clone());
        }
        self.holders.entry(node.clone()).or_default().demand = calls;
    }

    /// Grants the free credits round-robin, one at a time.
    pub fn grant(&mut self, now: Time) -> Vec<Grant> {
        self.expire(now);
        let mut grants: Vec<Grant> = Vec::new();
        let mut skipped = 0;
        let mut free = self.free();
        while free > 0 && skipped < self.rotation.len() {
            let Some(node) = self.rotation.pop_front() else {
                break;
            };
            let granted = self.grant_one(&node, now);
            match (granted, grants.iter_mut().find(|grant| grant.node == node)) {
                (false, _) => skipped += 1,
                (true, Some(grant)) => grant.credits += 1,
                (true, None) => grants.push(Grant {
                    node: node.clone(),
                    credits: 1,
                }),
            }
            if granted {
                skipped = 0;
                free -= 1;
            }
            self.rotation.push_back(node);
        }
        grants
    }

    /// Uses a credit of the entry for an arriving call; returns false if the entry has none.
    pub fn consume(&mut self, node: &Node) -> bool {
        let credit = self
            .holders
            .get_mut(node)
            .and_then(|holder| holder.granted.pop_front());
        self.in_use += u32::from(credit.is_some());
        credit.is_some()
    }

    /// Returns the credit of an ended call to the pool.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Removes an entry; the credits of its running calls stay in use until the calls end.
    pub fn remove(&mut self, node: &Node) {
        self.holders.remove(node);
        self.rotation.retain(|queued| queued != node);
    }

    fn grant_one(&mut self, node: &Node, now: Time) -> bool {
        match self.holders.get_mut(node) {
            Some(holder) if holder.demand > 0 => {
                holder.demand -= 1;
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
