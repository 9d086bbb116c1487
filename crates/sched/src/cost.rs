//! What a call costs an engine, in tokens of prefill.
//!
//! Decoding a token takes more of an engine than prefilling one. Queues, fairness and load reports
//! count both in one unit, so that they can be added.

use coord::id::Tokens;

/// Prefill tokens that cost an engine as much as one decoded token.
pub const OUTPUT_WEIGHT: u64 = 8;

/// Cost of a call with this much uncached input and this much output.
pub fn prefill_equivalent(uncached: Tokens, output: Tokens) -> Tokens {
    let decode = output.0.saturating_mul(OUTPUT_WEIGHT);
    Tokens(uncached.0.saturating_add(decode))
}
