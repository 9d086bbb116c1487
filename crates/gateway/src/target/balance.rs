//! Selects the target for a request.
//!
//! An engine's time per token grows with the requests in its batch, so turns go to the engine with
//! the fewest running requests. An engine that hasn't processed a program's earlier turns must
//! prefill them first, which delays the whole batch; a turn therefore moves only if the difference
//! in load outweighs the prefill. Plain requests go to the less loaded of two random targets.
//! Targets that fail some of their requests count as busier, and so do engines that are slower than
//! the median. Requests that may not run twice avoid targets that fail at any entry.
//!
//! Among many entries each learns late of the others' requests; it then compares only a random share
//! of the engines.

use std::hash::Hasher;

use coord::time::Time;
use sched::health;
use sched::health::Health;

use crate::target::directory::Candidate;
use crate::target::hash::target_hash;
use crate::target::version;

/// Prefill tokens that delay an engine as much as one more request in its batch: with ten requests
/// in the batch, either delays the engines of both sites by about 19 ms.
const PREFILL_TOKENS_PER_REQUEST: f64 = 250.0;

/// Share of a prefix's prefill that counts as cost, since other programs will use the prefix too.
const PREFIX_COST_SHARE: f64 = 0.15;

/// Number of entries up to which reports come often enough to compare all engines.
const FRESH_ENTRIES: usize = 8;

/// Smallest number of engines to compare.
const MIN_SAMPLE: usize = 4;

/// Maximum random addition to an engine's cost, in requests, so that entries with the same load
/// reports don't all choose the same engine.
const MAX_JITTER: f64 = 1.5;

/// Penalty, in requests, of a target that fails every request: more than the busiest engines of both
/// sites run, so that it ranks below every working target.
const FAILURE_PENALTY: f64 = 30.0;

/// Share of failures from which a target is no longer chosen by affinity.
const AFFINITY_FAILURE_LIMIT: f64 = 0.25;

/// Penalty, in requests, of the only target of a software version: if it fails, the streams that it
/// began can't go on. It still takes streams while the others are busier.
const SOLE_TARGET_PENALTY: f64 = 5.0;

/// Penalty of a target in another data centre, in requests.
const REMOTE_PENALTY: f64 = 0.5;

/// Criteria by which a request's target is selected.
#[derive(Clone, Copy)]
pub struct Criteria<'a> {
    /// Prompt of a turn; `None` for plain requests.
    pub prompt: Option<Prompt>,
    /// Whether a target's cache holds a prefix; takes the hashes of the prefix and of the target.
    pub is_cached: &'a dyn Fn(u32, u32) -> bool,
    /// Plain requests with the same value go to the same target.
    pub affinity: Option<u64>,
    /// Data centre of this process.
    pub data_centre: &'a str,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request's stream may be resumed, which needs a target of the version that began it.
    pub resumable: bool,
    /// Software versions that may run the request.
    pub versions: &'a version::Rule,
    /// Whether a target is in a region that may run the request, and has room for it, by the limits that
    /// targets name.
    pub accepts: &'a dyn Fn(&Candidate) -> bool,
    /// Number of entries; the more there are, the later they learn of each other's requests.
    pub entries: usize,
    /// Milliseconds since this process started.
    pub now_ms: u64,
}

/// Prompt of a turn; only the part that the engine's cache doesn't hold costs prefill.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the prefix that other programs share.
    pub prefix: Option<u32>,
    pub prefix_tokens: u64,
    /// Hash of the target that ran the program's newest turn.
    pub last_target: Option<u32>,
    /// Tokens of the program's own part.
    pub own_tokens: u64,
}

/// Returns the target for a request, or `None` if all were tried or have no room. Ejected targets are chosen only if
/// no other is left.
pub fn choose<'a>(
    targets: &'a [Candidate],
    tried: &[&str],
    criteria: Criteria<'_>,
    random: [u32; 2],
) -> Option<&'a Candidate> {
    let untried = targets
        .iter()
        .filter(|candidate| !tried.contains(&candidate.target.id.as_str()))
        .filter(|candidate| criteria.versions.permits(&candidate.target))
        .filter(|candidate| (criteria.accepts)(candidate));
    let untried: Vec<&Candidate> = untried.collect();
    let healthy: Vec<&Candidate> = untried
        .iter()
        .copied()
        .filter(|candidate| !is_ejected(candidate, criteria.now_ms))
        .collect();
    let candidates = match healthy.is_empty() {
        true => untried,
        false => healthy,
    };
    let candidates = match criteria.idempotent {
        true => candidates,
        false => without_failing(candidates, criteria.now_ms),
    };
    let candidates = preferred(candidates, criteria.versions);
    match (criteria.prompt, criteria.affinity) {
        _ if candidates.is_empty() => None,
        (Some(prompt), _) => lowest_cost(&candidates, prompt, criteria, random),
        (None, Some(key)) => by_affinity(&candidates, key, criteria),
        (None, None) => less_loaded(&candidates, criteria, random),
    }
}

/// Returns the targets of the preferred software version, or all if there are none.
fn preferred<'a>(candidates: Vec<&'a Candidate>, versions: &version::Rule) -> Vec<&'a Candidate> {
    let preferred: Vec<&Candidate> = candidates
        .iter()
        .copied()
        .filter(|candidate| versions.prefers(&candidate.target))
        .collect();
    match preferred.is_empty() {
        true => candidates,
        false => preferred,
    }
}

/// Returns the targets that fail at no entry, or all if there are none. Only requests that can be
/// repeated elsewhere find out whether a failing target has recovered.
fn without_failing(candidates: Vec<&Candidate>, now_ms: u64) -> Vec<&Candidate> {
    let sound: Vec<&Candidate> = candidates
        .iter()
        .copied()
        .filter(|candidate| !candidate.load.fails_anywhere(now_ms))
        .collect();
    match sound.is_empty() {
        true => candidates,
        false => sound,
    }
}

/// Returns the engine with the lowest cost: running requests and prefill, scaled by the engine's
/// slowness, plus the failure penalty and a random addition.
fn lowest_cost<'a>(
    candidates: &[&'a Candidate],
    prompt: Prompt,
    criteria: Criteria<'_>,
    random: [u32; 2],
) -> Option<&'a Candidate> {
    let intervals = candidates
        .iter()
        .filter_map(|candidate| candidate.load.health.lock().event_interval_us());
    let median = health::median_event_interval(intervals);
    let sampled = sample(candidates, prompt.last_target, criteria.entries, random);
    let mut best: Option<(f64, &Candidate)> = None;
    for (index, candidate) in sampled {
        let jitter = uniform(random[0].wrapping_add(random[1]), index) * MAX_JITTER;
        let hash = target_hash(&candidate.target.id);
        let prefill = prefill_tokens(prompt, hash, criteria.is_cached) / PREFILL_TOKENS_PER_REQUEST;
        let health = candidate.load.health.lock();
        let work = (f64::from(candidate.running()) + 1.0 + prefill) * health.slowness(median);
        let sole = f64::from(criteria.resumable && candidate.sole_of_version);
        let penalty = failure_penalty(&health, criteria.now_ms) + sole * SOLE_TARGET_PENALTY;
        let cost = work + penalty + jitter;
        drop(health);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Returns the engines to compare, with their indexes: all while reports come often, otherwise a
/// random share and the engine that ran the program's newest turn. An engine that the last reports
/// show as idle would else be chosen by every entry until the next ones.
fn sample<'a, 'b>(
    candidates: &'b [&'a Candidate],
    last_target: Option<u32>,
    entries: usize,
    random: [u32; 2],
) -> Box<dyn Iterator<Item = (usize, &'a Candidate)> + 'b> {
    let all = candidates.iter().copied().enumerate();
    let share = FRESH_ENTRIES as f64 / entries.max(1) as f64;
    if share >= 1.0 {
        return Box::new(all);
    }
    let count = (candidates.len() as f64 * share).ceil() as usize;
    let last_target = candidates
        .iter()
        .position(|candidate| Some(target_hash(&candidate.target.id)) == last_target);
    let seed = random[0] ^ random[1].rotate_left(16);
    let picks = (0..count.max(MIN_SAMPLE)).map(move |pick| {
        (uniform(seed, pick) * candidates.len() as f64) as usize % candidates.len()
    });
    let picks = picks.chain(last_target);
    Box::new(picks.map(|index| (index, candidates[index])))
}

/// Penalty for a target's recent failures, in requests.
fn failure_penalty(health: &Health, now_ms: u64) -> f64 {
    health.failing_share(Time(now_ms)) * FAILURE_PENALTY
}

/// Number of tokens that a target must prefill.
fn prefill_tokens(prompt: Prompt, target: u32, is_cached: &dyn Fn(u32, u32) -> bool) -> f64 {
    let prefix = match prompt.prefix {
        Some(prefix) if !is_cached(prefix, target) => {
            prompt.prefix_tokens as f64 * PREFIX_COST_SHARE
        }
        _ => 0.0,
    };
    let own = match prompt.last_target {
        Some(last_target) if last_target != target => prompt.own_tokens as f64,
        _ => 0.0,
    };
    prefix + own
}

/// Pseudo-random number from 0 to 1 for an index.
fn uniform(random: u32, index: usize) -> f64 {
    let mixed = random.wrapping_mul(2 * index as u32 + 1).rotate_left(13);
    f64::from(mixed.wrapping_mul(0x9e37_79b9)) / f64::from(u32::MAX)
}

fn is_ejected(candidate: &Candidate, now_ms: u64) -> bool {
    let until = &candidate.load.ejected_until_ms;
    until.load(std::sync::atomic::Ordering::Relaxed) > now_ms
}

/// Multiple of the mean load, in tenths, up to which a target is chosen by affinity.
const AFFINITY_LOAD_TENTHS: u32 = 15;

/// Requests that a target may run beyond [`AFFINITY_LOAD_TENTHS`].
const AFFINITY_LOAD_SLACK: u32 = 1;

/// Returns the target with the highest weight for the key (rendezvous hashing) among those below the
/// load and failure limits, or else the least loaded target.
fn by_affinity<'a>(
    candidates: &[&'a Candidate],
    key: u64,
    criteria: Criteria<'_>,
) -> Option<&'a Candidate> {
    let sum: u32 = candidates.iter().map(|candidate| candidate.running()).sum();
    let mean_tenths = sum * AFFINITY_LOAD_TENTHS / candidates.len() as u32;
    let limit = mean_tenths / 10 + AFFINITY_LOAD_SLACK;
    let is_healthy = |candidate: &Candidate| {
        let health = candidate.load.health.lock();
        health.failing_share(Time(criteria.now_ms)) < AFFINITY_FAILURE_LIMIT
    };
    let eligible = candidates
        .iter()
        .filter(|candidate| candidate.running() < limit && is_healthy(candidate));
    let preferred = eligible.max_by_key(|candidate| weight(&candidate.target.id, key));
    let least_loaded = || {
        candidates
            .iter()
            .min_by_key(|candidate| candidate.running())
    };
    preferred.or_else(least_loaded).copied()
}

/// Returns the less loaded of two random targets, by requests per slot.
fn less_loaded<'a>(
    candidates: &[&'a Candidate],
    criteria: Criteria<'_>,
    random: [u32; 2],
) -> Option<&'a Candidate> {
    let pick = |random: u32| candidates[random as usize % candidates.len()];
    let (first, second) = (pick(random[0]), pick(random[1]));
    let cost = |candidate: &Candidate| {
        let local = candidate.target.data_centre.as_str() == criteria.data_centre;
        let distance = if local { 0.0 } else { REMOTE_PENALTY };
        let failures = failure_penalty(&candidate.load.health.lock(), criteria.now_ms);
        let requests = f64::from(candidate.running()) + distance + failures;
        requests / f64::from(candidate.target.slots.max(1))
    };
    match cost(first) <= cost(second) {
        true => Some(first),
        false => Some(second),
    }
}

/// Rendezvous weight of a target for a key.
fn weight(id: &str, key: u64) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(id.as_bytes());
    hasher.write_u64(key);
    hasher.finish()
}
