//! Lifecycle of one attempt: admission, queueing, execution and settlement.

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
use crate::ledger::AttemptRef;
use crate::ledger::Authority;
use crate::ledger::Denied;
use crate::meter::Sample;
use crate::plain;
use crate::queue::PendingRequest;
use crate::queue::Permit;
use crate::refusal;
use crate::state::Control;
use crate::state::ModelUse;
use crate::state::State;

/// Retry delay sent with a refusal by a draining sidecar.
const DRAIN_DELAY: Millis = Millis(1_000);

/// A received attempt.
#[derive(Debug)]
pub struct Dispatch {
    state: Arc<State>,
    attempt: Attempt,
    authority: Authority,
    customer: Customer,
    program: Option<Program>,
    cost: Tokens,
    /// Whether the program's cache is kept after the attempt.
    keep_cache: bool,
    request: Request,
    _buffer: OwnedSemaphorePermit,
    /// Prevents the model from being unloaded.
    _model_use: Option<ModelUse>,
    start: Start,
    arrived: Time,
}

impl Dispatch {
    /// Parses a start message and reserves buffer space for it.
    ///
    /// Errors: the message is invalid or the buffer is full; nothing was run.
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
        let keep_cache = matches!(&start.work, Some(Work::Generate(work)) if work.keep);
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
            keep_cache,
            request,
            _buffer: buffer,
            _model_use: model,
            start,
        })
    }

    /// Runs the attempt and sends its frames to the caller.
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
        self.state.metrics.record_outcome(&outcome);
        output.send_outcome(outcome, self.state.load()).await;
    }

    /// Id of the attempt.
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// Records the attempt in the ledger and registers it for controls.
    fn admit(&self) -> Result<UnboundedReceiver<Control>, Refusal> {
        if self.state.is_draining() {
            let message = "the sidecar is draining";
            return Err(refusal::retryable(Code::Draining, message, DRAIN_DELAY));
        }
        let now = self.arrived;
        let attempt_ref = AttemptRef {
            attempt: &self.attempt,
            created: age::creation_time(&self.attempt, now),
        };
        let admitted = self
            .state
            .ledger
            .lock()
            .admit(attempt_ref, self.authority, now);
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
                self.state.ledger.lock().record_unsent(&self.attempt, now);
                Outcome::Refused(refusal)
            }
        }
    }

    /// Waits for the permit to run; after a refusal the attempt never runs.
    async fn wait(
        &self,
        output: &FrameSender,
        controls: &mut UnboundedReceiver<Control>,
    ) -> Result<Permit, Refusal> {
        let mut pending = self.enqueue()?;
        let mut start_by = self.time_limit(self.start.start_by_ms).min(self.deadline());
        let not_run = |code, message| Err(refusal::new(code, Ran::No, message));
        loop {
            let timer = tokio::time::sleep_until(self.state.clock.instant(start_by));
            tokio::select! {
                biased;
                Some(control) = controls.recv() => match control {
                    Control::Extend(time) => start_by = time.min(self.deadline()),
                    Control::Cancel => return not_run(Code::NotRun, "cancelled while queued"),
                },
                () = output.closed() => return not_run(Code::NotRun, "the caller disconnected"),
                () = timer => return not_run(Code::Deadline, "not started before its time limit"),
                permit = pending.permit() => match self.state.clock.now() < start_by {
                    true => return Ok(permit),
                    // After a pause of the process, the permit can be ready before the timer fires.
                    false => return not_run(Code::Deadline, "not started before its time limit"),
                },
            }
        }
    }

    /// Uncached part of the prompt, which the engine has to process.
    fn uncached_prompt(&self) -> Tokens {
        match &self.request {
            Request::Generate(_) => Tokens(
                self.start
                    .prompt_tokens
                    .saturating_sub(self.cached_tokens().0),
            ),
            Request::Plain(_) => Tokens(0),
        }
    }

    fn enqueue(&self) -> Result<PendingRequest, Refusal> {
        let warm = self.cached_tokens() > Tokens(0);
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
        let pending = self
            .state
            .queue
            .enqueue(job, self.uncached_prompt(), self.start.alone);
        pending.map_err(|_| {
            refusal::retryable(
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
        let may_start = self
            .state
            .ledger
            .lock()
            .start(&self.attempt, self.authority);
        if !may_start {
            let now = self.state.clock.now();
            self.state.ledger.lock().record_unsent(&self.attempt, now);
            let message = "fenced off or superseded while queued";
            return Outcome::Refused(refusal::new(Code::NotRun, Ran::No, message));
        }
        let queued_time = self.state.clock.now().since(self.arrived);
        self.state
            .metrics
            .record_wait(crate::clock::duration(queued_time));
        let started = Started {
            incarnation: self.state.incarnation.clone(),
            queued_ms: queued_time.0,
        };
        output.send_started(started, self.state.load()).await;
        self.hold_cache();
        let started_at = Instant::now();
        let run = self
            .state
            .health
            .register_run(&self.attempt, self.start.fingerprint);
        let (outcome, sample) = self
            .run_until_stopped(&run, &permit, output, controls)
            .await;
        drop(run);
        self.state.metrics.record_run(started_at.elapsed());
        self.settle(&outcome, sample);
        drop(permit);
        outcome
    }

    /// Runs the request until it ends, is cancelled or reaches its deadline. If the caller
    /// disconnects, only an idempotent request is stopped.
    async fn run_until_stopped(
        &self,
        run: &Run,
        permit: &Permit,
        output: &FrameSender,
        controls: &mut UnboundedReceiver<Control>,
    ) -> (Outcome, Option<Sample>) {
        let mut running = std::pin::pin!(self.run_request(run, permit, output));
        let deadline = self.state.clock.instant(self.deadline());
        let mut caller_connected = true;
        loop {
            tokio::select! {
                result = &mut running => return result,
                Some(control) = controls.recv() => match control {
                    Control::Cancel if self.is_cancellable() => {
                        return (self.stop(Code::Broken).await, None);
                    }
                    Control::Cancel | Control::Extend(_) => {}
                },
                () = output.closed(), if caller_connected => match self.start.idempotent {
                    true => return (self.stop(Code::Broken).await, None),
                    false => caller_connected = false,
                },
                () = tokio::time::sleep_until(deadline) => {
                    return (self.stop(Code::Deadline).await, None);
                }
            }
        }
    }

    async fn run_request(
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

    /// Whether a running request may be cancelled: a generation or an idempotent request.
    fn is_cancellable(&self) -> bool {
        matches!(self.request, Request::Generate(_)) || self.start.idempotent
    }

    /// Stops a running request; a plain service can't be cancelled, so its outcome is unknown.
    async fn stop(&self, code: Code) -> Outcome {
        let refusal = match self.request {
            Request::Generate(_) => {
                if let Err(error) = self.state.upstream.cancel(self.attempt.as_str()).await {
                    self.state.record_failure("cancel", &error);
                }
                refusal::new(code, Ran::Unknown, "stopped while running")
            }
            Request::Plain(_) => {
                let message = "stopped while running; the service may still complete the request";
                refusal::new(Code::OutcomeUnknown, Ran::Unknown, message)
            }
        };
        Outcome::Refused(refusal)
    }

    /// Records the end of the attempt, settles its cost and releases its cache.
    fn settle(&self, outcome: &Outcome, sample: Option<Sample>) {
        let now = self.state.clock.now();
        let unsent = matches!(outcome, Outcome::Refused(refusal) if refusal.ran() == Ran::No);
        match unsent {
            true => {
                self.state.ledger.lock().record_unsent(&self.attempt, now);
                self.state
                    .queue
                    .settle(&self.customer, self.cost, Tokens(0));
            }
            false => self.state.ledger.lock().record_end(&self.attempt, now),
        }
        self.release_cache(now);
        if let Some(sample) = sample {
            let uncached = Tokens(sample.prompt.0.saturating_sub(sample.cached.0));
            let actual = cost::prefill_equivalent(uncached, sample.completion);
            self.state.queue.settle(&self.customer, self.cost, actual);
            self.state.meter.record(&sample);
        }
    }

    /// Protects the program's cache while the attempt runs.
    fn hold_cache(&self) {
        if let (true, Some(program)) = (self.state.is_engine(), &self.program) {
            self.state.leases.lock().record_start(program.as_str());
        }
    }

    fn release_cache(&self, now: Time) {
        if let (true, Some(program)) = (self.state.is_engine(), &self.program) {
            let mut leases = self.state.leases.lock();
            leases.record_finish(program.as_str(), self.keep_cache, now);
            if leases.may_drop(program.as_str(), now) {
                self.state.release.notify_one();
            }
        }
    }

    fn cached_tokens(&self) -> Tokens {
        let program = self.program.as_ref().map_or("", |program| program.as_str());
        self.state.leases.lock().cached_tokens(program)
    }

    fn deadline(&self) -> Time {
        self.time_limit(self.start.deadline_ms)
    }

    /// Time `millis` milliseconds after arrival; 0 means no limit.
    fn time_limit(&self, millis: u64) -> Time {
        match millis {
            0 => Time(u64::MAX),
            millis => self.arrived + Millis(millis),
        }
    }
}
