//! Targets that may be sent work.
//!
//! A registration that disappears while the object store is reachable names a target that is gone.
//! Registrations that lapsed while the store was away come back within two seconds of its return,
//! so what is missing right after an outage counts as gone only then.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use node::object::Change;
use node::object::Object;
use node::object::Revision;
use parking_lot::Mutex;
use sched::health::Health;
use tokio::time::Instant;

use crate::Map;
use crate::Set;
use crate::config::Service;
use crate::edge::Dialect;
use crate::edge::Stage;
use crate::edge::Target;

/// Time for registrations to come back after the object store was away; stated by the platform.
pub const REREGISTRATION_TIMEOUT: Duration = Duration::from_millis(2000);

/// What this process has seen of a target.
#[derive(Debug, Default)]
pub struct Load {
    /// Requests that this process has at the target.
    pub running: AtomicU32,
    /// Requests that other entries have at the target.
    pub running_elsewhere: AtomicU32,
    /// When it last answered, in milliseconds since the process started.
    pub answered_ms: AtomicU64,
    /// Failures in a row.
    pub consecutive_failures: AtomicU32,
    /// Until when it is spared, in milliseconds since the process started.
    pub ejected_until_ms: AtomicU64,
    /// What its answers show.
    pub health: Mutex<Health>,
}

/// A target and its load.
#[derive(Debug, Clone)]
pub struct Entry {
    pub target: Target,
    pub load: Arc<Load>,
}

impl Entry {
    /// Requests that all entries have at the target, as far as known.
    pub fn running(&self) -> u32 {
        let own = self.load.running.load(Ordering::Relaxed);
        own + self.load.running_elsewhere.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct Known {
    entry: Entry,
    /// Since when the registration is missing.
    missing: Option<Instant>,
}

/// All targets known.
#[derive(Debug, Default)]
pub struct Directory {
    targets: Map<CompactString, Known>,
    /// When the object store was last regained.
    regained: Option<Instant>,
    /// Revision of the object store that the targets are from.
    pub revision: Revision,
}

/// Targets that take new work, by service.
pub type Services = Map<Service, Vec<Entry>>;

impl Directory {
    /// The object store answers again after it was away.
    pub fn record_store_recovery(&mut self, now: Instant) {
        self.regained = Some(now);
    }

    /// Takes a complete list of registrations.
    pub fn apply_listing(&mut self, objects: &[Object], dialect: &dyn Dialect, now: Instant) {
        let names: Set<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        let missing: Vec<CompactString> = self
            .targets
            .keys()
            .filter(|id| !names.contains(id.as_str()))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        for object in objects {
            self.put(object, dialect);
        }
    }

    /// Takes what another entry knows, if that is newer.
    pub fn apply_peer_snapshot(&mut self, revision: Revision, targets: Vec<Target>, now: Instant) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let missing: Vec<CompactString> = self
            .targets
            .keys()
            .filter(|id| !targets.iter().any(|target| target.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        targets
            .into_iter()
            .for_each(|target| self.put_target(target));
    }

    /// Takes a change of one registration.
    pub fn apply_change(&mut self, change: &Change, dialect: &dyn Dialect, now: Instant) {
        match change {
            Change::Put(object) => self.put(object, dialect),
            Change::Deleted(name) => self.remove(name, now),
        }
    }

    fn put(&mut self, object: &Object, dialect: &dyn Dialect) {
        match dialect.target(object) {
            Ok(target) => self.put_target(target),
            Err(error) => {
                log::warn!(
                    step = "read registration", peer = object.name.as_str();
                    "names no target to use: {error}"
                );
                self.targets.remove(object.name.as_str());
            }
        }
    }

    /// Takes one target's registration.
    pub fn put_target(&mut self, target: Target) {
        let load = match self.targets.get(&target.id) {
            Some(known) if known.entry.target == target => {
                if let Some(known) = self.targets.get_mut(&target.id) {
                    known.missing = None;
                }
                return;
            }
            Some(known) if known.entry.target.born == target.born => Arc::clone(&known.entry.load),
            _ => Arc::default(),
        };
        log::info!(
            step = "learn target", peer = target.id.as_str(), service = target.service.as_str(),
            address:% = target.address, stage:? = target.stage;
            "target registered"
        );
        let id = target.id.clone();
        let entry = Entry { target, load };
        let missing = None;
        self.targets.insert(id, Known { entry, missing });
    }

    fn remove(&mut self, id: &str, now: Instant) {
        if let Some(known) = self.targets.get_mut(id) {
            known.missing.get_or_insert(now);
        }
        self.expire(now);
    }

    /// Forgets targets that are gone; returns when to look again, if any is in question.
    pub fn expire(&mut self, now: Instant) -> Option<Instant> {
        let returned = self.regained.map(|at| at + REREGISTRATION_TIMEOUT);
        match returned {
            Some(until) if now < until => {
                let questionable = self.targets.values().any(|known| known.missing.is_some());
                questionable.then_some(until)
            }
            _ => {
                self.targets.retain(|id, known| {
                    if known.missing.is_some() {
                        log::info!(step = "learn target", peer = id.as_str(); "target is gone");
                    }
                    known.missing.is_none()
                });
                None
            }
        }
    }

    /// Targets that take new work, by service.
    pub fn services(&self) -> Services {
        let mut services = Services::default();
        for known in self.targets.values() {
            let entry = &known.entry;
            if entry.target.stage == Stage::Ready {
                let of_service = services.entry(entry.target.service.clone()).or_default();
                of_service.push(entry.clone());
            }
        }
        for entries in services.values_mut() {
            entries.sort_by(|a, b| a.target.id.cmp(&b.target.id));
        }
        services
    }

    /// All registrations, for processes that can't read them themselves.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|known| &known.entry.target)
    }
}
