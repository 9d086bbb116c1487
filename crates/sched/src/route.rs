//! Choice of the target for a call.
//!
//! The least expected completion: the backlog ahead, prefill of what the target has not cached (or
//! the transfer of a cache from another target), then decode. A program so stays with its cache
//! unless waiting there costs more than computing it anew, and than what it drops of others' caches
//! elsewhere. Load reports lag, so the caller adds
//! what it has sent since the report was made.

use coord::id::Target;
use coord::id::Tokens;
use coord::id::fingerprint;

use crate::cost;
use crate::policy::Choice;
use crate::policy::Policy;

/// Prefill rate assumed for a target that reports none, in tokens a second.
const DEFAULT_PREFILL_RATE: u64 = 4_000;

/// Decode rate assumed for a target that reports none, in tokens a second and call.
const DEFAULT_DECODE_RATE: u64 = 40;

/// What storing a token costs the others whose cache it drops, in prefills of a token.
const EVICTION_WEIGHT: f64 = 2.0;

/// Shortest time that a call is taken to hold a slot, in seconds.
const SLOT_SECONDS: f64 = 0.1;

/// What a full set of slots counts where nothing else tells targets apart, in seconds.
const OCCUPANCY_SECONDS: f64 = 0.001;

/// Cost of a network hop to another data centre, in seconds.
const FAR_SECONDS: f64 = 0.002;

/// Calls and their cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    /// Number of calls.
    pub calls: u32,
    /// Their expected cost.
    pub cost: Tokens,
}

/// A target that could run the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub target: Target,
    /// Whether it leaves; such a target is never chosen.
    pub draining: bool,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Calls that can run together.
    pub slots: u32,
    /// Cost of the calls that wait.
    pub queued_tokens: Tokens,
    /// Cost left of the calls that run.
    pub running_tokens: Tokens,
    /// Tokens a second; 0 if not reported.
    pub prefill_rate: u64,
    /// Tokens a second and call; 0 if not reported.
    pub decode_rate: u64,
    /// What this process has sent since the load was reported.
    pub sent_since: Sent,
    /// Tokens of the call's input that it has cached.
    pub cached: Tokens,
    /// Whether it stands in this process's data centre.
    pub same_data_centre: bool,
}

/// What a call needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Number of the call, counted by the process that routes.
    pub sequence: u64,
    /// Hash of the program or customer, for affinity.
    pub affinity: u64,
    /// Input.
    pub input: Tokens,
    /// Expected output.
    pub output: Tokens,
    /// Rate at which targets transfer a cache, in tokens a second; 0 if they can't.
    pub transfer_rate: u64,
}

/// Where a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Position of the chosen candidate.
    pub index: usize,
    /// Position of the candidate whose cache is transferred to it first.
    pub transfer_from: Option<usize>,
}

/// Chooses a target; none if all leave.
pub fn choose(policy: &Policy, candidates: &[Candidate], demand: &Demand) -> Option<usize> {
    place(policy, candidates, demand).map(|placement| placement.index)
}

/// Chooses a target and whether to transfer a cache there.
pub fn place(policy: &Policy, candidates: &[Candidate], demand: &Demand) -> Option<Placement> {
    let open = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, one)| !one.draining)
    };
    let index = match policy.choice {
        Choice::RoundRobin => {
            let count = open().count() as u64;
            let turn = demand.sequence.checked_rem(count)?;
            open().nth(turn as usize).map(|(index, _)| index)
        }
        Choice::LeastLoaded => least_loaded(candidates, demand),
        Choice::Affinity => open()
            .max_by_key(|(_, one)| affinity(one, demand))
            .map(|(index, _)| index),
        Choice::Completion => return soonest(candidates, demand),
    };
    index.map(|index| Placement {
        index,
        transfer_from: None,
    })
}

/// Time until the call's last token, in seconds, if it computes what isn't cached; with what that
/// costs others.
pub fn expected_completion(candidate: &Candidate, demand: &Demand) -> f64 {
    let uncached = demand.input.0.saturating_sub(candidate.cached.0);
    let prefill = (1.0 + EVICTION_WEIGHT) * uncached as f64 / prefill_rate(candidate);
    backlog(candidate, demand) + prefill + decode(candidate, demand) + preference(candidate)
}

/// The least occupied; equals take turns.
fn least_loaded(candidates: &[Candidate], demand: &Demand) -> Option<usize> {
    let count = candidates.len();
    let first = demand.sequence.checked_rem(count as u64)? as usize;
    let turns = (0..count).map(|offset| (first + offset) % count);
    let open = turns.filter(|index| !candidates[*index].draining);
    least(open.map(|index| (index, occupancy(&candidates[index]))))
}

fn soonest(candidates: &[Candidate], demand: &Demand) -> Option<Placement> {
    let open = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, one)| !one.draining)
    };
    let compute = least(open().map(|(index, one)| (index, expected_completion(one, demand))))?;
    let computed = Placement {
        index: compute,
        transfer_from: None,
    };
    let Some((source, holder)) = open().max_by_key(|(_, one)| one.cached) else {
        return Some(computed);
    };
    if demand.transfer_rate == 0 || holder.cached.0 == 0 {
        return Some(computed);
    }
    let transfer = |one: &Candidate| transferred(one, holder, demand);
    let others = open().filter(|(index, _)| *index != source);
    let Some(moved) = least(others.map(|(index, one)| (index, transfer(one)))) else {
        return Some(computed);
    };
    match transfer(&candidates[moved]) < expected_completion(&candidates[compute], demand) {
        true => Some(Placement {
            index: moved,
            transfer_from: Some(source),
        }),
        false => Some(computed),
    }
}

/// Time until the call's last token, in seconds, if the holder's cache is transferred first.
fn transferred(candidate: &Candidate, holder: &Candidate, demand: &Demand) -> f64 {
    let received = Candidate {
        cached: holder.cached,
        ..candidate.clone()
    };
    let missing = holder.cached.0.saturating_sub(candidate.cached.0);
    let transfer = missing as f64 / demand.transfer_rate as f64;
    let eviction = EVICTION_WEIGHT * missing as f64 / prefill_rate(candidate);
    expected_completion(&received, demand) + transfer + eviction
}

/// Time until a call that comes now would start, in seconds: the longer of what is left to prefill
/// and, once the slots are taken, the wait for one.
fn backlog(candidate: &Candidate, demand: &Demand) -> f64 {
    prefill_wait(candidate, demand).max(slot_wait(candidate, demand))
}

/// Queued costs hold decoding too, which does not keep the next call from its prefill.
fn prefill_wait(candidate: &Candidate, demand: &Demand) -> f64 {
    let ahead = candidate.queued_tokens.0 + candidate.sent_since.cost.0;
    let calls = u64::from(candidate.queued + candidate.sent_since.calls);
    let decode = cost::prefill_equivalent(Tokens(0), demand.output)
        .0
        .saturating_mul(calls);
    ahead.saturating_sub(decode) as f64 / prefill_rate(candidate)
}

fn slot_wait(candidate: &Candidate, demand: &Demand) -> f64 {
    let slots = candidate.slots.max(1);
    let calls = candidate.running + candidate.queued + candidate.sent_since.calls;
    match (calls + 1).checked_sub(slots) {
        Some(waiting) => {
            f64::from(waiting) / f64::from(slots) * decode(candidate, demand).max(SLOT_SECONDS)
        }
        None => 0.0,
    }
}

fn decode(candidate: &Candidate, demand: &Demand) -> f64 {
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

/// Small terms that tell equal targets apart, in seconds.
fn preference(candidate: &Candidate) -> f64 {
    let far = if candidate.same_data_centre {
        0.0
    } else {
        FAR_SECONDS
    };
    far + occupancy(candidate) * OCCUPANCY_SECONDS
}

/// Calls for each slot.
fn occupancy(candidate: &Candidate) -> f64 {
    let calls = candidate.running + candidate.queued + candidate.sent_since.calls;
    f64::from(calls) / f64::from(candidate.slots.max(1))
}

/// Weight of a target for a program: the highest wins, so few programs move when targets change.
fn affinity(candidate: &Candidate, demand: &Demand) -> u64 {
    fingerprint(&[
        candidate.target.as_str().as_bytes(),
        &demand.affinity.to_be_bytes(),
    ])
}

/// Position of the smallest value, the first among equals.
fn least(values: impl Iterator<Item = (usize, f64)>) -> Option<usize> {
    values
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| index)
}
