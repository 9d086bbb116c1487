//! One attempt from its arrival to its end: admit, wait, start, run, account.

use std::sync::Arc;
use std::time::Instant;

use coord::id::Attempt;
use coord::id::Customer;
use coord::id::Program;
use coord::id::Tokens;
use coord::refusal::Code;
use coord::time::Millis;
use coord::time::Time;
use sched::cost;
use sched::queue::Job;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::Ran;
use wire::Refusal;
use wire::Start;
use wire::Started;
use wire::start::Work;

use crate::age;
use crate::frame::FrameSender;
use crate::frame::Outcome;
use crate::generate;
use crate::health::Run;
use crate::intake;
use crate::intake::Request;
use crate::ledger::Authority;
use crate::ledger::Denied;
use crate::ledger::Named;
use crate::meter::Sample;
use crate::plain;
use crate::queue::PendingRequest;
use crate::queue::Permit;
use crate::refusal;
use crate::state::Control;
use crate::state::ModelUse;
use crate::state::State;

/// When to come back to a target whose process is stopping.
const DRAIN_DELAY: Millis = Millis(1_000);

/// An attempt that is here.
#[derive(Debug)]
pub struct Dispatch {
    state: Arc<State>,
    attempt: Attempt,
    authority: Authority,
    customer: Customer,
    program: Option<Program>,
    cost: Tokens,
    keep: bool,
    request: Request,
    _buffer: OwnedSemaphorePermit,
    /// Keeps the model loaded.
    _model_use: Option<ModelUse>,
    start: Start,
    arrived: Time,
}

impl Dispatch {
    /// Reads what is to be run.
    ///
    /// Errors: it is malformed, and was not run.
    pub fn new(state: Arc<State>, mut start: Start) -> Result<Dispatch, Refusal> {
        let malformed = |_| refusal::new(Code::BadRequest, Ran::No, "malformed name");
        let attempt: Attempt = start.attempt.parse().map_err(malformed)?;
        let customer: Customer = start.customer.parse().map_err(malformed)?;
        let program = match start.program.is_empty() {
            true => None,
            false => Some(start.program.parse::<Program>().map_err(malformed)?),
        };
        let authority = intake::parse_authority(start.shard, start.epoch)?;
        let cost = intake::expected_cost(&state, &start);
        let keep = matches!(&start.work, Some(Work::Generate(work)) if work.keep);
        let buffer = state.reserve_buffer(intake::request_size(&start));
        let buffer = buffer.ok_or_else(|| intake::denial_refusal(Denied::Full))?;
        let model = match &start.work {
            Some(Work::Generate(work)) => Some(state.use_model(&work.model)),
            _ => None,
        };
        let request = intake::parse_request(&state, &attempt, &mut start)?;
        Ok(Dispatch {
            arrived: state.clock.now(),
            state,
            attempt,
            authority,
            customer,
            program,
            cost,
            keep,
            request,
            _buffer: buffer,
            _model_use: model,
            start,
        })
    }

    /// Runs the attempt and tells its caller everything.
    pub async fn run(self, output: FrameSender) {
        let mut controls = match self.admit() {
            Ok(controls) => controls,
            Err(refusal) => {
                let outcome = Outcome::Refused(refusal);
                return output.send_outcome(outcome, self.state.load()).await;
            }
        };
        let outcome = self.wait_and_run(&output, &mut controls).await;
        self.state.unregister_controls(&self.attempt);
        self.state.metrics.ended(&outcome);
        output.send_outcome(outcome, self.state.load()).await;
    }

    /// The attempt's name.
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    fn admit(&self) -> Result<UnboundedReceiver<Control>, Refusal> {
        if self.state.is_draining() {
            let message = "the sidecar is stopping";
            return Err(refusal::later(Code::Draining, message, DRAIN_DELAY));
        }
        let now = self.arrived;
        let named = Named {
            attempt: &self.attempt,
            made: age::made(&self.attempt, now),
        };
        let admitted = self.state.ledger.lock().admit(named, self.authority, now);
        match admitted {
            Ok(()) => Ok(self.state.register_controls(&self.attempt)),
            Err(denied) => Err(intake::denial_refusal(denied)),
        }
    }

    async fn wait_and_run(
        &self,
        output: &FrameSender,
        controls: &mut UnboundedReceiver<Control>,
    ) -> Outcome {
        match self.wait(output, controls).await {
            Ok(permit) => self.execute(permit, output, controls).await,
            Err(refusal) => {
                let now = self.state.clock.now();
                self.state.ledger.lock().end_unsent(&self.attempt, now);
                Outcome::Refused(refusal)
            }
        }
    }

    /// Waits for leave to run; a refusal means that it never runs.
    async fn wait(
        &self,
        output: &FrameSender,
        controls: &mut UnboundedReceiver<Control>,
    ) -> Result<Permit, Refusal> {
        let mut pending = self.enqueue()?;
        let mut start_by = self.limit(self.start.start_by_ms).min(self.deadline());
        let not_run = |code, message| Err(refusal::new(code, Ran::No, message));
        loop {
            let timer = tokio::time::sleep_until(self.state.clock.instant(start_by));
            tokio::select! {
                biased;
                Some(control) = controls.recv() => match control {
                    Control::Extend(time) => start_by = time.min(self.deadline()),
                    Control::Cancel => return not_run(Code::NotRun, "cancelled while it waited"),
                },
                () = output.closed() => return not_run(Code::NotRun, "its caller has left"),
                () = timer => return not_run(Code::Deadline, "not started in time"),
                permit = pending.permit() => match self.state.clock.now() < start_by {
                    true => return Ok(permit),
                    // The process was paused, and its timer is still to fire.
                    false => return not_run(Code::Deadline, "not started in time"),
                },
            }
        }
    }

    /// The part of the prompt that the engine has to process.
    fn prefill(&self) -> Tokens {
        match &self.request {
            Request::Generate(_) => {
                Tokens(self.start.prompt_tokens.saturating_sub(self.cached().0))
            }
            Request::Plain(_) => Tokens(0),
        }
    }

    fn enqueue(&self) -> Result<PendingRequest, Refusal> {
        let warm = self.cached() > Tokens(0);
        let job = Job {
            id: 0,
            customer: self.customer.clone(),
            weight: self.start.weight.max(1),
            program: self.program.clone(),
            attained: Tokens(self.start.attained),
            cost: self.cost,
            warm,
            arrived: self.arrived,
        };
        let place = self
            .state
            .queue
            .enqueue(job, self.prefill(), self.start.alone);
        place.map_err(|_| {
            refusal::later(
                Code::Overloaded,
                "the queue is full",
                intake::OVERLOAD_DELAY,
            )
        })
    }

    async fn execute(
        &self,
        permit: Permit,
        output: &FrameSender,
        controls: &mut UnboundedReceiver<Control>,
    ) -> Outcome {
        let begun = self
            .state
            .ledger
            .lock()
            .start(&self.attempt, self.authority);
        if !begun {
            let now = self.state.clock.now();
            self.state.ledger.lock().end_unsent(&self.attempt, now);
            let message = "fenced off or superseded while it waited";
            return Outcome::Refused(refusal::new(Code::NotRun, Ran::No, message));
        }
        let queued = self.state.clock.now().since(self.arrived);
        self.state.metrics.waited(crate::clock::duration(queued));
        let started = Started {
            incarnation: self.state.incarnation.clone(),
            queued_ms: queued.0,
        };
        output.send_started(started, self.state.load()).await;
        self.hold_cache();
        let since = Instant::now();
        let run = self
            .state
            .health
            .enter(&self.attempt, self.start.fingerprint);
        let (outcome, sample) = self.watch(&run, &permit, output, controls).await;
        drop(run);
        self.state.metrics.ran(since.elapsed());
        self.account(&outcome, sample);
        drop(permit);
        outcome
    }

    /// Runs the request until it ends, is cancelled or is out of time.
    async fn watch(
        &self,
        run: &Run,
        permit: &Permit,
        output: &FrameSender,
        controls: &mut UnboundedReceiver<Control>,
    ) -> (Outcome, Option<Sample>) {
        let mut work = std::pin::pin!(self.work(run, permit, output));
        let deadline = self.state.clock.instant(self.deadline());
        let mut heard = true;
        loop {
            tokio::select! {
                ended = &mut work => return ended,
                Some(control) = controls.recv() => match control {
                    Control::Cancel if self.stoppable() => {
                        return (self.stop(Code::Broken).await, None);
                    }
                    Control::Cancel | Control::Extend(_) => {}
                },
                () = output.closed(), if heard => match self.start.idempotent {
                    true => return (self.stop(Code::Broken).await, None),
                    false => heard = false,
                },
                () = tokio::time::sleep_until(deadline) => {
                    return (self.stop(Code::Deadline).await, None);
                }
            }
        }
    }

    async fn work(
        &self,
        run: &Run,
        permit: &Permit,
        output: &FrameSender,
    ) -> (Outcome, Option<Sample>) {
        let state = &self.state;
        match &self.request {
            Request::Generate(body) => {
                let job = generate::Job {
                    upstream: &state.upstream,
                    limits: &state.settings.limits,
                    run,
                    attempt: &self.attempt,
                    output,
                    permit,
                };
                generate::run(job, body.clone()).await
            }
            Request::Plain(request) => {
                let job = plain::Job {
                    upstream: &state.upstream,
                    limits: &state.settings.limits,
                    run,
                    output,
                };
                (plain::run(job, request.clone()).await, None)
            }
        }
    }

    /// Whether a running request may be cut short: an engine's, or one that may be repeated.
    fn stoppable(&self) -> bool {
        matches!(self.request, Request::Generate(_)) || self.start.idempotent
    }

    async fn stop(&self, code: Code) -> Outcome {
        let refusal = match self.request {
            Request::Generate(_) => {
                if let Err(error) = self.state.upstream.cancel(self.attempt.as_str()).await {
                    self.state.record_failure("cancel", &error);
                }
                refusal::new(code, Ran::Unknown, "stopped while it ran")
            }
            Request::Plain(_) => {
                let message = "stopped while it ran; the service may finish it";
                refusal::new(Code::OutcomeUnknown, Ran::Unknown, message)
            }
        };
        Outcome::Refused(refusal)
    }

    fn account(&self, outcome: &Outcome, sample: Option<Sample>) {
        let now = self.state.clock.now();
        let unsent = matches!(outcome, Outcome::Refused(refusal) if refusal.ran() == Ran::No);
        match unsent {
            true => {
                self.state.ledger.lock().end_unsent(&self.attempt, now);
                self.state
                    .queue
                    .settle(&self.customer, self.cost, Tokens(0));
            }
            false => self.state.ledger.lock().end(&self.attempt, now),
        }
        self.release_cache(now);
        if let Some(sample) = sample {
            let uncached = Tokens(sample.prompt.0.saturating_sub(sample.cached.0));
            let actual = cost::prefill_equivalent(uncached, sample.completion);
            self.state.queue.settle(&self.customer, self.cost, actual);
            self.state.meter.record(&sample);
        }
    }

    fn hold_cache(&self) {
        if let (true, Some(program)) = (self.state.is_engine(), &self.program) {
            self.state.leases.lock().begin(program.as_str());
        }
    }

    fn release_cache(&self, now: Time) {
        if let (true, Some(program)) = (self.state.is_engine(), &self.program) {
            let mut leases = self.state.leases.lock();
            leases.finish(program.as_str(), self.keep, now);
            if leases.may_drop(program.as_str(), now) {
                self.state.release.notify_one();
            }
        }
    }

    fn cached(&self) -> Tokens {
        let program = self.program.as_ref().map_or("", |program| program.as_str());
        self.state.leases.lock().cached(program)
    }

    fn deadline(&self) -> Time {
        self.limit(self.start.deadline_ms)
    }

    /// The moment so many milliseconds after arrival; 0 stands for no limit.
    fn limit(&self, length: u64) -> Time {
        match length {
            0 => Time(u64::MAX),
            length => self.arrived + Millis(length),
        }
    }
}
