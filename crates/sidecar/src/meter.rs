//! Moving averages of the target's speed and answer length, used to estimate a request's cost.

use std::time::Duration;

use coord::id::Tokens;
use parking_lot::Mutex;
use sched::cost;

/// Weight of a new measurement in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Minimum number of tokens for a measurement of speed.
const MIN_SAMPLE_TOKENS: u64 = 64;

/// Cost of one request to a plain service, in prefill-equivalent tokens.
pub const PLAIN_COST: Tokens = Tokens(1_000);

#[derive(Debug, Clone, Copy)]
struct Averages {
    prefill_rate: f64,
    decode_rate: f64,
    /// Answer length; none before the first answer.
    output_tokens: Option<f64>,
}

/// Measurements of one finished generation.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    pub prompt: Tokens,
    pub cached: Tokens,
    pub completion: Tokens,
    /// From sending the request to the first text.
    pub time_to_first_token: Duration,
    /// From the first text to the end of the answer.
    pub decode_time: Duration,
}

/// Measured averages of one target.
#[derive(Debug)]
pub struct Meter(Mutex<Averages>);

impl Meter {
    /// Creates a meter with initial speeds in tokens per second.
    pub fn new(prefill_rate: u64, decode_rate: u64) -> Meter {
        Meter(Mutex::new(Averages {
            prefill_rate: prefill_rate as f64,
            decode_rate: decode_rate as f64,
            output_tokens: None,
        }))
    }

    /// Updates the averages with a finished generation.
    pub fn record(&self, sample: &Sample) {
        let mut averages = self.0.lock();
        let uncached = sample.prompt.0.saturating_sub(sample.cached.0);
        averages.prefill_rate = update_average(
            averages.prefill_rate,
            tokens_per_second(uncached, sample.time_to_first_token),
        );
        averages.decode_rate = update_average(
            averages.decode_rate,
            tokens_per_second(sample.completion.0, sample.decode_time),
        );
        let output = sample.completion.0 as f64;
        let before = averages.output_tokens.unwrap_or(output);
        averages.output_tokens = Some(before + SMOOTHING_FACTOR * (output - before));
    }

    /// Uncached prompt tokens per second.
    pub fn prefill_rate(&self) -> u64 {
        self.0.lock().prefill_rate as u64
    }

    /// Answer tokens per second of one request.
    pub fn decode_rate(&self) -> u64 {
        self.0.lock().decode_rate as u64
    }

    /// Expected cost of a generation, in prefill-equivalent tokens.
    pub fn estimate(&self, uncached: Tokens, max_tokens: Tokens) -> Tokens {
        let average = self.0.lock().output_tokens;
        let output = average.map_or(max_tokens.0, |average| max_tokens.0.min(average as u64));
        cost::prefill_equivalent(uncached, Tokens(output))
    }
}

fn tokens_per_second(tokens: u64, time: Duration) -> Option<f64> {
    let measurable = tokens >= MIN_SAMPLE_TOKENS && !time.is_zero();
    measurable.then(|| tokens as f64 / time.as_secs_f64())
}

fn update_average(before: f64, measured: Option<f64>) -> f64 {
    measured.map_or(before, |measured| {
        before + SMOOTHING_FACTOR * (measured - before)
    })
}
