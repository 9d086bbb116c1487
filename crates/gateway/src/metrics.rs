//! Counters and histograms of an entry; `docs/OPERATIONS.md` lists their names and units.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::error::Error;

/// Bucket bounds of time histograms, in seconds: from a round trip within a data centre to a
/// deadline.
const BUCKET_BOUNDS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0,
];

/// Instruments that record requests.
#[derive(Debug)]
pub struct Instruments {
    answers: Counter<u64>,
    refusals: Counter<u64>,
    failures: Counter<u64>,
    stream_breaks: Counter<u64>,
    resumptions: Counter<u64>,
    events: Counter<u64>,
    request_duration: Histogram<f64>,
    time_to_send: Histogram<f64>,
    time_to_first_event: Histogram<f64>,
    history_call_duration: Histogram<f64>,
    choice_to_send: Histogram<f64>,
    targets_age: Histogram<f64>,
    rate_wait: Histogram<f64>,
}

/// Number of events and timings of a turn, relative to the arrival of its request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TurnTiming {
    pub events: u64,
    /// Time until the turn is first sent to an engine, in milliseconds.
    pub sent_ms: u64,
    /// Time until the first event arrives, in milliseconds.
    pub first_event_ms: Option<u64>,
}

/// Kind of call to the history hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryCall {
    Reserve,
    Keep,
    Chain,
    Origin,
}

impl Instruments {
    /// Registers the instruments with `meter`.
    pub fn new(meter: &Meter) -> Instruments {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let seconds = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build()
        };
        Instruments {
            answers: counter("teasellever_answers", "Targets' answers given to callers"),
            refusals: counter(
                "teasellever_refusals",
                "Answers of the entry's own, by cause",
            ),
            failures: counter("teasellever_attempt_failures", "Failed attempts at targets"),
            stream_breaks: counter(
                "teasellever_stream_breaks",
                "Streams that targets broke off",
            ),
            resumptions: counter(
                "teasellever_resumptions",
                "Streams that callers resumed, by outcome",
            ),
            events: counter("teasellever_events", "Events relayed"),
            request_duration: seconds(
                "teasellever_request_seconds",
                "Time from request to last byte",
            ),
            time_to_send: seconds(
                "teasellever_sent_seconds",
                "Time until a turn is sent to an engine",
            ),
            time_to_first_event: seconds(
                "teasellever_first_event_seconds",
                "Time to a turn's first event",
            ),
            history_call_duration: seconds(
                "teasellever_history_seconds",
                "Time of a call to the history",
            ),
            choice_to_send: seconds(
                "teasellever_choice_to_send_seconds",
                "Time from the choice of a target until the request is sent",
            ),
            targets_age: seconds(
                "teasellever_targets_age_seconds",
                "Age of the knowledge of targets when a request is sent",
            ),
            rate_wait: seconds(
                "teasellever_rate_wait_seconds",
                "Time for which a request waits for its customer's rate",
            ),
        }
    }

    /// Records a request answered by a target, with the timing of its turn if it is one.
    pub fn record_answer(&self, duration: Duration, turn: Option<TurnTiming>) {
        self.answers.add(1, &[]);
        let kind = if turn.is_some() { "turn" } else { "plain" };
        self.request_duration
            .record(duration.as_secs_f64(), &[KeyValue::new("kind", kind)]);
        let Some(turn) = turn else {
            return;
        };
        self.events.add(turn.events, &[]);
        self.time_to_send.record(turn.sent_ms as f64 / 1000.0, &[]);
        if let Some(first) = turn.first_event_ms {
            self.time_to_first_event.record(first as f64 / 1000.0, &[]);
        }
    }

    /// Records that a request is sent to a target that was chosen some time ago, on knowledge of some
    /// age.
    pub fn record_sending(&self, since_choice: Duration, targets_age: Duration) {
        self.choice_to_send.record(since_choice.as_secs_f64(), &[]);
        self.targets_age.record(targets_age.as_secs_f64(), &[]);
    }

    /// Records a request that waits for its customer's rate.
    pub fn record_rate_wait(&self, wait: Duration) {
        self.rate_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Records a request that the entry refuses itself.
    pub fn record_refusal(&self, cause: &'static str) {
        let cause = KeyValue::new("cause", cause);
        self.refusals.add(1, &[cause]);
    }

    /// Records a failed attempt at a target.
    pub fn record_failure(&self, error: &Error) {
        let ran = match error {
            Error::NotSent(_) | Error::NotRun(_) => "no",
            Error::MaybeRun(_) | Error::Timeout => "maybe",
        };
        self.failures.add(1, &[KeyValue::new("ran", ran)]);
    }

    /// Records a stream that its target broke off.
    pub fn record_stream_break(&self) {
        self.stream_breaks.add(1, &[]);
    }

    /// Records a request that resumes a stream, and whether the stream goes on.
    pub fn record_resumption(&self, continued: bool) {
        let outcome = if continued { "continued" } else { "refused" };
        self.resumptions
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the duration of a call to the history hosts.
    pub fn record_history_call(&self, call: HistoryCall, duration: Duration) {
        let label = match call {
            HistoryCall::Reserve => "reserve",
            HistoryCall::Keep => "keep",
            HistoryCall::Chain => "chain",
            HistoryCall::Origin => "origin",
        };
        self.history_call_duration
            .record(duration.as_secs_f64(), &[KeyValue::new("call", label)]);
    }
}
