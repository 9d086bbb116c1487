//! Requests to plain services.

use std::sync::Arc;

use bytes::BytesMut;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::error::Error;
use crate::serve::body::Body;
use crate::serve::header::strip_hop_by_hop;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::state::State;
use crate::target::balance;
use crate::target::balance::Prompt;
use crate::target::balance::Wish;
use crate::target::directory::Entry;
use crate::target::send;
use crate::target::send::Answer;
use crate::target::send::Attempt;

/// Targets that may turn one request away before it is refused.
const TURNED_AWAY_LIMIT: usize = 4;

/// Part of a route's objective after which an idempotent request is sent to a second target too.
const HEDGE_SHARE: f64 = 0.7;

/// Runs a request at a target, and at others while that does no harm.
///
/// Errors: no target answered it.
pub async fn answer(state: &Arc<State>, job: &Job) -> Result<Response<Body>, Refusal> {
    let mut tries = Tries::default();
    let mut running = FuturesUnordered::new();
    let hedge = tokio::time::sleep(job.route.objective.mul_f64(HEDGE_SHARE));
    tokio::pin!(hedge);
    let mut hedged = !job.idempotent() || job.route.attempts < 2;
    loop {
        if running.is_empty() {
            let entry = tries.next(state, job, None, affinity(job))?;
            running.push(attempt(state, job, entry));
        }
        let ended = tokio::select! {
            ended = running.next() => ended,
            () = &mut hedge, if !hedged => {
                hedged = true;
                if let Some(entry) = tries.another(state, job, running.len()) {
                    running.push(attempt(state, job, entry));
                }
                None
            }
        };
        match ended {
            Some(Ok(response)) => return Ok(response),
            Some(Err(error)) => tries.failed(error, job)?,
            None => {}
        }
    }
}

async fn attempt(state: &Arc<State>, job: &Job, entry: Entry) -> Result<Response<Body>, Error> {
    let attempt = Attempt {
        job,
        body: job.body.clone(),
        urgency: None,
        last_event: None,
    };
    let answer = send::send(state, &entry, &attempt).await?;
    collect(answer, job).await
}

fn affinity(job: &Job) -> Option<u64> {
    let object = job.call.affinity.as_ref().filter(|_| job.route.sticky)?;
    Some(balance::key(&[&job.route.name, object]))
}

/// Targets that were tried for one request.
#[derive(Debug, Default)]
pub struct Tries {
    tried: Vec<compact_str::CompactString>,
    /// Targets that may have run the request.
    runs: u32,
    turned_away: usize,
    last: Option<String>,
}

impl Tries {
    /// The next target to try.
    ///
    /// Errors: there is none, or no time.
    pub fn next(
        &mut self,
        state: &State,
        job: &Job,
        prompt: Option<Prompt>,
        affinity: Option<u64>,
    ) -> Result<Entry, Refusal> {
        if Instant::now() >= job.deadline {
            return Err(self.give_up(job));
        }
        let services = state.services();
        let entries = services.get(&job.service).map_or(&[][..], Vec::as_slice);
        let tried: Vec<&str> = self.tried.iter().map(|id| id.as_str()).collect();
        let prefixes = state.prefixes.lock();
        let read = |shared, target| prefixes.is_read(shared, target, state.time());
        let wish = Wish {
            prompt,
            read: &read,
            affinity,
            data_centre: state.settings.data_centre.as_str(),
            now_ms: state.now_ms(),
        };
        let chosen = balance::choose(entries, &tried, wish, rand::random()).cloned();
        match chosen {
            Some(entry) => {
                self.tried.push(entry.target.id.clone());
                Ok(entry)
            }
            None => Err(self.give_up(job)),
        }
    }

    /// A further target for a request that others still run, if there is one and it may run there.
    fn another(&mut self, state: &State, job: &Job, running: usize) -> Option<Entry> {
        if self.runs as usize + running >= job.route.attempts as usize {
            return None;
        }
        self.next(state, job, None, None).ok()
    }

    /// Takes a failed attempt.
    ///
    /// Errors: the request may not be tried again.
    pub fn failed(&mut self, error: Error, job: &Job) -> Result<(), Refusal> {
        self.last = Some(error.to_string());
        match error {
            Error::NotRun(_) => self.turned_away += 1,
            Error::Timeout => {
                self.runs += 1;
                return Err(Refusal::Timeout);
            }
            Error::MaybeRun(_) => self.runs += 1,
        }
        let spent = self.runs > 0 && (!job.idempotent() || self.runs >= job.route.attempts);
        match spent || self.turned_away > TURNED_AWAY_LIMIT {
            true => Err(self.give_up(job)),
            false => Ok(()),
        }
    }

    /// Takes a stream that broke after its engine had begun to answer.
    ///
    /// Errors: the stream may not go on elsewhere.
    pub fn broke(&mut self, job: &Job) -> Result<(), Refusal> {
        self.runs += 1;
        match self.runs >= job.route.attempts {
            true => Err(self.give_up(job)),
            false => Ok(()),
        }
    }

    fn give_up(&self, job: &Job) -> Refusal {
        let cause = self.last.clone();
        let cause = cause.unwrap_or_else(|| format!("no target of {}", job.service));
        match self.runs {
            0 => Refusal::Unavailable {
                cause,
                retry: crate::serve::request::retry_pause(),
            },
            _ => Refusal::Lost(cause),
        }
    }
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
    let bytes = match tokio::time::timeout_at(send::patience(job), read).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => return Err(Error::MaybeRun(format!("body is cut short: {error}"))),
        Err(_) => return Err(Error::Timeout),
    };
    lease.release(idle);
    strip_hop_by_hop(&mut parts.headers);
    Ok(Response::from_parts(parts, Body::whole(bytes)))
}
