//! Bounds on what is sent again.

use coord::time::Millis;

/// Requests that earn one retry.
const REQUESTS_PER_RETRY: u32 = 10;

/// Most retries that can be saved up.
const RETRY_LIMIT: u32 = 100;

/// Largest exponent of the delay.
const DOUBLINGS_LIMIT: u32 = 16;

/// Retries that a process may send: one for each ten requests, saved up to a limit.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    earned: u32,
}

impl Budget {
    /// A budget that has earned nothing yet.
    pub fn new() -> Budget {
        Budget::default()
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.earned = (self.earned + 1).min(RETRY_LIMIT * REQUESTS_PER_RETRY);
    }

    /// Spends a retry if one has been earned.
    pub fn try_spend(&mut self) -> bool {
        match self.earned.checked_sub(REQUESTS_PER_RETRY) {
            Some(rest) => {
                self.earned = rest;
                true
            }
            None => false,
        }
    }
}

/// Delays before retries of one request: exponential with full jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Millis,
    limit: Millis,
    attempts: u32,
}

impl Backoff {
    /// Delays that start at up to `base` and double up to `limit`.
    pub fn new(base: Millis, limit: Millis) -> Backoff {
        Backoff {
            base,
            limit,
            attempts: 0,
        }
    }

    /// Next delay; `random` is uniform from 0 to 1.
    pub fn next_delay(&mut self, random: f64) -> Millis {
        let doublings = self.attempts.min(DOUBLINGS_LIMIT);
        let ceiling = self.base.0.saturating_mul(1 << doublings).min(self.limit.0);
        self.attempts += 1;
        Millis((ceiling as f64 * random.clamp(0.0, 1.0)) as u64)
    }
}
