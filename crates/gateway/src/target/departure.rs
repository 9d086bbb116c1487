//! Targets that announced in an answer that they leave.
//!
//! An announcement holds for the incarnation that made it, whatever its registration says: a
//! registration may arrive late, and some targets never change theirs. Only a later incarnation of
//! the target receives requests again.

use coord::time::Millis;
use coord::time::Time;
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
    born: u64,
    /// When this entry learned of it.
    learned: Time,
    /// When the target was last known to be registered, or when this entry learned of it.
    registered: Time,
}

/// Announcements of all targets.
#[derive(Debug, Default)]
pub struct Departures {
    by_target: Map<u32, Departure>,
}

impl Departures {
    /// Records that an incarnation leaves; returns whether that is new.
    pub fn record(&mut self, incarnation: Incarnation, now: Time) -> bool {
        let departure = Departure {
            born: incarnation.born,
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

    /// Whether an incarnation, or a later one of the same target, has announced that it leaves.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        let departure = self.by_target.get(&incarnation.target);
        departure.is_some_and(|departure| incarnation.born <= departure.born)
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

    /// Forgets announcements of targets that haven't been registered for [`RETENTION`].
    pub fn expire<'a>(&mut self, registered: impl Iterator<Item = &'a Target>, now: Time) {
        for target in registered {
            let hash = hash::target_hash(&target.id);
            if let Some(departure) = self.by_target.get_mut(&hash) {
                departure.registered = now;
            }
        }
        self.by_target
            .retain(|_, departure| now.since(departure.registered) < RETENTION);
    }
}
