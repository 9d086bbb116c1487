//! What all requests of an entry share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coord::newest::Newest;
use coord::quota::Fleet;
use coord::time::Time;
use node::object::Change;
use node::object::Kind;
use node::object::Object;
use opentelemetry::metrics::Meter;
use parking_lot::Mutex;
use parking_lot::RwLock;
use sched::suspect::Suspects;
use tokio::time::Instant;

use crate::config::Config;
use crate::config::CustomerLimits;
use crate::config::Version;
use crate::edge::Dialect;
use crate::fleet::peers::Peers;
use crate::follow::News;
use crate::metrics::Instruments;
use crate::quota::Exceeded;
use crate::quota::Quotas;
use crate::serve::chain;
use crate::settings::Settings;
use crate::table::Table;
use crate::target::directory::Directory;
use crate::target::directory::Services;
use crate::target::pool::Pool;
use crate::target::prefix::Prefixes;
use crate::target::program::Programs;

/// Content of recent turns that an entry keeps, in bytes: some hundred programs under way.
const CHAIN_BYTES: usize = 12 * 1024 * 1024;

/// Silence of the object store after which what isn't configured may be so already.
const STALE: Duration = Duration::from_secs(3);

/// Share of a target's connections that this entry may have, over an even split.
const CONNECTION_SHARE: f64 = 0.9;

/// Connections to a target whose service isn't configured.
const CONNECTIONS: u32 = 16;

/// A configuration in force.
#[derive(Debug)]
pub struct Snapshot {
    pub table: Table,
    /// The object that it was read from, as text for other entries.
    pub(crate) object: String,
}

/// What all requests share.
pub struct State {
    pub settings: Settings,
    pub dialect: Arc<dyn Dialect>,
    pub history: history::client::Client,
    pub pool: Arc<Pool>,
    pub instruments: Instruments,
    pub chains: Mutex<chain::Cache>,
    pub programs: Mutex<Programs>,
    pub prefixes: Mutex<Prefixes>,
    pub suspects: Mutex<Suspects>,
    started: Instant,
    pub(crate) newest: RwLock<Newest<Version, Arc<Snapshot>>>,
    pub(crate) directory: Mutex<Directory>,
    services: RwLock<Arc<Services>>,
    draining: AtomicBool,
    /// Milliseconds since the start at which the object store began to be silent; 0: it isn't.
    silent_since_ms: AtomicU64,
    /// Whether enough history hosts answer this entry itself.
    pub(crate) history_answers: AtomicBool,
    /// Whether they answer it through another entry.
    history_relayed: AtomicBool,
    pub(crate) incarnation: u64,
    pub(crate) quotas: Mutex<Quotas>,
    pub(crate) peers: Mutex<Peers>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State").finish_non_exhaustive()
    }
}

impl State {
    /// The state of an entry that knows nothing yet.
    pub fn new(settings: Settings, dialect: Arc<dyn Dialect>, meter: &Meter) -> Arc<State> {
        let losses = settings.tolerated_losses;
        Arc::new(State {
            settings,
            dialect,
            history: history::client::Client::new(losses),
            pool: Arc::default(),
            instruments: Instruments::new(meter),
            chains: Mutex::new(chain::Cache::new(CHAIN_BYTES)),
            programs: Mutex::default(),
            prefixes: Mutex::default(),
            suspects: Mutex::default(),
            started: Instant::now(),
            newest: RwLock::default(),
            directory: Mutex::default(),
            services: RwLock::default(),
            draining: AtomicBool::new(false),
            silent_since_ms: AtomicU64::new(1),
            history_answers: AtomicBool::new(false),
            history_relayed: AtomicBool::new(false),
            incarnation: rand::random(),
            quotas: Mutex::default(),
            peers: Mutex::default(),
        })
    }

    /// The configuration in force; none before the first.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.newest.read().value().cloned()
    }

    /// Number of the configuration in force, 0 before the first.
    pub fn version(&self) -> Version {
        self.newest.read().version().unwrap_or_default()
    }

    /// Entries known, this one included.
    pub fn entries(&self) -> usize {
        self.fleet().entries
    }

    /// Targets that take new work.
    pub fn services(&self) -> Arc<Services> {
        Arc::clone(&self.services.read())
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        let configured = self.snapshot().is_some() && !self.services.read().is_empty();
        !self.is_draining() && configured && !self.is_cut_off()
    }

    /// Whether this entry doesn't reach the history while others do, as far as can be told: they say
    /// so, or none of them is heard either.
    pub fn is_cut_off(&self) -> bool {
        let reached = self.history_answers.load(Ordering::Relaxed)
            || self.history_relayed.load(Ordering::Relaxed);
        if reached {
            return false;
        }
        let (peers, now) = (self.peers.lock(), self.time());
        peers.all_silent(now) || !peers.reaching_history(now).is_empty()
    }

    /// Entries that reach the history and can hand calls on.
    pub(crate) fn relays(&self) -> Vec<SocketAddr> {
        let elsewhere = self.peers.lock().reaching_history(self.time());
        let port = self.settings.relay_port();
        let relays = elsewhere.into_iter();
        relays
            .map(|entry| SocketAddr::new(entry.ip(), port))
            .collect()
    }

    /// Whether the newest configuration is known, as far as can be told.
    pub fn is_current(&self) -> bool {
        let silent = self.silent_since_ms.load(Ordering::Relaxed);
        silent == 0 || self.now_ms().saturating_sub(silent) < STALE.as_millis() as u64
    }

    /// Whether the object store doesn't answer.
    pub fn is_lost(&self) -> bool {
        self.silent_since_ms.load(Ordering::Relaxed) != 0
    }

    /// Notes whether enough history hosts answer this entry itself, or else through another.
    pub fn set_history(&self, answers: bool, relayed: bool) {
        let formerly = (
            self.history_answers.swap(answers, Ordering::Relaxed),
            self.history_relayed.swap(relayed, Ordering::Relaxed),
        );
        if formerly != (answers, relayed) {
            let relay = self.history.relay_address();
            log::info!(
                step = "ask history", peer = "history", answers = answers, relayed = relayed,
                relay = relay.map_or_else(String::new, |relay| relay.to_string());
                "history changed"
            );
        }
    }

    /// Now, on the clock of the state machines.
    pub fn time(&self) -> Time {
        Time(self.now_ms())
    }

    /// Takes a request from its customer's rate.
    ///
    /// Errors: the rate doesn't hold it.
    pub fn admit(&self, customer: &CustomerLimits, first: bool) -> Result<(), Exceeded> {
        let (fleet, now) = (self.fleet(), self.time());
        self.quotas.lock().admit(customer, first, fleet, now)
    }

    /// Refuses a request that its customer's rate surely doesn't hold.
    ///
    /// Errors: the rate is used up.
    pub fn check_rate(&self, customer: &CustomerLimits) -> Result<(), Exceeded> {
        let (fleet, now) = (self.fleet(), self.time());
        self.quotas.lock().check(customer, fleet, now)
    }

    pub(crate) fn fleet(&self) -> Fleet {
        self.peers.lock().fleet(self.time())
    }

    /// Connections that this entry may have to a target.
    pub fn connection_limit(&self, service: &str) -> u32 {
        let snapshot = self.snapshot();
        let limits = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.table.config.services.get(service));
        let all = limits.map_or(CONNECTIONS, |limits| limits.connections);
        let entries = self.fleet().entries as f64;
        let share = f64::from(all) * CONNECTION_SHARE / entries;
        (share as u32).max(2)
    }

    /// Tokens in one event of a service's streams.
    pub fn tokens_per_event(&self, service: &str) -> u64 {
        let snapshot = self.snapshot();
        let limits = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.table.config.services.get(service));
        limits
            .and_then(|limits| limits.engine)
            .map_or(1, |engine| engine.tokens_per_event)
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn configure(&self, config: Config, object: String) {
        let (version, former) = (config.version, self.version());
        if version <= former {
            return;
        }
        let (routes, customers) = (config.routes.len(), config.customers.len());
        let table = Table::new(config);
        let snapshot = Arc::new(Snapshot { table, object });
        if self.newest.write().replace_if_newer(version, snapshot) {
            log::info!(
                step = "configure", peer = "platform", version = version.0, former = former.0,
                routes = routes, customers = customers;
                "configuration is in force"
            );
        }
    }

    /// Takes news from the object store.
    pub fn hear(&self, kind: Kind, news: &News) {
        match (kind, news) {
            (_, News::Lost) => self.lose(),
            (_, News::Regained) => self.regain(),
            (Kind::Config, News::Listed(objects, _)) => {
                objects.iter().for_each(|object| self.read_config(object));
            }
            (Kind::Config, News::Changed(changes, _)) => {
                for change in changes {
                    if let Change::Put(object) = change {
                        self.read_config(object);
                    }
                }
            }
            (Kind::Targets, News::Listed(objects, revision)) => {
                let mut directory = self.directory.lock();
                directory.apply_listing(objects, &*self.dialect, Instant::now());
                directory.revision = directory.revision.max(*revision);
                self.publish(&directory);
            }
            (Kind::Targets, News::Changed(changes, revision)) => {
                let mut directory = self.directory.lock();
                directory.revision = directory.revision.max(*revision);
                for change in changes {
                    directory.apply_change(change, &*self.dialect, Instant::now());
                }
                self.publish(&directory);
            }
            _ => {}
        }
    }

    fn lose(&self) {
        let now = self.now_ms().max(1);
        let former =
            self.silent_since_ms
                .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
        if former.is_ok() {
            log::warn!(step = "follow", peer = "platform"; "object store doesn't answer");
        }
    }

    fn regain(&self) {
        if self.silent_since_ms.swap(0, Ordering::Relaxed) != 0 {
            log::info!(step = "follow", peer = "platform"; "object store answers");
            self.directory.lock().record_store_recovery(Instant::now());
        }
    }

    pub(crate) fn read_config(&self, object: &Object) {
        match self.dialect.config(object) {
            Ok(config) => self.configure(config, object.spec.to_string()),
            Err(error) => {
                log::error!(
                    step = "read configuration", peer = object.name.as_str();
                    "configuration is left out: {error}"
                );
            }
        }
    }

    pub(crate) fn publish(&self, directory: &Directory) {
        *self.services.write() = Arc::new(directory.services());
    }

    /// Forgets targets that are gone and connections that are unused.
    pub fn expire(&self) {
        let mut directory = self.directory.lock();
        directory.expire(Instant::now());
        self.publish(&directory);
        drop(directory);
        self.pool.expire();
        self.peers.lock().expire(self.time());
        self.prefixes.lock().expire(self.time());
        self.suspects.lock().expire(self.time());
    }
}
