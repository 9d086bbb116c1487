//! Requests to plain services.

use std::sync::Arc;

use bytes::BytesMut;
use compact_str::CompactString;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Response;
use http_body_util::BodyExt;

use crate::error::Error;
use crate::serve::body::Body;
use crate::serve::header::strip_hop_by_hop;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::serve::tries::Tries;
use crate::state::State;
use crate::target::balance;
use crate::target::directory::Candidate;
use crate::target::send;
use crate::target::send::Answer;
use crate::target::send::Attempt;

/// An answer, and the id of the target that gave it.
type Given = (Response<Body>, CompactString);

/// Runs a request at a target, and at others while that does no harm.
///
/// Errors: no target answered it.
pub async fn answer(state: &Arc<State>, job: &Job) -> Result<Given, Refusal> {
    let mut tries = Tries::new(job);
    let mut running = FuturesUnordered::new();
    let hedge = tokio::time::sleep(job.route.objective.mul_f64(send::HEDGE_SHARE));
    tokio::pin!(hedge);
    let mut hedged = false;
    loop {
        if running.is_empty() {
            let entry = tries.next(state, job, None, affinity(job))?;
            running.push(attempt(state, job, entry));
        }
        let ended = tokio::select! {
            ended = running.next() => ended,
            () = &mut hedge, if !hedged => {
                hedged = true;
                if let Some(entry) = tries.another(state, job) {
                    running.push(attempt(state, job, entry));
                }
                None
            }
        };
        match ended {
            Some(Ok(given)) => return Ok(given),
            Some(Err(error)) => tries.failed(error, job)?,
            None => {}
        }
    }
}

async fn attempt(state: &Arc<State>, job: &Job, entry: Candidate) -> Result<Given, Error> {
    let attempt = Attempt {
        job,
        body: job.body.clone(),
        urgency: None,
        last_event: None,
    };
    let answer = send::send(state, &entry, &attempt).await?;
    match collect(answer, job).await {
        Ok(response) => Ok((response, entry.target.id)),
        Err(error) => {
            entry.load.health.lock().record_result(true, state.time());
            Err(error)
        }
    }
}

fn affinity(job: &Job) -> Option<u64> {
    let object = job.call.affinity.as_ref().filter(|_| job.route.sticky)?;
    Some(balance::hash_parts(&[&job.route.name, object]))
}

/// Reads an answer's whole body.
///
/// Errors: the body is cut short.
pub async fn collect(answer: Answer, job: &Job) -> Result<Response<Body>, Error> {
    let Answer {
        mut parts,
        mut body,
        lease,
        idle,
        ..
    } = answer;
    let read = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok::<_, hyper::Error>(bytes.freeze())
    };
    let bytes = match tokio::time::timeout_at(send::response_deadline(job), read).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => return Err(Error::MaybeRun(format!("body is cut short: {error}"))),
        Err(_) => return Err(Error::Timeout),
    };
    lease.release(idle);
    strip_hop_by_hop(&mut parts.headers);
    Ok(Response::from_parts(parts, Body::whole(bytes)))
}
