//! One call at the owner of its shard, from authority to the recorded answer.
//!
//! The order is fixed: authority and key, the ledger's view, admission to the customer's rate, a
//! target, the record of the dispatch in two places, the dispatch, the record of the outcome in two
//! places, the last frame to the caller. A call that can't be repeated goes on when its caller
//! leaves; any other is cancelled.

use std::sync::Arc;
use std::time::Instant;

use coord::Set;
use coord::id;
use coord::id::Shard;
use coord::record::Outcome;
use parking_lot::Mutex;
use rand::RngExt;
use sched::quarantine::Verdict;
use sched::retry::Budget;
use wire::CallRequest;
use wire::Crashed;
use wire::Done;
use wire::Ran;
use wire::Refusal;
use wire::call_frame::Frame;
use wire::call_request::What;

use crate::admission::Admission;
use crate::attempt;
use crate::cache::Caches;
use crate::flight::Flight;
use crate::instruments::Instruments;
use crate::job::Job;
use crate::ledger;
use crate::ledger::Prompt;
use crate::ledger::Stop;
use crate::ledger::Turn;
use crate::member::Member;
use crate::out::Out;
use crate::outcome;
use crate::place::Choice;
use crate::place::Question;
use crate::place::Service;
use crate::place::Table;
use crate::program;
use crate::refusal;
use crate::run;
use crate::run::Attempt;
use crate::run::End;
use crate::settings::Settings;
use crate::shards::Moved;
use crate::stream;
use crate::stream::Frames;
use crate::trial;
use crate::trial::Again;
use crate::trial::Trials;

/// Runs the calls of the shards that this node owns.
pub struct Call {
    pub(crate) member: Arc<Member>,
    pub(crate) settings: Arc<Settings>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) instruments: Arc<Instruments>,
    pub table: Table,
    pub(crate) caches: Caches,
    pub(crate) flight: Flight,
    retries: Mutex<Budget>,
}

impl Call {
    /// Runs calls under a member's authority.
    pub fn new(
        member: Arc<Member>,
        settings: Arc<Settings>,
        admission: Arc<Admission>,
        instruments: Arc<Instruments>,
    ) -> Arc<Call> {
        let table = Table::new(&settings.data_centre, rand::rng().random());
        Arc::new(Call {
            member,
            settings,
            admission,
            instruments,
            table,
            caches: Caches::default(),
            flight: Flight::default(),
            retries: Mutex::new(Budget::new()),
        })
    }

    /// Runs a request in a task of its own; the frames come as they arise.
    pub fn run(self: &Arc<Self>, request: CallRequest) -> Frames {
        let (out, frames) = Out::pair();
        let call = Arc::clone(self);
        tokio::spawn(async move { call.serve(request, &out).await });
        frames
    }

    /// Calls in progress in one shard.
    pub fn in_flight(&self, shard: Shard) -> usize {
        self.flight.calls(shard)
    }

    async fn serve(&self, request: CallRequest, out: &Out) {
        let begun = Instant::now();
        let result = match &request.what {
            Some(What::Open(_) | What::End(_) | What::Show(_)) => {
                program::serve(self, &request, out).await
            }
            _ => match Job::new(request, &self.member.config()) {
                Ok(job) => {
                    let result = self.job(&job, out).await;
                    result.map_err(|stop| self.vouched(&job, stop))
                }
                Err(refusal) => Err(Stop::Refused(refusal)),
            },
        };
        match result {
            Ok(()) => self.instruments.answered(begun.elapsed()),
            Err(Stop::Refused(refusal)) => {
                if out.begun() {
                    let (step, peer) = (refusal.step.as_str(), refusal.peer.as_str());
                    log::warn!(step, peer; "answer broken off: {}", refusal.message);
                    self.instruments.refused(&refusal);
                }
                out.refuse(refusal).await;
            }
            Err(Stop::Moved(_)) if out.begun() => out.refuse(stream::broken()).await,
            Err(Stop::Moved(Moved { shard, epoch })) => {
                let moved = wire::Moved {
                    shard: shard.0.into(),
                    epoch: epoch.0,
                };
                out.last(Frame::Moved(moved)).await;
            }
            Err(Stop::Gone) => {}
        }
    }

    /// A refusal that says "not run" only if the ledger knows of no earlier send that may have.
    fn vouched(&self, job: &Job, stop: Stop) -> Stop {
        let refusal = match stop {
            Stop::Refused(refusal) if refusal.ran() == Ran::No => refusal,
            stop => return stop,
        };
        match ledger::ran(&self.member, job) {
            Ok(ran) => Stop::Refused(Refusal {
                ran: ran.into(),
                ..refusal
            }),
            Err(moved) => Stop::Moved(moved),
        }
    }

    /// The whole way of a call.
    async fn job(&self, job: &Job, out: &Out) -> Result<(), Stop> {
        let _counted = self.flight.enter(job.shard);
        self.admitted(job)?;
        let prompt = match self.turn(job, out).await? {
            Turn::Replay(answer) => return replay(out, &answer).await,
            Turn::Go(prompt) => prompt,
            Turn::Attach | Turn::Early => return Err(Stop::Gone),
        };
        self.admission.admit(job).await?;
        self.retries.lock().record_request();
        let mut trials = Trials::default();
        let result = self.attempts(job, prompt, &mut trials, out).await;
        result.map_err(|stop| trials.honest(stop, job.recorded))
    }

    /// Attempts until there is an outcome.
    async fn attempts(
        &self,
        job: &Job,
        mut prompt: Prompt,
        trials: &mut Trials,
        out: &Out,
    ) -> Result<(), Stop> {
        loop {
            let attempt = match self.begin(job, trials, prompt).await? {
                Begun::Attempt(attempt) => attempt,
                Begun::Turn(Turn::Replay(answer)) => return replay(out, &answer).await,
                Begun::Turn(_) => match self.turn(job, out).await? {
                    Turn::Replay(answer) => return replay(out, &answer).await,
                    Turn::Go(again) => {
                        prompt = again;
                        continue;
                    }
                    Turn::Attach | Turn::Early => return Err(Stop::Gone),
                },
            };
            let end = run::run(self, job, &attempt, out).await;
            match self.finish(job, &attempt, end, out).await? {
                None => return Ok(()),
                Some(again) => self.pause(job, &attempt, trials, again, out).await?,
            }
            prompt = attempt.into_prompt();
        }
    }

    /// Waits until the ledger lets the call go, or has its answer.
    async fn turn(&self, job: &Job, out: &Out) -> Result<Turn, Stop> {
        loop {
            let news = self.flight.news(job.shard);
            let turn = ledger::review(&self.member, job).await?;
            let refusal = match turn {
                Turn::Go(_) | Turn::Replay(_) => return Ok(turn),
                Turn::Attach => trial::attached_too_long(),
                Turn::Early => trial::too_early(),
            };
            tokio::select! {
                () = news => {}
                () = tokio::time::sleep_until(job.deadline) => return Err(refusal.into()),
                () = out.closed() => return Err(Stop::Gone),
            }
            self.admitted(job)?;
        }
    }

    /// Chooses a target and records the dispatch.
    async fn begin(&self, job: &Job, trials: &Trials, prompt: Prompt) -> Result<Begun, Stop> {
        self.check(job)?;
        let choice = self.place(job, trials, &prompt)?;
        let name = attempt::fresh(choice.incarnation.as_deref());
        let own = self.flight.claim(&name);
        let target = &choice.target.id;
        let turn = match ledger::begin(&self.member, job, &name, target, &prompt).await {
            Ok(turn) => turn,
            Err(stop) => {
                self.withdraw(job, &name).await;
                return Err(stop);
            }
        };
        let Turn::Go(prompt) = turn else {
            return Ok(Begun::Turn(turn));
        };
        match self.check(job) {
            Ok(authority) => {
                let cost = prompt.tokens.0 + job.max_tokens().0;
                self.table.sent(target, id::Tokens(cost), Instant::now());
                Ok(Begun::Attempt(Box::new(Attempt {
                    name,
                    own,
                    alone: self.verdict(job) == Verdict::Suspect,
                    target: choice.target,
                    authority,
                    messages: prompt.messages,
                    prompt: prompt.tokens,
                    attained: prompt.attained,
                })))
            }
            Err(stop) => {
                self.withdraw(job, &name).await;
                Err(stop)
            }
        }
    }

    /// Records that an attempt was never sent, if this node still can.
    async fn withdraw(&self, job: &Job, name: &id::Attempt) {
        let _ = self.settle(job, name, Outcome::NotRun).await;
    }

    fn place(&self, job: &Job, trials: &Trials, prompt: &Prompt) -> Result<Choice, Stop> {
        let config = self.member.config();
        let program = job.program.as_ref();
        let affinity = program.map_or(job.customer.as_str(), |program| program.as_str());
        let question = Question {
            config: &config,
            policy: &self.settings.policy,
            service: &job.service,
            input: prompt.tokens,
            output: job.max_tokens(),
            affinity: id::fingerprint(&[affinity.as_bytes()]),
            cached: program.and_then(|program| self.caches.held(program)),
            barred: &trials.barred,
        };
        let leaving = |target: &id::Target| self.member.leaving(target);
        let now = Instant::now();
        let choice = self.table.choose(&question, leaving, now).or_else(|| {
            let barred = &Set::default();
            let all = Question { barred, ..question };
            self.table.choose(&all, leaving, now)
        });
        choice.ok_or_else(|| trial::no_target().into())
    }

    /// Records what came of an attempt; some refusal: the call may be tried again.
    async fn finish(
        &self,
        job: &Job,
        attempt: &Attempt,
        end: End,
        out: &Out,
    ) -> Result<Option<Again>, Stop> {
        match end {
            End::Answered { done, answer } => {
                let outcome = answer.map_or(Outcome::Unknown, Outcome::Answered);
                self.settle(job, &attempt.name, outcome).await?;
                self.completed(job, attempt, &done);
                out.last(Frame::Done(done)).await;
                Ok(None)
            }
            End::NotRun(refusal) => {
                self.settle(job, &attempt.name, Outcome::NotRun).await?;
                Ok(Some(Again::not_run(refusal, job.left())))
            }
            End::Unknown(refusal) if job.idempotent => {
                self.settle(job, &attempt.name, Outcome::Unknown).await?;
                match out.begun() {
                    true => Err(stream::broken().into()),
                    false => Ok(Some(Again::lost(refusal))),
                }
            }
            End::Unknown(refusal) => {
                self.settle(job, &attempt.name, Outcome::Unknown).await?;
                Err(trial::final_unknown(refusal).into())
            }
            End::Crashed(crashed) => self.crashed(job, attempt, &crashed, out).await,
        }
    }

    async fn settle(&self, job: &Job, name: &id::Attempt, outcome: Outcome) -> Result<(), Stop> {
        let settled = outcome::settle(&self.member, job, name, outcome).await;
        self.flight.settled(job.shard);
        settled
    }

    fn completed(&self, job: &Job, attempt: &Attempt, done: &Done) {
        self.member.quarantine.completed(job.fingerprint());
        if let (Some(program), Service::Model(_)) = (&job.program, &job.service) {
            let tokens = id::Tokens(done.prompt_tokens + done.completion_tokens);
            let epoch = attempt.authority.epoch;
            self.caches
                .note(program, &attempt.target, tokens, job.shard, epoch);
        }
    }

    /// A target died while it ran the call.
    async fn crashed(
        &self,
        job: &Job,
        attempt: &Attempt,
        crashed: &Crashed,
        out: &Out,
    ) -> Result<Option<Again>, Stop> {
        let now = self.member.now();
        self.member.quarantine.crashed(crashed, now);
        self.member.news.notify_one();
        self.instruments.crashed();
        let target = &attempt.target.id;
        self.table.failed(target, Instant::now());
        self.settle(job, &attempt.name, Outcome::Unknown).await?;
        let lost = refusal::at(trial::crashed_under(), target);
        match self.verdict(job) {
            _ if !job.idempotent => Err(trial::final_unknown(lost).into()),
            Verdict::Quarantined => Err(trial::ran_when(trial::quarantined()).into()),
            _ if out.begun() => Err(stream::broken().into()),
            Verdict::Allowed | Verdict::Suspect => Ok(Some(Again::lost(lost))),
        }
    }

    /// Waits before another attempt, or refuses it.
    async fn pause(
        &self,
        job: &Job,
        attempt: &Attempt,
        trials: &mut Trials,
        again: Again,
        out: &Out,
    ) -> Result<(), Stop> {
        if out.is_closed() && job.idempotent {
            return Err(Stop::Gone);
        }
        trials.count += 1;
        trials.may_have_run |= again.may_have_run;
        trials.barred.insert(attempt.target.id.clone());
        let delay = crate::clock::duration(trials.delay.next_delay(rand::rng().random()));
        let in_time = delay < job.left();
        let allowed = again.free || self.retries.lock().try_spend();
        match again.repeatable && in_time && allowed && trials.count < trial::ATTEMPTS {
            true => {
                self.instruments.retried();
                tokio::time::sleep(delay).await;
                Ok(())
            }
            false => Err(again.refusal.into()),
        }
    }
}

enum Begun {
    Attempt(Box<Attempt>),
    Turn(Turn),
}

async fn replay(out: &Out, answer: &coord::record::Answer) -> Result<(), Stop> {
    out.replay(answer.clone()).await;
    Ok(())
}
