//! Which targets are asked for their load next.
//!
//! A small fleet is asked as a whole. Beyond that each entry asks a bounded number a second: the
//! candidates of the services that it has placed lately, stalest first, and the targets that it is
//! responsible for, each from time to time and soon after a change of its configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Set;
use coord::config::Config;
use coord::id;
use coord::id::Node;
use coord::shard;

use crate::duty::Duty;
use crate::pace::Pace;
use crate::place::Entry;
use crate::place::SMALL_FLEET;
use crate::place::State;
use crate::place::Table;
use crate::roster::Listed;
use crate::roster::Roster;

/// Probes a second for the sake of decisions.
const DECISION_RATE: u32 = 3;
/// Routine probes a second of the targets that this node is responsible for.
const DUTY_RATE: u32 = 3;
/// Probes a second of one entry in steady state, beyond a small fleet.
pub const RATE: u32 = DECISION_RATE + DUTY_RATE;
/// Probes a second on top of it that tell of changes.
pub const NEWS_RATE: u32 = 10;
/// A service counts as placed lately for this long.
const LATELY: Duration = Duration::from_secs(10);

/// How far the probing has come.
#[derive(Debug)]
pub(crate) struct Survey {
    decisions: Pace,
    duties: Pace,
    news: Pace,
    duty: Duty,
}

impl Default for Survey {
    fn default() -> Survey {
        Survey {
            decisions: Pace::per_second(DECISION_RATE),
            duties: Pace::per_second(DUTY_RATE),
            news: Pace::per_second(NEWS_RATE),
            duty: Duty::default(),
        }
    }
}

impl Table {
    /// Targets to be asked for their load now; they count as asked.
    pub fn due(
        &self,
        config: &Arc<Config>,
        map: &shard::Map,
        me: &Node,
        now: Instant,
    ) -> Vec<Arc<Listed>> {
        let roster = self.roster(config);
        let mut state = self.state.lock();
        state
            .entries
            .retain(|target, entry| roster.get(target).is_some() && entry.is_used(now));
        state.working.forget(now);
        let due = match roster.len() <= SMALL_FLEET {
            true => state.all(&roster, now),
            false => state.some(&roster, map, me, now),
        };
        for listed in &due {
            let entry = state.entries.entry(listed.target.id.clone()).or_default();
            entry.asked = Some(now);
            state.survey.duty.asked(listed, now);
        }
        due
    }

    /// Notes that a target's sidecar was told the newest ticket.
    pub fn told(&self, listed: &Listed) {
        self.state.lock().survey.duty.told(listed);
    }

    /// Number of targets of which anything is known.
    pub fn len(&self) -> usize {
        self.state.lock().entries.len()
    }

    /// Whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sidecars of the targets of which anything is known.
    pub fn sidecars(&self, config: &Config) -> Vec<SocketAddr> {
        let state = self.state.lock();
        let known = state.entries.keys();
        let known = known.filter_map(|target| config.target(target));
        known.map(|target| target.sidecar).collect()
    }

    /// The targets that this node is responsible for, as of the last probes.
    pub fn responsible(&self) -> Vec<id::Target> {
        let state = self.state.lock();
        let own = state.survey.duty.own().iter();
        own.map(|listed| listed.target.id.clone()).collect()
    }
}

impl State {
    fn all(&self, roster: &Roster, now: Instant) -> Vec<Arc<Listed>> {
        let is_due = |listed: &&Arc<Listed>| {
            let entry = self.entries.get(&listed.target.id);
            entry.is_none_or(|entry| entry.is_due(now))
        };
        roster.targets().filter(is_due).cloned().collect()
    }

    fn some(
        &mut self,
        roster: &Arc<Roster>,
        map: &shard::Map,
        me: &Node,
        now: Instant,
    ) -> Vec<Arc<Listed>> {
        self.survey.duty.update(roster, map, me);
        let stale = self.stale(roster, now);
        let Survey {
            decisions,
            duties,
            news,
            duty,
        } = &mut self.survey;
        let paced = [
            (news, duty.news()),
            (duties, duty.routine(now)),
            (decisions, stale),
        ];
        let mut due = Vec::new();
        let mut taken: Set<id::Target> = Set::default();
        for (pace, wished) in paced {
            for listed in wished {
                let known = taken.contains(&listed.target.id);
                if !known && pace.take(now) {
                    taken.insert(listed.target.id.clone());
                    due.push(listed);
                }
            }
        }
        due
    }

    /// Candidates of the services placed lately, stalest first.
    fn stale(&self, roster: &Roster, now: Instant) -> Vec<Arc<Listed>> {
        let then = now.checked_sub(LATELY).unwrap_or(now);
        let used: Set<&id::Target> = self.working.used_since(then).collect();
        let used = used.into_iter().filter(|target| {
            let entry = self.entries.get(target);
            entry.is_none_or(|entry| entry.is_due(now))
        });
        let mut used: Vec<&id::Target> = used.collect();
        used.sort_by_key(|target| {
            let entry = self.entries.get(target);
            (entry.and_then(Entry::heard), *target)
        });
        let listed = used.into_iter().filter_map(|target| roster.get(target));
        listed.cloned().collect()
    }
}

impl Entry {
    /// When it was last asked or heard of.
    fn heard(&self) -> Option<Instant> {
        let reported = self.report.as_ref().map(|(_, at)| *at);
        reported.max(self.asked)
    }
}
