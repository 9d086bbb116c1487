//! Cost of a call on an engine, in prefill tokens.
//!
//! Decoding a token costs an engine more than prefilling one. Queues, fairness and load reports
//! use one unit for both, so that the costs can be added.

use coord::id::Tokens;

/// Number of prefill tokens that cost as much as one decoded token.
pub const OUTPUT_WEIGHT: u64 = 8;

/// Returns the cost of a call, in prefill tokens.
pub fn prefill_equivalent(uncached: Tokens, output: Tokens) -> Tokens {
    let decode_cost = output.0.saturating_mul(OUTPUT_WEIGHT);
    Tokens(uncached.0.saturating_add(decode_cost))
}
