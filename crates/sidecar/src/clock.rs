//! The process's monotonic clock.

use std::time::Duration;
use std::time::Instant;

use coord::time::Millis;
use coord::time::Time;

/// Milliseconds since the process began.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The present moment.
    pub fn now(&self) -> Time {
        Time(self.0.elapsed().as_millis() as u64)
    }

    /// The same moment for timers.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        let moment = self.0.checked_add(Duration::from_millis(time.0));
        let moment = moment.unwrap_or_else(far_future);
        tokio::time::Instant::from_std(moment)
    }
}

fn far_future() -> Instant {
    const YEAR: Duration = Duration::from_secs(365 * 24 * 3600);
    Instant::now() + YEAR
}

/// A length of time for timers.
pub fn duration(length: Millis) -> Duration {
    Duration::from_millis(length.0)
}
