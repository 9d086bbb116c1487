//! A bounded number of actions a second, evenly spread.

use std::time::Duration;
use std::time::Instant;

/// Time that may be made up for after a pause.
const CATCH_UP: Duration = Duration::from_millis(400);

/// Allows one action in each interval.
#[derive(Debug)]
pub struct Pace {
    interval: Duration,
    next: Option<Instant>,
}

impl Pace {
    /// So many actions a second.
    pub fn per_second(rate: u32) -> Pace {
        Pace {
            interval: Duration::from_secs(1) / rate,
            next: None,
        }
    }

    /// Takes one action, if it is due.
    pub fn take(&mut self, now: Instant) -> bool {
        let floor = now.checked_sub(CATCH_UP).unwrap_or(now);
        let next = self.next.unwrap_or(now).max(floor);
        let due = next <= now;
        if due {
            self.next = Some(next + self.interval);
        }
        due
    }
}
