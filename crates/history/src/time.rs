//! Wall-clock timestamps for record expiry.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// Maximum clock difference between two hosts; records are retained this much longer.
pub const CLOCK_SLACK: Duration = Duration::from_secs(30);

/// Milliseconds since 1970, UTC.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The host's current wall-clock time.
    pub fn now() -> Timestamp {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        // A clock set before 1970 reads as 0, which only makes records expire later.
        Timestamp(since_epoch.unwrap_or_default().as_millis() as u64)
    }

    /// This timestamp plus `duration`, saturating.
    pub fn after(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.as_millis() as u64))
    }
}
