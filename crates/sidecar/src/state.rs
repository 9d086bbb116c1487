//! What the parts of this process share, each under its own lock.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use coord::Map;
use coord::id::Attempt;
use coord::time::Time;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use wire::Load;

use crate::cache::Leases;
use crate::clock::Clock;
use crate::health::Health;
use crate::ledger::Ledger;
use crate::load;
use crate::load::Sources;
use crate::meter::Meter;
use crate::metrics::Instruments;
use crate::order::Wanted;
use crate::queue::Queue;
use crate::settings::Kind;
use crate::settings::Settings;
use crate::upstream::Upstream;

/// Room for requests that wait or run, in KiB.
const BUFFER_KIB: usize = 256 * 1024;

/// Failures shown in the dump.
const MAX_FAILURES: usize = 32;

/// What a dispatched attempt can be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Control {
    /// Start by this moment at the latest.
    Extend(Time),
    /// Stop.
    Cancel,
}

/// A failed step at the target.
#[derive(Debug, Clone, Serialize)]
pub struct Failure {
    pub step: &'static str,
    pub cause: String,
    /// On this process's clock, milliseconds.
    pub at_ms: u64,
}

/// Shared state of one sidecar.
#[derive(Debug)]
pub struct State {
    pub settings: Settings,
    /// Name of this process's life.
    pub incarnation: String,
    pub clock: Clock,
    pub upstream: Upstream,
    pub health: Arc<Health>,
    pub queue: Queue,
    pub meter: Meter,
    pub metrics: Instruments,
    pub ledger: Mutex<Ledger>,
    pub leases: Mutex<Leases>,
    pub models: Mutex<Vec<String>>,
    /// Wakes the release of cached histories.
    pub release: Notify,
    buffer: Arc<Semaphore>,
    wanted: Mutex<Option<Wanted>>,
    uses: Mutex<Map<String, usize>>,
    controls: Mutex<Map<Attempt, mpsc::UnboundedSender<Control>>>,
    failures: Mutex<VecDeque<Failure>>,
    draining: AtomicBool,
}

impl State {
    /// State of a sidecar that begins now.
    ///
    /// Errors: metrics can't start.
    pub fn new(settings: Settings) -> eyre::Result<State> {
        let clock = Clock::start();
        let incarnation = uuid::Uuid::now_v7().to_string();
        let upstream = Upstream::new(&settings.url);
        let name = format!("{}/{incarnation}", settings.target);
        let health = Health::new(&name, settings.kind, upstream.clone());
        let limits = &settings.limits;
        Ok(State {
            queue: Queue::new(&settings.policy, limits.slots, limits.queue, clock),
            meter: Meter::new(limits.prefill_rate, limits.decode_rate),
            metrics: Instruments::new()?,
            ledger: Mutex::default(),
            leases: Mutex::new(Leases::new(clock.now())),
            models: Mutex::default(),
            release: Notify::new(),
            buffer: Arc::new(Semaphore::new(BUFFER_KIB)),
            wanted: Mutex::default(),
            uses: Mutex::default(),
            controls: Mutex::default(),
            failures: Mutex::default(),
            draining: AtomicBool::new(false),
            health: Arc::new(health),
            upstream,
            clock,
            incarnation,
            settings,
        })
    }

    /// The load report at this moment.
    pub fn load(&self) -> Load {
        load::report(Sources {
            target: &self.settings.target,
            incarnation: &self.incarnation,
            draining: self.is_draining(),
            slots: self.queue.slots(),
            depth: self.queue.depth(),
            models: self.models(),
            report: self.health.report(),
            meter: &self.meter,
        })
    }

    /// Whether this process takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether the target is a model engine.
    pub fn is_engine(&self) -> bool {
        self.settings.kind == Kind::Engine
    }

    /// Takes room for a request of so many bytes; none: there is too much here already.
    pub fn reserve_buffer(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let kib = u32::try_from(bytes.div_ceil(1024)).ok()?;
        self.buffer.clone().try_acquire_many_owned(kib).ok()
    }

    /// What the engine is to serve, if it is known.
    pub fn wanted(&self) -> Option<Wanted> {
        self.wanted.lock().clone()
    }

    /// Takes in what the engine is to serve, unless something newer is known.
    pub fn set_wanted(&self, newer: Wanted) {
        let mut wanted = self.wanted.lock();
        if wanted
            .as_ref()
            .is_none_or(|known| known.ticket < newer.ticket)
        {
            *wanted = Some(newer);
        }
    }

    /// Models that the engine serves and is to serve.
    pub fn models(&self) -> Vec<String> {
        let mut models = self.models.lock().clone();
        if let Some(wanted) = self.wanted() {
            models.retain(|model| wanted.models.contains(model));
        }
        models
    }

    /// Notes that a request needs a model, until the use is dropped.
    pub fn use_model(self: &Arc<Self>, model: &str) -> ModelUse {
        *self.uses.lock().entry(model.to_owned()).or_default() += 1;
        ModelUse {
            state: self.clone(),
            model: model.to_owned(),
        }
    }

    /// Whether a request that waits or runs needs a model.
    pub fn is_model_in_use(&self, model: &str) -> bool {
        self.uses.lock().contains_key(model)
    }

    /// Whether a program runs here at present.
    pub fn is_program_running(&self, program: &str) -> bool {
        self.leases.lock().is_running(program)
    }

    /// Opens the way for controls to an attempt.
    pub fn register_controls(&self, attempt: &Attempt) -> mpsc::UnboundedReceiver<Control> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.controls.lock().insert(attempt.clone(), sender);
        receiver
    }

    /// Closes the way for controls to an attempt.
    pub fn unregister_controls(&self, attempt: &Attempt) {
        self.controls.lock().remove(attempt);
    }

    /// Tells an attempt something, if it is here.
    pub fn send_control(&self, attempt: &Attempt, control: Control) {
        if let Some(sender) = self.controls.lock().get(attempt) {
            // An attempt that has just ended needs no control.
            let _ = sender.send(control);
        }
    }

    /// Logs a failed step at the target and keeps it for the dump.
    pub fn record_failure(&self, step: &'static str, error: &dyn std::fmt::Display) {
        let cause = error.to_string();
        log::warn!(step = step, peer = self.settings.target.as_str(); "{cause}");
        let failure = Failure {
            step,
            cause,
            at_ms: self.clock.now().0,
        };
        let mut failures = self.failures.lock();
        failures.push_back(failure);
        if failures.len() > MAX_FAILURES {
            failures.pop_front();
        }
    }

    /// The last failures at the target.
    pub fn failures(&self) -> Vec<Failure> {
        self.failures.lock().iter().cloned().collect()
    }
}

/// A request's need of a model.
#[derive(Debug)]
pub struct ModelUse {
    state: Arc<State>,
    model: String,
}

impl Drop for ModelUse {
    fn drop(&mut self) {
        let mut uses = self.state.uses.lock();
        if let Some(count) = uses.get_mut(&self.model) {
            *count -= 1;
            if *count == 0 {
                uses.remove(&self.model);
            }
        }
    }
}
