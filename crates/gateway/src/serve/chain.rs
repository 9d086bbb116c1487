//! In-memory cache of the turns that this process has run or fetched.
//!
//! A program usually returns to the entry that ran its last turn; that entry can then build the
//! next turn's input without calling a history host.

use std::collections::VecDeque;

use bytes::Bytes;
use coord::id::Customer;
use coord::id::Request;
use history::record::Turn;

use crate::Map;

/// Cache of turns that evicts in order of insertion.
#[derive(Debug)]
pub struct Cache {
    turns: Map<Request, Turn>,
    order: VecDeque<Request>,
    bytes: usize,
    limit: usize,
}

/// Result of looking up a chain of turns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// Contents of all turns, oldest first.
    Complete(Vec<Bytes>),
    /// Newest turn that isn't cached, and the contents of the turns after it, oldest first.
    Partial(Request, Vec<Bytes>),
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

    /// Inserts a turn and evicts the oldest ones until the contents fit the limit.
    pub fn insert(&mut self, turn: Turn) {
        self.bytes += turn.content.len();
        self.order.push_back(turn.id.clone());
        if let Some(replaced) = self.turns.insert(turn.id.clone(), turn) {
            self.bytes -= replaced.content.len();
        }
        while self.bytes > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(evicted) = self.turns.remove(&oldest) {
                self.bytes -= evicted.content.len();
            }
        }
    }

    /// Looks up the chain that ends with the turn `last`.
    pub fn find(&self, last: &Request, customer: &Customer) -> Lookup {
        let mut contents = Vec::new();
        let mut next = Some(last);
        while let Some(id) = next {
            match self.turns.get(id) {
                Some(turn) if turn.customer != *customer => return Lookup::OtherCustomer,
                Some(turn) => {
                    contents.push(turn.content.clone());
                    next = turn.previous.as_ref();
                }
                None => {
                    contents.reverse();
                    return Lookup::Partial(id.clone(), contents);
                }
            }
        }
        contents.reverse();
        Lookup::Complete(contents)
    }
}
