//! Token bucket that limits retries to a tenth of the calls.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Tokens that one retry costs; each call adds one token.
const RETRY_COST: i64 = 10;

/// Largest number of tokens, and the number at the start: 20 retries.
const MAX_TOKENS: i64 = 20 * RETRY_COST;

/// Tokens available for retries.
#[derive(Debug)]
pub struct Budget {
    tokens: AtomicI64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            tokens: AtomicI64::new(MAX_TOKENS),
        }
    }
}

impl Budget {
    /// Adds the token of one call.
    pub fn record_call(&self) {
        let add = |tokens: i64| Some((tokens + 1).min(MAX_TOKENS));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Removes the tokens of one retry; returns false if there are too few.
    pub fn spend(&self) -> bool {
        let subtract = |tokens: i64| (tokens >= RETRY_COST).then_some(tokens - RETRY_COST);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .is_ok()
    }
}
