//! How well a target works, learned from its answers.
//!
//! Answers the loads in which a few targets fail a part of their requests, or are several times
//! slower than others of their service: neither shows in failures in a row or in the number of
//! requests they run. Both are measured at any target that still gets some requests, and forgotten
//! in seconds, so that a target that works again is found out.

use coord::time::Time;

/// Part of the former measure that one answer replaces: some ten answers tell.
const WEIGHT: f64 = 0.2;

/// Time in which a share of failures counts half, in milliseconds: a target that gets no requests
/// is tried again within seconds.
const HALF_LIFE_MS: f64 = 1_500.0;

/// Slowness below which targets count as equal: batches of different sizes differ as much.
const SLOWNESS_LEAST: f64 = 1.5;

/// Most that a slowness counts.
const SLOWNESS_MOST: f64 = 8.0;

/// What is known of one target.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failing: f64,
    at: Time,
    /// Microseconds for one event of a stream; 0 before the first was measured.
    pace_us: f64,
}

impl Health {
    /// Takes the end of a request.
    pub fn record_result(&mut self, failed: bool, now: Time) {
        let result = if failed { 1.0 } else { 0.0 };
        let known = self.failing_share(now);
        self.failing = known + WEIGHT * (result - known);
        self.at = now;
    }

    /// Takes the mean time between the events of a stream, in microseconds.
    pub fn record_event_interval(&mut self, event_us: f64) {
        self.pace_us = match self.pace_us > 0.0 {
            true => self.pace_us + WEIGHT * (event_us - self.pace_us),
            false => event_us,
        };
    }

    /// Share of requests that fail, from 0 to 1.
    pub fn failing_share(&self, now: Time) -> f64 {
        let age = now.0.saturating_sub(self.at.0) as f64;
        self.failing * (-age / HALF_LIFE_MS).exp2()
    }

    /// How many times slower than a usual pace the target is; 1 if it is about as fast.
    pub fn slowness(&self, usual_us: f64) -> f64 {
        let times = match usual_us > 0.0 {
            true => self.pace_us / usual_us,
            false => 1.0,
        };
        match times >= SLOWNESS_LEAST {
            true => times.min(SLOWNESS_MOST),
            false => 1.0,
        }
    }

    /// Microseconds for one event of a stream; none before the first was measured.
    pub fn event_interval_us(&self) -> Option<f64> {
        (self.pace_us > 0.0).then_some(self.pace_us)
    }
}

/// The pace of most targets, in microseconds: the median of those known; 0 if none is.
pub fn median_event_interval(paces: impl Iterator<Item = f64>) -> f64 {
    let mut paces: Vec<f64> = paces.collect();
    let middle = paces.len() / 2;
    if paces.is_empty() {
        return 0.0;
    }
    let (_, median, _) = paces.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
