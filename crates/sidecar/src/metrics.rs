//! Metrics of the sidecar process.

use std::time::Duration;

use node::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;

use crate::frame::Outcome;
use crate::queue::Depth;

/// OpenTelemetry instruments and the registry that exports them.
#[derive(Debug)]
pub struct Instruments {
    pub registry: Metrics,
    attempts: Counter<u64>,
    wait: Histogram<f64>,
    run: Histogram<f64>,
    queued: Gauge<u64>,
    running: Gauge<u64>,
    cached: Counter<u64>,
    prefilled: Counter<u64>,
    generated: Counter<u64>,
    released: Counter<u64>,
}

impl Instruments {
    /// Creates the instruments.
    ///
    /// Errors: the exporter fails to start.
    pub fn new() -> eyre::Result<Instruments> {
        let registry = Metrics::new()?;
        let meter = registry.meter();
        let seconds = |name: &'static str| meter.f64_histogram(name).with_unit("s").build();
        let tokens = |name: &'static str| meter.u64_counter(name).with_unit("{token}").build();
        Ok(Instruments {
            attempts: meter.u64_counter("teasellever_attempts").build(),
            wait: seconds("teasellever_queue_wait"),
            run: seconds("teasellever_run_time"),
            queued: meter.u64_gauge("teasellever_queued").build(),
            running: meter.u64_gauge("teasellever_running").build(),
            cached: tokens("teasellever_cached"),
            prefilled: tokens("teasellever_prefilled"),
            generated: tokens("teasellever_generated"),
            released: meter.u64_counter("teasellever_cache_released").build(),
            registry,
        })
    }

    /// Counts an ended attempt by outcome and adds its tokens.
    pub fn record_outcome(&self, outcome: &Outcome) {
        let code = match outcome {
            Outcome::Done(_) => "done",
            Outcome::Refused(refusal) => refusal.code.as_str(),
            Outcome::Crashed(_) => "crashed",
        };
        self.attempts
            .add(1, &[KeyValue::new("outcome", code.to_owned())]);
        if let Outcome::Done(done) = outcome {
            let prefilled = done.prompt_tokens.saturating_sub(done.cached_tokens);
            self.cached.add(done.cached_tokens, &[]);
            self.prefilled.add(prefilled, &[]);
            self.generated.add(done.completion_tokens, &[]);
        }
    }

    /// Records an attempt's time in the queue.
    pub fn record_wait(&self, time: Duration) {
        self.wait.record(time.as_secs_f64(), &[]);
    }

    /// Records an attempt's time at the target.
    pub fn record_run(&self, time: Duration) {
        self.run.record(time.as_secs_f64(), &[]);
    }

    /// Records the numbers of queued and running attempts.
    pub fn record_depth(&self, depth: Depth) {
        self.queued.record(depth.queued as u64, &[]);
        self.running.record(depth.running as u64, &[]);
    }

    /// Counts a history dropped from the engine's cache.
    pub fn count_released(&self) {
        self.released.add(1, &[]);
    }
}
