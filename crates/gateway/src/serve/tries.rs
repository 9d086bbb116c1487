//! Targets tried for one request.

use compact_str::CompactString;
use sched::attempt::Action;
use sched::attempt::Attempts;
use sched::attempt::Failure;
use sched::attempt::Outcome;
use tokio::time::Instant;

use crate::error::Error;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::serve::request::retry_pause;
use crate::state::State;
use crate::target::balance;
use crate::target::balance::Criteria;
use crate::target::balance::Prompt;
use crate::target::directory::Candidate;

/// Targets that were tried for one request, and what became of it there.
#[derive(Debug)]
pub struct Tries {
    tried: Vec<CompactString>,
    attempts: Attempts,
    /// How the last attempt failed.
    cause: Option<String>,
}

impl Tries {
    /// A request that wasn't sent yet.
    pub fn new(job: &Job) -> Tries {
        Tries {
            tried: Vec::new(),
            attempts: Attempts::new(job.idempotent(), job.route.attempts),
            cause: None,
        }
    }

    /// The next target to try.
    ///
    /// Errors: there is none, or no time.
    pub fn next(
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
            now_ms: state.now_ms(),
        };
        let chosen = balance::choose(entries, &tried, criteria, rand::random()).cloned();
        match chosen {
            Some(entry) => {
                self.tried.push(entry.target.id.clone());
                self.attempts.record_start();
                Ok(entry)
            }
            None => Err(self.refusal(self.attempts.outcome(), job)),
        }
    }

    /// A further target for a request that others still run, if there is one and it may run there.
    pub fn another(&mut self, state: &State, job: &Job) -> Option<Candidate> {
        match self.attempts.may_hedge() {
            true => self.next(state, job, None, None).ok(),
            false => None,
        }
    }

    /// Takes a failed attempt; a stream that breaks is one too.
    ///
    /// Errors: the request may not be tried again.
    pub fn failed(&mut self, error: Error, job: &Job) -> Result<(), Refusal> {
        self.cause = Some(error.to_string());
        let failure = match error {
            Error::NotRun(_) => Failure::NotRun,
            Error::MaybeRun(_) => Failure::MaybeRun,
            Error::Timeout => Failure::Timeout,
        };
        match self.attempts.record_failure(failure) {
            Action::Retry | Action::Wait => Ok(()),
            Action::GiveUp(fate) => Err(self.refusal(fate, job)),
        }
    }

    fn refusal(&self, fate: Outcome, job: &Job) -> Refusal {
        let cause = self.cause.clone();
        let cause = cause.unwrap_or_else(|| format!("no target of {}", job.service));
        match fate {
            Outcome::NotRun => Refusal::Unavailable {
                cause,
                retry: retry_pause(),
            },
            Outcome::Unknown => Refusal::Lost(cause),
            Outcome::TimedOut => Refusal::Timeout,
        }
    }
}
