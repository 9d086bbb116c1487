//! Turns that programs continue from, as this process has seen them.
//!
//! A program mostly comes back to the entry that ran its last turn, which then needs no history
//! host to build the next turn's input.

use std::collections::VecDeque;

use bytes::Bytes;
use coord::id::Customer;
use coord::id::Request;
use history::record::Turn;

use crate::Map;

/// Turns in memory.
#[derive(Debug)]
pub struct Cache {
    turns: Map<Request, Turn>,
    order: VecDeque<Request>,
    bytes: usize,
    limit: usize,
}

/// What is known of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    /// All of it; content from the oldest turn on.
    Whole(Vec<Bytes>),
    /// Content from the oldest known turn on; this turn and those before it are missing.
    From(Request, Vec<Bytes>),
    /// A turn is another customer's.
    Foreign,
}

impl Cache {
    /// A cache of this many bytes of content.
    pub fn new(limit: usize) -> Cache {
        Cache {
            turns: Map::default(),
            order: VecDeque::new(),
            bytes: 0,
            limit,
        }
    }

    /// Keeps a turn, in place of the oldest ones if need be.
    pub fn insert(&mut self, turn: Turn) {
        self.bytes += turn.content.len();
        self.order.push_back(turn.id.clone());
        if let Some(old) = self.turns.insert(turn.id.clone(), turn) {
            self.bytes -= old.content.len();
        }
        while self.bytes > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(old) = self.turns.remove(&oldest) {
                self.bytes -= old.content.len();
            }
        }
    }

    /// Looks up a chain that ends with this turn.
    pub fn find(&self, last: &Request, customer: &Customer) -> Found {
        let mut contents = Vec::new();
        let mut next = Some(last);
        while let Some(id) = next {
            match self.turns.get(id) {
                Some(turn) if turn.customer != *customer => return Found::Foreign,
                Some(turn) => {
                    contents.push(turn.content.clone());
                    next = turn.previous.as_ref();
                }
                None => {
                    contents.reverse();
                    return Found::From(id.clone(), contents);
                }
            }
        }
        contents.reverse();
        Found::Whole(contents)
    }
}
