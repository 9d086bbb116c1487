//! Limits that targets name in their answers, and this entry's part of them.
//!
//! A limit holds for the incarnation that named it. What answers say reaches the other entries by
//! reports, so that an entry knows the limits of targets that it hasn't asked itself. Each entry sends
//! no more than its units of a limit allow; see [`coord::allotment`]. Reports also have the number of
//! requests sent to limited targets, so that each entry sees what all of them send.

mod limited;
mod notice;

use std::time::Duration;

use compact_str::CompactString;
use coord::allotment;
use coord::allotment::Demand;
use coord::allotment::Holder;
use coord::id::Rate;
use coord::limit::Statement;
use coord::time::Millis;
use coord::time::Time;

pub use self::limited::View;
pub use self::notice::Notice;
pub use self::notice::Source;
use crate::Map;
use crate::target::cold::Colds;
use crate::target::departure::Incarnation;
use crate::target::limits::limited::Limited;

/// Time for which it is kept that a limit has ended, so that a late report doesn't bring it back.
const ENDED_RETENTION: Millis = Millis(15_000);

/// Longest time after which a refused caller may come back.
const MAX_RETRY_AFTER: Millis = Millis(5_000);

/// Share of this entry's units whose tokens are kept for programs under way.
const RESERVED_SHARE: f64 = 0.25;

/// Limits of all targets, by the hash of the target's id.
#[derive(Debug, Default)]
pub struct Limits {
    targets: Map<u32, Limited>,
    /// Incarnations whose malformed limits were logged: start, by target.
    malformed: Map<u32, u64>,
    /// This entry, as [`Self::holders`] names it.
    entry: u64,
    /// Entries among which limits are divided.
    holders: Vec<Holder>,
    demand: Demand,
    /// Largest use of a limit since the start, in percent.
    largest_use_percent: u64,
    /// Time at which the last refused caller may come back.
    last_slot: Time,
    /// Targets that are cold, which bounds the requests to them in the same way.
    pub cold: Colds,
}

/// Rights to send one request that were reserved at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rights {
    limited: bool,
    cold: bool,
}

impl Rights {
    /// Whether the target was neither limited nor cold.
    pub fn is_empty(self) -> bool {
        !self.limited && !self.cold
    }
}

impl Limits {
    /// Counts a request for targets of any service, whether or not it is sent.
    pub fn record_demand(&mut self) {
        self.demand.record();
    }

    /// Updates the demand that this entry reports.
    pub fn update_demand(&mut self, now: Time) -> u8 {
        self.demand.update(now)
    }

    /// Divides all limits among these entries; `entry` is this one.
    pub fn divide(&mut self, entry: u64, holders: Vec<Holder>, now: Time) {
        (self.entry, self.holders) = (entry, holders);
        for (target, limited) in &mut self.targets {
            limited.assign(*target, entry, &self.holders, now);
        }
    }

    /// Merges what an answer or a report says of a target; returns whether its limit is another one now.
    pub fn merge(
        &mut self,
        incarnation: Incarnation,
        statement: Statement,
        source: Source,
        now: Time,
    ) -> bool {
        let Incarnation { target, born } = incarnation;
        let is_known = self
            .targets
            .get(&target)
            .is_some_and(|known| known.born >= born);
        if !is_known {
            // The limit of an earlier incarnation has ended with it.
            self.targets.remove(&target);
            if statement.limit.is_none() {
                return false;
            }
            let mut limited = Limited::new(born, statement, source, now);
            limited.assign(target, self.entry, &self.holders, now);
            limited.log(target, None, now);
            self.targets.insert(target, limited);
            return true;
        }
        let Some(limited) = self.targets.get_mut(&target) else {
            return false;
        };
        if limited.born != born {
            return false;
        }
        let former = limited.statement.limit;
        limited.statement = limited.statement.merge(statement);
        if limited.statement.limit == former {
            return false;
        }
        (limited.source, limited.changed) = (source, now);
        limited.assign(target, self.entry, &self.holders, now);
        limited.log(target, former, now);
        true
    }

    /// Merges what another entry's report says of limits and of requests sent; returns whether a limit
    /// is another one now.
    pub fn merge_report(
        &mut self,
        (peer, incarnation): (u64, u64),
        host: &CompactString,
        notices: &[Notice],
        sent: &[(u32, u32)],
        now: Time,
    ) -> bool {
        let mut any_changed = false;
        for notice in notices {
            let source = Source::Report(host.clone());
            let statement = notice.statement(now);
            any_changed |= self.merge(notice.incarnation, statement, source, now);
        }
        for (target, total) in sent {
            let Some(limited) = self.targets.get_mut(target) else {
                continue;
            };
            let former = limited
                .sendings
                .reported
                .insert(peer, (incarnation, *total));
            let former = match former {
                Some((known, former)) if known == incarnation => former,
                _ => 0,
            };
            let sent = total.saturating_sub(former);
            limited.sendings.everywhere.add(sent, now);
            self.largest_use_percent = self.largest_use_percent.max(limited.check_use(now));
        }
        any_changed
    }

    /// Logs the first malformed limit of a target's incarnation; returns whether it is the first.
    pub fn record_malformed(
        &mut self,
        incarnation: Incarnation,
        target: &str,
        cause: &str,
    ) -> bool {
        let former = self.malformed.insert(incarnation.target, incarnation.born);
        let is_first = former != Some(incarnation.born);
        if is_first {
            log::warn!(
                step = "learn limit", peer = target, born = incarnation.born;
                "malformed limit is ignored: {cause}"
            );
        }
        is_first
    }

    /// The limit of a target's incarnation, if it is in force.
    pub fn limit(&self, incarnation: Incarnation) -> Option<Rate> {
        self.limited(incarnation)?.statement.limit
    }

    fn limited(&self, incarnation: Incarnation) -> Option<&Limited> {
        let limited = self.targets.get(&incarnation.target)?;
        let in_force = limited.statement.limit.is_some() && limited.born == incarnation.born;
        in_force.then_some(limited)
    }

    fn limited_mut(&mut self, incarnation: Incarnation) -> Option<&mut Limited> {
        let limited = self.targets.get_mut(&incarnation.target)?;
        let in_force = limited.statement.limit.is_some() && limited.born == incarnation.born;
        in_force.then_some(limited)
    }

    /// Whether no target has or had a limit lately.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Number of targets with a limit.
    pub fn count(&self) -> usize {
        let limits = self.targets.values();
        limits
            .filter(|limited| limited.statement.limit.is_some())
            .count()
    }

    /// Whether a target has a limit or is cold.
    pub fn is_restricted(&self, incarnation: Incarnation, now: Time) -> bool {
        self.limit(incarnation).is_some() || self.cold.is_cold(incarnation.target, now)
    }

    /// Whether this entry may send a target a request now.
    pub fn is_open(&self, incarnation: Incarnation, now: Time) -> bool {
        let limited = self.limited(incarnation);
        limited.is_none_or(|limited| limited.allotment.available(now) >= 1.0)
            && self.cold.is_open(incarnation.target, now)
    }

    /// Whether programs that begin may use the limited ones of these targets: more tokens are left than
    /// are kept for programs under way.
    pub fn has_spare(&self, targets: impl Iterator<Item = Incarnation>, now: Time) -> bool {
        let limited = targets.filter_map(|incarnation| self.limited(incarnation));
        let (available, held) = limited.fold((0.0, 0), |(available, held), limited| {
            let tokens = limited.allotment.available(now).max(0.0).floor();
            (available + tokens, held + limited.held_units)
        });
        available > f64::from(held) * RESERVED_SHARE
    }

    /// Reserves the rights to send a request to a target that is limited or cold.
    pub fn reserve(&mut self, incarnation: Incarnation, now: Time) -> Rights {
        let limited = self.limited_mut(incarnation);
        Rights {
            limited: limited.is_some_and(|limited| limited.allotment.reserve(now)),
            cold: self.cold.reserve(incarnation.target, now),
        }
    }

    /// Gives back rights that were reserved.
    pub fn release(&mut self, incarnation: Incarnation, rights: Rights) {
        let limited = self.limited_mut(incarnation).filter(|_| rights.limited);
        if let Some(limited) = limited {
            limited.allotment.release();
        }
        if rights.cold {
            self.cold.release(incarnation.target);
        }
    }

    /// Charges a request that is sent now; returns whether the target takes it.
    pub fn take(&mut self, incarnation: Incarnation, now: Time) -> bool {
        if !self.cold.take(incarnation.target, now) {
            return false;
        }
        let Some(limited) = self.limited_mut(incarnation) else {
            return true;
        };
        let granted = limited.allotment.take(now);
        match granted {
            true => self.record_sending(incarnation, now),
            false => self.cold.refund(incarnation.target),
        }
        granted
    }

    /// Counts a request that is sent to a target.
    pub fn record_sending(&mut self, incarnation: Incarnation, now: Time) {
        let Some(limited) = self.limited_mut(incarnation) else {
            return;
        };
        let sendings = &mut limited.sendings;
        sendings.here.add(1, now);
        sendings.everywhere.add(1, now);
        sendings.total = sendings.total.wrapping_add(1);
        sendings.last = now;
        let use_percent = limited.check_use(now);
        self.largest_use_percent = self.largest_use_percent.max(use_percent);
    }

    /// Gives back the charge of a request that certainly wasn't sent.
    pub fn refund(&mut self, incarnation: Incarnation) {
        if let Some(limited) = self.limited_mut(incarnation) {
            limited.allotment.refund();
        }
        self.cold.refund(incarnation.target);
    }

    /// Time after which a refused caller may come back to limited or cold targets among these: callers
    /// that were refused before come back first, at the rate of this entry's part.
    pub fn retry_after(
        &mut self,
        targets: impl Iterator<Item = Incarnation>,
        now: Time,
    ) -> Duration {
        let (mut rate, mut total, mut earliest) = (0.0, 0.0, MAX_RETRY_AFTER);
        for incarnation in targets {
            if let Some(limited) = self.limited(incarnation) {
                rate += limited.allotment.rate();
                total += limited.statement.limit.map_or(0.0, Rate::per_second);
                let wait = limited.allotment.wait(now);
                earliest = earliest.min(wait.unwrap_or(MAX_RETRY_AFTER));
            } else if let Some((pace, wait)) = self.cold.pace(incarnation.target, now) {
                rate += pace;
                total += pace;
                earliest = earliest.min(wait);
            }
        }
        if rate == 0.0 {
            // The caller comes back to any entry.
            rate = total / self.holders.len().max(1) as f64;
        }
        let length = match rate > 0.0 {
            true => Millis((1000.0 / rate).min(MAX_RETRY_AFTER.0 as f64) as u64),
            false => Millis(0),
        };
        let latest = now + MAX_RETRY_AFTER;
        let slot = (now + earliest).max(self.last_slot + length).min(latest);
        self.last_slot = slot;
        Duration::from_millis(slot.since(now).0)
    }

    /// Limits, and ends of limits, for a report: those that changed since a time by an answer to this
    /// entry, or all whose units it holds, for an entry that has just started. What reports bring isn't
    /// passed on, so that a late one does harm only where it comes late.
    pub fn notices(&self, changed_since: Time, any_newcomer: bool, now: Time) -> Vec<Notice> {
        let reported = self.targets.iter().filter(|(_, limited)| {
            let is_first_hand = matches!(limited.source, Source::Answer(_));
            is_first_hand && limited.changed >= changed_since
                || any_newcomer && limited.held_units > 0
        });
        let notices = reported.map(|(target, limited)| Notice {
            incarnation: Incarnation {
                target: *target,
                born: limited.born,
            },
            limit: limited.statement.limit,
            asked_ms_ago: now.since(limited.statement.asked).0,
            answered_ms_ago: now.since(limited.statement.answered).0,
        });
        notices.collect()
    }

    /// Totals of the requests sent to limited targets, where they changed since a time.
    pub fn sendings(&self, since: Time) -> Vec<(u32, u32)> {
        let sent = self.targets.iter();
        sent.filter(|(_, limited)| limited.sendings.total > 0 && limited.sendings.last >= since)
            .map(|(target, limited)| (*target, limited.sendings.total))
            .collect()
    }

    /// Forgets limits that ended long ago, and those of targets that aren't registered any more.
    pub fn expire(&mut self, is_registered: impl Fn(u32) -> bool, now: Time) {
        self.malformed.retain(|target, _| is_registered(*target));
        self.targets.retain(|target, limited| {
            let is_current = now.since(limited.statement.answered) < ENDED_RETENTION;
            let in_force = limited.statement.limit.is_some();
            is_current || in_force && is_registered(*target)
        });
    }

    /// Largest use of a limit now and since the start, in percent of what the limit allows.
    pub fn use_percent(&self, now: Time) -> (u64, u64) {
        let uses = self
            .targets
            .values()
            .map(|limited| limited.use_percent(now));
        (uses.max().unwrap_or(0), self.largest_use_percent)
    }

    /// State of a target's limit; none if none is in force.
    pub fn view(&self, incarnation: Incarnation, now: Time) -> Option<View> {
        let limited = self.limited(incarnation)?;
        let limit = limited.statement.limit?;
        Some(View {
            requests_per_second: limit.per_second(),
            age_ms: now.since(limited.statement.answered).0,
            learned_from: limited.source.name().into(),
            held_units: limited.held_units,
            units: allotment::units(limit),
            tokens: limited.allotment.available(now),
            sent_here: limited.sendings.here.sum(now),
            sent_by_all: limited.sendings.everywhere.sum(now),
            use_percent: limited.use_percent(now),
        })
    }
}
