//! How current this process's knowledge of the object store is, by kind of object.
//!
//! A waiting watch is silent while nothing changes, and also if the store never received it or the
//! connection is dead. Only answers show that nothing was missed, so the knowledge has an age: the time
//! since an answer of the store to this process, or to another one that knows of no newer change. When
//! the age reaches a limit, the store is asked; [`crate::follow`] does that.

use std::time::Duration;

use node::object::Kind;
use node::object::Revision;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::Map;

/// Shortest age at which the store is asked, whatever the time within which a change must be in force.
const MIN_AGE: Duration = Duration::from_millis(200);

/// Time within which a change that another entry knows of should come by this one's own watch.
pub const SETTLE_TIME: Duration = Duration::from_millis(150);

/// Age of the knowledge at which the first entry asks the store again.
pub const FIRST_CHECK_AGE: Duration = Duration::from_millis(600);

/// Part of the time within which a change must be in force that is left after the check is due: the
/// pause after the change before, [`SETTLE_TIME`], the answer of a slow store, and sending.
pub const CHANGE_RESERVE: Duration = Duration::from_millis(800);

/// When an entry checks, among those that exchange reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    First,
    /// After the first one, whose reports come at this interval.
    After(Duration),
}

/// Age at which knowledge must be checked, so that a change is in force within `bound`. The first entry
/// checks early; the others wait for its report as long as `bound` allows.
pub fn age_limit(order: Order, bound: Duration) -> Duration {
    let limit = match order {
        Order::First => FIRST_CHECK_AGE,
        Order::After(interval) => FIRST_CHECK_AGE + 2 * interval,
    };
    limit.min(bound.saturating_sub(CHANGE_RESERVE).max(MIN_AGE))
}

/// What an entry tells others of its knowledge of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    pub kind: Kind,
    /// Revision since which it has seen each change; it may not know of deletions before.
    pub since: u64,
    /// Revision of the newest change that it knows.
    pub changed: u64,
    /// Time since the store answered it, in milliseconds.
    pub age_ms: u64,
}

/// What an answer of the store brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// All objects.
    Listing,
    /// All changes since the answer before; the newest one has this revision.
    Changes(Revision),
    /// No change since the answer before.
    Unchanged,
}

#[derive(Debug, Clone, Copy)]
struct Knowledge {
    /// When the store last answered this process.
    answered: Instant,
    /// Latest time for which it is known that nothing newer was accepted before.
    confirmed: Instant,
    /// Revision of the listing since which each change was seen.
    since: Revision,
    /// Revision up to which all changes are known.
    known: Revision,
    /// Revision of the newest change seen.
    changed: Revision,
    /// Newer change that another entry has reported, and when.
    reported: Option<(Revision, Instant)>,
}

/// Questions to the store that somebody waits for.
#[derive(Debug, Clone, Copy, Default)]
struct Checks {
    /// When the newest question was asked whose answer is in force.
    asked: Option<Instant>,
    /// When an answer to a newer question was last needed.
    wanted: Option<Instant>,
}

impl Checks {
    fn is_due(&self) -> bool {
        self.wanted.is_some_and(|wanted| self.asked < Some(wanted))
    }
}

/// Knowledge of all kinds.
#[derive(Debug, Default)]
pub struct Freshness {
    kinds: Mutex<Map<Kind, Knowledge>>,
    reported: Notify,
    checks: Mutex<Map<Kind, Checks>>,
    checked: Notify,
}

impl Freshness {
    /// Records an answer as of a revision. Returns the age that the knowledge had before, none at the
    /// first answer.
    pub fn record_answer(
        &self,
        kind: Kind,
        answer: Answer,
        revision: Revision,
        now: Instant,
    ) -> Option<Duration> {
        let mut kinds = self.kinds.lock();
        let before = kinds.get(&kind).copied();
        let (since, changed) = match (answer, before) {
            (Answer::Listing, _) | (_, None) => (revision, revision),
            (Answer::Changes(newest), Some(before)) => (before.since, newest.max(before.changed)),
            (Answer::Unchanged, Some(before)) => (before.since, before.changed),
        };
        let known = before.map_or(revision, |before| before.known.max(revision));
        let reported = before.and_then(|before| before.reported);
        let knowledge = Knowledge {
            answered: now,
            confirmed: now,
            since,
            known,
            changed,
            reported: reported.filter(|(revision, _)| *revision > known),
        };
        kinds.insert(kind, knowledge);
        before.map(|before| now - before.confirmed)
    }

    /// Records that the answer to a question is in force. An answer may have waited for this process, so
    /// that it shows nothing of the time after the question.
    pub fn record_check(&self, kind: Kind, asked: Instant) {
        let mut checks = self.checks.lock();
        let checks = checks.entry(kind).or_default();
        checks.asked = checks.asked.max(Some(asked));
        self.checked.notify_waiters();
    }

    /// Waits until an answer to a question is in force that was asked at `since` or later.
    pub async fn checked_since(&self, kind: Kind, since: Instant) {
        loop {
            let checked = self.checked.notified();
            tokio::pin!(checked);
            checked.as_mut().enable();
            if self.is_checked(kind, since) {
                return;
            }
            self.reported.notify_waiters();
            checked.await;
        }
    }

    /// Whether such an answer is in force; otherwise, the store is asked.
    fn is_checked(&self, kind: Kind, since: Instant) -> bool {
        let mut checks = self.checks.lock();
        let checks = checks.entry(kind).or_default();
        let is_checked = checks.asked >= Some(since);
        if !is_checked {
            checks.wanted = checks.wanted.max(Some(since));
        }
        is_checked
    }

    /// Merges another entry's statement: it confirms the knowledge, or tells of a change that is missing.
    pub fn merge(&self, statement: Statement, now: Instant) {
        let mut kinds = self.kinds.lock();
        let Some(knowledge) = kinds.get_mut(&statement.kind) else {
            return;
        };
        let changed = Revision(statement.changed);
        let answered = now.checked_sub(Duration::from_millis(statement.age_ms));
        // An entry that listed later may not know of a deletion that is missing here.
        let comparable = Revision(statement.since) <= knowledge.known;
        match (knowledge.reported, answered) {
            _ if !comparable => {}
            (_, Some(answered)) if changed <= knowledge.known => {
                knowledge.confirmed = knowledge.confirmed.max(answered);
            }
            (None, _) if changed > knowledge.known => {
                knowledge.reported = Some((changed, now));
                drop(kinds);
                self.reported.notify_waiters();
            }
            (Some((reported, since)), _) => {
                knowledge.reported = Some((changed.max(reported), since));
            }
            _ => {}
        }
    }

    /// What to tell other entries. Only answers to this process count, so that entries can't confirm
    /// each other in a circle.
    pub fn statements(&self, now: Instant) -> Vec<Statement> {
        let kinds = self.kinds.lock();
        let statements = kinds.iter().map(|(kind, knowledge)| Statement {
            kind: *kind,
            since: knowledge.since.0,
            changed: knowledge.changed.0,
            age_ms: (now - knowledge.answered).as_millis() as u64,
        });
        statements.collect()
    }

    /// Age of the knowledge; none before the first answer.
    pub fn age(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let kinds = self.kinds.lock();
        kinds.get(&kind).map(|knowledge| now - knowledge.confirmed)
    }

    /// Waits until the knowledge is older than `limit`, or a change that another entry knows of is
    /// missing.
    pub async fn overdue(&self, kind: Kind, limit: impl Fn() -> Duration) {
        loop {
            let reported = self.reported.notified();
            tokio::pin!(reported);
            reported.as_mut().enable();
            let Some(due) = self.due(kind, limit()) else {
                reported.await;
                continue;
            };
            if due <= Instant::now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = reported => {}
            }
        }
    }

    /// When the store must be asked; none before its first answer.
    fn due(&self, kind: Kind, limit: Duration) -> Option<Instant> {
        let kinds = self.kinds.lock();
        let knowledge = kinds.get(&kind)?;
        if self.checks.lock().get(&kind).is_some_and(Checks::is_due) {
            return Some(knowledge.answered);
        }
        let by_age = knowledge.confirmed + limit;
        let by_report = knowledge.reported.map(|(_, since)| since + SETTLE_TIME);
        Some(by_report.map_or(by_age, |by_report| by_report.min(by_age)))
    }
}
