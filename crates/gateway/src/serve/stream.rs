//! Relays a turn's event stream from an engine to the caller.
//!
//! The end of the stream is sent only after the turn is stored at the history hosts, as a later turn
//! may continue it. If the route allows it, a stream that breaks resumes at another engine after the
//! events already sent.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use history::record::Record;
use history::record::Turn;
use history::retention;
use history::time::Timestamp;
use http::response::Parts;
use http_body::Body as _;
use http_body::Frame;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::adapter::Target;
use crate::error::Error;
use crate::metrics::HistoryCall;
use crate::metrics::TurnTiming;
use crate::serve::collect::MAX_ANSWER_BYTES;
use crate::serve::event;
use crate::serve::event::CompleteEvents;
use crate::serve::event::Scanner;
use crate::serve::memory::Exhausted;
use crate::serve::memory::Share;
use crate::serve::memory::Source as MemorySource;
use crate::serve::position::Position;
use crate::serve::refusal::Refusal;
use crate::serve::turn;
use crate::serve::turn::Running;
use crate::state::State;
use crate::target::crash;
use crate::target::pool::Lease;
use crate::target::send;
use crate::target::send::Answer;

/// Cause for which a stream to a caller is aborted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken(pub String);

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stream is cut: {}", self.0)
    }
}

impl std::error::Error for Broken {}

/// Why a chunk of a stream can't be relayed.
enum Unusable {
    /// It exceeds a limit, at every engine.
    TooLong(&'static str),
    /// The engine is faulty; another one may go on.
    Faulty(&'static str),
    /// Other answers occupy the memory.
    NoMemory,
}

impl From<Exhausted> for Unusable {
    fn from(_: Exhausted) -> Unusable {
        Unusable::NoMemory
    }
}

/// Response stream of an engine.
struct Source {
    body: Incoming,
    lease: Lease,
    idle: Option<Duration>,
    /// Whether the answer says by itself where it ends.
    framed: bool,
}

impl Source {
    /// Source of an answer, and the answer's head.
    fn of(answer: Answer) -> (Source, Parts) {
        let source = Source {
            framed: answer.is_framed(),
            body: answer.body,
            lease: answer.lease,
            idle: answer.idle,
        };
        (source, answer.parts)
    }
}

type Resumed = (Running, Result<Answer, Refusal>);

enum Phase {
    Relaying(Source),
    Resuming(BoxFuture<'static, Resumed>),
    Storing(BoxFuture<'static, Result<(), Broken>>),
    Ended,
}

/// Response body that relays a turn's stream to the caller.
pub struct Relay {
    state: Arc<State>,
    /// None while the turn is being sent to another engine, and after the stream has ended.
    running: Option<Running>,
    phase: Phase,
    scanner: Scanner,
    /// Data of the relayed events, if the route stores turns.
    output: Vec<u8>,
    /// Memory for what is kept of the stream.
    memory: Share,
    position: Position,
    /// Whether the next event is the first one of the current target.
    is_first: bool,
    events: u64,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    deadline: Pin<Box<Sleep>>,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay")
            .field("events", &self.events)
            .finish_non_exhaustive()
    }
}

impl Relay {
    /// Creates a relay of an engine's answer; returns the answer's head too.
    pub fn new(state: Arc<State>, running: Running, answer: Answer) -> (Relay, Parts) {
        let (source, parts) = Source::of(answer);
        let deadline = tokio::time::sleep_until(send::response_deadline(&running.job));
        let resumption = running.job.call.resumption.as_ref();
        let last_event = resumption.and_then(|resumption| resumption.last_event.as_deref());
        let relay = Relay {
            position: Position::after(last_event),
            is_first: true,
            memory: state
                .answer_memory
                .share(MemorySource::target(source.lease.target_id())),
            state,
            running: Some(running),
            phase: Phase::Relaying(source),
            scanner: Scanner::default(),
            output: Vec::new(),
            events: 0,
            first_event_at: None,
            last_event_at: None,
            deadline: Box::pin(deadline),
        };
        (relay, parts)
    }

    /// Polls for the next complete events.
    ///
    /// Errors: the stream is aborted.
    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        // A turn that is being stored has the same deadline, and logs its own cause.
        let is_storing = matches!(self.phase, Phase::Storing(_));
        if !is_storing && self.deadline.as_mut().poll(context).is_ready() {
            return self.fail("the deadline has passed".to_owned());
        }
        loop {
            match &mut self.phase {
                Phase::Relaying(source) => {
                    let frame = std::task::ready!(Pin::new(&mut source.body).poll_frame(context));
                    match frame {
                        Some(Ok(frame)) => match frame.into_data() {
                            Ok(data) => match self.scan(data) {
                                Ok(events) if events.is_empty() => {}
                                Ok(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                                Err(Unusable::TooLong(cause)) => {
                                    if let Phase::Relaying(source) = &self.phase {
                                        source.lease.record_failure(self.state.time());
                                    }
                                    return self.fail(cause.to_owned());
                                }
                                Err(Unusable::NoMemory) => {
                                    return self.fail("no memory for a long answer".to_owned());
                                }
                                Err(Unusable::Faulty(cause)) => self.recover(cause.to_owned()),
                            },
                            Err(_trailers) => {}
                        },
                        Some(Err(error)) => self.recover(error.to_string()),
                        None if self.scanner.is_partial() => {
                            self.recover("stream ended within an event".to_owned());
                        }
                        // The engine may have crashed before the first event. A rest may be empty.
                        None if !source.framed && self.position.is_start() => {
                            self.recover("stream ended without an event".to_owned());
                        }
                        None => self.finish(),
                    }
                }
                Phase::Resuming(resumed) => {
                    let (running, answer) = std::task::ready!(resumed.as_mut().poll(context));
                    self.running = Some(running);
                    match answer {
                        Ok(answer) => self.resume(answer),
                        Err(refusal) => return self.fail(refusal.to_string()),
                    }
                }
                Phase::Storing(append) => {
                    let stored = std::task::ready!(append.as_mut().poll(context));
                    self.phase = Phase::Ended;
                    return match stored {
                        Ok(()) => Poll::Ready(None),
                        Err(broken) => self.fail(broken.0),
                    };
                }
                Phase::Ended => return Poll::Ready(None),
            }
        }
    }

    /// Appends a chunk of the stream and returns the events that it completes.
    ///
    /// Errors: the chunk can't be relayed.
    fn scan(&mut self, data: Bytes) -> Result<Bytes, Unusable> {
        if let Phase::Relaying(source) = &self.phase {
            source.lease.record_data(data.len());
        }
        let pushed = self.scanner.push(data);
        let CompleteEvents { bytes, count } = pushed
            .map_err(|event::TooLong| Unusable::TooLong("an event exceeds the size limit"))?;
        if count == 0 {
            self.take_memory()?;
            return Ok(bytes);
        }
        if event::contains_head(&bytes) {
            return Err(Unusable::Faulty(
                "stream contains the head of another answer",
            ));
        }
        let running = self.running.as_ref();
        let resumable = running.is_some_and(|running| running.stream.resumable);
        if resumable && self.is_first && !self.position.is_continued_by(&bytes) {
            return Err(Unusable::Faulty(
                "stream starts at another event than asked",
            ));
        }
        self.is_first &= event::ids(&bytes).next().is_none();
        self.position.advance(&bytes);
        self.events += count;
        self.last_event_at = Some(Instant::now());
        self.first_event_at = self.first_event_at.or(self.last_event_at);
        if let Some(running) = &mut self.running {
            if let Some(reservation) = &mut running.reservation {
                reservation.used_tokens += count * running.tokens_per_event;
            }
            if running.stream.stores_turns {
                event::append_data(&bytes, &mut self.output);
            }
            if self.output.len() > MAX_ANSWER_BYTES {
                return Err(Unusable::TooLong("answer is too long"));
            }
        }
        self.take_memory()?;
        // The caller may be slow to read them.
        let customer = self
            .running
            .as_ref()
            .map(|running| running.job.customer_name());
        let customer = customer.as_ref().map_or("", |customer| customer.as_str());
        let source = MemorySource::customer(customer);
        Ok(self.state.answer_memory.hold(source, bytes)?)
    }

    /// Takes or returns memory for what is kept of the stream.
    ///
    /// Errors: too little is left.
    fn take_memory(&mut self) -> Result<(), Exhausted> {
        let id = self.position.last_id().map_or(0, str::len);
        let kept = self.scanner.partial_len() + self.output.len() + id;
        self.memory.resize(kept)
    }

    /// Handles a broken engine stream: resumes it at another engine if a retry is allowed.
    fn recover(&mut self, cause: String) {
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        if let Phase::Relaying(source) = phase {
            source.lease.record_failure(self.state.time());
        }
        let Some(mut running) = self.running.take() else {
            return;
        };
        log::info!(
            step = "relay", peer = running.target_id(),
            target_version = running.target.as_ref().map_or("", Target::version_text),
            request = running.job.call.request.as_str(), events = self.events,
            resumable = running.stream.resumable;
            "stream broke: {cause}"
        );
        self.state.instruments.record_stream_break();
        if let Some(target) = &running.target {
            crash::detect_crash(&self.state, target, &running.job);
        }
        self.scanner = Scanner::default();
        self.is_first = true;
        let last_event_id = self.position.last_id().map(str::to_owned);
        let pinned = match self.events {
            0 => Ok(()),
            _ if !self.position.is_resumable() => Err(Refusal::Lost(cause.clone())),
            _ => running.pin_version(),
        };
        let state = Arc::clone(&self.state);
        self.phase = Phase::Resuming(Box::pin(async move {
            let failed = running
                .retry
                .record_failure(Error::MaybeRun(cause), &running.job);
            let answer = match failed.and(pinned) {
                Ok(()) => turn::dispatch(&state, &mut running, last_event_id.as_deref()).await,
                Err(refusal) => Err(refusal),
            };
            (running, answer)
        }));
    }

    fn resume(&mut self, answer: Answer) {
        let (source, _) = Source::of(answer);
        // What is kept of the former target's events is counted again with the next ones.
        let memory = &self.state.answer_memory;
        self.memory = memory.share(MemorySource::target(source.lease.target_id()));
        self.phase = Phase::Relaying(source);
    }

    /// Handles the end of the engine's stream: stores the turn if the route stores turns.
    fn finish(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        if let Phase::Relaying(source) = phase {
            if let Some(interval) = self.mean_event_interval_us() {
                source.lease.record_event_interval(interval);
            }
            source.lease.release(source.idle);
        }
        let Some(mut running) = self.running.take() else {
            return;
        };
        let timing = self.timing(&running);
        if !running.stream.stores_turns {
            record_answer(&self.state, &running, timing);
            return;
        }
        let turn = self.build_turn(&running);
        let reservation = running.reservation.as_mut();
        let settled = reservation.map(|reservation| reservation.settle());
        let settled: Vec<Record> = settled.into_iter().collect();
        let due = retention::due(&running.predecessors, turn.expires);
        // The turn isn't sent again; storing it takes memory of its own.
        running.predecessors = Vec::new();
        running.body = Bytes::new();
        running.job.body = Bytes::new();
        let state = Arc::clone(&self.state);
        self.phase = Phase::Storing(Box::pin(async move {
            let program = running.job.program_name();
            let deadline = send::response_deadline(&running.job);
            let started = Instant::now();
            let renewed = retention::ids(&due);
            let stored = state
                .history
                .keep(turn.clone(), due, settled, program.as_str(), deadline)
                .await;
            state
                .instruments
                .record_history_call(HistoryCall::Keep, started.elapsed());
            match stored {
                Ok(quorum) => {
                    log::info!(
                        step = "keep", peer = "history", request = turn.id.as_str(),
                        previous = turn.previous.as_ref().map_or("", |previous| previous.as_str()),
                        epoch:% = quorum.epoch, disks = quorum.disks_text(), renewed = renewed.len(),
                        took_ms = started.elapsed().as_millis() as u64;
                        "turn is stored"
                    );
                    record_answer(&state, &running, timing);
                    let mut cache = state.chains.lock();
                    cache.record_retained(&renewed, turn.expires);
                    cache.insert(turn);
                    Ok(())
                }
                Err(error) => {
                    log::warn!(
                        step = "keep", peer = "history", request = turn.id.as_str(),
                        took_ms = started.elapsed().as_millis() as u64;
                        "stream is cut before its end: turn can't be kept: {error}"
                    );
                    Err(Broken(format!("turn can't be kept: {error}")))
                }
            }
        }));
    }

    /// Returns the mean interval between events, in microseconds; none for fewer than two events.
    fn mean_event_interval_us(&self) -> Option<f64> {
        let (first, last) = (self.first_event_at?, self.last_event_at?);
        let gaps = self.events.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some((last - first).as_micros() as f64 / gaps as f64)
    }

    /// Builds the turn's record from its input and output.
    fn build_turn(&mut self, running: &Running) -> Turn {
        // Not needed any more; its allocation is up to twice as large as what it holds.
        let output = std::mem::take(&mut self.output);
        let mut content = Vec::with_capacity(running.job.body.len() + output.len());
        content.extend_from_slice(&running.job.body);
        content.extend_from_slice(&output);
        Turn {
            id: running.job.call.request.clone(),
            customer: running.job.customer_name(),
            previous: running.job.call.previous.clone(),
            content: Bytes::from(content),
            expires: Timestamp::now().after(running.stream.retention),
        }
    }

    fn timing(&self, running: &Running) -> TurnTiming {
        let since_received = |at: Instant| (at - running.job.received).as_millis() as u64;
        TurnTiming {
            events: self.events,
            sent_ms: since_received(running.sent),
            first_event_ms: self.first_event_at.map(since_received),
        }
    }

    /// Aborts the stream and logs the cause.
    fn fail(&mut self, cause: String) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.phase = Phase::Ended;
        if let Some(running) = self.running.take() {
            let timing = Some(self.timing(&running));
            running
                .job
                .log_outcome(&cause, running.target.as_ref(), timing);
        }
        Poll::Ready(Some(Err(Broken(cause))))
    }
}

/// Logs and counts a turn that was answered whole.
fn record_answer(state: &State, running: &Running, timing: TurnTiming) {
    let took = running.job.received.elapsed();
    state.instruments.record_answer(took, Some(timing));
    let target = running.target.as_ref();
    running.job.log_outcome("answered", target, Some(timing));
}
