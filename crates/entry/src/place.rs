//! Which target a call goes to: candidates from the configuration, load from the sidecars' reports,
//! corrected for what this process has sent since.

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
use sched::policy::Policy;
use sched::route;
use sched::route::Candidate;
use sched::route::Need;
use sched::route::Sent;
use wire::Load;

/// A report older than this is asked for anew.
const STALE: Duration = Duration::from_millis(400);
/// A target whose probe failed is passed over for this long.
const SHUNNED: Duration = Duration::from_millis(1500);
/// Sends remembered for one target.
const SENDS_LIMIT: usize = 4096;

/// What is known of one target.
#[derive(Debug, Default)]
struct Entry {
    report: Option<(Load, Instant)>,
    sends: Vec<(Instant, Tokens)>,
    failed: Option<Instant>,
    asked: Option<Instant>,
}

/// Loads of all targets, as far as this process knows them.
#[derive(Debug, Default)]
pub struct Table {
    entries: Mutex<Map<id::Target, Entry>>,
    turns: Mutex<u64>,
}

/// What a call asks of a target.
#[derive(Debug, Clone)]
pub enum Service {
    /// An engine with this model.
    Model(id::Model),
    /// A plain service behind this route.
    Route(id::Route),
}

/// What a placement rests on.
pub struct Question<'a> {
    pub config: &'a Config,
    pub policy: &'a Policy,
    pub near: &'a DataCentre,
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
    /// Takes in a report of a target.
    pub fn report(&self, target: &id::Target, load: Load, now: Instant) {
        let age = Duration::from_millis(load.age_ms);
        let made = now.checked_sub(age).unwrap_or(now);
        let mut entries = self.entries.lock();
        let entry = entries.entry(target.clone()).or_default();
        entry.sends.retain(|(at, _)| *at > made);
        entry.report = Some((load, now));
        entry.failed = None;
    }

    /// Notes that a target can't be reached.
    pub fn failed(&self, target: &id::Target, now: Instant) {
        let mut entries = self.entries.lock();
        entries.entry(target.clone()).or_default().failed = Some(now);
    }

    /// Notes what this process sends to a target.
    pub fn sent(&self, target: &id::Target, cost: Tokens, now: Instant) {
        let mut entries = self.entries.lock();
        let entry = entries.entry(target.clone()).or_default();
        if entry.sends.len() < SENDS_LIMIT {
            entry.sends.push((now, cost));
        }
    }

    /// Targets whose report is stale and that weren't asked lately; they count as asked.
    pub fn due(&self, config: &Config, now: Instant) -> Vec<config::Target> {
        let mut entries = self.entries.lock();
        entries.retain(|target, _| config.target(target).is_some());
        let mut due = Vec::new();
        for target in config.targets() {
            let entry = entries.entry(target.id.clone()).or_default();
            if entry.is_due(now) {
                entry.asked = Some(now);
                due.push(target.clone());
            }
        }
        due
    }

    /// The newest reports, for the state dump.
    pub fn reports(&self) -> Vec<(id::Target, Load)> {
        let entries = self.entries.lock();
        let reports = entries.iter().filter_map(|(target, entry)| {
            let (load, _) = entry.report.as_ref()?;
            Some((target.clone(), load.clone()))
        });
        reports.collect()
    }

    /// The incarnation that a target's sidecar last reported.
    pub fn incarnation(&self, target: &id::Target) -> Option<String> {
        let entries = self.entries.lock();
        let (load, _) = entries.get(target)?.report.as_ref()?;
        Some(load.incarnation.clone())
    }

    /// Chooses a target; `leaving` tells of news beyond the configuration.
    pub fn choose(
        &self,
        question: &Question<'_>,
        leaving: impl Fn(&id::Target) -> bool,
        now: Instant,
    ) -> Option<Choice> {
        let mut open: Vec<config::Target> = serving(question.config, question.service)
            .filter(|target| !target.leaving && !leaving(&target.id))
            .filter(|target| !question.barred.contains(&target.id))
            .cloned()
            .collect();
        open.sort_by(|a, b| a.id.cmp(&b.id));
        let entries = self.entries.lock();
        let healthy = |target: &&config::Target| {
            let entry = entries.get(&target.id);
            entry.is_none_or(|entry| entry.is_healthy(question.service, now))
        };
        let mut usable: Vec<&config::Target> = open.iter().filter(healthy).collect();
        if usable.is_empty() {
            usable = open.iter().collect();
        }
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|target| candidate(target, entries.get(&target.id), question))
            .collect();
        let chosen = route::choose(question.policy, &candidates, &self.need(question))?;
        let target = (*usable.get(chosen)?).clone();
        let report = entries
            .get(&target.id)
            .and_then(|entry| entry.report.as_ref());
        let incarnation = report.map(|(load, _)| load.incarnation.clone());
        Some(Choice {
            target,
            incarnation,
        })
    }

    fn need(&self, question: &Question<'_>) -> Need {
        let mut turns = self.turns.lock();
        *turns += 1;
        Need {
            turn: *turns,
            affinity: question.affinity,
            input: question.input,
            output: question.output,
            transfer_rate: 0,
        }
    }
}

impl Entry {
    fn is_due(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < STALE;
        let reported = self.report.as_ref().is_some_and(|(_, at)| recent(*at));
        !reported && !self.asked.is_some_and(recent)
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

/// Targets that are configured for a service.
fn serving<'a>(
    config: &'a Config,
    service: &'a Service,
) -> impl Iterator<Item = &'a config::Target> {
    let listed = match service {
        Service::Model(_) => None,
        Service::Route(route) => config.route(route).map(|route| &route.targets),
    };
    config.targets().filter(move |target| match service {
        Service::Model(model) => target.models.contains(model),
        Service::Route(_) => listed.is_some_and(|listed| listed.contains(&target.id)),
    })
}

fn candidate(target: &config::Target, entry: Option<&Entry>, question: &Question<'_>) -> Candidate {
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
        near: target.data_centre == *question.near,
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
