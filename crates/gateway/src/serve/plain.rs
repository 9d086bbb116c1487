//! Serves requests to plain services.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Response;
use tokio::time::Instant;

use crate::adapter::Target;
use crate::error::Error;
use crate::serve::body::Body;
use crate::serve::collect;
use crate::serve::header::strip_hop_by_hop;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::serve::retry::RetryState;
use crate::state::State;
use crate::target::hash;
use crate::target::permit::Choice;
use crate::target::send;
use crate::target::send::Answer;
use crate::target::send::Attempt;

/// A response and the target that sent it.
type TargetResponse = (Response<Body>, Target);

/// Sends a request to a target; retries failed attempts and hedges slow ones at other targets where
/// the request may run more than once.
///
/// Errors: no target answered.
pub async fn answer(state: &Arc<State>, job: &Job) -> Result<TargetResponse, Refusal> {
    state.limits.lock().record_demand();
    let mut retry = RetryState::new(job);
    let mut in_flight = FuturesUnordered::new();
    let hedge = tokio::time::sleep(job.route.objective.mul_f64(send::HEDGE_SHARE));
    tokio::pin!(hedge);
    let mut hedge_fired = false;
    loop {
        if in_flight.is_empty() {
            let choice = retry.next_target(state, job, None, affinity_hash(job))?;
            in_flight.push(send_attempt(state, job, choice));
        }
        let finished = tokio::select! {
            finished = in_flight.next() => finished,
            () = &mut hedge, if !hedge_fired => {
                hedge_fired = true;
                if let Some(choice) = retry.hedge_target(state, job) {
                    in_flight.push(send_attempt(state, job, choice));
                }
                None
            }
        };
        match finished {
            Some(Ok(response)) => return Ok(response),
            Some(Err(error)) => retry.record_failure(error, job)?,
            None => {}
        }
    }
}

async fn send_attempt(
    state: &Arc<State>,
    job: &Job,
    choice: Choice,
) -> Result<TargetResponse, Error> {
    let attempt = Attempt {
        job,
        body: job.body.clone(),
        urgency: None,
        last_event: None,
        chosen: Instant::now(),
    };
    let answer = send::send(state, &choice, &attempt).await?;
    let entry = choice.candidate;
    match collect(state, answer, job).await {
        Ok(response) => Ok((response, entry.target)),
        Err(error) => {
            if error != collect::Error::NoMemory {
                entry.load.health.lock().record_result(true, state.time());
            }
            Err(error.into())
        }
    }
}

fn affinity_hash(job: &Job) -> Option<u64> {
    let affinity_key = job.call.affinity.as_ref().filter(|_| job.route.sticky)?;
    Some(hash::hash_parts(&[&job.route.name, affinity_key]))
}

/// Reads the whole body of an answer.
///
/// Errors: the body ends early or is too long, or the deadline has passed.
pub async fn collect(
    state: &State,
    answer: Answer,
    job: &Job,
) -> Result<Response<Body>, collect::Error> {
    let Answer {
        mut parts,
        body,
        lease,
        idle,
        ..
    } = answer;
    let read = collect::collect(&state.answer_memory, &lease, body);
    let bytes = match tokio::time::timeout_at(send::response_deadline(job), read).await {
        Ok(bytes) => bytes?,
        Err(_) => return Err(collect::Error::Timeout),
    };
    lease.release(idle);
    strip_hop_by_hop(&mut parts.headers);
    Ok(Response::from_parts(parts, Body::buffered(bytes)))
}
