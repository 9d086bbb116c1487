//! Selects targets for the attempts of one request and decides whether to retry.

use compact_str::CompactString;
use sched::attempt::Action;
use sched::attempt::Attempts;
use sched::attempt::Failure;
use sched::attempt::Outcome;
use tokio::time::Instant;

use crate::error::Error;
use crate::serve::refusal::Refusal;
use crate::serve::refusal::Unresumable;
use crate::serve::request::Job;
use crate::serve::request::retry_delay;
use crate::state::State;
use crate::target::balance;
use crate::target::balance::Criteria;
use crate::target::balance::Prompt;
use crate::target::directory::Candidate;
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
    ) -> Result<Candidate, Refusal> {
        if Instant::now() >= job.deadline {
            return Err(self.refusal(self.attempts.outcome(), job));
        }
        let services = state.services();
        let entries = services.get(&job.service).map_or(&[][..], Vec::as_slice);
        let tried: Vec<&str> = self.tried.iter().map(|id| id.as_str()).collect();
        let prefixes = state.prefixes.lock();
        let is_cached = |prefix, target| prefixes.is_cached(prefix, target, state.time());
        let criteria = Criteria {
            prompt,
            is_cached: &is_cached,
            affinity,
            data_centre: state.settings.data_centre.as_str(),
            idempotent: job.is_idempotent(),
            resumable: job.is_resumable(),
            versions: &self.versions,
            entries: state.entry_count(),
            now_ms: state.now_ms(),
        };
        let chosen = balance::choose(entries, &tried, criteria, self.random).cloned();
        match chosen {
            Some(entry) => {
                self.tried.push(entry.target.id.clone());
                self.attempts.record_start();
                Ok(entry)
            }
            None => Err(self.no_target(entries, job)),
        }
    }

    /// Returns the refusal of a request for which no untried target is left.
    fn no_target(&self, entries: &[Candidate], job: &Job) -> Refusal {
        let permits = |entry: &Candidate| self.versions.permits(&entry.target);
        match (&self.versions, self.attempts.outcome()) {
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
    pub fn hedge_target(&mut self, state: &State, job: &Job) -> Option<Candidate> {
        match self.attempts.may_hedge() {
            true => self.next_target(state, job, None, None).ok(),
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
