//! In-memory cache of the turns that this process has run or fetched.
//!
//! A program usually returns to the entry that ran its last turn; that entry can then build the
//! next turn's input without calling a history host.

use std::collections::VecDeque;

use coord::id::Customer;
use coord::id::Request;
use history::record::Turn;
use history::retention::Predecessor;
use history::time::Timestamp;

use crate::Map;

/// Cache of turns that evicts in order of insertion.
#[derive(Debug)]
pub struct Cache {
    turns: Map<Request, Predecessor>,
    order: VecDeque<Request>,
    bytes: usize,
    limit: usize,
}

/// Result of looking up a chain of turns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// All turns, oldest first.
    Complete(Vec<Predecessor>),
    /// Newest turn that isn't cached, and the turns after it, oldest first.
    Partial(Request, Vec<Predecessor>),
    /// A turn of the chain belongs to another customer.
    OtherCustomer,
}

impl Cache {
    /// Creates a cache that holds up to `limit` bytes of content.
    pub fn new(limit: usize) -> Cache {
        Cache {
            turns: Map::default(),
            order: VecDeque::new(),
            bytes: 0,
            limit,
        }
    }

    /// Inserts a turn and evicts the oldest ones until the contents fit the limit. Its expiry is one
    /// with which it was stored on a write quorum.
    pub fn insert(&mut self, turn: Turn) {
        self.bytes += turn.content.len();
        self.order.push_back(turn.id.clone());
        let known = self.turns.get(&turn.id);
        let retained = known.map_or(turn.expires, |known| known.retained.max(turn.expires));
        let predecessor = Predecessor { turn, retained };
        let id = predecessor.turn.id.clone();
        if let Some(replaced) = self.turns.insert(id, predecessor) {
            self.bytes -= replaced.turn.content.len();
        }
        while self.bytes > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(evicted) = self.turns.remove(&oldest) {
                self.bytes -= evicted.turn.content.len();
            }
        }
    }

    /// Records that a write quorum retains these turns until `until`, as far as they are cached.
    pub fn record_retained(&mut self, turns: &[Request], until: Timestamp) {
        for id in turns {
            if let Some(known) = self.turns.get_mut(id) {
                known.retained = known.retained.max(until);
            }
        }
    }

    /// Looks up the chain that ends with the turn `last`.
    pub fn find(&self, last: &Request, customer: &Customer) -> Lookup {
        let mut chain = Vec::new();
        let mut next = Some(last);
        while let Some(id) = next {
            match self.turns.get(id) {
                Some(known) if known.turn.customer != *customer => return Lookup::OtherCustomer,
                Some(known) => {
                    chain.push(known.clone());
                    next = known.turn.previous.as_ref();
                }
                None => {
                    chain.reverse();
                    return Lookup::Partial(id.clone(), chain);
                }
            }
        }
        chain.reverse();
        Lookup::Complete(chain)
    }
}
