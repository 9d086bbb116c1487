//! Health of a target, estimated from the results of its requests.
//!
//! Detects targets that fail a part of their requests or are several times slower than others of
//! their service. Neither shows in consecutive failures or in the number of running requests.
//! Both are measured on the requests that the target still gets. The failure share decays within
//! seconds, so that a target that has recovered gets requests again.

use coord::time::Time;

/// Weight of a new sample in the moving averages; a change shows after about ten samples.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Half-life of the failure share, in milliseconds: a target without requests is tried again within
/// seconds.
const FAILURE_HALF_LIFE_MS: f64 = 1_500.0;

/// Slowness below which a target counts as normal: batch sizes alone cause such differences.
const MIN_SLOWNESS: f64 = 1.5;

/// Upper bound of the slowness.
const MAX_SLOWNESS: f64 = 8.0;

/// Failure share and speed of one target.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Share of failed requests at `updated`.
    failing_share: f64,
    updated: Time,
    /// Mean time between the events of a stream, in microseconds; 0 before the first measurement.
    event_interval_us: f64,
}

impl Health {
    /// Records whether a request failed.
    pub fn record_result(&mut self, failed: bool, now: Time) {
        let result = if failed { 1.0 } else { 0.0 };
        let previous = self.failing_share(now);
        self.failing_share = previous + SAMPLE_WEIGHT * (result - previous);
        self.updated = now;
    }

    /// Records the mean time between the events of one stream, in microseconds.
    pub fn record_event_interval(&mut self, event_us: f64) {
        self.event_interval_us = match self.event_interval_us > 0.0 {
            true => self.event_interval_us + SAMPLE_WEIGHT * (event_us - self.event_interval_us),
            false => event_us,
        };
    }

    /// Returns the share of failed requests, from 0 to 1, decayed by the time since the last one.
    pub fn failing_share(&self, now: Time) -> f64 {
        let age = now.0.saturating_sub(self.updated.0) as f64;
        self.failing_share * (-age / FAILURE_HALF_LIFE_MS).exp2()
    }

    /// Returns how many times longer the target's events take than the median; 1 if about as long.
    pub fn slowness(&self, median_us: f64) -> f64 {
        let ratio = match median_us > 0.0 {
            true => self.event_interval_us / median_us,
            false => 1.0,
        };
        match ratio >= MIN_SLOWNESS {
            true => ratio.min(MAX_SLOWNESS),
            false => 1.0,
        }
    }

    /// Returns the mean time between events, in microseconds, if any was measured.
    pub fn event_interval_us(&self) -> Option<f64> {
        (self.event_interval_us > 0.0).then_some(self.event_interval_us)
    }
}

/// Returns the median of the targets' event intervals, in microseconds; 0 if there are none.
pub fn median_event_interval(intervals: impl Iterator<Item = f64>) -> f64 {
    let mut intervals: Vec<f64> = intervals.collect();
    let middle = intervals.len() / 2;
    if intervals.is_empty() {
        return 0.0;
    }
    let (_, median, _) = intervals.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
