//! Time in the state machines: milliseconds of one process's monotonic clock.

use std::fmt;
use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// A moment on one process's monotonic clock, in milliseconds; never sent to another process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

/// A duration, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Time {
    /// Duration since `earlier`; zero if that is later.
    pub fn since(self, earlier: Time) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Time {
    type Output = Time;

    fn add(self, duration: Millis) -> Time {
        Time(self.0.saturating_add(duration.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
