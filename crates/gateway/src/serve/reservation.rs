//! Reserves a turn's tokens of its program's budget, and settles the reservation when the turn ends.

use std::sync::Arc;
use std::time::Duration;

use history::client::Grant;
use history::client::Reservation;
use history::origin::Origin;
use history::record::Account;
use history::time::Timestamp;
use tokio::time::Instant;

use crate::config::Stream;
use crate::serve::admission;
use crate::serve::origin;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::serve::request::retry_delay;
use crate::state::State;
use crate::target::directory::Candidate;
use crate::target::hash;
use crate::target::send;

/// Time limit for settling a reservation in the background, while no caller waits for it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Token reservation of a turn. Dropping the guard settles the reservation in the background unless
/// [`Self::settle`] was called.
#[derive(Debug)]
pub struct Guard {
    state: Arc<State>,
    reservation: Reservation,
    /// Number of tokens relayed to the caller.
    pub used_tokens: u64,
    settled: bool,
}

impl Guard {
    /// Returns the record that settles the reservation; the caller must store it.
    pub fn settle(&mut self) -> history::record::Record {
        self.settled = true;
        history::client::settled_charge(&self.reservation, self.used_tokens)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let state = Arc::clone(&self.state);
        let reservation = self.reservation.clone();
        let used_tokens = self.used_tokens;
        tokio::spawn(async move {
            let deadline = Instant::now() + SETTLE_TIMEOUT;
            if let Err(error) = state
                .history
                .settle(&reservation, used_tokens, deadline)
                .await
            {
                log::warn!(
                    step = "settle", peer = "history", request = reservation.turn.as_str();
                    "reservation can't be settled, turn is charged its maximum: {error}"
                );
            }
        });
    }
}

/// Reserves a turn's tokens and stores the origin of its stream. Returns the reservation, and the
/// hash of the target recorded for the program's newest turn; neither for a turn without a budget.
pub async fn reserve(
    state: &Arc<State>,
    job: &Job,
    stream: Stream,
    predicted: Option<Candidate>,
    origin: Option<Origin>,
    deadline: Instant,
) -> Result<(Option<Guard>, Option<u32>), Refusal> {
    let (Some(program), Some(budget), Some(tokens)) =
        (&job.call.program, job.call.budget, job.call.tokens)
    else {
        admission::admit(state, job, false).await?;
        if let Some(origin) = &origin {
            let stored = origin::store(state, job, origin, deadline).await;
            stored.map_err(|error| Refusal::Unavailable {
                cause: error.to_string(),
                retry: retry_delay(),
            })?;
        }
        return Ok((None, None));
    };
    // The turn is retained from the end of its stream on, and so must be what it was charged.
    let stream_end = send::response_deadline(job).saturating_duration_since(Instant::now());
    let reservation = Reservation {
        account: Account {
            customer: job.customer_name(),
            program: program.clone(),
        },
        turn: job.call.request.clone(),
        max_tokens: tokens.max_generated,
        budget,
        target: predicted.map_or(0, |entry| hash::target_hash(&entry.target.id)),
        expires: Timestamp::now().after(stream_end + stream.retention),
        origin,
    };
    let guard = Guard {
        state: Arc::clone(state),
        reservation,
        used_tokens: 0,
        settled: false,
    };
    match state.history.reserve(&guard.reservation, deadline).await {
        Ok(Grant::Granted { first, target }) => {
            admission::admit(state, job, first).await?;
            Ok((Some(guard), target))
        }
        Ok(Grant::Spent(taken)) => {
            log::info!(
                step = "reserve", peer = "history", request = job.call.request.as_str(),
                program = program.as_str(), taken = taken, most = tokens.max_generated, budget = budget;
                "budget doesn't hold the turn"
            );
            Err(Refusal::BudgetSpent)
        }
        Err(error) => Err(Refusal::history_unavailable(&error)),
    }
}
