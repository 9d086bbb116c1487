//! State shared by all requests of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coord::id::Request;
use coord::newest::Newest;
use coord::quota::Fleet;
use coord::time::Time;
use coord::usage::Exchange;
use history::time::Timestamp;
use node::object::Change;
use node::object::Kind;
use node::object::Object;
use opentelemetry::metrics::Meter;
use parking_lot::Mutex;
use parking_lot::RwLock;
use sched::suspect::Suspects;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::Set;
use crate::adapter::Adapter;
use crate::adapter::Target;
use crate::config::Config;
use crate::config::CustomerLimits;
use crate::config::Version;
use crate::fleet::peers;
use crate::fleet::peers::Peers;
use crate::follow::Event;
use crate::freshness;
use crate::freshness::Freshness;
use crate::freshness::Order;
use crate::membership;
use crate::metrics::Instruments;
use crate::quota::Exceeded;
use crate::quota::Quotas;
use crate::serve::chain;
use crate::serve::intake::Intake;
use crate::serve::intake::limits;
use crate::serve::memory::Memory;
use crate::serve::stop::Stop;
use crate::settings::Settings;
use crate::table::Table;
use crate::target::departure::Incarnation;
use crate::target::directory::Directory;
use crate::target::directory::Services;
use crate::target::directory::Withdrawal;
use crate::target::evacuation::Evacuations;
use crate::target::hash;
use crate::target::limits::Limits;
use crate::target::pool::Pool;
use crate::target::prefix::Prefixes;
use crate::target::program::Programs;

/// Capacity of the cache of recent turns, in bytes: enough for some hundred running programs.
const CHAIN_CACHE_BYTES: u64 = 12 * 1024 * 1024;

/// Part of a small process's memory that the cache of recent turns may occupy.
const CHAIN_CACHE_DIVISOR: u64 = 7;

/// Outage of the object store after which the configuration may be outdated: routes and keys that
/// it lacks may exist by then.
const CONFIG_STALE_AFTER: Duration = Duration::from_secs(3);

/// Value of the time since which the object store is unavailable if it hasn't answered since the start.
const NEVER_AVAILABLE: u64 = u64::MAX;

/// Fraction of its even share of a target's connections that this entry may open.
const CONNECTION_SHARE: f64 = 0.9;

/// Maximum number of connections to a target whose service isn't configured.
const DEFAULT_CONNECTIONS: u32 = 16;

/// Part of the process's memory that long answers may occupy together.
const ANSWER_MEMORY_DIVISOR: u64 = 8;

/// Part of the process's memory that the inputs of turns with their chains may occupy together. One chain may
/// have a third of it: 7 MB on the smallest entry. A program of 300,000 tokens has under 2 MB.
const CHAIN_MEMORY_DIVISOR: u64 = 4;

/// Part of the process's memory for chains that are being received from the history hosts: five at a time on
/// the smallest entry, as one whose host doesn't answer must not hold up all others.
const CHAIN_FETCH_DIVISOR: u64 = 4;

/// Memory of one chain's part that is being received, in bytes: a page and a long turn.
const CHAIN_FETCH_BYTES: u64 = 4 * 1024 * 1024;

/// Size up to which an answer isn't long, in bytes. Hundreds that don't end are held at the same time, each
/// with the read buffer of its connection.
const SHORT_ANSWER_BYTES: usize = 16 * 1024;

/// Size up to which a chain of turns isn't long, in bytes.
const SHORT_CHAIN_BYTES: usize = 32 * 1024;

/// Configuration in force.
#[derive(Debug)]
pub struct Snapshot {
    pub table: Table,
    /// Source object as JSON text, to send to other entries.
    pub(crate) object: String,
}

/// Shared state of an entry.
pub struct State {
    pub settings: Settings,
    pub adapter: Arc<dyn Adapter>,
    pub history: history::client::Client,
    pub pool: Arc<Pool>,
    pub instruments: Instruments,
    pub freshness: Freshness,
    /// For long answers.
    pub answer_memory: Memory,
    /// Connections of callers, with the bodies of their requests.
    pub intake: Intake,
    /// For the inputs of turns with long chains.
    pub chain_memory: Memory,
    /// Limits the number of chains that are received from the history hosts at a time.
    pub chain_fetches: Semaphore,
    pub chains: Mutex<chain::Cache>,
    pub programs: Mutex<Programs>,
    pub prefixes: Mutex<Prefixes>,
    pub suspects: Mutex<Suspects>,
    pub limits: Arc<Mutex<Limits>>,
    /// Notified of changes that other entries must hear of soon: of limits and evacuations.
    pub report_soon: Notify,
    started: Instant,
    pub(crate) config: RwLock<Newest<Version, Arc<Snapshot>>>,
    pub(crate) directory: Mutex<Directory>,
    services: RwLock<Arc<Services>>,
    draining: AtomicBool,
    pub stop: Stop,
    /// Whether the registered entries were read from the object store.
    pub(crate) entries_listed: AtomicBool,
    /// When the object store became unavailable, in milliseconds since the start; 0 while it is
    /// available, and [`NEVER_AVAILABLE`] before its first answer.
    unavailable_since_ms: AtomicU64,
    /// Whether a quorum of history hosts answers this entry directly.
    pub(crate) history_direct: AtomicBool,
    /// Whether a quorum of history hosts answers through another entry.
    history_relayed: AtomicBool,
    /// Whether a turn with a predecessor was served since the start.
    chain_served: AtomicBool,
    pub(crate) membership_requests: membership::Requests,
    pub(crate) incarnation: u64,
    /// Locked before `usage` where both are needed.
    pub(crate) quotas: Mutex<Quotas>,
    pub(crate) usage: Mutex<Exchange<SocketAddr>>,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) evacuations: Mutex<Evacuations>,
}

/// Capacity of the cache of recent turns of a process with this memory, in bytes.
fn chain_cache_bytes(memory_bytes: u64) -> usize {
    CHAIN_CACHE_BYTES.min(memory_bytes / CHAIN_CACHE_DIVISOR) as usize
}

/// Number of chains that a process with this memory receives at a time.
fn chain_fetches(memory_bytes: u64) -> usize {
    let fetches = memory_bytes / CHAIN_FETCH_DIVISOR / CHAIN_FETCH_BYTES;
    fetches.max(1) as usize
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State").finish_non_exhaustive()
    }
}

impl State {
    /// Creates the state of an entry without configuration, targets and peers.
    pub fn new(settings: Settings, adapter: Arc<dyn Adapter>, meter: &Meter) -> Arc<State> {
        let losses = settings.tolerated_losses;
        let rate_excess = settings.rate_excess.unwrap_or(0);
        let memory_bytes = settings.resources.memory_mb * 1024 * 1024;
        let part = |divisor, short| Memory::new((memory_bytes / divisor) as usize, short);
        let descriptors = settings.resources.usable_descriptors();
        Arc::new(State {
            settings,
            adapter,
            history: history::client::Client::new(losses),
            pool: Arc::default(),
            instruments: Instruments::new(meter),
            freshness: Freshness::default(),
            answer_memory: part(ANSWER_MEMORY_DIVISOR, SHORT_ANSWER_BYTES),
            intake: Intake::new(limits::Limits::of_process(memory_bytes, descriptors)),
            chain_memory: part(CHAIN_MEMORY_DIVISOR, SHORT_CHAIN_BYTES),
            chain_fetches: Semaphore::new(chain_fetches(memory_bytes)),
            chains: Mutex::new(chain::Cache::new(chain_cache_bytes(memory_bytes))),
            programs: Mutex::default(),
            prefixes: Mutex::default(),
            suspects: Mutex::default(),
            limits: Arc::default(),
            report_soon: Notify::new(),
            started: Instant::now(),
            config: RwLock::default(),
            directory: Mutex::default(),
            services: RwLock::default(),
            draining: AtomicBool::new(false),
            stop: Stop::default(),
            entries_listed: AtomicBool::new(false),
            unavailable_since_ms: AtomicU64::new(NEVER_AVAILABLE),
            history_direct: AtomicBool::new(false),
            history_relayed: AtomicBool::new(false),
            chain_served: AtomicBool::new(false),
            membership_requests: membership::Requests::default(),
            incarnation: rand::random(),
            quotas: Mutex::new(Quotas::new(f64::from(rate_excess))),
            usage: Mutex::default(),
            peers: Mutex::default(),
            evacuations: Mutex::default(),
        })
    }

    /// Configuration in force; `None` before the first.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.config.read().value().cloned()
    }

    /// Version of the configuration in force; 0 before the first.
    pub fn version(&self) -> Version {
        self.config.read().version().unwrap_or_default()
    }

    /// Number of known entries, including this one.
    pub fn entry_count(&self) -> usize {
        self.fleet().entries
    }

    /// Targets that accept new requests, by service.
    pub fn services(&self) -> Arc<Services> {
        Arc::clone(&self.services.read())
    }

    /// Time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown: the entry reports itself as not ready.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the load balancer should send callers to this entry.
    pub fn is_ready(&self) -> bool {
        let configured = self.snapshot().is_some() && !self.services.read().is_empty();
        !self.is_draining() && configured && !self.is_cut_off()
    }

    /// Whether a quorum of history hosts answered the last probes, directly or through another entry.
    pub fn reaches_history(&self) -> bool {
        self.history_direct.load(Ordering::Relaxed) || self.history_relayed.load(Ordering::Relaxed)
    }

    /// Whether only this entry seems to be cut off from the history hosts: it doesn't reach them,
    /// and another entry reports that it does or all known entries are silent.
    pub fn is_cut_off(&self) -> bool {
        if self.reaches_history() {
            return false;
        }
        let (peers, now) = (self.peers.lock(), self.time());
        peers.all_silent(now) || !peers.reaching_history(now).is_empty()
    }

    /// Relay addresses of the entries that reach the history hosts.
    pub(crate) fn relays(&self) -> Vec<SocketAddr> {
        let elsewhere = self.peers.lock().reaching_history(self.time());
        let port = self.settings.relay_port();
        let relays = elsewhere.into_iter();
        relays
            .map(|entry| SocketAddr::new(entry.ip(), port))
            .collect()
    }

    /// Whether the configuration is recent enough to refuse unknown routes and keys.
    pub fn is_config_current(&self) -> bool {
        let in_time = match self.unavailable_since_ms.load(Ordering::Relaxed) {
            0 => true,
            // Another entry has sent the configuration, which may be as cut off as this one.
            NEVER_AVAILABLE => false,
            since => self.now_ms().saturating_sub(since) < CONFIG_STALE_AFTER.as_millis() as u64,
        };
        // After a pause of this process, the store still counts as available.
        let age = self.freshness.age(Kind::Config, Instant::now());
        let limit = self.knowledge_age_limit(Kind::Config) + CONFIG_STALE_AFTER;
        in_time && age.is_none_or(|age| age < limit)
    }

    /// Whether the object store is unavailable.
    pub fn is_object_store_lost(&self) -> bool {
        self.unavailable_since_ms.load(Ordering::Relaxed) != 0
    }

    /// Records whether a quorum of history hosts answers directly or through another entry.
    pub fn record_history_reachability(&self, direct: bool, relayed: bool) {
        let previous = (
            self.history_direct.swap(direct, Ordering::Relaxed),
            self.history_relayed.swap(relayed, Ordering::Relaxed),
        );
        if previous != (direct, relayed) {
            let relay = self.history.relay_address();
            log::info!(
                step = "ask history", peer = "history", answers = direct, relayed = relayed,
                since_start_ms = self.now_ms(),
                relay = relay.map_or_else(String::new, |relay| relay.to_string());
                "history changed"
            );
        }
    }

    /// Logs the first turn with a predecessor that this process serves.
    pub fn record_chain_served(&self, request: &Request) {
        if !self.chain_served.swap(true, Ordering::Relaxed) {
            log::info!(
                step = "answer", peer = "history", request = request.as_str(),
                since_start_ms = self.now_ms();
                "first turn with a predecessor is served"
            );
        }
    }

    /// Current time on the clock that quotas, peers and health estimates use.
    pub fn time(&self) -> Time {
        Time(self.now_ms())
    }

    /// Charges a request to its customer's rate; `first` marks the first turn of a program. Returns the
    /// time for which the request must wait before it is sent, at most `patience`.
    ///
    /// Errors: the rate is exceeded.
    pub fn admit(
        &self,
        customer: &CustomerLimits,
        first: bool,
        patience: Duration,
    ) -> Result<Duration, Exceeded> {
        let (fleet, now) = (self.fleet(), self.time());
        let mut quotas = self.quotas.lock();
        let delay = quotas.admit(customer, first, patience, fleet, now)?;
        if customer.rate.is_some() {
            self.usage.lock().record_admission(&customer.name);
        }
        Ok(delay)
    }

    /// Records that the registered entries were read. The configuration comes before them, so that its customers
    /// began with the share of an entry that knew only those in its settings.
    pub(crate) fn record_entries_listed(&self) {
        self.entries_listed.store(true, Ordering::Relaxed);
        let (fleet, now) = (self.fleet(), self.time());
        self.quotas.lock().lower_to_shares(fleet, now);
    }

    /// Refuses a request that certainly exceeds its customer's rate; charges nothing.
    ///
    /// Errors: it would have to wait longer than `patience`.
    pub fn check_rate(
        &self,
        customer: &CustomerLimits,
        patience: Duration,
    ) -> Result<(), Exceeded> {
        let (fleet, now) = (self.fleet(), self.time());
        self.quotas.lock().check(customer, patience, fleet, now)
    }

    /// Numbers of all entries and of silent ones; all others are silent if this one hears none.
    pub(crate) fn fleet(&self) -> Fleet {
        let (peers, now) = (self.peers.lock(), self.time());
        let fleet = peers.fleet(now);
        match peers.is_isolated(now) {
            true => Fleet {
                silent: fleet.entries - 1,
                ..fleet
            },
            false => fleet,
        }
    }

    /// Maximum number of connections from this entry to one target of a service, at least 2.
    pub fn connection_limit(&self, service: &str) -> u32 {
        let snapshot = self.snapshot();
        let limits = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.table.config.services.get(service));
        let total = limits.map_or(DEFAULT_CONNECTIONS, |limits| limits.connections);
        let entries = self.fleet().entries as f64;
        let share = f64::from(total) * CONNECTION_SHARE / entries;
        (share as u32).max(2)
    }

    /// Number of tokens in one event of a service's streams.
    pub fn tokens_per_event(&self, service: &str) -> u64 {
        let snapshot = self.snapshot();
        let limits = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.table.config.services.get(service));
        limits
            .and_then(|limits| limits.engine)
            .map_or(1, |engine| engine.tokens_per_event)
    }

    /// Puts a configuration in force unless its version is the current one or older.
    pub fn apply_config(&self, config: Config, object: String) {
        let (version, previous) = (config.version, self.version());
        if version <= previous {
            return;
        }
        let (routes, customers) = (config.routes.len(), config.customers.len());
        let limits = config.customers.clone();
        self.limits
            .lock()
            .cold
            .configure(&config.services, self.time());
        let table = Table::new(config);
        let snapshot = Arc::new(Snapshot { table, object });
        if self.config.write().replace_if_newer(version, snapshot) {
            let (fleet, now) = (self.fleet(), self.time());
            self.quotas.lock().configure(&limits, fleet, now);
            log::info!(
                step = "configure", peer = "platform", version = version.0, former = previous.0,
                routes = routes, customers = customers;
                "configuration is in force"
            );
        }
    }

    /// Applies an event of the object store.
    pub fn apply_event(&self, kind: Kind, event: &Event) {
        match (kind, event) {
            (_, Event::Unavailable) => self.mark_unavailable(),
            (_, Event::Available) => self.mark_available(),
            (Kind::Config, Event::Listed(objects, _)) => {
                objects.iter().for_each(|object| self.read_config(object));
            }
            (Kind::Config, Event::Changed(changes, _)) => {
                for change in changes {
                    if let Change::Put(object) = change {
                        self.read_config(object);
                    }
                }
            }
            (Kind::Targets, Event::Listed(objects, revision)) => {
                let mut directory = self.directory.lock();
                directory.apply_listing(objects, &*self.adapter, Instant::now());
                directory.revision = directory.revision.max(*revision);
                self.publish_services(&mut directory);
            }
            (Kind::Targets, Event::Changed(changes, revision)) => {
                let mut directory = self.directory.lock();
                directory.revision = directory.revision.max(*revision);
                for change in changes {
                    directory.apply_change(change, &*self.adapter, Instant::now());
                }
                self.publish_services(&mut directory);
            }
            _ => {}
        }
    }

    /// Age at which the knowledge of a kind must be checked.
    pub fn knowledge_age_limit(&self, kind: Kind) -> Duration {
        let (peers, now) = (self.peers.lock(), self.time());
        let report_interval = peers::interval(peers.fleet(now).entries);
        let order = match peers.order_of_checks(self.settings.peer_address(), kind, now) {
            0 => Order::First,
            _ => Order::After(report_interval),
        };
        let bound = match kind {
            Kind::Targets => self.settings.bounds.leave_ms,
            _ => self.settings.bounds.config_ms,
        };
        freshness::age_limit(order, Duration::from_millis(bound))
    }

    fn mark_unavailable(&self) {
        let now = self.now_ms().max(1);
        let swapped = self.unavailable_since_ms.compare_exchange(
            0,
            now,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if swapped.is_ok() {
            log::warn!(step = "follow", peer = "platform"; "object store doesn't answer");
            self.directory.lock().record_store_loss(Instant::now());
        }
    }

    fn mark_available(&self) {
        if self.unavailable_since_ms.swap(0, Ordering::Relaxed) != 0 {
            log::info!(step = "follow", peer = "platform"; "object store answers");
            self.directory.lock().record_store_recovery(Instant::now());
        }
    }

    pub(crate) fn read_config(&self, object: &Object) {
        match self.adapter.config(object) {
            Ok(config) => {
                self.warn_of_long_bodies(&config);
                self.apply_config(config, object.spec.to_string());
            }
            Err(error) => {
                log::error!(
                    step = "read configuration", peer = object.name.as_str();
                    "configuration is ignored: {error}"
                );
            }
        }
    }

    /// Warns if a configuration allows bodies that never fit into this process's memory.
    fn warn_of_long_bodies(&self, config: &Config) {
        let (allowed, possible) = (config.limits.body_bytes, self.intake.max_body_bytes());
        if allowed > possible {
            log::warn!(
                step = "read configuration", peer = "self", version = config.version.0,
                allowed_bytes = allowed, possible_bytes = possible;
                "bodies that the configuration allows don't fit into this process and are refused"
            );
        }
    }

    /// Checks that a target that was chosen before may get a request now.
    ///
    /// Errors: why it may not.
    pub fn check_target(&self, target: &Target) -> Result<(), Withdrawal> {
        self.directory.lock().check(target, Instant::now())
    }

    /// Whether a target has registered again since, as another incarnation or with another software
    /// version.
    pub fn is_superseded(&self, target: &Target) -> bool {
        self.directory.lock().is_superseded(target)
    }

    /// Publishes the targets that accept requests, and bounds the requests to those that are cold.
    pub(crate) fn publish_services(&self, directory: &mut Directory) {
        let cold = directory.take_cold();
        if !cold.is_empty() {
            let (mut limits, now) = (self.limits.lock(), self.time());
            for warming in cold {
                let (target, service) = (warming.target, &warming.service);
                limits.cold.record(target, service, warming.remaining, now);
            }
        }
        *self.services.write() = Arc::new(directory.services());
    }

    /// Stops sending requests to a target that announced in an answer that it leaves.
    pub fn record_departure(&self, target: &Target, request: &Request) {
        let mut directory = self.directory.lock();
        let incarnation = Incarnation::of(target);
        if !directory.record_departure(incarnation, Timestamp::now(), self.time()) {
            return;
        }
        self.publish_services(&mut directory);
        log::info!(
            step = "learn target", peer = target.id.as_str(), service = target.service.as_str(),
            address:% = target.address, born = target.born.unwrap_or(0),
            request = request.as_str();
            "target announces that it leaves, it gets no further requests"
        );
    }

    /// Removes expired targets, idle connections, peers, prompt prefixes and crash suspects.
    pub fn expire(&self) {
        let mut directory = self.directory.lock();
        directory.expire(Instant::now());
        directory.expire_departures(self.time());
        self.publish_services(&mut directory);
        let registered: Set<u32> = directory
            .targets()
            .map(|target| hash::target_hash(&target.id))
            .collect();
        drop(directory);
        let mut limits = self.limits.lock();
        limits.expire(|target| registered.contains(&target), self.time());
        drop(limits);
        self.pool.expire();
        // The process's limit of descriptors may change at any time.
        let descriptors = self.settings.resources.usable_descriptors();
        self.intake
            .limit_connections(limits::max_connections(descriptors));
        self.peers.lock().expire(self.time());
        self.usage.lock().expire(self.time());
        self.prefixes.lock().expire(self.time());
        self.suspects.lock().expire(self.time());
    }
}
