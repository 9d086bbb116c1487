//! One call at the owner of its shard, from authority to the recorded answer.
//!
//! The order is fixed: authority and key, the ledger's view, admission to the customer's rate, a
//! target, the record of the dispatch in two places, the dispatch, the record of the outcome in two
//! places, the last frame to the caller. A call that can't be repeated goes on when its caller
//! leaves; any other is cancelled.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Set;
use coord::id;
use coord::id::Shard;
use coord::record::Outcome;
use coord::refusal::Code;
use coord::time::Millis;
use parking_lot::Mutex;
use rand::RngExt;
use sched::quarantine::Quarantine;
use sched::quarantine::Verdict;
use sched::retry::Budget;
use sched::retry::Delay;
use wire::CallRequest;
use wire::Crashed;
use wire::Done;
use wire::Refusal;
use wire::call_frame::Frame;
use wire::call_request::What;

use crate::admission::Admission;
use crate::attempt;
use crate::auth;
use crate::cache::Caches;
use crate::flight::Flight;
use crate::instruments::Instruments;
use crate::job::Job;
use crate::ledger;
use crate::ledger::Prompt;
use crate::ledger::Stop;
use crate::ledger::Turn;
use crate::lease::Authority;
use crate::member::Member;
use crate::out::Out;
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

const STEP: &str = "call";
/// Bounds of the delay before another attempt.
const DELAY_MIN: Millis = Millis(10);
const DELAY_MAX: Millis = Millis(250);
/// Attempts of one call at most.
const ATTEMPTS: usize = 8;
/// When to come back if no target can be had, in milliseconds.
const RETRY_AFTER: u64 = 1000;

/// Runs the calls of the shards that this node owns.
pub struct Call {
    pub(crate) member: Arc<Member>,
    pub(crate) settings: Arc<Settings>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) instruments: Arc<Instruments>,
    pub(crate) table: Table,
    pub(crate) caches: Caches,
    pub(crate) flight: Flight,
    pub(crate) quarantine: Mutex<Quarantine>,
    retries: Mutex<Budget>,
}

/// Attempts of one call so far.
struct Trials {
    count: usize,
    barred: Set<id::Target>,
    delay: Delay,
}

impl Call {
    /// Runs calls under a member's authority.
    pub fn new(
        member: Arc<Member>,
        settings: Arc<Settings>,
        admission: Arc<Admission>,
        instruments: Arc<Instruments>,
    ) -> Arc<Call> {
        Arc::new(Call {
            member,
            settings,
            admission,
            instruments,
            table: Table::default(),
            caches: Caches::default(),
            flight: Flight::default(),
            quarantine: Mutex::new(Quarantine::new()),
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
                Ok(job) => self.job(&job, out).await,
                Err(refusal) => Err(Stop::Refused(refusal)),
            },
        };
        match result {
            Ok(()) => self.instruments.answered(begun.elapsed()),
            Err(Stop::Refused(refusal)) => {
                self.instruments.refused(&refusal);
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

    /// The whole way of a call.
    async fn job(&self, job: &Job, out: &Out) -> Result<(), Stop> {
        let _counted = self.flight.enter(job.shard);
        self.check(job)?;
        let mut prompt = match self.turn(job, out).await? {
            Turn::Replay(answer) => return replay(out, &answer).await,
            Turn::Go(prompt) => prompt,
            Turn::Attach | Turn::Early => return Err(Stop::Gone),
        };
        self.admission.admit(job).await?;
        self.retries.lock().sent();
        let mut trials = Trials::new();
        loop {
            let attempt = match self.begin(job, &trials, prompt).await? {
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
                Some(again) => self.pause(job, &attempt, &mut trials, again).await?,
            }
            prompt = attempt.into_prompt();
        }
    }

    /// Whether the call may go on: this node's authority, the caller's key, the quarantine.
    fn check(&self, job: &Job) -> Result<Authority, Stop> {
        let Some(authority) = self.member.authority(job.shard) else {
            return Err(self.moved(job.shard));
        };
        self.allowed(job)?;
        match self.verdict(job) {
            Verdict::Quarantined => return Err(quarantined().into()),
            Verdict::Free | Verdict::Suspect => {}
        }
        match authority.cautious && !job.idempotent {
            true => Err(cautious().into()),
            false => Ok(authority),
        }
    }

    /// Whether the key, or the route without one, is still in force.
    pub(crate) fn allowed(&self, job: &Job) -> Result<(), Refusal> {
        let config = self.member.config();
        let allowed = match (&job.key, &job.service) {
            (Some(key), _) => auth::in_force(&config, &job.customer, key),
            (None, Service::Route(route)) => config.route(route).is_some_and(|route| route.public),
            (None, Service::Model(_)) => false,
        };
        match allowed {
            true => Ok(()),
            false => Err(auth::unauthorized("the key isn't in force")),
        }
    }

    fn verdict(&self, job: &Job) -> Verdict {
        let now = self.member.clock().now();
        self.quarantine.lock().check(job.fingerprint(), now)
    }

    pub(crate) fn moved(&self, shard: Shard) -> Stop {
        let owner = self.member.owner(shard);
        let epoch = owner.map_or(id::Epoch(0), |owner| owner.epoch);
        Stop::Moved(Moved { shard, epoch })
    }

    /// Waits until the ledger lets the call go, or has its answer.
    async fn turn(&self, job: &Job, out: &Out) -> Result<Turn, Stop> {
        loop {
            let news = self.flight.news(job.shard);
            let turn = ledger::review(self.member.shards(), job).await?;
            let refusal = match turn {
                Turn::Go(_) | Turn::Replay(_) => return Ok(turn),
                Turn::Attach => attached_too_long(),
                Turn::Early => too_early(),
            };
            tokio::select! {
                () = news => {}
                () = tokio::time::sleep_until(job.deadline) => return Err(refusal.into()),
                () = out.closed() => return Err(Stop::Gone),
            }
            self.check(job)?;
        }
    }

    /// Chooses a target and records the dispatch.
    async fn begin(&self, job: &Job, trials: &Trials, prompt: Prompt) -> Result<Begun, Stop> {
        self.check(job)?;
        let choice = self.place(job, trials, &prompt)?;
        let name = attempt::fresh(choice.incarnation.as_deref());
        let target = &choice.target.id;
        let shards = self.member.shards();
        let turn = match ledger::begin(shards, job, &name, target, &prompt).await {
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
                Ok(Begun::Attempt(Attempt {
                    name,
                    alone: self.verdict(job) == Verdict::Suspect,
                    target: choice.target,
                    authority,
                    messages: prompt.messages,
                    prompt: prompt.tokens,
                    attained: prompt.attained,
                }))
            }
            Err(stop) => {
                self.withdraw(job, &name).await;
                Err(stop)
            }
        }
    }

    /// Records that an attempt was never sent, if this node still can.
    async fn withdraw(&self, job: &Job, name: &id::Attempt) {
        let shards = self.member.shards();
        let _ = ledger::settle(shards, job, name, Outcome::NotRun).await;
        self.flight.settled(job.shard);
    }

    fn place(&self, job: &Job, trials: &Trials, prompt: &Prompt) -> Result<Choice, Stop> {
        let config = self.member.config();
        let program = job.program.as_ref();
        let affinity = program.map_or(job.customer.as_str(), |program| program.as_str());
        let question = Question {
            config: &config,
            policy: &self.settings.policy,
            near: &self.settings.data_centre,
            service: &job.service,
            input: prompt.tokens,
            output: job.max_tokens(),
            affinity: id::fingerprint(&[affinity.as_bytes()]),
            cached: program.and_then(|program| self.caches.held(program)),
            barred: &trials.barred,
        };
        let leaving = |target: &id::Target| self.member.leaving(target);
        let choice = self.table.choose(&question, leaving, Instant::now());
        choice.ok_or_else(|| no_target().into())
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
                self.settle(job, attempt, outcome).await?;
                self.completed(job, attempt, &done);
                out.last(Frame::Done(done)).await;
                Ok(None)
            }
            End::NotRun(refusal) => {
                self.settle(job, attempt, Outcome::NotRun).await?;
                Ok(Some(Again::not_run(refusal)))
            }
            End::Unknown(refusal) if job.idempotent => {
                self.settle(job, attempt, Outcome::NotRun).await?;
                match out.begun() {
                    true => Err(stream::broken().into()),
                    false => Ok(Some(Again::lost(refusal))),
                }
            }
            End::Unknown(refusal) => {
                self.settle(job, attempt, Outcome::Unknown).await?;
                Err(final_unknown(refusal).into())
            }
            End::Crashed(crashed) => self.crashed(job, attempt, &crashed, out).await,
        }
    }

    async fn settle(&self, job: &Job, attempt: &Attempt, outcome: Outcome) -> Result<(), Stop> {
        let shards = self.member.shards();
        let settled = ledger::settle(shards, job, &attempt.name, outcome).await;
        self.flight.settled(job.shard);
        settled
    }

    fn completed(&self, job: &Job, attempt: &Attempt, done: &Done) {
        self.quarantine.lock().completed(job.fingerprint());
        if let (Some(program), Service::Model(_)) = (&job.program, &job.service) {
            let tokens = id::Tokens(done.prompt_tokens + done.completion_tokens);
            let epoch = attempt.authority.epoch;
            self.caches.note(program, &attempt.target, tokens, job.shard, epoch);
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
        let now = self.member.clock().now();
        self.quarantine.lock().crashed(&crashed.fingerprints, now);
        self.instruments.crashed();
        let target = &attempt.target.id;
        self.table.failed(target, Instant::now());
        match job.idempotent {
            true => self.settle(job, attempt, Outcome::NotRun).await?,
            false => self.settle(job, attempt, Outcome::Unknown).await?,
        }
        let lost = refusal::at(crashed_under(), target);
        match self.verdict(job) {
            _ if !job.idempotent => Err(final_unknown(lost).into()),
            Verdict::Quarantined => Err(ran_when(quarantined()).into()),
            _ if out.begun() => Err(stream::broken().into()),
            Verdict::Free | Verdict::Suspect => Ok(Some(Again::lost(lost))),
        }
    }

    /// Waits before another attempt, or refuses it.
    async fn pause(
        &self,
        job: &Job,
        attempt: &Attempt,
        trials: &mut Trials,
        again: Again,
    ) -> Result<(), Stop> {
        trials.count += 1;
        trials.barred.insert(attempt.target.id.clone());
        let delay = crate::clock::duration(trials.delay.next(rand::rng().random()));
        let in_time = delay < job.left();
        let allowed = again.free || self.retries.lock().take();
        match again.repeatable && in_time && allowed && trials.count < ATTEMPTS {
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
    Attempt(Attempt),
    Turn(Turn),
}

/// A call without an answer that may be tried again.
struct Again {
    refusal: Refusal,
    /// Costs no target anything.
    free: bool,
    repeatable: bool,
}

impl Again {
    /// Confirmed not to have run.
    fn not_run(refusal: Refusal) -> Again {
        let code: Option<Code> = refusal.code.parse().ok();
        let hopeless = matches!(
            code,
            Some(Code::Unauthorized | Code::Deadline | Code::Quarantined | Code::BadRequest)
        );
        Again {
            free: true,
            repeatable: !hopeless,
            refusal,
        }
    }

    /// May have run, and may be repeated.
    fn lost(refusal: Refusal) -> Again {
        Again {
            refusal: refusal::retry_after(refusal, RETRY_AFTER),
            free: false,
            repeatable: true,
        }
    }
}

impl Trials {
    fn new() -> Trials {
        Trials {
            count: 0,
            barred: Set::default(),
            delay: Delay::new(DELAY_MIN, DELAY_MAX),
        }
    }
}

async fn replay(out: &Out, answer: &coord::record::Answer) -> Result<(), Stop> {
    out.replay(answer.clone()).await;
    Ok(())
}

fn quarantined() -> Refusal {
    refusal::not_run(Code::Quarantined, STEP, "this request has crashed its targets")
}

fn ran_when(refusal: Refusal) -> Refusal {
    Refusal {
        ran: wire::Ran::Unknown.into(),
        ..refusal
    }
}

fn cautious() -> Refusal {
    let message = "only requests that may be repeated are taken at present";
    let refusal = refusal::not_run(Code::Unavailable, STEP, message);
    refusal::retry_after(refusal, RETRY_AFTER)
}

fn no_target() -> Refusal {
    let refusal = refusal::not_run(Code::Unavailable, STEP, "no target is in service");
    refusal::retry_after(refusal, RETRY_AFTER)
}

fn crashed_under() -> Refusal {
    refusal::unknown(Code::OutcomeUnknown, STEP, "the target died while it ran the request")
}

fn final_unknown(refusal: Refusal) -> Refusal {
    Refusal {
        code: Code::OutcomeUnknown.as_str().into(),
        retry_after_ms: 0,
        ..ran_when(refusal)
    }
}

fn attached_too_long() -> Refusal {
    refusal::unknown(Code::Deadline, STEP, "the same request is still in progress")
}

fn too_early() -> Refusal {
    refusal::not_run(Code::OutOfOrder, STEP, "the step before has no answer yet")
}
