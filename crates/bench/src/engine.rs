//! Model of a target: slots, prefill one call at a time, decode at a constant rate, and a prefix
//! cache that drops what was used least recently. Time is in microseconds.

use std::collections::BTreeMap;

use sched::Map;

/// Calls that a model server decodes together.
pub const SLOTS: u32 = 16;

/// Prefill of a model server, in tokens a second.
pub const PREFILL_RATE: u64 = 8_000;

/// Decode of each call, in tokens a second.
pub const DECODE_RATE: u64 = 50;

/// Prefix cache of a model server, in tokens.
pub const CACHE_SIZE: u64 = 250_000;

/// Calls that a plain service runs together.
pub const SERVICE_SLOTS: u32 = 8;

/// What a cache entry belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Prefix {
    /// A program's history.
    Program(usize),
    /// The instructions that a customer's programs share.
    Prompt(usize),
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u64,
    used: u64,
    pins: u32,
}

/// A prefix cache.
#[derive(Debug, Default)]
pub struct Cache {
    size: u64,
    held: u64,
    clock: u64,
    entries: Map<Prefix, Entry>,
    order: BTreeMap<u64, Prefix>,
    evicted: Vec<Prefix>,
}

impl Cache {
    /// A cache of this many tokens.
    pub fn new(size: u64) -> Cache {
        Cache {
            size,
            ..Cache::default()
        }
    }

    /// Tokens held for a prefix.
    pub fn get(&self, prefix: Prefix) -> u64 {
        self.entries.get(&prefix).map_or(0, |entry| entry.tokens)
    }

    /// Keeps a prefix from being dropped while a call uses it.
    pub fn pin(&mut self, prefix: Prefix) {
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.pins += 1;
        }
    }

    /// Stores a prefix at its new length, unpins it and drops others to make room.
    pub fn put(&mut self, prefix: Prefix, tokens: u64) {
        self.clock += 1;
        let before = self.entries.get(&prefix).copied();
        let before = before.unwrap_or(Entry {
            tokens: 0,
            used: 0,
            pins: 0,
        });
        let tokens = tokens.max(before.tokens);
        let pins = before.pins.saturating_sub(1);
        self.order.remove(&before.used);
        self.order.insert(self.clock, prefix);
        self.entries.insert(
            prefix,
            Entry {
                tokens,
                used: self.clock,
                pins,
            },
        );
        self.held += tokens - before.tokens;
        self.evict();
    }

    /// Drops a prefix.
    pub fn release(&mut self, prefix: Prefix) {
        if let Some(entry) = self.entries.remove(&prefix) {
            self.order.remove(&entry.used);
            self.held -= entry.tokens;
        }
    }

    /// Tokens held for prefixes of a kind.
    pub fn tokens_where(&self, kind: impl Fn(&Prefix) -> bool) -> u64 {
        let of = self.entries.iter().filter(|(prefix, _)| kind(prefix));
        of.map(|(_, entry)| entry.tokens).sum()
    }

    /// Prefixes dropped for room since the last time.
    pub fn take_evicted(&mut self) -> Vec<Prefix> {
        std::mem::take(&mut self.evicted)
    }

    fn evict(&mut self) {
        while self.held > self.size {
            let unpinned = |prefix: &&Prefix| self.entries[*prefix].pins == 0;
            let Some(prefix) = self.order.values().find(unpinned).copied() else {
                return;
            };
            self.release(prefix);
            self.evicted.push(prefix);
        }
    }
}

/// When a call that a target started yields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Course {
    /// First token.
    pub first: u64,
    /// Last token.
    pub last: u64,
}

/// A model server's compute.
#[derive(Debug, Default)]
pub struct Compute {
    prefill_until: u64,
}

impl Compute {
    /// Time that a call started now waits for others' prefill.
    pub fn prefill_backlog(&self, now: u64) -> u64 {
        self.prefill_until.saturating_sub(now)
    }

    /// Starts a call.
    pub fn start(&mut self, now: u64, uncached: u64, output: u64) -> Course {
        let first = self.prefill_until.max(now) + uncached * 1_000_000 / PREFILL_RATE;
        self.prefill_until = first;
        Course {
            first,
            last: first + output * 1_000_000 / DECODE_RATE,
        }
    }
}
