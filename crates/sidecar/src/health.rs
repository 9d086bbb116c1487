//! Health of the target, and the requests that it ran when it crashed.
//!
//! Each life of the target (the time between two starts) has a number. A request that loses its
//! connection checks here whether the target crashed; all requests of one life get the same crash
//! report.

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

/// Crash reports kept for requests that haven't checked yet.
const MAX_CRASHES: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Running {
    fingerprint: u64,
    life: u64,
}

/// Result of the last probe.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reach {
    #[default]
    Unknown,
    Up,
    /// The connection succeeded, but no answer came in time.
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
    // Serialises probes: concurrent ones could record two lives in the wrong order.
    probe_lock: tokio::sync::Mutex<()>,
}

/// Registration of a request at the target; removed on drop.
#[derive(Debug)]
pub struct Run {
    health: Arc<Health>,
    attempt: Attempt,
    life: u64,
}

impl Health {
    /// Creates the health of a target before its first probe.
    ///
    /// `name` is unique to this process, so that its crash fingerprints are unique too.
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
            probe_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Registers a request that is about to be sent; `fingerprint` identifies it in crash reports.
    pub fn register_run(self: &Arc<Self>, attempt: &Attempt, fingerprint: u64) -> Run {
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

    /// Probes the target and records the result.
    pub async fn probe(&self) {
        let _guard = self.probe_lock.lock().await;
        match self.upstream.report(self.path).await {
            Ok(report) => self.record_report(report),
            Err(error) => {
                log::debug!(step = "probe", peer = self.name.as_str(); "{error}");
                self.record_failure(&error);
            }
        }
    }

    /// Result of the last probe.
    pub fn reach(&self) -> Reach {
        self.state.lock().reach
    }

    /// Report of the last probe; empty if the probe failed.
    pub fn report(&self) -> Report {
        self.state.lock().report.clone()
    }

    /// Number of crashes so far, which numbers the target's current life.
    pub fn life(&self) -> u64 {
        self.state.lock().life
    }

    fn record_report(&self, report: Report) {
        let mut state = self.state.lock();
        let incarnation = report.incarnation.as_deref().map(CompactString::from);
        let both_known = state.incarnation.is_some() && incarnation.is_some();
        if both_known && state.incarnation != incarnation {
            self.record_crash(&mut state);
        }
        state.incarnation = incarnation;
        state.reach = Reach::Up;
        state.report = report;
    }

    fn record_failure(&self, error: &Error) {
        let mut state = self.state.lock();
        state.reach = match error {
            Error::Timeout => Reach::Silent,
            _ => {
                self.mark_down(&mut state);
                Reach::Down
            }
        };
        state.report = Report::default();
    }

    fn mark_down(&self, state: &mut State) {
        state.incarnation = None;
        if matches!(state.reach, Reach::Up | Reach::Silent) {
            self.record_crash(state);
        }
    }

    /// Records a crash that no probe observed: a request that ran in the current life lost its
    /// connection, so the target had restarted after the last recorded crash.
    fn record_unobserved_crash(&self, life: u64) {
        let mut state = self.state.lock();
        if state.reach == Reach::Down && state.life == life {
            self.record_crash(&mut state);
        }
    }

    /// Ends the target's current life and stores a report of the requests that ran in it.
    fn record_crash(&self, state: &mut State) {
        let life = state.life;
        state.life += 1;
        let runs = state.running.values().filter(|run| run.life == life);
        let fingerprints: Vec<u64> = runs.map(|run| run.fingerprint).collect();
        let crashed = Crashed {
            alone: fingerprints.len() == 1,
            crash: id::fingerprint(&[self.name.as_bytes(), &life.to_be_bytes()]),
            fingerprints,
        };
        let count = crashed.fingerprints.len();
        log::warn!(step = "probe", peer = self.name.as_str(), running = count; "target crashed");
        state.crashes.push_back((life, crashed));
        if state.crashes.len() > MAX_CRASHES {
            state.crashes.pop_front();
        }
    }
}

impl Run {
    /// Returns the crash that ended the life in which this request ran; probes the target if none
    /// is recorded.
    pub async fn detect_crash(&self) -> Option<Crashed> {
        match self.recorded_crash() {
            Some(crashed) => Some(crashed),
            None => {
                self.health.probe().await;
                self.health.record_unobserved_crash(self.life);
                self.recorded_crash()
            }
        }
    }

    fn recorded_crash(&self) -> Option<Crashed> {
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
