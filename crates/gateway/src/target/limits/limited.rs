//! What is known of one target's limit, this entry's part of it, and the requests sent to the target.

use compact_str::CompactString;
use coord::allotment;
use coord::allotment::Allotment;
use coord::allotment::Holder;
use coord::id::Rate;
use coord::limit::Statement;
use coord::time::Millis;
use coord::time::Time;
use serde::Serialize;

use crate::Map;
use crate::target::limits::notice::Source;
use crate::target::window;
use crate::target::window::Window;

/// Time between two lines about the limit of one target.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Requests that were sent to a limited target.
#[derive(Debug, Default)]
pub(super) struct Sendings {
    pub(super) here: Window,
    pub(super) everywhere: Window,
    /// Total of this entry, for reports.
    pub(super) total: u32,
    pub(super) last: Time,
    pub(super) excess_logged: Option<Time>,
    /// Incarnation and last reported total of other entries.
    pub(super) reported: Map<u64, (u64, u32)>,
}

/// What is known of a target's limit, and this entry's part of it.
#[derive(Debug)]
pub(super) struct Limited {
    pub(super) born: u64,
    pub(super) statement: Statement,
    pub(super) source: Source,
    /// When the present value became known here.
    pub(super) changed: Time,
    pub(super) logged: Option<Time>,
    pub(super) held_units: u32,
    pub(super) allotment: Allotment,
    pub(super) sendings: Sendings,
}

impl Limited {
    pub(super) fn new(born: u64, statement: Statement, source: Source, now: Time) -> Limited {
        Limited {
            born,
            statement,
            source,
            changed: now,
            logged: None,
            held_units: 0,
            allotment: Allotment::new(now),
            sendings: Sendings::default(),
        }
    }

    pub(super) fn assign(&mut self, target: u32, entry: u64, holders: &[Holder], now: Time) {
        if let Some(limit) = self.statement.limit {
            self.held_units = allotment::held_units(target, limit, entry, holders);
            self.allotment.assign(limit, self.held_units, now);
        }
    }

    pub(super) fn log(&mut self, target: u32, former: Option<Rate>, now: Time) {
        let is_due = self
            .logged
            .is_none_or(|logged| now.since(logged) >= LOG_INTERVAL);
        if !is_due {
            return;
        }
        self.logged = Some(now);
        let message = match (former, self.statement.limit) {
            (None, _) => "target names a limit",
            (Some(_), Some(_)) => "target's limit changes",
            (Some(_), None) => "target's limit ends",
        };
        log::info!(
            step = "learn limit", peer = self.source.name(), target_hash = target, born = self.born,
            limit = self.statement.limit.map_or(0.0, Rate::per_second),
            former = former.map_or(0.0, Rate::per_second),
            age_ms = now.since(self.statement.answered).0;
            "{message}"
        );
    }

    /// Returns [`Self::use_percent`], and logs it if it is too large.
    pub(super) fn check_use(&mut self, now: Time) -> u64 {
        let use_percent = self.use_percent(now);
        let sendings = &mut self.sendings;
        let is_due = sendings
            .excess_logged
            .is_none_or(|logged| now.since(logged) >= window::SPAN);
        if use_percent > 100 && is_due {
            sendings.excess_logged = Some(now);
            log::warn!(
                step = "check limit", peer = self.source.name(), born = self.born,
                limit = self.statement.limit.map_or(0.0, Rate::per_second),
                age_ms = now.since(self.statement.answered).0, held_units = self.held_units,
                sent_here = sendings.here.sum(now), sent_by_all = sendings.everywhere.sum(now),
                use_percent = use_percent;
                "target got more requests in four seconds than its limit allows"
            );
        }
        use_percent
    }

    /// Requests sent within [`window::SPAN`] by all entries, in percent of what the limit allows with
    /// the burst of its units.
    pub(super) fn use_percent(&self, now: Time) -> u64 {
        let Some(limit) = self.statement.limit else {
            return 0;
        };
        let span_s = window::SPAN.0 as f64 / 1000.0;
        let allowed = limit.per_second() * span_s + f64::from(allotment::units(limit));
        (f64::from(self.sendings.everywhere.sum(now)) / allowed * 100.0).round() as u64
    }
}

/// State of a target's limit for the dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct View {
    pub requests_per_second: f64,
    /// Time since an answer last named it, in milliseconds.
    pub age_ms: u64,
    /// Target whose answer, or host of the entry whose report, brought it.
    pub learned_from: CompactString,
    /// Units that this entry holds, of all units.
    pub held_units: u32,
    pub units: u32,
    /// Requests that this entry may send now.
    pub tokens: f64,
    /// Requests sent in the last four seconds.
    pub sent_here: u32,
    pub sent_by_all: u32,
    pub use_percent: u64,
}
