//! Measures of a run.

use serde::Deserialize;
use serde::Serialize;

use crate::setup::Setup;
use crate::trace::Outcome;
use crate::trace::Trace;

/// A program that ran to its last step; times in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Position of its customer.
    pub customer: usize,
    /// Whether it came while the flood lasted.
    pub within_flood: bool,
    /// From arrival to the end.
    pub latency: u64,
    /// What that takes with the fleet to itself.
    pub alone: u64,
}

/// How a program ended.
pub type Ends = [usize; 3];

/// What a run counted.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Finished programs.
    pub samples: Vec<Sample>,
    /// Programs that ended, by outcome.
    pub ends: Ends,
    /// Share of the engines' prefill in use while programs arrived.
    pub busy: f64,
    /// From asking to the first token, in microseconds.
    pub first_tokens: Vec<u64>,
    /// Tokens prefilled.
    pub prefill_tokens: u64,
    /// Tokens prefilled that had been computed before.
    pub recomputed_tokens: u64,
    /// Tokens times seconds held in caches for ended programs.
    pub ended_token_seconds: f64,
    /// Calls admitted, and how long they were held for a token in all, in microseconds.
    pub calls: u64,
    /// See `calls`.
    pub held: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls refused within the rate.
    pub refused_within: u64,
    /// The largest share of a customer's calls that were refused within its rate.
    pub refused_share: f64,
    /// Calls granted beyond the rate.
    pub overshoot: u64,
    /// Tokens prefilled while programs arrived.
    pub busy_tokens: u64,
    /// Processor time of route choice and queue, in nanoseconds.
    pub decision_nanos: u64,
    /// Calls placed.
    pub decisions: u64,
}

impl Tally {
    /// Programs that ended in this way.
    pub fn ended(&self, outcome: Outcome) -> usize {
        self.ends[outcome as usize]
    }

    /// Counts an admitted call.
    pub fn admitted(&mut self, held: u64) {
        self.calls += 1;
        self.held += held;
    }
}

/// One line of output.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Score {
    /// Deployment of the trace.
    pub trace: String,
    /// Setup.
    pub setup: String,
    /// Offered load.
    pub load: f64,
    /// Seed.
    pub seed: u64,
    /// Share of the engines' prefill in use while programs arrived.
    pub busy: f64,
    /// Emphasis of the policy.
    pub emphasis: f64,
    /// Finished programs of the customers within their rate; what follows is over these.
    pub programs: usize,
    /// Program latency, in seconds.
    pub latency_mean: f64,
    /// Program latency, in seconds.
    pub latency_p50: f64,
    /// Program latency, in seconds.
    pub latency_p95: f64,
    /// Program latency, in seconds.
    pub latency_p99: f64,
    /// Latency over latency alone.
    pub slowdown_mean: f64,
    /// Latency over latency alone.
    pub slowdown_p95: f64,
    /// Time to the first token, in seconds.
    pub first_token_p50: f64,
    /// Time to the first token, in seconds.
    pub first_token_p95: f64,
    /// Millions of tokens prefilled.
    pub prefill_mtokens: f64,
    /// Millions of tokens prefilled again.
    pub recomputed_mtokens: f64,
    /// Millions of tokens times seconds held for ended programs.
    pub ended_mtoken_seconds: f64,
    /// Customer whose mean slowdown is the highest, among those within their rate.
    pub worst_customer: String,
    /// Its mean slowdown.
    pub worst_slowdown: f64,
    /// The highest mean slowdown among programs that came during the flood.
    pub worst_slowdown_in_flood: f64,
    /// The highest mean slowdown among customers of weight 1.
    pub worst_small_slowdown: f64,
    /// Jain's index over the customers' mean slowdowns.
    pub jain: f64,
    /// Calls admitted.
    pub calls: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls refused within the rate.
    pub refused_within: u64,
    /// The largest share of a customer's calls that were refused within its rate.
    pub refused_share: f64,
    /// Calls granted beyond it.
    pub overshoot: u64,
    /// Time of the decisions for each call, in microseconds; varies with the machine.
    pub decision_micros: f64,
}

/// Turns a run's counts into measures.
pub fn score(trace: &Trace, setup: &Setup, tally: &Tally) -> Score {
    let head = &trace.head;
    let flooding = |sample: &&Sample| head.customers[sample.customer].name == head.flood.customer;
    let sound: Vec<&Sample> = tally.samples.iter().filter(|one| !flooding(one)).collect();
    let latency = sorted(sound.iter().map(|sample| sample.latency as f64 / 1e6));
    let slowdowns = sorted(sound.iter().map(|sample| slowdown(sample)));
    let first = sorted(tally.first_tokens.iter().map(|micros| *micros as f64 / 1e6));
    let within: Vec<usize> = (0..head.customers.len())
        .filter(|customer| head.customers[*customer].name != head.flood.customer)
        .collect();
    let of = |customer: usize, in_flood: bool| {
        let own = sound.iter().filter(|sample| sample.customer == customer);
        mean(
            own.filter(|sample| !in_flood || sample.within_flood)
                .map(|sample| slowdown(sample)),
        )
    };
    let means: Vec<f64> = within.iter().map(|customer| of(*customer, false)).collect();
    let in_flood = within
        .iter()
        .map(|customer| of(*customer, true))
        .fold(0.0, f64::max);
    let is_small = |customer: &usize| head.customers[*customer].weight == 1;
    let small = within
        .iter()
        .zip(&means)
        .filter(|(customer, _)| is_small(customer))
        .map(|(_, mean)| *mean)
        .fold(0.0, f64::max);
    let worst = (0..means.len())
        .max_by(|a, b| means[*a].total_cmp(&means[*b]))
        .unwrap_or(0);
    Score {
        trace: head.deployment.clone(),
        setup: setup.name.clone(),
        load: setup.load,
        seed: setup.seed,
        busy: round(tally.busy),
        emphasis: setup.policy.emphasis,
        programs: sound.len(),
        latency_mean: round(mean(latency.iter().copied())),
        latency_p50: round(percentile(&latency, 0.50)),
        latency_p95: round(percentile(&latency, 0.95)),
        latency_p99: round(percentile(&latency, 0.99)),
        slowdown_mean: round(mean(slowdowns.iter().copied())),
        slowdown_p95: round(percentile(&slowdowns, 0.95)),
        first_token_p50: round(percentile(&first, 0.50)),
        first_token_p95: round(percentile(&first, 0.95)),
        prefill_mtokens: round(tally.prefill_tokens as f64 / 1e6),
        recomputed_mtokens: round(tally.recomputed_tokens as f64 / 1e6),
        ended_mtoken_seconds: round(tally.ended_token_seconds / 1e6),
        worst_customer: head.customers[within[worst]].name.to_string(),
        worst_slowdown: round(means[worst]),
        worst_slowdown_in_flood: round(in_flood),
        worst_small_slowdown: round(small),
        jain: round(jain(&means)),
        calls: tally.calls,
        refused: tally.refused,
        refused_within: tally.refused_within,
        refused_share: tally.refused_share,
        overshoot: tally.overshoot,
        decision_micros: round(tally.decision_nanos as f64 / tally.decisions.max(1) as f64 / 1e3),
    }
}

fn slowdown(sample: &Sample) -> f64 {
    sample.latency as f64 / sample.alone.max(1) as f64
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count == 0.0 { 0.0 } else { sum / count }
}

/// Nearest-rank percentile of sorted values.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Jain's fairness index: 1 if all are equal.
fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
