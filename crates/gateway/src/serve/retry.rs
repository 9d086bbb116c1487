//! Selects targets for the attempts of one request and decides whether to retry.

use compact_str::CompactString;
use sched::attempt::Action;
use sched::attempt::Attempts;
use sched::attempt::Failure;
use sched::attempt::Outcome;
use tokio::time::Instant;

use crate::config::RequestKind;
use crate::error::Error;
use crate::serve::refusal::Refusal;
use crate::serve::refusal::Unresumable;
use crate::serve::request::Job;
use crate::serve::request::retry_delay;
use crate::state::State;
use crate::target::balance;
use crate::target::balance::Criteria;
use crate::target::balance::Prompt;
use crate::target::departure::Incarnation;
use crate::target::directory::Candidate;
use crate::target::permit::Choice;
use crate::target::room;
use crate::target::version;

/// Targets tried for one request and the state of its attempts.
#[derive(Debug, Clone)]
pub struct RetryState {
    tried: Vec<CompactString>,
    /// Random numbers that all choices use, so that a choice can be predicted.
    random: [u32; 2],
    attempts: Attempts,
    /// Software versions that may run the request.
    pub versions: version::Rule,
    /// Cause of the most recent failure.
    last_failure: Option<String>,
}

impl RetryState {
    /// Creates the state of a request that hasn't been sent.
    pub fn new(job: &Job) -> RetryState {
        RetryState {
            tried: Vec::new(),
            random: rand::random(),
            attempts: Attempts::new(job.is_idempotent(), job.route.max_attempts),
            versions: version::Rule::Any,
            last_failure: None,
        }
    }

    /// Chooses the next target to try and records an attempt there.
    ///
    /// Errors: no untried target exists, or the deadline has passed.
    pub fn next_target(
        &mut self,
        state: &State,
        job: &Job,
        prompt: Option<Prompt>,
        affinity: Option<u64>,
    ) -> Result<Choice, Refusal> {
        if Instant::now() >= job.deadline {
            return Err(self.refusal(self.attempts.outcome(), job));
        }
        // A request that a target may have run is tried again: its answer can only get better.
        if self.attempts.outcome() == Outcome::NotRun && !state.stop.permits(job.deadline) {
            return Err(Refusal::stopping());
        }
        let chosen = self.choose(state, job, prompt, affinity);
        chosen.ok_or_else(|| self.no_target(state, job))
    }

    /// Chooses an untried target, if there is one, and records an attempt there.
    fn choose(
        &mut self,
        state: &State,
        job: &Job,
        prompt: Option<Prompt>,
        affinity: Option<u64>,
    ) -> Option<Choice> {
        let services = state.services();
        let entries = services.get(&job.service).map_or(&[][..], Vec::as_slice);
        let tried: Vec<&str> = self.tried.iter().map(|id| id.as_str()).collect();
        let prefixes = state.prefixes.lock();
        let is_cached = |prefix, target| prefixes.is_cached(prefix, target, state.time());
        let is_first_turn = is_first_turn(state, job);
        let mut limits = state.limits.lock();
        let candidate = {
            let has_room = room::has_room(&limits, entries, is_first_turn, state.time());
            let regions = &state.settings.regions;
            let accepts = |entry: &Candidate| {
                job.may_run_in(regions.get(&entry.target.data_centre)) && has_room(entry)
            };
            let criteria = Criteria {
                prompt,
                is_cached: &is_cached,
                affinity,
                data_centre: state.settings.data_centre.as_str(),
                idempotent: job.is_idempotent(),
                resumable: job.is_resumable(),
                versions: &self.versions,
                accepts: &accepts,
                entries: state.entry_count(),
                now_ms: state.now_ms(),
            };
            balance::choose(entries, &tried, criteria, self.random).cloned()?
        };
        self.tried.push(candidate.target.id.clone());
        self.attempts.record_start();
        let now = state.time();
        Some(Choice::reserve(candidate, &state.limits, &mut limits, now))
    }

    /// Returns the refusal of a request for which no untried target is left.
    fn no_target(&self, state: &State, job: &Job) -> Refusal {
        let services = state.services();
        let entries = services.get(&job.service).map_or(&[][..], Vec::as_slice);
        let mut limits = state.limits.lock();
        let permits = |entry: &Candidate| self.versions.permits(&entry.target);
        let limited = entries.iter().filter(|entry| permits(entry));
        let limited = limited.map(|entry| Incarnation::of(&entry.target));
        let limited: Vec<Incarnation> = limited
            .filter(|incarnation| limits.is_restricted(*incarnation, state.time()))
            .collect();
        match (&self.versions, self.attempts.outcome()) {
            (_, Outcome::NotRun) if !limited.is_empty() => {
                let retry = limits.retry_after(limited.iter().copied(), state.time());
                log::info!(
                    step = "choose target", peer = job.service.as_str(),
                    request = job.call.request.as_str(), targets = entries.len(),
                    targets_limited = limited.len(), retry_ms = retry.as_millis() as u64;
                    "the limits of the service's targets are used up"
                );
                Refusal::Limited {
                    service: job.service.clone(),
                    retry,
                }
            }
            (version::Rule::Only(version), Outcome::NotRun) if !entries.iter().any(permits) => {
                Refusal::NotResumable(Unresumable::VersionGone(version.clone()))
            }
            (_, outcome) => self.refusal(outcome, job),
        }
    }

    /// Records that an attempt won't be sent, and returns the refusal of the request.
    pub fn abandon(&mut self, error: Error, job: &Job) -> Refusal {
        match self.record_failure(error, job) {
            Ok(()) => self.refusal(self.attempts.outcome(), job),
            Err(refusal) => refusal,
        }
    }

    /// Chooses a further target while other attempts are in flight; none if the request may not be
    /// hedged or no untried target exists.
    pub fn hedge_target(&mut self, state: &State, job: &Job) -> Option<Choice> {
        match self.attempts.may_hedge() && Instant::now() < job.deadline {
            true => self.choose(state, job, None, None),
            false => None,
        }
    }

    /// Records a failed attempt; a broken stream counts as one.
    ///
    /// Errors: the request may not be retried.
    pub fn record_failure(&mut self, error: Error, job: &Job) -> Result<(), Refusal> {
        self.last_failure = Some(error.to_string());
        let failure = match error {
            Error::NotSent(_) | Error::NotRun(_) => Failure::NotRun,
            Error::MaybeRun(_) => Failure::MaybeRun,
            Error::Timeout => Failure::Timeout,
        };
        match self.attempts.record_failure(failure) {
            Action::Retry | Action::Wait => Ok(()),
            Action::GiveUp(outcome) => Err(self.refusal(outcome, job)),
        }
    }

    fn refusal(&self, outcome: Outcome, job: &Job) -> Refusal {
        let cause = self.last_failure.clone();
        let cause = cause.unwrap_or_else(|| format!("no target of {}", job.service));
        match outcome {
            Outcome::NotRun => Refusal::Unavailable {
                cause,
                retry: retry_delay(),
            },
            Outcome::Unknown => Refusal::Lost(cause),
            Outcome::TimedOut => Refusal::Timeout,
        }
    }
}

/// Whether a request is a program's first turn, as far as this entry knows.
fn is_first_turn(state: &State, job: &Job) -> bool {
    let is_turn = matches!(job.route.kind, RequestKind::Stream(_));
    let is_known = |program| state.programs.lock().target(program).is_some();
    let program = job.call.program.as_ref();
    is_turn && job.call.previous.is_none() && !program.is_some_and(is_known)
}
