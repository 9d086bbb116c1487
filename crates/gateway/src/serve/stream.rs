//! Relays a turn's stream, event by event.
//!
//! The end of the stream goes out only after what a later turn needs of this one is kept. A stream
//! that breaks goes on at another engine if its route allows it, behind the events already sent.

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
use history::time::Timestamp;
use http_body::Body as _;
use http_body::Frame;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::error::Error;
use crate::metrics::Round;
use crate::metrics::Timing;
use crate::serve::event;
use crate::serve::event::Scanner;
use crate::serve::event::Whole;
use crate::serve::refusal::Refusal;
use crate::serve::turn;
use crate::serve::turn::Running;
use crate::state::State;
use crate::target::crash;
use crate::target::pool::Lease;
use crate::target::send;
use crate::target::send::Answer;

/// Time for keeping a turn before its end goes out.
const KEEP_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a stream ends without its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken(pub String);

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stream is cut: {}", self.0)
    }
}

impl std::error::Error for Broken {}

/// An engine's stream.
struct Source {
    body: Incoming,
    lease: Lease,
    idle: Option<Duration>,
}

type Resumed = (Running, Result<Answer, Refusal>);

enum Phase {
    Flowing(Source),
    Resuming(BoxFuture<'static, Resumed>),
    Keeping(BoxFuture<'static, Result<(), Broken>>),
    Ended,
}

/// A turn's stream on its way to the caller.
pub struct Relay {
    state: Arc<State>,
    /// None while the turn is sent to another engine.
    running: Option<Running>,
    phase: Phase,
    scanner: Scanner,
    /// Data of the events, if the turn is kept.
    output: Vec<u8>,
    last_id: Option<String>,
    events: u64,
    /// When the first event came.
    first: Option<Instant>,
    /// When the newest event came.
    newest: Option<Instant>,
    expired: Pin<Box<Sleep>>,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay")
            .field("events", &self.events)
            .finish_non_exhaustive()
    }
}

impl Relay {
    /// Relays an engine's answer.
    pub fn new(
        state: Arc<State>,
        running: Running,
        body: Incoming,
        lease: Lease,
        idle: Option<Duration>,
    ) -> Relay {
        let expired = tokio::time::sleep_until(send::response_deadline(&running.job));
        Relay {
            state,
            running: Some(running),
            phase: Phase::Flowing(Source { body, lease, idle }),
            scanner: Scanner::default(),
            output: Vec::new(),
            last_id: None,
            events: 0,
            first: None,
            newest: None,
            expired: Box::pin(expired),
        }
    }

    /// The next events.
    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if self.expired.as_mut().poll(context).is_ready() {
            return self.fail("the caller's time is up".to_owned());
        }
        loop {
            match &mut self.phase {
                Phase::Flowing(source) => {
                    let frame = std::task::ready!(Pin::new(&mut source.body).poll_frame(context));
                    match frame {
                        Some(Ok(frame)) => match frame.into_data() {
                            Ok(data) => match self.take(data) {
                                Ok(events) if events.is_empty() => {}
                                Ok(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                                Err(broken) => return self.fail(broken.0),
                            },
                            Err(_trailers) => {}
                        },
                        Some(Err(error)) => self.interrupted(error.to_string()),
                        None if self.scanner.is_partial() => {
                            self.interrupted("stream ends in the middle of an event".to_owned());
                        }
                        None => self.ended(),
                    }
                }
                Phase::Resuming(resumed) => {
                    let (running, answer) = std::task::ready!(resumed.as_mut().poll(context));
                    self.running = Some(running);
                    match answer {
                        Ok(answer) if answer.parts.status.is_success() => self.resume(answer),
                        Ok(answer) => {
                            let status = answer.parts.status;
                            return self.fail(format!("the next engine answers {status}"));
                        }
                        Err(refusal) => return self.fail(refusal.to_string()),
                    }
                }
                Phase::Keeping(kept) => {
                    let kept = std::task::ready!(kept.as_mut().poll(context));
                    self.phase = Phase::Ended;
                    return match kept {
                        Ok(()) => Poll::Ready(None),
                        Err(broken) => self.fail(broken.0),
                    };
                }
                Phase::Ended => return Poll::Ready(None),
            }
        }
    }

    /// Takes a piece of the stream; returns whole events.
    fn take(&mut self, data: Bytes) -> Result<Bytes, Broken> {
        let pushed = self.scanner.push(data);
        let Whole { bytes, count } =
            pushed.map_err(|event::TooLong| Broken("an event is too long".to_owned()))?;
        self.events += count;
        if count > 0 {
            self.newest = Some(Instant::now());
            self.first = self.first.or(self.newest);
        }
        if let Some(running) = &mut self.running {
            if let Some(reserved) = &mut running.reserved {
                reserved.used += count * running.tokens_per_event;
            }
            if running.stream.kept {
                event::append_data(&bytes, &mut self.output);
            }
            if running.stream.resumable
                && let Some(id) = event::last_id(&bytes)
            {
                self.last_id = Some(String::from_utf8_lossy(id).into_owned());
            }
        }
        Ok(bytes)
    }

    /// The engine's stream broke: goes on at another one if that may be.
    fn interrupted(&mut self, cause: String) {
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        if let Phase::Flowing(source) = phase {
            source.lease.record_failure(self.state.time());
        }
        let Some(mut running) = self.running.take() else {
            return;
        };
        log::info!(
            step = "relay", peer = running.target_id(),
            request = running.job.call.request.as_str(), events = self.events,
            resumable = running.stream.resumable;
            "stream broke: {cause}"
        );
        self.state.instruments.broke();
        if let Some(target) = &running.target {
            crash::detect_crash(&self.state, target, &running.job);
        }
        self.scanner = Scanner::default();
        let last = self.last_id.clone();
        let state = Arc::clone(&self.state);
        self.phase = Phase::Resuming(Box::pin(async move {
            let answer = match running.tries.failed(Error::MaybeRun(cause), &running.job) {
                Ok(()) => turn::dispatch(&state, &mut running, last.as_deref()).await,
                Err(refusal) => Err(refusal),
            };
            (running, answer)
        }));
    }

    fn resume(&mut self, answer: Answer) {
        let Answer {
            body, lease, idle, ..
        } = answer;
        self.phase = Phase::Flowing(Source { body, lease, idle });
    }

    /// The engine's stream is complete: keeps what a later turn needs.
    fn ended(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        if let Phase::Flowing(source) = phase {
            if let Some(pace) = self.pace_us() {
                source.lease.record_event_interval(pace);
            }
            source.lease.release(source.idle);
        }
        let Some(mut running) = self.running.take() else {
            return;
        };
        self.log_end(&running, "answered", true);
        if !running.stream.kept {
            return;
        }
        let turn = self.turn(&running);
        let mut records = vec![Record::Turn(turn.clone())];
        records.extend(running.reserved.as_mut().map(|reserved| reserved.settle()));
        let state = Arc::clone(&self.state);
        self.phase = Phase::Keeping(Box::pin(async move {
            let near = match &running.reserved {
                Some(reserved) => reserved.account().clone(),
                None => history::record::Account {
                    customer: turn.customer.clone(),
                    program: turn::program_name(&running.job),
                },
            };
            let deadline = Instant::now() + KEEP_TIMEOUT;
            let started = Instant::now();
            let kept = state.history.append(records, &near, deadline).await;
            state.instruments.asked(Round::Keep, started.elapsed());
            match kept {
                Ok(()) => {
                    state.chains.lock().insert(turn);
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

    /// Mean time between two events, in microseconds.
    fn pace_us(&self) -> Option<f64> {
        let (first, newest) = (self.first?, self.newest?);
        let gaps = self.events.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some((newest - first).as_micros() as f64 / gaps as f64)
    }

    fn turn(&mut self, running: &Running) -> Turn {
        let mut content = Vec::with_capacity(running.job.body.len() + self.output.len());
        content.extend_from_slice(&running.job.body);
        content.append(&mut self.output);
        Turn {
            id: running.job.call.request.clone(),
            customer: turn::customer_name(&running.job),
            previous: running.job.call.previous.clone(),
            content: Bytes::from(content),
            expires: Timestamp::now().after(running.stream.retention),
        }
    }

    fn log_end(&self, running: &Running, outcome: &str, whole: bool) {
        let since_received = |at: Instant| (at - running.job.received).as_millis() as u64;
        let turn = Timing {
            events: self.events,
            sent_ms: since_received(running.sent),
            first_event_ms: self.first.map(since_received),
        };
        if whole {
            let took = running.job.received.elapsed();
            self.state.instruments.answered(took, Some(turn));
        }
        running
            .job
            .log_end(outcome, running.target_id(), Some(turn));
    }

    fn fail(&mut self, cause: String) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.phase = Phase::Ended;
        if let Some(running) = self.running.take() {
            self.log_end(&running, &cause, false);
        }
        Poll::Ready(Some(Err(Broken(cause))))
    }
}
