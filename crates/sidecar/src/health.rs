//! Whether the target lives, and what it ran when it died.
//!
//! Each life of the target has a number. A request that loses its connection asks here whether the
//! target died; all requests of the same life are told of the same crash.

use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::CompactString;
use coord::Map;
use coord::id;
use coord::id::Attempt;
use parking_lot::Mutex;
use wire::Crashed;

use crate::settings::Kind;
use crate::upstream::Error;
use crate::upstream::Report;
use crate::upstream::Upstream;

/// Crashes remembered for requests that have yet to ask.
const REMEMBERED: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Running {
    fingerprint: u64,
    life: u64,
}

/// How the target met the last probe.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reach {
    #[default]
    Unknown,
    Up,
    /// Connected, but gave no answer.
    Silent,
    Down,
}

#[derive(Debug, Default)]
struct State {
    life: u64,
    incarnation: Option<CompactString>,
    reach: Reach,
    report: Report,
    running: Map<Attempt, Running>,
    crashes: VecDeque<(u64, Crashed)>,
}

/// Health of one target.
#[derive(Debug)]
pub struct Health {
    name: CompactString,
    path: &'static str,
    upstream: Upstream,
    state: Mutex<State>,
    // One probe at a time: concurrent ones could see two lives in the wrong order.
    probing: tokio::sync::Mutex<()>,
}

/// A request at the target, noted until dropped.
#[derive(Debug)]
pub struct Run {
    health: Arc<Health>,
    attempt: Attempt,
    life: u64,
}

impl Health {
    /// Health of a target not asked yet; `name` is unique to this process.
    pub fn new(name: &str, kind: Kind, upstream: Upstream) -> Health {
        let path = match kind {
            Kind::Engine => "/v1/load",
            Kind::Plain => "/healthz",
        };
        Health {
            name: CompactString::from(name),
            path,
            upstream,
            state: Mutex::default(),
            probing: tokio::sync::Mutex::default(),
        }
    }

    /// Notes that a request is about to be sent.
    pub fn enter(self: &Arc<Self>, attempt: &Attempt, fingerprint: u64) -> Run {
        let mut state = self.state.lock();
        let life = state.life;
        state
            .running
            .insert(attempt.clone(), Running { fingerprint, life });
        Run {
            health: self.clone(),
            attempt: attempt.clone(),
            life,
        }
    }

    /// Asks the target how it is.
    pub async fn probe(&self) {
        let _turn = self.probing.lock().await;
        match self.upstream.report(self.path).await {
            Ok(report) => self.saw(report),
            Err(error) => {
                log::debug!(step = "probe", peer = self.name.as_str(); "{error}");
                self.missed(&error);
            }
        }
    }

    /// How the target met the last probe.
    pub fn reach(&self) -> Reach {
        self.state.lock().reach
    }

    /// What the target said of itself last.
    pub fn report(&self) -> Report {
        self.state.lock().report.clone()
    }

    /// Number of the target's present life.
    pub fn life(&self) -> u64 {
        self.state.lock().life
    }

    fn saw(&self, report: Report) {
        let mut state = self.state.lock();
        let incarnation = report.incarnation.as_deref().map(CompactString::from);
        let known = state.incarnation.is_some() && incarnation.is_some();
        if known && state.incarnation != incarnation {
            self.died(&mut state);
        }
        state.incarnation = incarnation;
        state.reach = Reach::Up;
        state.report = report;
    }

    fn missed(&self, error: &Error) {
        let mut state = self.state.lock();
        state.reach = match error {
            Error::Timeout => Reach::Silent,
            _ => {
                self.went_down(&mut state);
                Reach::Down
            }
        };
        state.report = Report::default();
    }

    fn went_down(&self, state: &mut State) {
        state.incarnation = None;
        if matches!(state.reach, Reach::Up | Reach::Silent) {
            self.died(state);
        }
    }

    /// A request that was under way shows that a life began after the last death.
    fn confirm_death(&self, life: u64) {
        let mut state = self.state.lock();
        if state.reach == Reach::Down && state.life == life {
            self.died(&mut state);
        }
    }

    /// Ends the target's present life.
    fn died(&self, state: &mut State) {
        let life = state.life;
        state.life += 1;
        let ran = state.running.values().filter(|run| run.life == life);
        let fingerprints: Vec<u64> = ran.map(|run| run.fingerprint).collect();
        let crashed = Crashed {
            alone: fingerprints.len() == 1,
            crash: id::fingerprint(&[self.name.as_bytes(), &life.to_be_bytes()]),
            fingerprints,
        };
        let count = crashed.fingerprints.len();
        log::warn!(step = "probe", peer = self.name.as_str(), running = count; "target died");
        state.crashes.push_back((life, crashed));
        if state.crashes.len() > REMEMBERED {
            state.crashes.pop_front();
        }
    }
}

impl Run {
    /// The crash that ended the target's life in which this request ran, if it died.
    pub async fn crash(&self) -> Option<Crashed> {
        match self.known_crash() {
            Some(crashed) => Some(crashed),
            None => {
                self.health.probe().await;
                self.health.confirm_death(self.life);
                self.known_crash()
            }
        }
    }

    fn known_crash(&self) -> Option<Crashed> {
        let state = self.health.state.lock();
        let mut crashes = state.crashes.iter();
        let found = crashes.find(|(life, _)| *life == self.life);
        found.map(|(_, crashed)| crashed.clone())
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.health.state.lock().running.remove(&self.attempt);
    }
}
