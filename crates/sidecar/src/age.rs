//! When an attempt was made: its name begins with a time-ordered UUID.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use coord::id::Attempt;
use coord::time::Time;
use uuid::Uuid;

/// Length of a UUID without hyphens.
const UUID_LENGTH: usize = 32;

/// The moment on this process's clock at which an attempt was made by its maker's wall clock; none
/// if its name doesn't tell.
pub fn creation_time(attempt: &Attempt, now: Time) -> Option<Time> {
    let uuid = attempt.as_str().get(..UUID_LENGTH)?;
    let (seconds, nanos) = Uuid::try_parse(uuid).ok()?.get_timestamp()?.to_unix();
    let created_ms = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let age = (wall.as_millis() as u64).saturating_sub(created_ms);
    Some(Time(now.0.saturating_sub(age)))
}
