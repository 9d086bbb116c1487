//! Faults that a test switches on by `POST /fake/faults`, each post replacing the whole set.

use serde::Deserialize;
use serde::Serialize;

/// The faults in force.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Dies on a request whose body contains this text.
    pub crash_on: Option<String>,
    /// Never answers a request whose body contains this text; empty text: any request.
    pub hang_on: Option<String>,
    /// Breaks the streams of this many requests midway.
    pub break_streams: u32,
    /// Ends the streams of this many requests early, as if they were whole, but for the end mark.
    pub cut_streams: u32,
    /// Also refuses to resume the broken streams.
    pub no_resume: bool,
    /// Mixes another request's chunk into the streams of this many requests.
    pub cross_streams: u32,
    /// Divides the speed; 0 is 1.
    pub slow: u32,
    /// Milliseconds before each answer begins.
    pub late_ms: u64,
    /// Loses all cache events.
    pub drop_events: bool,
    /// Ignores this many deletions in the cache, though confirming them.
    pub ignore_deletes: u32,
    /// Answers this many requests with status 503 without running them.
    pub unavailable: u32,
    /// Runs this many requests and closes their connections without an answer.
    pub lose_answers: u32,
}

impl Faults {
    /// Whether a request with this body brings the process down.
    pub fn crashes(&self, body: &[u8]) -> bool {
        matches(self.crash_on.as_deref(), body)
    }

    /// Whether a request with this body is never answered.
    pub fn hangs(&self, body: &[u8]) -> bool {
        matches(self.hang_on.as_deref(), body)
    }

    /// Divisor of the speed.
    pub fn slowness(&self) -> u32 {
        self.slow.max(1)
    }
}

/// Takes one off a counted fault; false when it is used up.
pub fn spend(count: &mut u32) -> bool {
    let armed = *count > 0;
    *count = count.saturating_sub(1);
    armed
}

fn matches(text: Option<&str>, body: &[u8]) -> bool {
    match text {
        None => false,
        Some("") => true,
        Some(text) => contains(body, text.as_bytes()),
    }
}

/// Whether some bytes contain others.
pub fn contains(bytes: &[u8], wanted: &[u8]) -> bool {
    bytes.windows(wanted.len()).any(|window| window == wanted)
}
