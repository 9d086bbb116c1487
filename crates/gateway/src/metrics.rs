//! Counters and histograms of an entry and of a history host; names and units stand in
//! `docs/OPERATIONS.md`.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::error::Error;

/// Upper bounds of time histograms, in seconds: from a round trip in a data centre to a deadline.
const SECONDS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0,
];

/// Instruments of requests.
#[derive(Debug)]
pub struct Instruments {
    answers: Counter<u64>,
    refusals: Counter<u64>,
    failures: Counter<u64>,
    breaks: Counter<u64>,
    events: Counter<u64>,
    took: Histogram<f64>,
    sent: Histogram<f64>,
    first_event: Histogram<f64>,
    history: Histogram<f64>,
}

/// When the parts of a turn happened, since its request came.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TurnTiming {
    pub events: u64,
    /// When it was first sent to an engine, in milliseconds.
    pub sent_ms: u64,
    /// When its first event came, in milliseconds.
    pub first_event_ms: Option<u64>,
}

/// A call to the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryCall {
    Reserve,
    Keep,
    Chain,
}

impl Instruments {
    /// Makes the instruments.
    pub fn new(meter: &Meter) -> Instruments {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let seconds = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(text)
                .with_unit("s")
                .with_boundaries(SECONDS.to_vec())
                .build()
        };
        Instruments {
            answers: counter("teasellever_answers", "Targets' answers given to callers"),
            refusals: counter(
                "teasellever_refusals",
                "Answers of the entry's own, by cause",
            ),
            failures: counter("teasellever_attempt_failures", "Failed attempts at targets"),
            breaks: counter(
                "teasellever_stream_breaks",
                "Streams that targets broke off",
            ),
            events: counter("teasellever_events", "Events relayed"),
            took: seconds(
                "teasellever_request_seconds",
                "Time from request to last byte",
            ),
            sent: seconds(
                "teasellever_sent_seconds",
                "Time until a turn is sent to an engine",
            ),
            first_event: seconds(
                "teasellever_first_event_seconds",
                "Time to a turn's first event",
            ),
            history: seconds(
                "teasellever_history_seconds",
                "Time of a call to the history",
            ),
        }
    }

    /// Notes a request that a target answered.
    pub fn record_answer(&self, took: Duration, turn: Option<TurnTiming>) {
        self.answers.add(1, &[]);
        let kind = if turn.is_some() { "turn" } else { "plain" };
        self.took
            .record(took.as_secs_f64(), &[KeyValue::new("kind", kind)]);
        let Some(turn) = turn else {
            return;
        };
        self.events.add(turn.events, &[]);
        self.sent.record(turn.sent_ms as f64 / 1000.0, &[]);
        if let Some(first) = turn.first_event_ms {
            self.first_event.record(first as f64 / 1000.0, &[]);
        }
    }

    /// Notes an answer of the entry's own.
    pub fn record_refusal(&self, cause: &'static str) {
        let cause = KeyValue::new("cause", cause);
        self.refusals.add(1, &[cause]);
    }

    /// Notes a failed attempt at a target.
    pub fn record_failure(&self, error: &Error) {
        let ran = match error {
            Error::NotRun(_) => "no",
            Error::MaybeRun(_) | Error::Timeout => "maybe",
        };
        self.failures.add(1, &[KeyValue::new("ran", ran)]);
    }

    /// Notes a stream that its target broke off.
    pub fn record_stream_break(&self) {
        self.breaks.add(1, &[]);
    }

    /// Notes a call to the history.
    pub fn record_history_call(&self, call: HistoryCall, took: Duration) {
        let label = match call {
            HistoryCall::Reserve => "reserve",
            HistoryCall::Keep => "keep",
            HistoryCall::Chain => "chain",
        };
        self.history
            .record(took.as_secs_f64(), &[KeyValue::new("call", label)]);
    }
}
