//! The process's monotonic clock in the milliseconds of the state machines.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use coord::time::Millis;
use coord::time::Time;

/// Monotonic milliseconds since the process's start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// The present moment, rounded down.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_millis() as u64)
    }

    /// The moment on the standard library's clock.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_millis(time.0)
    }
}

/// Unix time in milliseconds; for retention and budgets only, never for leases.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |length| length.as_millis() as u64)
}

/// A length of time as the standard library has it.
pub fn duration(length: Millis) -> Duration {
    Duration::from_millis(length.0)
}
