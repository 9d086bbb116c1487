//! Measured speed of the target and length of its answers, for estimates.

use std::time::Duration;

use coord::id::Tokens;
use parking_lot::Mutex;
use sched::cost;

/// Weight of a new measurement in the moving average.
const WEIGHT: f64 = 0.1;

/// Fewest tokens for a measurement of speed.
const SAMPLE: u64 = 64;

/// Cost of one request to a plain service.
pub const PLAIN_COST: Tokens = Tokens(1_000);

#[derive(Debug, Clone, Copy)]
struct Averages {
    prefill: f64,
    decode: f64,
    /// None before the first answer.
    output: Option<f64>,
}

/// One finished generation.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    pub prompt: Tokens,
    pub cached: Tokens,
    pub completion: Tokens,
    /// From sending to the first part of the text.
    pub first: Duration,
    /// From the first to the last part of the text.
    pub rest: Duration,
}

/// Speeds of one target.
#[derive(Debug)]
pub struct Meter(Mutex<Averages>);

impl Meter {
    /// Speeds in tokens a second before anything is measured.
    pub fn new(prefill_rate: u64, decode_rate: u64) -> Meter {
        Meter(Mutex::new(Averages {
            prefill: prefill_rate as f64,
            decode: decode_rate as f64,
            output: None,
        }))
    }

    /// Takes a finished generation into account.
    pub fn add(&self, sample: &Sample) {
        let mut averages = self.0.lock();
        let computed = sample.prompt.0.saturating_sub(sample.cached.0);
        averages.prefill = blend(averages.prefill, speed(computed, sample.first));
        averages.decode = blend(averages.decode, speed(sample.completion.0, sample.rest));
        let output = sample.completion.0 as f64;
        let before = averages.output.unwrap_or(output);
        averages.output = Some(before + WEIGHT * (output - before));
    }

    /// Prompt tokens a second.
    pub fn prefill_rate(&self) -> u64 {
        self.0.lock().prefill as u64
    }

    /// Answer tokens a second and request.
    pub fn decode_rate(&self) -> u64 {
        self.0.lock().decode as u64
    }

    /// Expected cost of a generation.
    pub fn estimate(&self, uncached: Tokens, max_tokens: Tokens) -> Tokens {
        let usual = self.0.lock().output;
        let output = usual.map_or(max_tokens.0, |usual| max_tokens.0.min(usual as u64));
        cost::prefill_equivalent(uncached, Tokens(output))
    }
}

fn speed(tokens: u64, time: Duration) -> Option<f64> {
    let measurable = tokens >= SAMPLE && !time.is_zero();
    measurable.then(|| tokens as f64 / time.as_secs_f64())
}

fn blend(before: f64, measured: Option<f64>) -> f64 {
    measured.map_or(before, |measured| before + WEIGHT * (measured - before))
}
