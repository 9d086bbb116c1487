//! This node as a member of the fleet: what it knows of the configuration, the shard map and the
//! other members, and what it may do right now.
//!
//! Loops run beside it until it is stopped: lease renewal, heartbeats, upkeep of the shard map, the
//! log of records and a watch on tickets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coord::Set;
use coord::config::Config;
use coord::id::Epoch;
use coord::id::Node;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::id::Target;
use coord::id::Ticket;
use coord::replica::Limits;
use coord::shard;
use coord::shard::Map;
use coord::time::Millis;
use coord::time::Time;
use node::platform::Platform;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::compaction;
use crate::handover;
use crate::heartbeat;
use crate::journal;
use crate::journal::Journal;
use crate::lease::Authority;
use crate::lease::Lease;
use crate::peer::Peers;
use crate::promise;
use crate::quarantine;
use crate::renewal;
use crate::settings::Settings;
use crate::shards::Gained;
use crate::shards::Shards;
use crate::sync;
use crate::upkeep;

/// Bounds of the time for one call to the platform.
const CALL_MIN: Duration = Duration::from_millis(100);
const CALL_MAX: Duration = Duration::from_millis(1_000);

/// Longest part of a node's name that comes from the settings.
const NAME_LIMIT: usize = 100;

/// The owner of a shard as a caller of it sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    pub node: Node,
    pub addr: SocketAddr,
    pub epoch: Epoch,
    /// This node itself.
    pub me: bool,
}

/// This node as a member of the fleet.
#[derive(Debug)]
pub struct Member {
    pub(crate) settings: Arc<Settings>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) lease: Arc<Lease>,
    pub(crate) store: sync::Store,
    pub(crate) heard: heartbeat::Heard,
    pub(crate) given: promise::Given,
    pub(crate) quarantine: quarantine::Shared,
    settling: Mutex<()>,
    /// Names whose leases were fenced.
    former: Mutex<Vec<Node>>,
    /// Held while the shard map is being changed.
    pub(crate) changing: tokio::sync::Mutex<()>,
    /// Wakes the heartbeat when there is news to spread.
    pub(crate) news: Notify,
    peers: Arc<Peers>,
    shards: Arc<Shards>,
    journal: Arc<Journal>,
    map: watch::Sender<Arc<Map>>,
    leaving: RwLock<Arc<Set<Target>>>,
    stopping: AtomicBool,
    loops: Mutex<Vec<JoinHandle<()>>>,
}

impl Member {
    /// Starts the member and its loops; it joins the fleet as soon as the platform answers.
    pub fn start(settings: Settings) -> Arc<Member> {
        let settings = Arc::new(settings);
        let (duration, margin) = (settings.lease.duration_ms, settings.lease.margin_ms);
        let timeout = Duration::from_millis(duration.0 / 6).clamp(CALL_MIN, CALL_MAX);
        let platform = Arc::new(Platform::new(&settings.platform, timeout));
        let name = fresh_name(&settings.node);
        let lease = Arc::new(Lease::new(Clock::default(), name, duration, margin));
        let (news, written) = mpsc::unbounded_channel();
        let journal = Arc::new(Journal::new(Arc::clone(&platform), news));
        let peers = Arc::new(Peers::default());
        let limits = limits(&settings);
        let shards = Shards::new(
            Arc::clone(&lease),
            Arc::clone(&journal),
            Arc::clone(&peers),
            limits,
        );
        let given = promise::Given::new(&settings.lease);
        let member = Arc::new(Member {
            settings,
            platform,
            lease,
            store: sync::Store::default(),
            heard: heartbeat::Heard::default(),
            given,
            quarantine: quarantine::Shared::default(),
            settling: Mutex::default(),
            former: Mutex::default(),
            changing: tokio::sync::Mutex::default(),
            news: Notify::new(),
            peers,
            shards,
            journal,
            map: watch::Sender::new(Arc::new(Map::default())),
            leaving: RwLock::default(),
            stopping: AtomicBool::new(false),
            loops: Mutex::default(),
        });
        member.spawn_loops(written);
        member
    }

    fn spawn_loops(self: &Arc<Self>, written: mpsc::UnboundedReceiver<journal::News>) {
        let (journal, lease) = (Arc::clone(&self.journal), Arc::clone(&self.lease));
        let loops = vec![
            tokio::spawn(async move { journal.run(|| lease.node()).await }),
            tokio::spawn(compaction::keep(Arc::clone(self), written)),
            tokio::spawn(compaction::sweep(Arc::clone(self))),
            tokio::spawn(renewal::run(Arc::clone(self))),
            tokio::spawn(heartbeat::run(Arc::clone(self))),
            tokio::spawn(upkeep::run(Arc::clone(self))),
            tokio::spawn(sync::watch_tickets(Arc::clone(self))),
            tokio::spawn(sync::read_hosts(Arc::clone(self))),
        ];
        self.loops.lock().extend(loops);
    }

    /// Hands over every shard; calls that are in progress go on, and their outcomes go to the new
    /// owners. Takes up to `limit`.
    pub async fn shed(self: &Arc<Self>, limit: Duration) {
        handover::shed(self, limit).await;
    }

    /// Writes out the log and gives up the lease; only once no call is in progress any more.
    /// Takes up to `limit`.
    pub async fn depart(self: &Arc<Self>, limit: Duration) {
        handover::depart(self, limit).await;
        self.abort();
        renewal::release(self).await;
    }

    /// Ends all loops at once, as a crash would.
    pub fn abort(&self) {
        self.loops.lock().drain(..).for_each(|task| task.abort());
    }

    /// The name under which this node holds its lease; a fresh one after a lost lease.
    pub fn node(&self) -> Node {
        self.lease.node()
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.store.config()
    }

    /// Wakes at each change of the configuration, with the highest ticket number.
    pub fn changes(&self) -> watch::Receiver<Ticket> {
        self.store.changes()
    }

    /// Whether this node holds a valid lease, and so a configuration no older than it.
    pub fn fresh(&self) -> bool {
        self.lease.authority().is_some()
    }

    /// Whether callers are served: a valid lease, an owner for every shard, no planned stop.
    pub fn serves(&self) -> bool {
        let owned = || {
            (0..SHARDS)
                .map(Shard)
                .all(|shard| self.owner(shard).is_some())
        };
        self.fresh() && !self.is_stopping() && owned()
    }

    /// Requests remembered because they were in flight when a target died.
    pub fn quarantined(&self) -> usize {
        self.quarantine.len()
    }

    /// Length of a lease.
    pub fn lease_duration(&self) -> Duration {
        self.lease.duration()
    }

    /// Authority over a shard at this very moment; checked right before each effect.
    pub fn authority(&self, shard: Shard) -> Option<Authority> {
        self.shards.authority(shard)
    }

    /// Who owns a shard as far as this node knows.
    pub fn owner(&self, shard: Shard) -> Option<Peer> {
        let map = self.map();
        let owner = map.owner(shard)?;
        let primary = owner.primary.as_ref()?;
        Some(Peer {
            node: primary.clone(),
            addr: map.member(primary)?.peers,
            epoch: owner.epoch,
            me: *primary == self.node(),
        })
    }

    /// Whether a target gets no new work, by configuration or by the platform's list of hosts.
    pub fn leaving(&self, target: &Target) -> bool {
        let config = self.config();
        let configured = config.target(target).is_none_or(|target| target.leaving);
        configured || self.leaving.read().contains(target)
    }

    /// The newest known shard map.
    pub fn map(&self) -> Arc<Map> {
        Arc::clone(&self.map.borrow())
    }

    /// Wakes at each change of the shard map.
    pub fn map_changes(&self) -> watch::Receiver<Arc<Map>> {
        self.map.subscribe()
    }

    /// The shards as this node holds them.
    pub fn shards(&self) -> &Arc<Shards> {
        &self.shards
    }

    /// Channels to other processes.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Tells of each shard of which this node becomes the primary.
    pub fn gained(&self) -> broadcast::Receiver<Gained> {
        self.shards.gained()
    }

    /// The settings it was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The log of this node's records.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Calls made to the platform.
    pub fn platform_stats(&self) -> node::platform::Stats {
        self.platform.stats()
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn now(&self) -> Time {
        self.lease.clock().now()
    }

    pub(crate) fn duration(&self) -> Millis {
        self.settings.lease.duration_ms
    }

    pub(crate) fn description(&self) -> shard::Member {
        let listen = &self.settings.listen;
        shard::Member {
            node: self.node(),
            data_centre: self.settings.data_centre.clone(),
            peers: listen.advertised.unwrap_or(listen.peers),
            callers: listen.callers,
            leaving: false,
        }
    }

    /// Takes in a shard map; an older one than known changes nothing.
    pub(crate) fn take_map(&self, map: Map) -> bool {
        // Maps are settled one after the other: an older one must not undo a newer one.
        let _settling = self.settling.lock();
        let map = Arc::new(map);
        let newer = self.map.send_if_modified(|known| {
            let newer = map.version > known.version;
            if newer {
                *known = Arc::clone(&map);
            }
            newer
        });
        self.given
            .saw(map.version, map.member(&self.node()).is_some());
        if newer {
            self.journal.set_members(map.members.len());
            upkeep::settle(self);
            self.shards.upkeep.notify_one();
            self.news.notify_one();
        }
        newer
    }

    /// Names that this process had under fenced leases.
    pub(crate) fn former_names(&self) -> Vec<Node> {
        self.former.lock().clone()
    }

    pub(crate) fn set_leaving(&self, leaving: Set<Target>) {
        *self.leaving.write() = Arc::new(leaving);
    }

    pub(crate) fn leaving_targets(&self) -> Arc<Set<Target>> {
        Arc::clone(&self.leaving.read())
    }

    /// The lease was fenced: all authority goes, and the node starts over under a fresh name.
    pub(crate) fn lose(&self) {
        log::warn!(step = "lease", peer = "platform"; "lease of {} was fenced", self.node());
        self.former.lock().push(self.node());
        self.lease.restart(fresh_name(&self.settings.node));
        self.shards.drop_all();
        self.heard.clear();
        self.given.restart();
    }
}

fn fresh_name(name: &Node) -> Node {
    let name = name.as_str();
    let head = &name[..name.len().min(NAME_LIMIT)];
    let fresh = format!("{head}:{:08x}", rand::random::<u32>());
    match fresh.parse() {
        Ok(node) => node,
        Err(error) => unreachable!("made of valid characters: {error}"),
    }
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        idle_ms: settings.limits.idle_ms.0,
        retention_ms: settings.limits.retention_ms.0,
        ..Limits::default()
    }
}
