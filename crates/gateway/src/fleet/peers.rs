//! What an entry knows of the others from their reports.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use coord::id::Customer;
use coord::quota;
use coord::quota::Fleet;
use coord::quota::Total;
use coord::time::Millis;
use coord::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Map;

/// Pause between reports among few entries.
const INTERVAL: Duration = Duration::from_millis(100);

/// Entries up to which [`INTERVAL`] holds; it grows with their number beyond.
const INTERVAL_ENTRIES: usize = 8;

/// Missed reports after which an entry counts as silent, among many entries.
const MISSED_REPORTS: u32 = 3;

/// How long an entry counts without having been heard.
const FORGET: Millis = Millis(40_000);

/// How long an entry that is about to stop isn't counted though others name it.
const LEAVE: Millis = Millis(15_000);

/// One entry's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub host: CompactString,
    /// Drawn at each start.
    pub incarnation: u64,
    /// Number of the configuration in force.
    pub version: u64,
    /// Whether the object store answers the sender.
    pub store_reachable: bool,
    /// Whether enough history hosts answer the sender.
    pub history_reachable: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    pub totals: Vec<(Customer, Total)>,
    /// Requests at targets, by the hash of the target's id.
    pub running: Vec<(u32, u32)>,
    /// Shared parts of prompts that targets have read of late; both by hash.
    pub cached_prefixes: Vec<(u32, u32)>,
    /// Requests that were in flight when a target crashed, and the crash; both by name.
    pub crashes: Vec<(u64, u64)>,
    /// Other entries that the sender has heard of late, for those that can't ask the object store.
    pub entries: Vec<SocketAddr>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Time,
    version: u64,
    store_reachable: bool,
    history_reachable: bool,
    incarnation: u64,
}

#[derive(Debug)]
struct Peer {
    known: Time,
    heard: Option<Heard>,
    running: Vec<(u32, u32)>,
}

/// What is known of the other entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Map<SocketAddr, Peer>,
    /// When entries said that they are about to stop; others may still name them.
    left: Map<SocketAddr, Time>,
}

impl Peers {
    /// Adds an entry that may be there.
    pub fn add(&mut self, address: SocketAddr, now: Time) {
        let left = self.left.get(&address);
        if left.is_some_and(|left| now.since(*left) < LEAVE) {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            known: now,
            heard: None,
            running: Vec::new(),
        });
    }

    /// Takes a report; returns how long its sender was taken to use its share of rates.
    pub fn record_report(&mut self, address: SocketAddr, report: &Report, now: Time) -> Millis {
        if report.leaving {
            self.peers.remove(&address);
            self.left.insert(address, now);
            return Millis(0);
        }
        self.left.remove(&address);
        self.add(address, now);
        let silence = self.silence();
        let Some(peer) = self.peers.get_mut(&address) else {
            return Millis(0);
        };
        let last = peer.heard.map_or(peer.known, |heard| heard.at);
        peer.heard = Some(Heard {
            at: now,
            version: report.version,
            store_reachable: report.store_reachable,
            history_reachable: report.history_reachable,
            incarnation: report.incarnation,
        });
        peer.running.clone_from(&report.running);
        Millis(now.since(last).0.saturating_sub(silence.0))
    }

    /// Forgets entries that were silent for long.
    pub fn expire(&mut self, now: Time) {
        self.peers.retain(|_, peer| {
            let last = peer.heard.map_or(peer.known, |heard| heard.at);
            now.since(last) < FORGET
        });
        self.left.retain(|_, left| now.since(*left) < LEAVE);
    }

    /// Entries that count for rates.
    pub fn fleet(&self, now: Time) -> Fleet {
        let silent = self
            .peers
            .values()
            .filter(|peer| !peer.is_fresh(now, self.silence()));
        Fleet {
            entries: self.peers.len() + 1,
            silent: silent.count(),
        }
    }

    fn silence(&self) -> Millis {
        silence(self.peers.len() + 1)
    }

    /// Where entries are told.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Entries that were heard of late.
    pub fn fresh_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let silence = self.silence();
        let fresh = self.peers.iter();
        fresh
            .filter(|(_, peer)| peer.is_fresh(now, silence))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Requests that other entries have at targets, by the hash of the target's id.
    pub fn running(&self, now: Time) -> Map<u32, u32> {
        let mut sums = Map::default();
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now, self.silence()));
        for (target, running) in fresh.flat_map(|peer| &peer.running) {
            *sums.entry(*target).or_default() += running;
        }
        sums
    }

    /// An entry that the object store answers, the one with the newest configuration.
    pub fn newest_with_store(&self, now: Time) -> Option<SocketAddr> {
        let fresh = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_fresh(now, self.silence()));
        let heard = fresh.filter_map(|(address, peer)| Some((*address, peer.heard?)));
        heard
            .filter(|(_, heard)| heard.store_reachable)
            .max_by_key(|(_, heard)| (heard.version, heard.incarnation))
            .map(|(address, _)| address)
    }

    /// Any entry that was heard of late.
    pub fn any_fresh(&self, now: Time) -> Option<SocketAddr> {
        let mut fresh = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_fresh(now, self.silence()));
        fresh.next().map(|(address, _)| *address)
    }

    /// Whether other entries are known, and none of them was heard of late.
    pub fn all_silent(&self, now: Time) -> bool {
        !self.peers.is_empty() && self.fresh_addresses(now).is_empty()
    }

    /// Other entries that reach the history themselves.
    pub fn reaching_history(&self, now: Time) -> Vec<SocketAddr> {
        let silence = self.silence();
        let reaching = self.peers.iter().filter(|(_, peer)| {
            peer.is_fresh(now, silence) && peer.heard.is_some_and(|heard| heard.history_reachable)
        });
        reaching.map(|(address, _)| *address).collect()
    }
}

impl Peer {
    fn is_fresh(&self, now: Time, silence: Millis) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard.at) <= silence)
    }
}

/// Pause between reports among this many entries.
pub fn interval(entries: usize) -> Duration {
    INTERVAL.mul_f64((entries as f64 / INTERVAL_ENTRIES as f64).max(1.0))
}

/// Time without a report after which an entry counts as silent among this many entries.
fn silence(entries: usize) -> Millis {
    let missed = interval(entries) * MISSED_REPORTS;
    Millis((missed.as_millis() as u64).max(quota::SILENCE_TIMEOUT.0))
}
