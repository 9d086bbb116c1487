//! What all requests of an entry share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coord::quota::Fleet;
use coord::time::Time;
use node::admin::Page;
use node::object::Change;
use node::object::Kind;
use node::object::Object;
use node::object::Revision;
use opentelemetry::metrics::Meter;
use parking_lot::Mutex;
use parking_lot::RwLock;
use sched::suspect::Suspects;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::chain;
use crate::config::Config;
use crate::config::CustomerLimits;
use crate::config::Version;
use crate::directory::Directory;
use crate::directory::Services;
use crate::edge::Dialect;
use crate::edge::Target;
use crate::follow::News;
use crate::gossip;
use crate::gossip::Peers;
use crate::gossip::Report;
use crate::metrics::Instruments;
use crate::news;
use crate::news::Answer;
use crate::news::Question;
use crate::pool::Pool;
use crate::prefix::Prefixes;
use crate::program::Programs;
use crate::quota::Quotas;
use crate::refusal::Refusal;
use crate::settings::Settings;
use crate::table::Table;

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
    object: String,
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
    snapshot: RwLock<Option<Arc<Snapshot>>>,
    directory: Mutex<Directory>,
    services: RwLock<Arc<Services>>,
    draining: AtomicBool,
    /// Milliseconds since the start at which the object store began to be silent; 0: it isn't.
    silent_since_ms: AtomicU64,
    /// Whether enough history hosts answer.
    history_answers: AtomicBool,
    incarnation: u64,
    quotas: Mutex<Quotas>,
    peers: Mutex<Peers>,
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
            snapshot: RwLock::default(),
            directory: Mutex::default(),
            services: RwLock::default(),
            draining: AtomicBool::new(false),
            silent_since_ms: AtomicU64::new(1),
            history_answers: AtomicBool::new(false),
            incarnation: rand::random(),
            quotas: Mutex::default(),
            peers: Mutex::default(),
        })
    }

    /// The configuration in force; none before the first.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.read().clone()
    }

    /// Number of the configuration in force, 0 before the first.
    pub fn version(&self) -> Version {
        let snapshot = self.snapshot();
        snapshot.map_or(Version(0), |snapshot| snapshot.table.config.version)
    }

    /// Entries known, this one included.
    pub fn entries(&self) -> usize {
        self.fleet().entries
    }

    /// What operators see; keys and prompts are left out.
    pub fn dump(&self, page: &Page) -> Value {
        let services = self.services();
        let targets = services.values().flatten().skip(page.skip).take(page.limit);
        let targets: Vec<Value> = targets
            .map(|entry| {
                json!({
                    "id": entry.target.id.as_str(),
                    "service": entry.target.service.as_str(),
                    "address": entry.target.address,
                    "running_here": entry.load.running.load(Ordering::Relaxed),
                    "running_elsewhere": entry.load.elsewhere.load(Ordering::Relaxed),
                    "failures_in_a_row": entry.load.failures.load(Ordering::Relaxed),
                })
            })
            .collect();
        json!({
            "host": self.settings.host.as_str(),
            "version": self.version().0,
            "ready": self.is_ready(),
            "draining": self.is_draining(),
            "object_store_lost": self.is_lost(),
            "history": self.history.membership(),
            "entries": self.entries(),
            "entries_silent": self.fleet().silent,
            "connections": self.pool.open(),
            "targets": targets,
        })
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
        let configured = self.snapshot.read().is_some() && !self.services.read().is_empty();
        let history = self.history_answers.load(Ordering::Relaxed)
            || !self.peers.lock().history_elsewhere(self.time());
        !self.is_draining() && configured && history
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

    /// Whether enough history hosts answer.
    pub fn set_history(&self, answers: bool) {
        let former = self.history_answers.swap(answers, Ordering::Relaxed);
        if former != answers {
            log::info!(step = "ask history", peer = "history", answers = answers; "history changed");
        }
    }

    /// Now, on the clock of the state machines.
    pub fn time(&self) -> Time {
        Time(self.now_ms())
    }

    /// Takes a request from its customer's rate.
    ///
    /// Errors: the rate doesn't hold it.
    pub fn admit(&self, customer: &CustomerLimits, first: bool) -> Result<(), Refusal> {
        let (fleet, now) = (self.fleet(), self.time());
        self.quotas.lock().take(customer, first, fleet, now)
    }

    /// Refuses a request that its customer's rate surely doesn't hold.
    ///
    /// Errors: the rate is used up.
    pub fn check_rate(&self, customer: &CustomerLimits) -> Result<(), Refusal> {
        let (fleet, now) = (self.fleet(), self.time());
        self.quotas.lock().check(customer, fleet, now)
    }

    fn fleet(&self) -> Fleet {
        self.peers.lock().fleet(self.time())
    }

    /// Another entry may be at this address.
    pub fn meet(&self, address: SocketAddr) {
        if address != self.settings.peer_address() {
            self.peers.lock().add(address, self.time());
        }
    }

    /// Takes another entry's report.
    pub fn hear_entry(&self, address: SocketAddr, report: &Report) {
        let now = self.time();
        let mut peers = self.peers.lock();
        let silent = peers.hear(address, report, now);
        let (fleet, running) = (peers.fleet(now), peers.running(now));
        drop(peers);
        let mut prefixes = self.prefixes.lock();
        for (prefix, target) in &report.read {
            prefixes.note(*prefix, *target, now);
        }
        drop(prefixes);
        let mut suspects = self.suspects.lock();
        for (request, crash) in &report.crashes {
            suspects.crashed(*request, *crash, now);
        }
        drop(suspects);
        let peer = (crate::balance::key(&[&report.host]), report.incarnation);
        self.quotas
            .lock()
            .report(peer, &report.totals, silent, fleet, now);
        for entry in self.services().values().flatten() {
            let hash = crate::balance::hash(&entry.target.id);
            let elsewhere = running.get(&hash).copied().unwrap_or(0);
            entry.load.elsewhere.store(elsewhere, Ordering::Relaxed);
        }
    }

    /// This entry's report and where it goes.
    pub fn report(&self) -> (Report, Vec<SocketAddr>) {
        let now = self.time();
        let services = self.services();
        let running = services.values().flatten().filter_map(|entry| {
            let running = entry.load.running.load(Ordering::Relaxed);
            (running > 0).then(|| (crate::balance::hash(&entry.target.id), running))
        });
        let report = Report {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            version: self.version().0,
            current: !self.is_lost(),
            history: self.history_answers.load(Ordering::Relaxed),
            leaving: self.is_draining(),
            totals: self.quotas.lock().totals(gossip::repeat_since(now)),
            running: running.collect(),
            read: self.prefixes.lock().recent(now),
            crashes: self.suspects.lock().recent(now),
        };
        (report, self.peers.lock().addresses())
    }

    /// An entry to ask for what the object store doesn't tell.
    pub fn informed_entry(&self) -> Option<SocketAddr> {
        let peers = self.peers.lock();
        let now = self.time();
        match self.snapshot().is_some() {
            true => peers.informed(now),
            false => peers.informed(now).or_else(|| peers.any(now)),
        }
    }

    /// What this entry knows, to ask others for more.
    pub fn question(&self) -> Question {
        Question {
            version: self.version().0,
            revision: self.directory.lock().revision.0,
        }
    }

    /// What this entry knows beyond another.
    pub fn news(&self, question: Question) -> Answer {
        let snapshot = self.snapshot();
        let newer = snapshot.filter(|known| known.table.config.version.0 > question.version);
        let directory = self.directory.lock();
        let targets = (directory.revision.0 > question.revision).then(|| {
            let targets: Vec<Target> = directory.targets().cloned().collect();
            (directory.revision.0, targets)
        });
        Answer {
            config: newer.map(|snapshot| snapshot.object.clone()),
            targets,
            membership: self.history.membership(),
        }
    }

    /// Takes what another entry knows.
    pub fn take_news(&self, answer: Answer, peer: &str) {
        if let Some(text) = answer.config {
            match news::read_object(&text) {
                Ok(object) => self.read_config(&object),
                Err(error) => log::warn!(step = "read news", peer = peer; "{error}"),
            }
        }
        if let Some((revision, targets)) = answer.targets {
            let mut directory = self.directory.lock();
            directory.adopt(Revision(revision), targets, Instant::now());
            self.publish(&directory);
        }
        self.history.learn(answer.membership);
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
        let mut snapshot = self.snapshot.write();
        let current = snapshot
            .as_ref()
            .map_or(Version(0), |known| known.table.config.version);
        if config.version <= current {
            return;
        }
        log::info!(
            step = "configure", peer = "platform", version = config.version.0,
            former = current.0, routes = config.routes.len(), customers = config.customers.len();
            "configuration is in force"
        );
        let table = Table::new(config);
        *snapshot = Some(Arc::new(Snapshot { table, object }));
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
                directory.list(objects, &*self.dialect, Instant::now());
                directory.revision = directory.revision.max(*revision);
                self.publish(&directory);
            }
            (Kind::Targets, News::Changed(changes, revision)) => {
                let mut directory = self.directory.lock();
                directory.revision = directory.revision.max(*revision);
                for change in changes {
                    directory.change(change, &*self.dialect, Instant::now());
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
            self.directory.lock().regained(Instant::now());
        }
    }

    fn read_config(&self, object: &Object) {
        match self.dialect.config(object) {
            Ok(config) => self.configure(config, news::write_object(object)),
            Err(error) => {
                log::error!(
                    step = "read configuration", peer = object.name.as_str();
                    "configuration is left out: {error}"
                );
            }
        }
    }

    fn publish(&self, directory: &Directory) {
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
