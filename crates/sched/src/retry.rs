//! Retry budget and backoff.

use coord::time::Millis;

/// Number of first attempts that earn one retry.
const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum number of saved retries.
const SAVED_RETRY_LIMIT: u32 = 100;

/// Maximum number of times the delay doubles.
const MAX_DOUBLINGS: u32 = 16;

/// Retry budget of a process: one retry per ten first attempts, saved up to a limit.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// First attempts that haven't been converted into a retry.
    requests: u32,
}

impl Budget {
    /// Creates an empty budget.
    pub fn new() -> Budget {
        Budget::default()
    }

    /// Records a first attempt.
    pub fn record_request(&mut self) {
        self.requests = (self.requests + 1).min(SAVED_RETRY_LIMIT * REQUESTS_PER_RETRY);
    }

    /// Spends one retry; returns false if none is available.
    pub fn try_spend(&mut self) -> bool {
        match self.requests.checked_sub(REQUESTS_PER_RETRY) {
            Some(remaining) => {
                self.requests = remaining;
                true
            }
            None => false,
        }
    }
}

/// Exponential backoff with full jitter between the retries of one request.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Millis,
    limit: Millis,
    attempts: u32,
}

impl Backoff {
    /// Creates a backoff whose maximum delay starts at `base` and doubles up to `limit`.
    pub fn new(base: Millis, limit: Millis) -> Backoff {
        Backoff {
            base,
            limit,
            attempts: 0,
        }
    }

    /// Returns the next delay; `random` is uniform in 0..=1.
    pub fn next_delay(&mut self, random: f64) -> Millis {
        let doublings = self.attempts.min(MAX_DOUBLINGS);
        let max_delay = self.base.0.saturating_mul(1 << doublings).min(self.limit.0);
        self.attempts += 1;
        Millis((max_delay as f64 * random.clamp(0.0, 1.0)) as u64)
    }
}
