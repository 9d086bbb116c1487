//! Charges requests to their customers' rates.
//!
//! A program needs all its requests, so one that is over its customer's rate for a moment waits for its
//! turn instead of being refused. A program that begins is refused at once: it has lost nothing yet.

use std::time::Duration;

use coord::quota::MAX_PATIENCE;
use coord::quota::SILENCE_TIMEOUT;
use tokio::time::Instant;

use crate::config::CustomerLimits;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::serve::request::retry_delay;
use crate::state::State;

/// Share of the time until its deadline for which a request may wait for its customer's rate.
const PATIENCE_SHARE: f64 = 0.25;

/// Time after its turn at which a request may still be sent. A process that is paused for longer counts as
/// silent, and the other entries use the rate that its requests waited for.
const MAX_LATENESS: Duration = Duration::from_millis(SILENCE_TIMEOUT.0);

/// Refuses a request that would have to wait too long for its customer's rate; charges nothing.
///
/// Errors: it would.
pub fn check(state: &State, customer: &CustomerLimits, deadline: Instant) -> Result<(), Refusal> {
    Ok(state.check_rate(customer, patience(deadline))?)
}

/// Charges a request to its customer's rate and waits until it may be sent; `first` marks the first turn
/// of a program.
///
/// Errors: the rate is exceeded, or this process was paused while the request waited.
pub async fn admit(state: &State, job: &Job, first: bool) -> Result<(), Refusal> {
    let Some(customer) = &job.customer else {
        return Ok(());
    };
    let delay = state.admit(customer, first, patience(job.deadline))?;
    if delay.is_zero() {
        return Ok(());
    }
    state.instruments.record_rate_wait(delay);
    log::info!(
        step = "admit", peer = "caller", request = job.call.request.as_str(),
        customer = customer.name.as_str(), wait_ms = delay.as_millis() as u64;
        "request waits for its customer's rate"
    );
    let due = Instant::now() + delay;
    tokio::time::sleep_until(due).await;
    match due.elapsed() <= MAX_LATENESS {
        true => Ok(()),
        false => Err(Refusal::OverRate(retry_delay())),
    }
}

fn patience(deadline: Instant) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    left.mul_f64(PATIENCE_SHARE)
        .min(Duration::from_millis(MAX_PATIENCE.0))
}
