//! Targets that announced in an answer that they leave.
//!
//! An announcement holds for the incarnation that made it, whatever its registration says: a
//! registration may arrive late, and some targets never change theirs. Only a later incarnation of
//! the target receives requests again.
//!
//! An answer doesn't say which incarnation sent it: a target may have restarted under its id since
//! the registration that is known here. Whoever started before the announcement had made it, so an
//! incarnation is a later one only if it started after. Clocks of hosts differ; an incarnation that
//! started too close to the announcement is doubtful for some time.

use coord::time::Millis;
use coord::time::Time;
use history::time::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use crate::Map;
use crate::adapter::Target;
use crate::target::hash;

/// Time for which an announcement is reported to other entries, so that one that starts meanwhile
/// learns of it.
const REPORT_WINDOW: Millis = Millis(10_000);

/// Time for which the announcement of a target without a registration is kept; the registration may
/// come back in an outdated listing.
const RETENTION: Millis = Millis(600_000);

/// Greatest difference between the clock of a target and this process's: a clock may step by two
/// seconds.
const CLOCK_TOLERANCE: Millis = Millis(3_000);

/// Time for which an incarnation that started about when its target announced that it leaves gets no
/// requests; a target that leaves has ended or its registration has changed by then.
const DOUBT_TIME: Millis = Millis(15_000);

/// Incarnation of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Hash of the target's id.
    pub target: u32,
    /// Start of the incarnation, in milliseconds since the Unix epoch; 0 if it is unknown.
    pub born: u64,
}

impl Incarnation {
    /// Returns the incarnation that a registration describes.
    pub fn of(target: &Target) -> Incarnation {
        Incarnation {
            target: hash::target_hash(&target.id),
            born: target.born.unwrap_or(0),
        }
    }
}

/// Latest announcement of a target.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Incarnation that was known when the announcement came.
    born: u64,
    /// Time of day at which the target last announced it.
    announced: Timestamp,
    /// End of [`DOUBT_TIME`]; none once it has passed.
    doubtful_until: Option<Time>,
    /// When this entry learned of it.
    learned: Time,
    /// When the target was last known to be registered, or when this entry learned of it.
    registered: Time,
}

impl Departure {
    fn covers(&self, born: u64) -> bool {
        let Timestamp(announced) = self.announced;
        match born {
            born if born <= self.born => true,
            born if born.saturating_add(CLOCK_TOLERANCE.0) <= announced => true,
            born if born <= announced.saturating_add(CLOCK_TOLERANCE.0) => {
                self.doubtful_until.is_some()
            }
            _ => false,
        }
    }
}

/// Announcements of all targets.
#[derive(Debug, Default)]
pub struct Departures {
    by_target: Map<u32, Departure>,
}

impl Departures {
    /// Records that a target announces in an answer that it leaves, at a time of day; `incarnation` is
    /// the one that is registered. Returns whether that is new.
    pub fn record(&mut self, incarnation: Incarnation, announced: Timestamp, now: Time) -> bool {
        let is_new = self.merge(incarnation, announced, now);
        if let Some(departure) = self.by_target.get_mut(&incarnation.target) {
            departure.announced = announced;
            departure.doubtful_until = Some(now + DOUBT_TIME);
        }
        is_new
    }

    /// Merges another entry's report that a target leaves; returns whether that is new.
    pub fn merge(&mut self, incarnation: Incarnation, reported: Timestamp, now: Time) -> bool {
        let departure = Departure {
            born: incarnation.born,
            announced: reported,
            doubtful_until: Some(now + DOUBT_TIME),
            learned: now,
            registered: now,
        };
        match self.by_target.get(&incarnation.target) {
            Some(known) if known.born >= incarnation.born => false,
            _ => {
                self.by_target.insert(incarnation.target, departure);
                true
            }
        }
    }

    /// Whether an incarnation, or a later one of the same target, has or may have announced that it
    /// leaves.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        let departure = self.by_target.get(&incarnation.target);
        departure.is_some_and(|departure| departure.covers(incarnation.born))
    }

    /// Incarnations that this entry learned of within [`REPORT_WINDOW`], for reports.
    pub fn recent(&self, now: Time) -> Vec<Incarnation> {
        let departures = self.by_target.iter();
        departures
            .filter(|(_, departure)| now.since(departure.learned) < REPORT_WINDOW)
            .map(|(target, departure)| Incarnation {
                target: *target,
                born: departure.born,
            })
            .collect()
    }

    /// Ends doubts, and forgets announcements of targets that haven't been registered for
    /// [`RETENTION`].
    pub fn expire<'a>(&mut self, registered: impl Iterator<Item = &'a Target>, now: Time) {
        for target in registered {
            let hash = hash::target_hash(&target.id);
            if let Some(departure) = self.by_target.get_mut(&hash) {
                departure.registered = now;
            }
        }
        for departure in self.by_target.values_mut() {
            departure.doubtful_until = departure.doubtful_until.filter(|until| now < *until);
        }
        self.by_target
            .retain(|_, departure| now.since(departure.registered) < RETENTION);
    }
}
