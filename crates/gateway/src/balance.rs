//! Which target gets a request.
//!
//! Turns of one program go to the same engine, so that it finds their prompts in its memory: all
//! entries rank engines for a program alike without talking, and the first one that isn't crowded
//! gets the turn. Plain requests go to the less loaded of two targets drawn by lot.

use std::hash::Hasher;

use crate::directory::Entry;

/// Requests that an engine may have beyond the mean of its service before turns go elsewhere.
const CROWD_SLACK: u32 = 4;

/// How much of the mean an engine may have, in tenths, before turns go elsewhere.
const CROWD_TENTHS: u32 = 15;

/// Load that makes up for the way to another data centre, in requests.
const WAY: f64 = 0.5;

/// What a request asks of its target.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// Requests with the same value go to the same target.
    pub affinity: Option<u64>,
    /// Where this process runs.
    pub data_centre: &'a str,
    /// Milliseconds since this process started.
    pub now_ms: u64,
}

/// Chooses among targets; none if all were tried. `random` are two uniform numbers.
pub fn choose<'a>(
    entries: &'a [Entry],
    tried: &[&str],
    wish: Wish<'_>,
    random: [u32; 2],
) -> Option<&'a Entry> {
    let untried = entries
        .iter()
        .filter(|entry| !tried.contains(&entry.target.id.as_str()));
    let untried: Vec<&Entry> = untried.collect();
    let healthy: Vec<&Entry> = untried
        .iter()
        .copied()
        .filter(|entry| !spared(entry, wish.now_ms))
        .collect();
    let candidates = match healthy.is_empty() {
        true => untried,
        false => healthy,
    };
    match wish.affinity {
        _ if candidates.is_empty() => None,
        Some(key) => ranked(&candidates, key),
        None => less_loaded(&candidates, wish, random),
    }
}

fn spared(entry: &Entry, now_ms: u64) -> bool {
    let until = &entry.load.spared_until_ms;
    until.load(std::sync::atomic::Ordering::Relaxed) > now_ms
}

/// The first target in the key's order that isn't crowded, or the least loaded.
fn ranked<'a>(candidates: &[&'a Entry], key: u64) -> Option<&'a Entry> {
    let sum: u32 = candidates.iter().map(|entry| entry.running()).sum();
    let mean_tenths = sum * CROWD_TENTHS / candidates.len() as u32;
    let limit = mean_tenths / 10 + CROWD_SLACK;
    let open = candidates.iter().filter(|entry| entry.running() < limit);
    let first = open.max_by_key(|entry| weight(&entry.target.id, key));
    let least = || candidates.iter().min_by_key(|entry| entry.running());
    first.or_else(least).copied()
}

fn less_loaded<'a>(
    candidates: &[&'a Entry],
    wish: Wish<'_>,
    random: [u32; 2],
) -> Option<&'a Entry> {
    let pick = |random: u32| candidates[random as usize % candidates.len()];
    let (one, two) = (pick(random[0]), pick(random[1]));
    let cost = |entry: &Entry| {
        let near = entry.target.data_centre.as_str() == wish.data_centre;
        let load = f64::from(entry.running()) / f64::from(entry.target.slots.max(1));
        load + if near { 0.0 } else { WAY / f64::from(entry.target.slots.max(1)) }
    };
    match cost(one) <= cost(two) {
        true => Some(one),
        false => Some(two),
    }
}

/// Rank of a target for a key; the highest goes first.
fn weight(id: &str, key: u64) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(id.as_bytes());
    hasher.write_u64(key);
    hasher.finish()
}

/// Key of an affinity.
pub fn key(parts: &[&str]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}
