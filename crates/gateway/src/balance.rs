//! Which target gets a request.
//!
//! An engine's time for a token grows with the requests in its batch, so that one busy engine makes
//! all its programs late: turns go where the fewest requests run. A later turn of a program costs
//! an engine that hasn't read the earlier ones the time to read them, which holds up all others in
//! the batch; it moves only if the difference is worth that. Plain requests go to the less loaded
//! of two targets drawn by lot.

use std::hash::Hasher;

use crate::directory::Entry;

/// Tokens to read that hold up an engine as much as one more request in its batch does: the
/// engines of both sites read some 150 tokens a millisecond, and a request adds some 27 ms to the
/// others' turns.
const TOKENS_PER_REQUEST: f64 = 375.0;

/// Spread of load, in requests, within which engines count as equal, so that entries which know the
/// same loads don't all choose the same engine.
const SPREAD: f64 = 1.5;

/// Load that makes up for the way to another data centre, in requests.
const WAY: f64 = 0.5;

/// What a request asks of its target.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    pub prompt: Prompt,
    /// Requests with the same value go to the same target, if they ask for it.
    pub affinity: Option<u64>,
    /// Where this process runs.
    pub data_centre: &'a str,
    /// Milliseconds since this process started.
    pub now_ms: u64,
}

/// What a target may have read of a request before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prompt {
    /// Nothing that counts.
    None,
    /// A first turn.
    New,
    /// Earlier turns of this many tokens, at the target with this hash.
    Known { target: u32, tokens: u64 },
}

/// Chooses among targets; none if all were tried.
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
    match (wish.prompt, wish.affinity) {
        _ if candidates.is_empty() => None,
        (Prompt::None, Some(key)) => ranked(&candidates, key),
        (Prompt::None, None) => less_loaded(&candidates, wish, random),
        (prompt, _) => cheapest(&candidates, prompt, random),
    }
}

/// The engine that a turn holds up least.
fn cheapest<'a>(
    candidates: &[&'a Entry],
    prompt: Prompt,
    random: [u32; 2],
) -> Option<&'a Entry> {
    let start = random[0] as usize % candidates.len();
    let rotated = candidates[start..].iter().chain(&candidates[..start]);
    let mut best: Option<(f64, &Entry)> = None;
    for (index, entry) in rotated.enumerate() {
        let reading = match prompt {
            Prompt::Known { target, tokens } if target != hash(&entry.target.id) => {
                tokens as f64 / TOKENS_PER_REQUEST
            }
            _ => 0.0,
        };
        let jitter = match prompt {
            Prompt::New => uniform(random[1], index) * SPREAD,
            _ => 0.0,
        };
        let cost = f64::from(entry.running()) + reading + jitter;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, entry));
        }
    }
    best.map(|(_, entry)| entry)
}

/// A number from 0 to 1 for each index.
fn uniform(random: u32, index: usize) -> f64 {
    let mixed = random.wrapping_mul(2 * index as u32 + 1).rotate_left(13);
    f64::from(mixed.wrapping_mul(0x9e37_79b9)) / f64::from(u32::MAX)
}

/// Hash of a target's id, as other entries and the history know it.
pub fn hash(id: &str) -> u32 {
    (key(&[id]) as u32).max(1)
}

fn spared(entry: &Entry, now_ms: u64) -> bool {
    let until = &entry.load.spared_until_ms;
    until.load(std::sync::atomic::Ordering::Relaxed) > now_ms
}

/// How much of the mean a target may have, in tenths, before requests for an object go elsewhere.
const CROWD_TENTHS: u32 = 15;

/// Requests that a target may have beyond that.
const CROWD_SLACK: u32 = 1;

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
