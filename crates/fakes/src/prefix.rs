//! The engine's prefix cache: the newest history of each program, in limited memory.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::Map;

/// Events kept for readers.
const EVENT_LIMIT: usize = 4096;

/// One message of a history in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    pub hash: u64,
    pub tokens: u64,
}

/// A change of the cache, as published.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    pub seq: u64,
    pub kind: &'static str,
    pub program: String,
    pub tokens: u64,
}

/// One program's cached history.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    pub program: String,
    pub blocks: Vec<Block>,
    pub used: u64,
}

impl Entry {
    /// Tokens held.
    pub fn tokens(&self) -> u64 {
        self.blocks.iter().map(|block| block.tokens).sum()
    }
}

/// All cached histories.
#[derive(Debug, Default)]
pub struct Cache {
    size: u64,
    delay: Duration,
    clock: u64,
    seq: u64,
    entries: Map<String, Entry>,
    events: VecDeque<(Instant, Event)>,
}

impl Cache {
    /// An empty cache of so many tokens, whose events are published after a delay.
    pub fn new(size: u64, delay: Duration) -> Cache {
        Cache {
            size,
            delay,
            ..Cache::default()
        }
    }

    /// Tokens at the head of a history that are cached for a program.
    pub fn hit(&mut self, program: &str, blocks: &[Block]) -> u64 {
        self.clock += 1;
        let Some(entry) = self.entries.get_mut(program) else {
            return 0;
        };
        entry.used = self.clock;
        let pairs = entry.blocks.iter().zip(blocks);
        let same = pairs.take_while(|(held, wanted)| held == wanted);
        same.map(|(held, _)| held.tokens).sum()
    }

    /// Stores a program's history, evicting the least recently used ones.
    pub fn store(&mut self, program: &str, blocks: Vec<Block>) {
        self.clock += 1;
        let entry = Entry {
            program: program.to_owned(),
            blocks,
            used: self.clock,
        };
        if entry.tokens() > self.size {
            return;
        }
        self.publish("stored", program, entry.tokens());
        self.entries.insert(program.to_owned(), entry);
        while self.used() > self.size {
            self.evict();
        }
    }

    /// Drops a program's history.
    pub fn delete(&mut self, program: &str) -> bool {
        match self.entries.remove(program) {
            Some(entry) => {
                self.publish("deleted", program, entry.tokens());
                true
            }
            None => false,
        }
    }

    /// Tokens held by all programs.
    pub fn used(&self) -> u64 {
        self.entries.values().map(Entry::tokens).sum()
    }

    /// Tokens that fit.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// One program's cached history.
    pub fn entry(&self, program: &str) -> Option<&Entry> {
        self.entries.get(program)
    }

    /// Names and tokens of all programs in the cache.
    pub fn listing(&self) -> Vec<(String, u64)> {
        let entries = self.entries.values();
        let mut listing: Vec<_> = entries
            .map(|entry| (entry.program.clone(), entry.tokens()))
            .collect();
        listing.sort();
        listing
    }

    /// Published events after a sequence number.
    pub fn events(&self, since: u64) -> Vec<Event> {
        let published = self
            .events
            .iter()
            .filter(|(at, _)| at.elapsed() >= self.delay);
        published
            .map(|(_, event)| event.clone())
            .filter(|event| event.seq > since)
            .collect()
    }

    /// Loses all events, so that readers see a gap.
    pub fn lose_events(&mut self) {
        self.events.clear();
    }

    fn evict(&mut self) {
        let oldest = self.entries.values().min_by_key(|entry| entry.used);
        let Some(program) = oldest.map(|entry| entry.program.clone()) else {
            return;
        };
        let entry = self.entries.remove(&program);
        let tokens = entry.map_or(0, |entry| entry.tokens());
        self.publish("evicted", &program, tokens);
    }

    fn publish(&mut self, kind: &'static str, program: &str, tokens: u64) {
        self.seq += 1;
        let event = Event {
            seq: self.seq,
            kind,
            program: program.to_owned(),
            tokens,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
