//! Creation time of an attempt, read from the time-ordered UUID at the start of its name.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use coord::id::Attempt;
use coord::time::Time;
use uuid::Uuid;

/// Length of a UUID without hyphens.
const UUID_LENGTH: usize = 32;

/// Creation time of an attempt, converted from its creator's wall clock to this process's clock.
///
/// Returns `None` if the name doesn't begin with a time-ordered UUID.
pub fn creation_time(attempt: &Attempt, now: Time) -> Option<Time> {
    let uuid = attempt.as_str().get(..UUID_LENGTH)?;
    let (seconds, nanos) = Uuid::try_parse(uuid).ok()?.get_timestamp()?.to_unix();
    let created_ms = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    let wall_time = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let age = (wall_time.as_millis() as u64).saturating_sub(created_ms);
    Some(Time(now.0.saturating_sub(age)))
}
