//! Timestamp-clock time of expiries.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// How far the clocks of two hosts may be apart; records are kept this much longer.
pub const CLOCK_SLACK: Duration = Duration::from_secs(30);

/// Milliseconds since 1970, UTC.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The host's time of day.
    pub fn now() -> Timestamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        // A clock before 1970 only makes records expire later.
        Timestamp(since.unwrap_or_default().as_millis() as u64)
    }

    /// This much later.
    pub fn after(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.as_millis() as u64))
    }
}
