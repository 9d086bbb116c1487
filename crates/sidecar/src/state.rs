//! State shared by the parts of the process; each mutable field has its own lock.

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

/// Limit for the bodies of queued and running requests, in KiB.
const BUFFER_KIB: usize = 256 * 1024;

/// Number of failures kept for the dump.
const MAX_FAILURES: usize = 32;

/// Control message to a dispatched attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Control {
    /// Sets a new latest start time.
    Extend(Time),
    /// Cancels the attempt.
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
    /// Unique id of this run of the process.
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
    /// Creates the state of a starting sidecar.
    ///
    /// Errors: the metrics can't be set up.
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

    /// Returns the current load report.
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

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Refuses new work from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether the target is a model engine.
    pub fn is_engine(&self) -> bool {
        self.settings.kind == Kind::Engine
    }

    /// Reserves buffer space for a request of `bytes` bytes; returns none if the limit is reached.
    pub fn reserve_buffer(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let kib = u32::try_from(bytes.div_ceil(1024)).ok()?;
        self.buffer.clone().try_acquire_many_owned(kib).ok()
    }

    /// The configuration that the engine is to serve, if one was received.
    pub fn wanted(&self) -> Option<Wanted> {
        self.wanted.lock().clone()
    }

    /// Stores the configuration that the engine is to serve, unless the stored ticket is as new.
    pub fn set_wanted(&self, received: Wanted) {
        let mut wanted = self.wanted.lock();
        if wanted
            .as_ref()
            .is_none_or(|stored| stored.ticket < received.ticket)
        {
            *wanted = Some(received);
        }
    }

    /// Models that the engine serves, without those that it is to unload.
    pub fn models(&self) -> Vec<String> {
        let mut models = self.models.lock().clone();
        if let Some(wanted) = self.wanted() {
            models.retain(|model| wanted.models.contains(model));
        }
        models
    }

    /// Marks a model as needed by a request until the returned guard is dropped.
    pub fn use_model(self: &Arc<Self>, model: &str) -> ModelUse {
        *self.uses.lock().entry(model.to_owned()).or_default() += 1;
        ModelUse {
            state: self.clone(),
            model: model.to_owned(),
        }
    }

    /// Whether a queued or running request needs a model.
    pub fn is_model_in_use(&self, model: &str) -> bool {
        self.uses.lock().contains_key(model)
    }

    /// Whether a program is running at the target.
    pub fn is_program_running(&self, program: &str) -> bool {
        self.leases.lock().is_running(program)
    }

    /// Registers an attempt and returns the receiver of its controls.
    pub fn register_controls(&self, attempt: &Attempt) -> mpsc::UnboundedReceiver<Control> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.controls.lock().insert(attempt.clone(), sender);
        receiver
    }

    /// Removes an attempt's registration for controls.
    pub fn unregister_controls(&self, attempt: &Attempt) {
        self.controls.lock().remove(attempt);
    }

    /// Sends a control to an attempt if it is registered.
    pub fn send_control(&self, attempt: &Attempt, control: Control) {
        if let Some(sender) = self.controls.lock().get(attempt) {
            // Ignored: the attempt has just ended.
            let _ = sender.send(control);
        }
    }

    /// Logs a failed step at the target and stores it for the dump.
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

    /// The latest failures at the target, oldest first.
    pub fn failures(&self) -> Vec<Failure> {
        self.failures.lock().iter().cloned().collect()
    }
}

/// Guard that keeps a model in use for one request.
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
