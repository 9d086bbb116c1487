//! The targets of a run and what entries know of them.

use coord::id::Tokens;
use coord::time::Time;
use sched::policy::Policy;
use sched::queue::Queue;
use sched::route::Candidate;
use sched::route::Sent;

use crate::engine::CACHE_SIZE;
use crate::engine::Cache;
use crate::engine::Compute;
use crate::engine::DECODE_RATE;
use crate::engine::PREFILL_RATE;
use crate::engine::SERVICE_SLOTS;
use crate::engine::SLOTS;

/// What a target does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Runs a model.
    Engine,
    /// Runs plain calls.
    Service,
}

/// A target with its sidecar.
#[derive(Debug)]
pub struct Target {
    /// What it does.
    pub kind: Kind,
    /// Calls in the sidecar's queue.
    pub queue: Queue,
    /// Calls handed to the target, in order, that wait there for a slot.
    pub inside: std::collections::VecDeque<usize>,
    /// Their cost.
    pub inside_cost: u64,
    /// Calls that run.
    pub running: u32,
    /// Cost of calls that run.
    pub running_cost: u64,
    /// Its compute.
    pub compute: Compute,
    /// Its cache.
    pub cache: Cache,
    /// Whether a wake-up is due.
    pub waking: bool,
}

impl Target {
    fn new(kind: Kind, policy: &Policy) -> Target {
        Target {
            kind,
            queue: Queue::new(policy),
            inside: std::collections::VecDeque::new(),
            inside_cost: 0,
            running: 0,
            running_cost: 0,
            compute: Compute::default(),
            cache: Cache::new(CACHE_SIZE),
            waking: false,
        }
    }

    /// Calls that run together.
    pub fn slots(&self) -> u32 {
        match self.kind {
            Kind::Engine => SLOTS,
            Kind::Service => SERVICE_SLOTS,
        }
    }

    fn load(&self, name: &str, now: Option<u64>) -> Candidate {
        let backlog = now.map_or(0, |now| self.compute.prefill_backlog(now));
        let prefill = backlog * PREFILL_RATE / 1_000_000;
        let (prefill_rate, decode_rate) = match self.kind {
            Kind::Engine => (PREFILL_RATE, DECODE_RATE),
            Kind::Service => (0, 0),
        };
        Candidate {
            target: name.parse().expect("names of targets are valid"),
            draining: false,
            running: self.running,
            queued: (self.queue.len() + self.inside.len()) as u32,
            slots: self.slots(),
            queued_tokens: Tokens(self.queue.tokens().0 + self.inside_cost + prefill),
            running_tokens: Tokens(self.running_cost),
            prefill_rate,
            decode_rate,
            sent_since: Sent::default(),
            cached: Tokens(0),
            same_data_centre: true,
        }
    }
}

/// What one entry knows: the report before the newest, and what it sent since.
#[derive(Debug, Clone)]
pub struct View {
    /// Candidates with the load reported.
    pub candidates: Vec<Candidate>,
    newest: Vec<Candidate>,
    recent: Vec<Sent>,
    /// Calls that this entry routed.
    pub turn: u64,
}

impl View {
    /// Notes a call sent.
    pub fn sent(&mut self, index: usize, cost: Tokens) {
        let add = |sent: &mut Sent| {
            sent.calls += 1;
            sent.cost.0 += cost.0;
        };
        add(&mut self.candidates[index].sent_since);
        add(&mut self.recent[index]);
    }
}

/// All targets of one kind.
#[derive(Debug)]
pub struct Fleet {
    /// Targets.
    pub targets: Vec<Target>,
    /// Views of the entries.
    pub views: Vec<View>,
    names: Vec<String>,
}

impl Fleet {
    /// An idle fleet.
    pub fn new(kind: Kind, count: u32, entries: u32, policy: &Policy) -> Fleet {
        let now = None;
        let targets: Vec<Target> = (0..count).map(|_| Target::new(kind, policy)).collect();
        let names: Vec<String> = (1..=count).map(|number| format!("t{number}")).collect();
        let idle: Vec<Candidate> = targets
            .iter()
            .zip(&names)
            .map(|(target, name)| target.load(name, now))
            .collect();
        let view = View {
            recent: vec![Sent::default(); idle.len()],
            newest: idle.clone(),
            candidates: idle,
            turn: 0,
        };
        Fleet {
            targets,
            views: vec![view; entries as usize],
            names,
        }
    }

    /// Reports loads: what was reported last time comes to be known now. Given the time, prefill
    /// that engines have yet to do counts too.
    pub fn report(&mut self, now: Option<u64>) {
        let loads: Vec<Candidate> = self
            .targets
            .iter()
            .zip(&self.names)
            .map(|(target, name)| target.load(name, now))
            .collect();
        for view in &mut self.views {
            view.candidates = std::mem::replace(&mut view.newest, loads.clone());
            for (candidate, recent) in view.candidates.iter_mut().zip(&mut view.recent) {
                candidate.sent_since = std::mem::take(recent);
            }
        }
    }
}

/// Milliseconds of a time in microseconds.
pub fn millis(micros: u64) -> Time {
    Time(micros / 1_000)
}
