//! Targets that are cold: a target that has just started, or lost its caches, bears few requests for some
//! seconds and crashes above that.
//!
//! Nobody is asked for the right to send to one. Its rate is divided into units, as the limits that
//! targets name are (see [`coord::allotment`]), among all known entries alike: a cold target is warm
//! before a division by demand would have settled. An entry that doesn't know the others yet holds no
//! unit, since all entries may have started at the same moment. Where it isn't known whether a target is
//! cold, it is taken to be.

use std::time::Duration;

use coord::allotment;
use coord::allotment::Allotment;
use coord::allotment::Holder;
use coord::time::Millis;
use coord::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Map;
use crate::config::Service;
use crate::config::ServiceLimits;
use crate::config::Warmup;

/// Part of a cold target's rate that is used. The rest, and the platform's tolerance above the rate, is
/// for what units have saved up and for moments in which entries divide it differently.
const USED_SHARE: f64 = 0.9;

/// Weight of each entry in the division.
const EVEN_WEIGHT: f64 = 1.0;

/// Longest time for which a target is taken to be cold by one statement.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Time for which a target stays cold, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remaining {
    Known(Duration),
    /// As long as a target of its service is cold after a start.
    Unknown,
}

/// A cold target, in a report to another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Hash of the target's id.
    pub target: u32,
    pub remaining_ms: u64,
}

#[derive(Debug)]
struct Cold {
    service: Service,
    until: Time,
    /// When this entry learned of it first-hand.
    learned: Option<Time>,
    held_units: u32,
    allotment: Allotment,
}

/// State of a cold target for the dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct View {
    pub remaining_ms: u64,
    /// Units that this entry holds.
    pub held_units: u32,
    /// Requests that this entry may send now.
    pub tokens: f64,
}

/// All cold targets, by the hash of the target's id.
#[derive(Debug, Default)]
pub struct Colds {
    targets: Map<u32, Cold>,
    /// Services whose targets are cold after a start.
    warmups: Map<Service, Warmup>,
    /// This entry, as [`Self::holders`] names it.
    entry: u64,
    /// Entries among which rates are divided; empty until this entry knows the others.
    holders: Vec<Holder>,
}

impl Colds {
    /// Takes over how the targets of each service are when they are cold.
    pub fn configure(&mut self, services: &Map<Service, ServiceLimits>, now: Time) {
        let warmups = services
            .iter()
            .filter_map(|(service, limits)| Some((service.clone(), limits.warmup?)));
        self.warmups = warmups.collect();
        self.assign_all(now);
    }

    /// Divides the rates among these entries, none if they aren't known yet; `entry` is this one.
    pub fn divide(&mut self, entry: u64, entries: &[u64], now: Time) {
        self.targets.retain(|_, cold| now < cold.until);
        let is_same = entries
            .iter()
            .eq(self.holders.iter().map(|holder| &holder.entry));
        if is_same && self.entry == entry {
            return;
        }
        let holders = entries.iter().map(|entry| Holder {
            entry: *entry,
            weight: EVEN_WEIGHT,
        });
        (self.entry, self.holders) = (entry, holders.collect());
        self.assign_all(now);
    }

    fn assign_all(&mut self, now: Time) {
        for (target, cold) in &mut self.targets {
            let warmup = self.warmups.get(&cold.service);
            assign(*target, cold, warmup, self.entry, &self.holders, now);
        }
    }

    /// Records that a target is cold, which this entry knows first-hand.
    pub fn record(&mut self, target: u32, service: &Service, remaining: Remaining, now: Time) {
        let warmup = self.warmups.get(service);
        let time = match remaining {
            Remaining::Known(time) => time,
            Remaining::Unknown => warmup.map_or(Duration::ZERO, |warmup| warmup.time),
        };
        self.extend(target, service, time, now);
        if let Some(cold) = self.targets.get_mut(&target).filter(|_| !time.is_zero()) {
            cold.learned = Some(now);
        }
    }

    /// Merges another entry's notice of a target of a service.
    pub fn merge(&mut self, notice: Notice, service: &Service, now: Time) {
        let time = Duration::from_millis(notice.remaining_ms);
        self.extend(notice.target, service, time, now);
    }

    fn extend(&mut self, target: u32, service: &Service, time: Duration, now: Time) {
        let time = time.min(MAX_TIME).as_millis() as u64;
        let until = now + Millis(time);
        let warmup = self.warmups.get(service);
        if time == 0 {
            return;
        }
        if let Some(cold) = self.targets.get_mut(&target) {
            cold.until = cold.until.max(until);
            return;
        }
        let mut cold = Cold {
            service: service.clone(),
            until,
            learned: None,
            held_units: 0,
            allotment: Allotment::new(now),
        };
        assign(target, &mut cold, warmup, self.entry, &self.holders, now);
        log::info!(
            step = "learn target", peer = service.as_str(), target_hash = target,
            remaining_ms = time, held_units = cold.held_units, entries = self.holders.len();
            "target is cold"
        );
        self.targets.insert(target, cold);
    }

    fn cold(&self, target: u32, now: Time) -> Option<&Cold> {
        let cold = self.targets.get(&target)?;
        let bounds = self.warmups.contains_key(&cold.service);
        (bounds && now < cold.until).then_some(cold)
    }

    fn cold_mut(&mut self, target: u32, now: Time) -> Option<&mut Cold> {
        let cold = self.targets.get_mut(&target)?;
        let bounds = self.warmups.contains_key(&cold.service);
        (bounds && now < cold.until).then_some(cold)
    }

    /// Whether a target is cold and its service bounds the requests to cold targets.
    pub fn is_cold(&self, target: u32, now: Time) -> bool {
        self.cold(target, now).is_some()
    }

    /// Whether this entry may send a target a request now.
    pub fn is_open(&self, target: u32, now: Time) -> bool {
        let cold = self.cold(target, now);
        cold.is_none_or(|cold| cold.allotment.available(now) >= 1.0)
    }

    /// Reserves the right to send a request to a cold target; returns whether it is one and there was one.
    pub fn reserve(&mut self, target: u32, now: Time) -> bool {
        let cold = self.cold_mut(target, now);
        cold.is_some_and(|cold| cold.allotment.reserve(now))
    }

    /// Gives back a right that was reserved.
    pub fn release(&mut self, target: u32) {
        if let Some(cold) = self.targets.get_mut(&target) {
            cold.allotment.release();
        }
    }

    /// Charges a request that is sent now; returns whether it may be.
    pub fn take(&mut self, target: u32, now: Time) -> bool {
        let cold = self.cold_mut(target, now);
        cold.is_none_or(|cold| cold.allotment.take(now))
    }

    /// Gives back the charge of a request that certainly wasn't sent.
    pub fn refund(&mut self, target: u32) {
        if let Some(cold) = self.targets.get_mut(&target) {
            cold.allotment.refund();
        }
    }

    /// Requests per second that this entry may send to a cold target, and the time until the next one;
    /// none if it isn't cold. A target that this entry holds no unit of is open once it is warm.
    pub fn pace(&self, target: u32, now: Time) -> Option<(f64, Millis)> {
        let cold = self.cold(target, now)?;
        let warm = cold.until.since(now);
        let wait = cold.allotment.wait(now).map_or(warm, |wait| wait.min(warm));
        Some((cold.allotment.rate(), wait))
    }

    /// Targets that this entry has learned to be cold since a time, for reports.
    pub fn notices(&self, since: Time, now: Time) -> Vec<Notice> {
        let learned = self.targets.iter().filter(|(_, cold)| {
            now < cold.until && cold.learned.is_some_and(|learned| learned >= since)
        });
        learned
            .map(|(target, cold)| Notice {
                target: *target,
                remaining_ms: cold.until.since(now).0,
            })
            .collect()
    }

    /// Time for which a target stays cold; zero if it isn't.
    pub fn remaining(&self, target: u32, now: Time) -> Duration {
        let cold = self.targets.get(&target);
        let until = cold.map_or(now, |cold| cold.until.max(now));
        Duration::from_millis(until.since(now).0)
    }

    /// Number of cold targets.
    pub fn count(&self, now: Time) -> usize {
        let targets = self.targets.keys();
        targets.filter(|target| self.is_cold(**target, now)).count()
    }

    /// State of a target; none if it isn't cold.
    pub fn view(&self, target: u32, now: Time) -> Option<View> {
        let cold = self.cold(target, now)?;
        Some(View {
            remaining_ms: cold.until.since(now).0,
            held_units: cold.held_units,
            tokens: cold.allotment.available(now),
        })
    }
}

/// Assigns this entry's units of a target's rate.
fn assign(
    target: u32,
    cold: &mut Cold,
    warmup: Option<&Warmup>,
    entry: u64,
    holders: &[Holder],
    now: Time,
) {
    let Some(warmup) = warmup else {
        return;
    };
    let rate = warmup.rate.per_second() * USED_SHARE;
    let units = allotment::short_units(rate);
    cold.held_units = allotment::held_of(target, units, entry, holders);
    let unit_rate = rate / f64::from(units);
    cold.allotment.assign_units(unit_rate, cold.held_units, now);
}
