//! Directory of the registered targets.
//!
//! A target whose registration disappears while the object store is reachable is removed at once.
//! Registrations that expired during an outage of the store are renewed within two seconds of its
//! recovery, so a registration that is missing after an outage is removed only after that time. Some
//! may be missing for good, of targets that left shortly before the outage; so they are used only while
//! most targets of their service are missing.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use coord::id::DataCentre;
use coord::id::SoftwareVersion;
use coord::time::Time;
use history::time::Timestamp;
use node::object::Change;
use node::object::Object;
use node::object::Revision;
use parking_lot::Mutex;
use sched::health::Health;
use tokio::time::Instant;

use crate::Map;
use crate::Set;
use crate::adapter::Adapter;
use crate::adapter::Stage;
use crate::adapter::Target;
use crate::config::Service;
use crate::target::cold::Remaining;
use crate::target::departure::Departures;
use crate::target::departure::Incarnation;
use crate::target::hash;

/// Time after an outage of the object store within which targets register again, as stated by the
/// platform.
pub const REREGISTRATION_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time for which a target that failed and wasn't tried since counts as failing, in milliseconds.
const FAILURE_LIFETIME_MS: u64 = 4_000;

/// Time for which another entry's report of a failing target counts, in milliseconds; more than the
/// time between the reports of a hundred entries.
const REPORT_LIFETIME_MS: u64 = 2_000;

/// Load and health of a target as observed by this process.
#[derive(Debug, Default)]
pub struct Load {
    /// Requests of this process that run on the target.
    pub running: AtomicU32,
    /// Requests of other entries that run on the target, from their reports.
    pub running_elsewhere: AtomicU32,
    /// Time of its last answer, in milliseconds since the process started.
    pub answered_ms: AtomicU64,
    /// Number of consecutive failures.
    pub consecutive_failures: AtomicU32,
    /// End of its ejection, in milliseconds since the process started.
    pub ejected_until_ms: AtomicU64,
    /// Time of its last failure, on the same clock; counts while [`Self::consecutive_failures`]
    /// isn't zero.
    pub failed_ms: AtomicU64,
    /// When another entry last reported that it fails, on the same clock; 0 for never.
    pub failed_elsewhere_ms: AtomicU64,
    /// Failure share and event interval of its answers.
    pub health: Mutex<Health>,
}

/// A target and its load.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub target: Target,
    pub load: Arc<Load>,
    /// Whether it is the only one of its software version that accepts new requests, while more of
    /// another version do.
    pub sole_of_version: bool,
}

impl Candidate {
    /// Number of requests of all entries on the target, as far as reported.
    pub fn running(&self) -> u32 {
        let own = self.load.running.load(Ordering::Relaxed);
        own + self.load.running_elsewhere.load(Ordering::Relaxed)
    }
}

impl Load {
    /// Whether the target's last answer to this process was a failure, and not long ago.
    pub fn fails_here(&self, now_ms: u64) -> bool {
        let failed_ms = self.failed_ms.load(Ordering::Relaxed);
        self.consecutive_failures.load(Ordering::Relaxed) > 0
            && now_ms.saturating_sub(failed_ms) < FAILURE_LIFETIME_MS
    }

    /// Whether the target fails here or at another entry.
    pub fn fails_anywhere(&self, now_ms: u64) -> bool {
        let reported_ms = self.failed_elsewhere_ms.load(Ordering::Relaxed);
        let reported = reported_ms > 0 && now_ms.saturating_sub(reported_ms) < REPORT_LIFETIME_MS;
        reported || self.fails_here(now_ms)
    }
}

/// Why a target gets no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// It isn't registered.
    Gone,
    /// Another incarnation or address is registered under its id.
    Replaced,
    /// It has registered as leaving.
    Leaving,
    /// It has announced in an answer that it leaves.
    Announced,
    /// Its data centre is evacuated.
    Evacuated,
    /// The limit that it names doesn't allow another request now.
    Limited,
}

impl fmt::Display for Withdrawal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Withdrawal::Gone => "target is gone",
            Withdrawal::Replaced => "target was replaced under its id",
            Withdrawal::Leaving => "target is registered as leaving",
            Withdrawal::Announced => "target has announced that it leaves",
            Withdrawal::Evacuated => "target's data centre is evacuated",
            Withdrawal::Limited => "target's limit is used up",
        })
    }
}

#[derive(Debug)]
struct Registration {
    candidate: Candidate,
    /// When the registration was first found missing.
    missing_since: Option<Instant>,
}

/// A target that is cold for some time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warming {
    /// Hash of its id.
    pub target: u32,
    pub service: Service,
    pub remaining: Remaining,
}

impl Warming {
    fn new(target: &Target, remaining: Remaining) -> Warming {
        Warming {
            target: hash::target_hash(&target.id),
            service: target.service.clone(),
            remaining,
        }
    }
}

/// All registered targets.
#[derive(Debug, Default)]
pub struct Directory {
    targets: Map<CompactString, Registration>,
    /// Targets that announced that they leave.
    departures: Departures,
    /// Data centres whose targets get no requests.
    evacuated: Set<DataCentre>,
    /// Targets that registered as cold, or may be, since [`Directory::take_cold`] was called last.
    cold: Vec<Warming>,
    /// When the object store last recovered.
    store_recovered: Option<Instant>,
    /// Revision of the object store at which the targets were read.
    pub revision: Revision,
}

/// Targets that accept new requests, by service.
pub type Services = Map<Service, Vec<Candidate>>;

impl Directory {
    /// Records that the object store doesn't answer. Targets that were already gone by then aren't
    /// among those whose registrations may return after the outage.
    pub fn record_store_loss(&mut self, now: Instant) {
        self.expire(now);
    }

    /// Records that the object store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: Instant) {
        self.store_recovered = Some(now);
    }

    /// Replaces all registrations by a complete listing.
    pub fn apply_listing(&mut self, objects: &[Object], adapter: &dyn Adapter, now: Instant) {
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
            self.put(object, adapter);
        }
    }

    /// Replaces all targets by those of another entry if its revision is newer.
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
        for mut target in targets {
            self.add_known_fields(&mut target);
            self.put_target(target);
        }
    }

    /// Adds what another entry doesn't tell of a target, if the same incarnation is registered here.
    fn add_known_fields(&self, target: &mut Target) {
        let registration = self.targets.get(&target.id);
        let known = registration.map(|registration| &registration.candidate.target);
        if let Some(known) = known.filter(|known| known.born == target.born) {
            target.version = target.version.take().or_else(|| known.version.clone());
            target.cold = target.cold.or(known.cold);
        }
    }

    /// Applies a change of one registration.
    pub fn apply_change(&mut self, change: &Change, adapter: &dyn Adapter, now: Instant) {
        match change {
            Change::Put(object) => self.put(object, adapter),
            Change::Deleted(name) => self.remove(name, now),
        }
    }

    fn put(&mut self, object: &Object, adapter: &dyn Adapter) {
        match adapter.target(object) {
            Ok(target) => self.put_target(target),
            Err(error) => {
                log::warn!(
                    step = "read registration", peer = object.name.as_str();
                    "malformed registration, its target isn't used: {error}"
                );
                self.targets.remove(object.name.as_str());
            }
        }
    }

    /// Inserts or updates a target, unless a later incarnation of it is known. Its load is kept as
    /// long as `born` stays the same.
    pub fn put_target(&mut self, target: Target) {
        let load = match self.targets.get(&target.id) {
            Some(registration) if is_earlier(&target, &registration.candidate.target) => {
                log::info!(
                    step = "learn target", peer = target.id.as_str(),
                    target_version = target.version_text(), born = target.born.unwrap_or(0);
                    "outdated registration is ignored"
                );
                return;
            }
            Some(registration) if registration.candidate.target == target => {
                if let Some(registration) = self.targets.get_mut(&target.id) {
                    registration.missing_since = None;
                }
                return;
            }
            Some(registration) if registration.candidate.target.born == target.born => {
                Arc::clone(&registration.candidate.load)
            }
            _ => Arc::default(),
        };
        let known = self.targets.get(&target.id);
        let known = known.map(|known| &known.candidate.target);
        if known.is_none_or(|known| (known.born, known.cold) != (target.born, target.cold)) {
            match target.cold {
                Some(time) if time.is_zero() => {}
                Some(time) => self
                    .cold
                    .push(Warming::new(&target, Remaining::Known(time))),
                None => self.cold.push(Warming::new(&target, Remaining::Unknown)),
            }
        }
        log::info!(
            step = "learn target", peer = target.id.as_str(), service = target.service.as_str(),
            target_version = target.version_text(), born = target.born.unwrap_or(0),
            address:% = target.address, stage:? = target.stage,
            cold_ms = target.cold.map_or(-1, |time| time.as_millis() as i64);
            "target registered"
        );
        let id = target.id.clone();
        let candidate = Candidate {
            target,
            load,
            sole_of_version: false,
        };
        let missing_since = None;
        self.targets.insert(
            id,
            Registration {
                candidate,
                missing_since,
            },
        );
    }

    fn remove(&mut self, id: &str, now: Instant) {
        if let Some(registration) = self.targets.get_mut(id) {
            registration.missing_since.get_or_insert(now);
        }
        self.expire(now);
    }

    /// Removes targets whose registration is missing. During [`REREGISTRATION_TIMEOUT`] it keeps them
    /// and returns the end of that time if there are any.
    pub fn expire(&mut self, now: Instant) -> Option<Instant> {
        match self.reregistration_deadline() {
            Some(until) if now < until => {
                let any_missing = self
                    .targets
                    .values()
                    .any(|registration| registration.missing_since.is_some());
                any_missing.then_some(until)
            }
            _ => {
                self.targets.retain(|id, registration| {
                    if registration.missing_since.is_some() {
                        log::info!(step = "learn target", peer = id.as_str(); "target is gone");
                    }
                    registration.missing_since.is_none()
                });
                None
            }
        }
    }

    /// Whether a target has registered again since, as another incarnation or with another software
    /// version.
    pub fn is_superseded(&self, target: &Target) -> bool {
        let registration = self.targets.get(&target.id);
        registration.is_some_and(|registration| {
            let newest = &registration.candidate.target;
            (newest.born, &newest.version) != (target.born, &target.version)
        })
    }

    /// Sets the data centres whose targets get no requests. Those of data centres that get requests again
    /// may have become cold meanwhile.
    pub fn set_evacuated(&mut self, data_centres: Set<DataCentre>) {
        let former = std::mem::replace(&mut self.evacuated, data_centres);
        let registered = self.targets.values();
        let registered = registered.map(|registration| &registration.candidate.target);
        let returned = registered.filter(|target| {
            former.contains(&target.data_centre) && !self.evacuated.contains(&target.data_centre)
        });
        let returned = returned.map(|target| Warming::new(target, Remaining::Unknown));
        self.cold.extend(returned);
    }

    /// Returns the targets that are cold, or may be, as learned since the last call.
    pub fn take_cold(&mut self) -> Vec<Warming> {
        std::mem::take(&mut self.cold)
    }

    /// Records that a target announced in an answer that it leaves; returns whether that is new.
    pub fn record_departure(
        &mut self,
        incarnation: Incarnation,
        announced: Timestamp,
        now: Time,
    ) -> bool {
        self.departures.record(incarnation, announced, now)
    }

    /// Merges another entry's report that a target leaves; returns whether that is new.
    pub fn merge_departure(
        &mut self,
        incarnation: Incarnation,
        reported: Timestamp,
        now: Time,
    ) -> bool {
        self.departures.merge(incarnation, reported, now)
    }

    /// Departures that this entry learned of lately, for reports to other entries.
    pub fn recent_departures(&self, now: Time) -> Vec<Incarnation> {
        self.departures.recent(now)
    }

    /// Forgets departures of targets that have long been gone.
    pub fn expire_departures(&mut self, now: Time) {
        let registered = self.targets.values();
        let registered = registered.map(|registration| &registration.candidate.target);
        self.departures.expire(registered, now);
    }

    /// Targets that accept new requests, by service, each sorted by id.
    pub fn services(&self) -> Services {
        let mut services = Services::default();
        for registration in self.targets.values() {
            let candidate = &registration.candidate;
            if self.withdrawal(registration).is_none() {
                let candidates = services
                    .entry(candidate.target.service.clone())
                    .or_default();
                candidates.push(candidate.clone());
            }
        }
        for candidates in services.values_mut() {
            candidates.sort_by(|a, b| a.target.id.cmp(&b.target.id));
            mark_sole_versions(candidates);
        }
        services
    }

    /// Checks that a target that was chosen before may get a request now.
    ///
    /// Errors: why it may not.
    pub fn check(&self, target: &Target, now: Instant) -> Result<(), Withdrawal> {
        let registration = self.targets.get(&target.id).ok_or(Withdrawal::Gone)?;
        let registered = &registration.candidate.target;
        let is_gone = registration.missing_since.is_some() && !self.may_reregister(now);
        match self.withdrawal(registration) {
            _ if is_gone => Err(Withdrawal::Gone),
            _ if (registered.born, registered.address) != (target.born, target.address) => {
                Err(Withdrawal::Replaced)
            }
            Some(withdrawal) => Err(withdrawal),
            None => Ok(()),
        }
    }

    /// Why a registered target gets no requests; none if it does.
    fn withdrawal(&self, registration: &Registration) -> Option<Withdrawal> {
        let target = &registration.candidate.target;
        let is_missing = registration.missing_since.is_some();
        match target.stage {
            Stage::Leaving => Some(Withdrawal::Leaving),
            Stage::Ready if self.departures.contains(Incarnation::of(target)) => {
                Some(Withdrawal::Announced)
            }
            Stage::Ready if is_missing && !self.is_mostly_missing(&target.service) => {
                Some(Withdrawal::Gone)
            }
            Stage::Ready if self.evacuated.contains(&target.data_centre) => {
                Some(Withdrawal::Evacuated)
            }
            Stage::Ready => None,
        }
    }

    /// Whether the registrations of over half of a service's targets are missing.
    fn is_mostly_missing(&self, service: &str) -> bool {
        let registrations = self.targets.values();
        let of_service =
            registrations.filter(|registration| registration.candidate.target.service == service);
        let (missing, present): (Vec<_>, Vec<_>) =
            of_service.partition(|registration| registration.missing_since.is_some());
        missing.len() > present.len()
    }

    /// Whether missing registrations may still be renewed after an outage of the object store.
    fn may_reregister(&self, now: Instant) -> bool {
        let deadline = self.reregistration_deadline();
        deadline.is_some_and(|deadline| now < deadline)
    }

    fn reregistration_deadline(&self) -> Option<Instant> {
        self.store_recovered.map(|at| at + REREGISTRATION_TIMEOUT)
    }

    /// All targets, for entries that can't read them from the object store.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets
            .values()
            .map(|registration| &registration.candidate.target)
    }
}

/// Whether `target` is an earlier incarnation than `known`.
fn is_earlier(target: &Target, known: &Target) -> bool {
    match (target.born, known.born) {
        (Some(born), Some(known)) => born < known,
        _ => false,
    }
}

/// Sets [`Candidate::sole_of_version`] of a service's targets.
pub fn mark_sole_versions(candidates: &mut [Candidate]) {
    let mut counts: Map<Option<SoftwareVersion>, usize> = Map::default();
    for candidate in candidates.iter() {
        *counts.entry(candidate.target.version.clone()).or_default() += 1;
    }
    let any_more = counts.values().any(|count| *count > 1);
    for candidate in candidates {
        candidate.sole_of_version = any_more && counts[&candidate.target.version] == 1;
    }
}
