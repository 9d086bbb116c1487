//! Which target gets a request.
//!
//! An engine's time for a token grows with the requests in its batch, so that one busy engine makes
//! all its programs late: turns go where the fewest requests run. A later turn of a program costs
//! an engine that hasn't read the earlier ones the time to read them, which holds up all others in
//! the batch; it moves only if the difference is worth that. Plain requests go to the less loaded
//! of two targets drawn by lot. Targets that fail a part of their requests count as busier, and so
//! do engines that are slower than most.

use std::hash::Hasher;

use coord::time::Time;
use sched::health;
use sched::health::Health;

use crate::target::directory::Entry;

/// Tokens to read that hold up an engine as much as one more request in its batch does: at ten
/// requests, the engines of both sites lose some 19 ms to either.
const TOKENS_PER_REQUEST: f64 = 250.0;

/// Part of the time for reading a shared part that counts: others will use it too.
const SHARED_READING: f64 = 0.15;

/// Spread of load, in requests, within which engines count as equal, so that entries which know the
/// same loads don't all choose the same engine.
const SPREAD: f64 = 1.5;

/// Requests in its batch that make up for a target at which every request fails: more than the
/// busiest engines of both sites run, so that only others of its kind are as bad.
const FAILING_REQUESTS: f64 = 30.0;

/// Share of failures beyond which a target gets no request only because it saw the object before.
const FAILING_LIMIT: f64 = 0.25;

/// Load that makes up for the way to another data centre, in requests.
const WAY: f64 = 0.5;

/// What a request asks of its target.
#[derive(Clone, Copy)]
pub struct Criteria<'a> {
    /// What is to be read; none for plain requests.
    pub prompt: Option<Prompt>,
    /// Whether a target has read a shared part; both by hash.
    pub is_cached: &'a dyn Fn(u32, u32) -> bool,
    /// Requests with the same value go to the same target, if they ask for it.
    pub affinity: Option<u64>,
    /// Where this process runs.
    pub data_centre: &'a str,
    /// Milliseconds since this process started.
    pub now_ms: u64,
}

/// What a turn's engine must have read; what it has read before costs nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the part that other programs share.
    pub prefix: Option<u32>,
    pub prefix_tokens: u64,
    /// Hash of the target that ran the program's newest turn.
    pub last_target: Option<u32>,
    /// Tokens of the program's own part.
    pub own_tokens: u64,
}

/// Chooses among targets; none if all were tried.
pub fn choose<'a>(
    entries: &'a [Entry],
    tried: &[&str],
    criteria: Criteria<'_>,
    random: [u32; 2],
) -> Option<&'a Entry> {
    let untried = entries
        .iter()
        .filter(|entry| !tried.contains(&entry.target.id.as_str()));
    let untried: Vec<&Entry> = untried.collect();
    let healthy: Vec<&Entry> = untried
        .iter()
        .copied()
        .filter(|entry| !spared(entry, criteria.now_ms))
        .collect();
    let candidates = match healthy.is_empty() {
        true => untried,
        false => healthy,
    };
    match (criteria.prompt, criteria.affinity) {
        _ if candidates.is_empty() => None,
        (Some(prompt), _) => cheapest(&candidates, prompt, criteria, random),
        (None, Some(key)) => ranked(&candidates, key, criteria),
        (None, None) => less_loaded(&candidates, criteria, random),
    }
}

/// The engine that a turn holds up least.
fn cheapest<'a>(
    candidates: &[&'a Entry],
    prompt: Prompt,
    criteria: Criteria<'_>,
    random: [u32; 2],
) -> Option<&'a Entry> {
    let paces = candidates
        .iter()
        .filter_map(|entry| entry.load.health.lock().event_interval_us());
    let usual = health::median_event_interval(paces);
    let mut best: Option<(f64, &Entry)> = None;
    for (index, entry) in candidates.iter().enumerate() {
        let jitter = uniform(random[0].wrapping_add(random[1]), index) * SPREAD;
        let reading =
            reading(prompt, target_hash(&entry.target.id), criteria.is_cached) / TOKENS_PER_REQUEST;
        let health = entry.load.health.lock();
        let work = (f64::from(entry.running()) + 1.0 + reading) * health.slowness(usual);
        let cost = work + failing_requests(&health, criteria.now_ms) + jitter;
        drop(health);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, entry));
        }
    }
    best.map(|(_, entry)| entry)
}

/// Requests in its batch that make up for a target's failures.
fn failing_requests(health: &Health, now_ms: u64) -> f64 {
    health.failing_share(Time(now_ms)) * FAILING_REQUESTS
}

/// Tokens that a target would have to read anew.
fn reading(prompt: Prompt, target: u32, is_cached: &dyn Fn(u32, u32) -> bool) -> f64 {
    let prefix = match prompt.prefix {
        Some(prefix) if !is_cached(prefix, target) => prompt.prefix_tokens as f64 * SHARED_READING,
        _ => 0.0,
    };
    let own = match prompt.last_target {
        Some(last_target) if last_target != target => prompt.own_tokens as f64,
        _ => 0.0,
    };
    prefix + own
}

/// A number from 0 to 1 for each index.
fn uniform(random: u32, index: usize) -> f64 {
    let mixed = random.wrapping_mul(2 * index as u32 + 1).rotate_left(13);
    f64::from(mixed.wrapping_mul(0x9e37_79b9)) / f64::from(u32::MAX)
}

/// Hash of a target's id, as other entries and the history know it.
pub fn target_hash(id: &str) -> u32 {
    (hash_parts(&[id]) as u32).max(1)
}

fn spared(entry: &Entry, now_ms: u64) -> bool {
    let until = &entry.load.ejected_until_ms;
    until.load(std::sync::atomic::Ordering::Relaxed) > now_ms
}

/// How much of the mean a target may have, in tenths, before requests for an object go elsewhere.
const CROWD_TENTHS: u32 = 15;

/// Requests that a target may have beyond that.
const CROWD_SLACK: u32 = 1;

/// The first target in the key's order that isn't crowded, or the least loaded.
fn ranked<'a>(candidates: &[&'a Entry], key: u64, criteria: Criteria<'_>) -> Option<&'a Entry> {
    let sum: u32 = candidates.iter().map(|entry| entry.running()).sum();
    let mean_tenths = sum * CROWD_TENTHS / candidates.len() as u32;
    let limit = mean_tenths / 10 + CROWD_SLACK;
    let works = |entry: &Entry| {
        let health = entry.load.health.lock();
        health.failing_share(Time(criteria.now_ms)) < FAILING_LIMIT
    };
    let open = candidates
        .iter()
        .filter(|entry| entry.running() < limit && works(entry));
    let first = open.max_by_key(|entry| weight(&entry.target.id, key));
    let least = || candidates.iter().min_by_key(|entry| entry.running());
    first.or_else(least).copied()
}

fn less_loaded<'a>(
    candidates: &[&'a Entry],
    criteria: Criteria<'_>,
    random: [u32; 2],
) -> Option<&'a Entry> {
    let pick = |random: u32| candidates[random as usize % candidates.len()];
    let (one, two) = (pick(random[0]), pick(random[1]));
    let cost = |entry: &Entry| {
        let near = entry.target.data_centre.as_str() == criteria.data_centre;
        let way = if near { 0.0 } else { WAY };
        let failing = failing_requests(&entry.load.health.lock(), criteria.now_ms);
        let requests = f64::from(entry.running()) + way + failing;
        requests / f64::from(entry.target.slots.max(1))
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
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}
