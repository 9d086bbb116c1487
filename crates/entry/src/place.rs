//! Which target a call goes to: candidates from the configuration, load from the sidecars' reports,
//! corrected for what this process has sent since.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Map;
use coord::Set;
use coord::config;
use coord::config::Config;
use coord::id;
use coord::id::DataCentre;
use coord::id::Tokens;
use parking_lot::Mutex;
use parking_lot::RwLock;
use sched::policy;
use sched::policy::Policy;
use sched::route;
use sched::route::Candidate;
use sched::route::Demand;
use sched::route::Sent;
use wire::Load;

use crate::roster::Listed;
use crate::roster::Roster;
use crate::shortlist;
use crate::survey::Survey;
use crate::working;
use crate::working::Working;

/// A report older than this is asked for anew.
pub const STALE: Duration = Duration::from_millis(400);
/// A target whose probe failed is passed over for this long.
const SHUNNED: Duration = Duration::from_millis(1500);
/// Sends remembered for one target.
const SENDS_LIMIT: usize = 4096;
/// With so many targets in all, each entry knows the load of all of them.
pub const SMALL_FLEET: usize = 32;
/// What is known of a target is forgotten after this long without use.
const KEEP: Duration = Duration::from_secs(60);

/// What is known of one target.
#[derive(Debug, Default)]
pub(crate) struct Entry {
    pub(crate) report: Option<(Load, Instant)>,
    sends: Vec<(Instant, Tokens)>,
    failed: Option<Instant>,
    pub(crate) asked: Option<Instant>,
}

/// Loads of the targets in use, as far as this process knows them.
#[derive(Debug)]
pub struct Table {
    near: DataCentre,
    roster: RwLock<Arc<Roster>>,
    pub(crate) state: Mutex<State>,
    turns: Mutex<u64>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) entries: Map<id::Target, Entry>,
    pub(crate) working: Working,
    pub(crate) survey: Survey,
}

/// What a call asks of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Service {
    /// An engine with this model.
    Model(id::Model),
    /// A plain service behind this route.
    Route(id::Route),
}

/// What a placement rests on.
pub struct Question<'a> {
    pub config: &'a Arc<Config>,
    pub policy: &'a Policy,
    pub service: &'a Service,
    pub input: Tokens,
    pub output: Tokens,
    /// Hash of the program or customer.
    pub affinity: u64,
    /// Where the program's history is cached.
    pub cached: Option<(id::Target, Tokens)>,
    /// Targets not to be used.
    pub barred: &'a Set<id::Target>,
}

/// A target chosen for a call.
#[derive(Debug, Clone)]
pub struct Choice {
    pub target: config::Target,
    /// The sidecar's incarnation, if it is known.
    pub incarnation: Option<String>,
}

impl Table {
    /// Of an entry in this data centre; working sets are drawn from the seed.
    pub fn new(near: &DataCentre, seed: u64) -> Table {
        let state = State {
            entries: Map::default(),
            working: Working::new(seed),
            survey: Survey::default(),
        };
        Table {
            near: near.clone(),
            roster: RwLock::default(),
            state: Mutex::new(state),
            turns: Mutex::new(0),
        }
    }

    /// Takes in a report of a target.
    pub fn report(&self, target: &id::Target, load: Load, now: Instant) {
        let age = Duration::from_millis(load.age_ms);
        let made = now.checked_sub(age).unwrap_or(now);
        let mut state = self.state.lock();
        let entry = state.entries.entry(target.clone()).or_default();
        entry.sends.retain(|(at, _)| *at > made);
        entry.report = Some((load, now));
        entry.failed = None;
    }

    /// Notes that a target can't be reached.
    pub fn failed(&self, target: &id::Target, now: Instant) {
        let mut state = self.state.lock();
        state.entries.entry(target.clone()).or_default().failed = Some(now);
    }

    /// Notes what this process sends to a target.
    pub fn sent(&self, target: &id::Target, cost: Tokens, now: Instant) {
        let mut state = self.state.lock();
        let entry = state.entries.entry(target.clone()).or_default();
        if entry.sends.len() < SENDS_LIMIT {
            entry.sends.push((now, cost));
        }
    }

    /// The targets of a configuration by service.
    pub(crate) fn roster(&self, config: &Arc<Config>) -> Arc<Roster> {
        let known = Arc::clone(&self.roster.read());
        if known.is_of(config) {
            return known;
        }
        let mut roster = self.roster.write();
        if !roster.is_of(config) {
            *roster = Arc::new(Roster::new(config, &self.near));
        }
        Arc::clone(&roster)
    }

    /// The newest reports, for the state dump.
    pub fn reports(&self) -> Vec<(id::Target, Load)> {
        let state = self.state.lock();
        let reports = state.entries.iter().filter_map(|(target, entry)| {
            let (load, _) = entry.report.as_ref()?;
            Some((target.clone(), load.clone()))
        });
        reports.collect()
    }

    /// The incarnation that a target's sidecar last reported.
    pub fn incarnation(&self, target: &id::Target) -> Option<String> {
        let state = self.state.lock();
        let (load, _) = state.entries.get(target)?.report.as_ref()?;
        Some(load.incarnation.clone())
    }

    /// Chooses a target; `leaving` tells of news beyond the configuration.
    pub fn choose(
        &self,
        question: &Question<'_>,
        leaving: impl Fn(&id::Target) -> bool,
        now: Instant,
    ) -> Option<Choice> {
        let roster = self.roster(question.config);
        let listing = roster.listing(question.service)?;
        let mut state = self.state.lock();
        let State {
            entries, working, ..
        } = &mut *state;
        let is_kept = |listed: &Listed| !listed.target.leaving && !leaving(&listed.target.id);
        let is_open =
            |listed: &Listed| is_kept(listed) && !question.barred.contains(&listed.target.id);
        let is_fit = |listed: &Listed| {
            let entry = entries.get(&listed.target.id);
            entry.is_none_or(|entry| entry.is_healthy(question.service, now))
        };
        let is_ready = |listed: &Listed| {
            let entry = entries.get(&listed.target.id);
            is_fit(listed) && !entry.is_some_and(Entry::is_draining)
        };
        let small = roster.len() <= SMALL_FLEET;
        let whole = small || listing.all.len() <= working::SIZE;
        let mut usable = match whole {
            true => shortlist::all(listing, is_open, is_fit),
            false => {
                let holds = |listed: &Listed| is_kept(listed) && is_ready(listed);
                let drawn = match question.policy.choice {
                    policy::Choice::Affinity => {
                        shortlist::following(listing, question.affinity, holds)
                    }
                    _ => working.members(question.service, listing, holds, now),
                };
                shortlist::few(question, listing, drawn, entries, is_open, is_ready)
            }
        };
        if whole && !small {
            working.note(question.service, listing, now);
        }
        usable.sort_by(|a, b| a.target.id.cmp(&b.target.id));
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|listed| {
                candidate(
                    &listed.target,
                    entries.get(&listed.target.id),
                    &self.near,
                    question,
                )
            })
            .collect();
        let chosen = route::choose(question.policy, &candidates, &self.need(question))?;
        let target = usable.get(chosen)?.target.clone();
        let report = entries
            .get(&target.id)
            .and_then(|entry| entry.report.as_ref());
        let incarnation = report.map(|(load, _)| load.incarnation.clone());
        Some(Choice {
            target,
            incarnation,
        })
    }

    fn need(&self, question: &Question<'_>) -> Demand {
        let mut turns = self.turns.lock();
        *turns += 1;
        Demand {
            sequence: *turns,
            affinity: question.affinity,
            input: question.input,
            output: question.output,
            transfer_rate: 0,
        }
    }
}

impl Entry {
    /// Whether it is to be asked for its load again.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < STALE;
        let reported = self.report.as_ref().is_some_and(|(_, at)| recent(*at));
        !reported && !self.asked.is_some_and(recent)
    }

    /// Whether its load is known, and it hasn't failed since.
    pub(crate) fn is_known(&self) -> bool {
        self.report.is_some() && self.failed.is_none()
    }

    fn is_draining(&self) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|(load, _)| load.draining)
    }

    /// Whether it was of any use lately.
    pub(crate) fn is_used(&self, now: Instant) -> bool {
        let reported = self.report.as_ref().map(|(_, at)| *at);
        let sent = self.sends.last().map(|(at, _)| *at);
        let uses = [reported, sent, self.failed, self.asked];
        let recent = |at: Instant| now.saturating_duration_since(at) < KEEP;
        uses.into_iter().flatten().any(recent)
    }

    fn is_healthy(&self, service: &Service, now: Instant) -> bool {
        let shunned = |at: Instant| now.saturating_duration_since(at) < SHUNNED;
        let load = self.report.as_ref().map(|(load, _)| load);
        let lacks = match service {
            Service::Model(model) => load.is_some_and(|load| lacks(load, model)),
            Service::Route(_) => false,
        };
        !self.failed.is_some_and(shunned) && !lacks
    }
}

fn lacks(load: &Load, model: &id::Model) -> bool {
    !load.models.iter().any(|loaded| loaded == model.as_str())
}

fn candidate(
    target: &config::Target,
    entry: Option<&Entry>,
    near: &DataCentre,
    question: &Question<'_>,
) -> Candidate {
    let load = entry.and_then(|entry| entry.report.as_ref());
    let load = load.map(|(load, _)| load.clone()).unwrap_or_default();
    let cached = match &question.cached {
        Some((holder, tokens)) if *holder == target.id => *tokens,
        _ => Tokens(0),
    };
    Candidate {
        target: target.id.clone(),
        draining: load.draining,
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        queued_tokens: Tokens(load.queued_tokens),
        running_tokens: Tokens(load.running_tokens),
        prefill_rate: load.prefill_rate,
        decode_rate: load.decode_rate,
        sent_since: entry.map(Entry::sent_since).unwrap_or_default(),
        cached,
        same_data_centre: target.data_centre == *near,
    }
}

impl Entry {
    fn sent_since(&self) -> Sent {
        let cost = self.sends.iter().map(|(_, cost)| cost.0).sum();
        Sent {
            calls: self.sends.len() as u32,
            cost: Tokens(cost),
        }
    }
}
