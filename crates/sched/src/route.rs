//! Choice of the target for a call.
//!
//! [`Choice::Completion`] minimises the expected completion time: the wait behind the target's
//! backlog, prefill of the input that isn't cached there (or the transfer of the cache from another
//! target), then decode. A program thus stays with its cache unless waiting there costs more than
//! recomputing the cache elsewhere and evicting the caches of other programs. Load reports lag, so
//! the caller adds what it has sent since the report.

use coord::id::Target;
use coord::id::Tokens;
use coord::id::fingerprint;

use crate::cost;
use crate::policy::Choice;
use crate::policy::Policy;

/// Prefill rate assumed for a target that reports none, in tokens per second.
const DEFAULT_PREFILL_RATE: u64 = 4_000;

/// Decode rate assumed for a target that reports none, in tokens per second and call.
const DEFAULT_DECODE_RATE: u64 = 40;

/// Cost of storing a token, in prefilled tokens: it evicts cached tokens of other programs.
const EVICTION_WEIGHT: f64 = 2.0;

/// Minimum time for which a call is assumed to occupy a slot, in seconds.
const MIN_SLOT_SECONDS: f64 = 0.1;

/// Penalty of a target with all slots occupied, in seconds; breaks ties between equal targets.
const OCCUPANCY_SECONDS: f64 = 0.001;

/// Cost of a network hop to another data centre, in seconds.
const REMOTE_SECONDS: f64 = 0.002;

/// Calls sent to a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    /// Number of calls.
    pub calls: u32,
    /// Expected cost of the calls.
    pub cost: Tokens,
}

/// A target that could run the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub target: Target,
    /// Whether the target is draining; draining targets are never chosen.
    pub draining: bool,
    /// Number of running calls.
    pub running: u32,
    /// Number of waiting calls.
    pub queued: u32,
    /// Number of calls that can run concurrently.
    pub slots: u32,
    /// Expected cost of the waiting calls.
    pub queued_tokens: Tokens,
    /// Remaining expected cost of the running calls.
    pub running_tokens: Tokens,
    /// Tokens per second; 0 if not reported.
    pub prefill_rate: u64,
    /// Tokens per second and call; 0 if not reported.
    pub decode_rate: u64,
    /// Calls sent by this process since the load was reported.
    pub sent_since: Sent,
    /// Number of input tokens of the call that the target has cached.
    pub cached: Tokens,
    /// Whether the target is in the data centre of this process.
    pub same_data_centre: bool,
}

/// Resource demand and routing keys of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Sequence number of the call, counted by the routing process; drives round-robin.
    pub sequence: u64,
    /// Hash of the program or customer, for [`Choice::Affinity`].
    pub affinity: u64,
    /// Number of input tokens.
    pub input: Tokens,
    /// Expected number of output tokens.
    pub output: Tokens,
    /// Rate at which targets transfer a cache, in tokens per second; 0 if they can't.
    pub transfer_rate: u64,
}

/// Target chosen for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Index of the candidate whose cache is transferred to it first.
    pub transfer_from: Option<usize>,
}

/// Chooses a target; returns its index, or `None` if all targets are draining.
pub fn choose(policy: &Policy, candidates: &[Candidate], demand: &Demand) -> Option<usize> {
    place(policy, candidates, demand).map(|placement| placement.index)
}

/// Chooses a target and decides whether to transfer a cache to it; returns `None` if all targets
/// are draining.
pub fn place(policy: &Policy, candidates: &[Candidate], demand: &Demand) -> Option<Placement> {
    let available = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !candidate.draining)
    };
    let index = match policy.choice {
        Choice::RoundRobin => {
            let count = available().count() as u64;
            let position = demand.sequence.checked_rem(count)?;
            available().nth(position as usize).map(|(index, _)| index)
        }
        Choice::LeastLoaded => least_loaded(candidates, demand),
        Choice::Affinity => available()
            .max_by_key(|(_, candidate)| affinity_weight(candidate, demand))
            .map(|(index, _)| index),
        Choice::Completion => return earliest_completion(candidates, demand),
    };
    index.map(|index| Placement {
        index,
        transfer_from: None,
    })
}

/// Returns the expected time until the call's last token, in seconds, if the target prefills the
/// uncached input; includes the cost of evictions.
pub fn expected_completion(candidate: &Candidate, demand: &Demand) -> f64 {
    let uncached = demand.input.0.saturating_sub(candidate.cached.0);
    let prefill_and_eviction = (1.0 + EVICTION_WEIGHT) * uncached as f64 / prefill_rate(candidate);
    backlog_seconds(candidate, demand)
        + prefill_and_eviction
        + decode_seconds(candidate, demand)
        + tie_breaker(candidate)
}

/// Returns the index of the least occupied target; equally occupied ones alternate.
fn least_loaded(candidates: &[Candidate], demand: &Demand) -> Option<usize> {
    let count = candidates.len();
    let first = demand.sequence.checked_rem(count as u64)? as usize;
    let rotation = (0..count).map(|offset| (first + offset) % count);
    let available = rotation.filter(|index| !candidates[*index].draining);
    index_of_min(available.map(|index| (index, occupancy(&candidates[index]))))
}

fn earliest_completion(candidates: &[Candidate], demand: &Demand) -> Option<Placement> {
    let available = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !candidate.draining)
    };
    let computed_index = index_of_min(
        available().map(|(index, candidate)| (index, expected_completion(candidate, demand))),
    )?;
    let computed = Placement {
        index: computed_index,
        transfer_from: None,
    };
    let Some((source, holder)) = available().max_by_key(|(_, candidate)| candidate.cached) else {
        return Some(computed);
    };
    if demand.transfer_rate == 0 || holder.cached.0 == 0 {
        return Some(computed);
    }
    let completion = |candidate: &Candidate| completion_after_transfer(candidate, holder, demand);
    let others = available().filter(|(index, _)| *index != source);
    let Some(transferred_index) =
        index_of_min(others.map(|(index, candidate)| (index, completion(candidate))))
    else {
        return Some(computed);
    };
    match completion(&candidates[transferred_index])
        < expected_completion(&candidates[computed_index], demand)
    {
        true => Some(Placement {
            index: transferred_index,
            transfer_from: Some(source),
        }),
        false => Some(computed),
    }
}

/// Returns the expected time until the call's last token, in seconds, if the holder's cache is
/// transferred first.
fn completion_after_transfer(candidate: &Candidate, holder: &Candidate, demand: &Demand) -> f64 {
    let after_transfer = Candidate {
        cached: holder.cached,
        ..candidate.clone()
    };
    let missing = holder.cached.0.saturating_sub(candidate.cached.0);
    let transfer = missing as f64 / demand.transfer_rate as f64;
    let eviction = EVICTION_WEIGHT * missing as f64 / prefill_rate(candidate);
    expected_completion(&after_transfer, demand) + transfer + eviction
}

/// Returns the time until a call that arrives now would start, in seconds: the longer of the
/// remaining prefill and the wait for a free slot.
fn backlog_seconds(candidate: &Candidate, demand: &Demand) -> f64 {
    prefill_wait_seconds(candidate, demand).max(slot_wait_seconds(candidate, demand))
}

/// Returns the prefill time of the waiting calls. Their cost includes decoding, which is subtracted
/// because it doesn't delay the prefill of the next call.
fn prefill_wait_seconds(candidate: &Candidate, demand: &Demand) -> f64 {
    let queued_cost = candidate.queued_tokens.0 + candidate.sent_since.cost.0;
    let calls = u64::from(candidate.queued + candidate.sent_since.calls);
    let decode_cost = cost::prefill_equivalent(Tokens(0), demand.output)
        .0
        .saturating_mul(calls);
    queued_cost.saturating_sub(decode_cost) as f64 / prefill_rate(candidate)
}

fn slot_wait_seconds(candidate: &Candidate, demand: &Demand) -> f64 {
    let slots = candidate.slots.max(1);
    let calls = candidate.running + candidate.queued + candidate.sent_since.calls;
    match (calls + 1).checked_sub(slots) {
        Some(waiting) => {
            f64::from(waiting) / f64::from(slots)
                * decode_seconds(candidate, demand).max(MIN_SLOT_SECONDS)
        }
        None => 0.0,
    }
}

fn decode_seconds(candidate: &Candidate, demand: &Demand) -> f64 {
    let rate = match candidate.decode_rate {
        0 => DEFAULT_DECODE_RATE,
        rate => rate,
    };
    demand.output.0 as f64 / rate as f64
}

fn prefill_rate(candidate: &Candidate) -> f64 {
    match candidate.prefill_rate {
        0 => DEFAULT_PREFILL_RATE as f64,
        rate => rate as f64,
    }
}

/// Returns small terms that break ties between equal targets, in seconds.
fn tie_breaker(candidate: &Candidate) -> f64 {
    let hop = if candidate.same_data_centre {
        0.0
    } else {
        REMOTE_SECONDS
    };
    hop + occupancy(candidate) * OCCUPANCY_SECONDS
}

/// Returns the number of calls per slot.
fn occupancy(candidate: &Candidate) -> f64 {
    let calls = candidate.running + candidate.queued + candidate.sent_since.calls;
    f64::from(calls) / f64::from(candidate.slots.max(1))
}

/// Returns the weight of a target in rendezvous hashing: the highest wins, so that few programs
/// move when targets change.
fn affinity_weight(candidate: &Candidate, demand: &Demand) -> u64 {
    fingerprint(&[
        candidate.target.as_str().as_bytes(),
        &demand.affinity.to_be_bytes(),
    ])
}

/// Returns the index paired with the smallest value; the first one among equal values.
fn index_of_min(values: impl Iterator<Item = (usize, f64)>) -> Option<usize> {
    values
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| index)
}
