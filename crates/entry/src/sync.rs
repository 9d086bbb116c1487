//! The configuration in force at this node: the join of all tickets that it has seen.
//!
//! Tickets come from the platform and from other nodes, in any order and more than once; nothing
//! ever reverts. Nodes compare digests of the objects by bucket and send each other the buckets
//! that differ.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use coord::config::Change;
use coord::config::Config;
use coord::gossip;
use coord::gossip::Summary;
use coord::id::Ticket;
use coord::id::Version;
use coord::shard;
use node::platform::Error;
use node::platform::Platform;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::watch;
use tokio::time::sleep;
use wire::TicketBytes;

use crate::member::Member;

/// Prefix of the ticket objects.
pub const PREFIX: &str = "ticket/";

/// Objects sent in one exchange.
const NEWS_LIMIT: usize = 2048;

#[derive(Debug, Default)]
struct Snapshot {
    config: Arc<Config>,
    summary: Arc<Summary>,
}

/// The configuration and how far the platform's tickets were read.
#[derive(Debug)]
pub struct Store {
    snapshot: RwLock<Snapshot>,
    newest: watch::Sender<Ticket>,
    read: Mutex<Version>,
    rounds: AtomicUsize,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            snapshot: RwLock::default(),
            newest: watch::Sender::new(Ticket(0)),
            read: Mutex::new(Version(0)),
            rounds: AtomicUsize::new(0),
        }
    }
}

impl Store {
    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.snapshot.read().config)
    }

    /// Wakes at each change, with the highest ticket number.
    pub fn changes(&self) -> watch::Receiver<Ticket> {
        self.newest.subscribe()
    }

    /// Revision of the platform up to which tickets were read.
    pub fn revision(&self) -> Version {
        *self.read.lock()
    }

    /// Joins changes in; true: something was new.
    pub fn merge(&self, changes: &[Change]) -> bool {
        let mut snapshot = self.snapshot.write();
        let mut config = Config::clone(&snapshot.config);
        let altered = changes
            .iter()
            .filter(|change| !config.merge(change).is_empty())
            .count();
        if altered == 0 {
            return false;
        }
        snapshot.summary = Arc::new(Summary::of(&config));
        snapshot.config = Arc::new(config);
        let newest = snapshot.config.newest_ticket();
        drop(snapshot);
        self.newest.send_replace(newest);
        true
    }

    /// Reads the tickets that the platform has taken since the last time; returns the revision that
    /// the listing shows, which is older than expected when the platform serves a stale read.
    ///
    /// # Errors
    ///
    /// The platform is away or over its rate.
    pub async fn refresh(&self, platform: &Platform) -> Result<Version, Error> {
        let since = self.revision();
        let changes = platform.list(PREFIX, since).await?;
        self.take_listing(&changes);
        Ok(changes.revision)
    }

    /// Joins a listing of ticket objects in; true: something was new.
    pub fn take_listing(&self, listing: &node::platform::Changes) -> bool {
        let values = listing.objects.iter();
        let changes: Vec<Change> = values.filter_map(|object| decode(&object.value)).collect();
        let altered = !changes.is_empty() && self.merge(&changes);
        let mut read = self.read.lock();
        *read = (*read).max(listing.revision);
        altered
    }

    /// Hash of each bucket of objects, for others to compare.
    pub fn seen(&self) -> HashMap<String, u64> {
        let summary = Arc::clone(&self.snapshot.read().summary);
        let pairs = summary.pairs();
        pairs
            .map(|(bucket, hash)| (bucket.to_string(), hash))
            .collect()
    }

    /// Tickets that a peer may lack, by the hashes that it has seen.
    pub fn missing(&self, seen: &HashMap<String, u64>) -> Vec<TicketBytes> {
        let pairs = seen
            .iter()
            .filter_map(|(bucket, hash)| Some((bucket.parse().ok()?, *hash)));
        let theirs = Summary::from_pairs(pairs);
        let (config, ours) = {
            let snapshot = self.snapshot.read();
            (Arc::clone(&snapshot.config), Arc::clone(&snapshot.summary))
        };
        if *ours == theirs {
            return Vec::new();
        }
        let round = self.rounds.fetch_add(1, Ordering::Relaxed);
        let news = gossip::missing_changes(&config, &theirs, round, NEWS_LIMIT);
        news.iter().filter_map(encode).collect()
    }

    /// Joins tickets from a peer in; true: something was new.
    pub fn take_news(&self, tickets: &[TicketBytes]) -> bool {
        let changes = tickets.iter().filter_map(|ticket| decode(&ticket.body));
        let changes: Vec<Change> = changes.collect();
        !changes.is_empty() && self.merge(&changes)
    }
}

fn encode(change: &Change) -> Option<TicketBytes> {
    let body = Bytes::from(serde_json::to_vec(change).ok()?);
    Some(TicketBytes {
        number: change.number.0,
        body,
    })
}

fn decode(body: &[u8]) -> Option<Change> {
    let change = serde_json::from_slice(body);
    let warn = |error| log::warn!(step = "decode ticket"; "{error}");
    change.map_err(warn).ok()
}

/// Longest time that one watch waits.
const WATCH: Duration = Duration::from_secs(10);

/// Nodes of a data centre that watch the platform; the others learn from them.
const WATCHERS: usize = 2;

/// Delay after a failed watch, and between looks at who is to watch.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// Time between two reads of the list of hosts.
const HOSTS_INTERVAL: Duration = Duration::from_secs(2);

/// Watches tickets while this node is one of its data centre's watchers.
pub async fn watch_tickets(member: Arc<Member>) {
    loop {
        if !is_watcher(&member) {
            sleep(WATCH_DELAY).await;
            continue;
        }
        let since = member.store.revision();
        match member.platform.watch(PREFIX, since, WATCH).await {
            Ok(listing) if member.store.take_listing(&listing) => member.news.notify_one(),
            Ok(_) => (),
            Err(_) => sleep(WATCH_DELAY).await,
        }
    }
}

/// Reads the platform's list of hosts while this node is one of its data centre's watchers.
pub async fn read_hosts(member: Arc<Member>) {
    loop {
        sleep(HOSTS_INTERVAL).await;
        if !is_watcher(&member) {
            continue;
        }
        if let Ok(hosts) = member.platform.hosts().await {
            let leaving = hosts.iter().filter(|host| host.leaving);
            member.set_leaving(leaving.filter_map(|host| host.name.parse().ok()).collect());
        }
    }
}

/// Whether this node reads news from the platform for its data centre.
pub fn is_watcher(member: &Member) -> bool {
    let map = member.map();
    let me = member.node();
    let here = |other: &&shard::Member| other.data_centre == member.settings.data_centre;
    let rank = map
        .members
        .iter()
        .filter(here)
        .position(|other| other.node == me);
    rank.is_some_and(|rank| rank < WATCHERS)
}
