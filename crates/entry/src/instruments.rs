//! Metrics of the calls' path.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use wire::Refusal;

use crate::refusal;

/// Instruments of the calls' path.
#[derive(Debug)]
pub struct Instruments {
    requests: Histogram<f64>,
    calls: Histogram<f64>,
    programs: Histogram<f64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    crashes: Counter<u64>,
}

impl Instruments {
    /// Makes the instruments.
    pub fn new(meter: &Meter) -> Instruments {
        Instruments {
            requests: meter
                .f64_histogram("teasellever_request_seconds")
                .with_description("Time from a caller's request to its status line")
                .build(),
            programs: meter
                .f64_histogram("teasellever_program_seconds")
                .with_description("Time from a program's opening to its end by its caller")
                .build(),
            calls: meter
                .f64_histogram("teasellever_call_seconds")
                .with_description("Time from a call's arrival at its owner to its last frame")
                .build(),
            refusals: meter
                .u64_counter("teasellever_refusals")
                .with_description("Refused calls by code and whether they ran")
                .build(),
            retries: meter
                .u64_counter("teasellever_retries")
                .with_description("Attempts after the first one")
                .build(),
            crashes: meter
                .u64_counter("teasellever_target_crashes")
                .with_description("Targets that died under a call of this owner")
                .build(),
        }
    }

    /// Notes a caller's request that got its status line.
    pub fn requested(&self, length: Duration) {
        self.requests.record(length.as_secs_f64(), &[]);
    }

    /// Notes a call that was answered at its owner.
    pub fn answered(&self, length: Duration) {
        self.calls.record(length.as_secs_f64(), &[]);
    }

    /// Notes a program that its caller ended.
    pub fn ended(&self, length: Duration) {
        self.programs.record(length.as_secs_f64(), &[]);
    }

    /// Notes a refused request, or an answer that broke off.
    pub fn refused(&self, refusal: &Refusal) {
        let code = KeyValue::new("code", refusal.code.clone());
        let ran = KeyValue::new("ran", refusal::ran(refusal));
        self.refusals.add(1, &[code, ran]);
    }

    /// Notes another attempt of a call.
    pub fn retried(&self) {
        self.retries.add(1, &[]);
    }

    /// Notes a target's death.
    pub fn crashed(&self) {
        self.crashes.add(1, &[]);
    }
}
