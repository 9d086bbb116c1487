//! The process's monotonic clock.

use std::time::Duration;
use std::time::Instant;

use coord::time::Millis;
use coord::time::Time;

/// Milliseconds since the process began.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Time since the start of the clock.
    pub fn now(&self) -> Time {
        Time(self.0.elapsed().as_millis() as u64)
    }

    /// Converts a time of this clock for tokio's timers; an overflow becomes a year from now.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        let instant = self.0.checked_add(Duration::from_millis(time.0));
        let instant = instant.unwrap_or_else(far_future);
        tokio::time::Instant::from_std(instant)
    }
}

fn far_future() -> Instant {
    const YEAR: Duration = Duration::from_secs(365 * 24 * 3600);
    Instant::now() + YEAR
}

/// Converts a length of time for timers.
pub fn duration(length: Millis) -> Duration {
    Duration::from_millis(length.0)
}
