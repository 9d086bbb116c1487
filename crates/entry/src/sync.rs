//! The configuration in force at this node: the join of all tickets that it has seen.
//!
//! Tickets come from the platform and from other nodes, in any order and more than once; nothing
//! ever reverts. Nodes compare digests of the objects by bucket and send each other the buckets
//! that differ.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::config::Change;
use coord::config::Config;
use coord::config::Entry;
use coord::config::Name;
use coord::id::Ticket;
use coord::id::Version;
use coord::id::fingerprint;
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

/// Buckets into which objects fall for comparison.
const BUCKETS: u64 = 64;

/// Bytes of tickets sent in one exchange.
const NEWS_LIMIT: usize = 1024 * 1024;

#[derive(Debug, Default)]
struct Snapshot {
    config: Arc<Config>,
    digests: Arc<HashMap<String, u64>>,
}

/// The configuration and how far the platform's tickets were read.
#[derive(Debug)]
pub struct Store {
    snapshot: RwLock<Snapshot>,
    newest: watch::Sender<Ticket>,
    read: Mutex<Version>,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            snapshot: RwLock::default(),
            newest: watch::Sender::new(Ticket(0)),
            read: Mutex::new(Version(0)),
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
        snapshot.digests = Arc::new(digests(&config));
        snapshot.config = Arc::new(config);
        let newest = snapshot.config.newest();
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

    /// Digest of the objects of each bucket.
    pub fn digests(&self) -> Arc<HashMap<String, u64>> {
        Arc::clone(&self.snapshot.read().digests)
    }

    /// Tickets of the buckets in which a peer's objects differ from ours.
    pub fn missing(&self, seen: &HashMap<String, u64>) -> Vec<TicketBytes> {
        let (config, ours) = {
            let snapshot = self.snapshot.read();
            (Arc::clone(&snapshot.config), Arc::clone(&snapshot.digests))
        };
        if *ours == *seen {
            return Vec::new();
        }
        let differs = |bucket: &str| ours.get(bucket) != seen.get(bucket);
        let mut buckets: BTreeMap<String, Vec<(&Name, &Entry)>> = BTreeMap::new();
        for (name, entry) in config.entries() {
            buckets.entry(bucket(name)).or_default().push((name, entry));
        }
        let mut size = 0;
        let whole = buckets
            .iter()
            .filter(|(bucket, _)| differs(bucket))
            .map(|(_, e)| encode(e));
        let fits = |tickets: &Vec<TicketBytes>| {
            let first = size == 0;
            size += tickets
                .iter()
                .map(|ticket| ticket.body.len())
                .sum::<usize>();
            first || size <= NEWS_LIMIT
        };
        whole.take_while(fits).flatten().collect()
    }

    /// Joins tickets from a peer in; true: something was new.
    pub fn take_news(&self, tickets: &[TicketBytes]) -> bool {
        let changes = tickets.iter().filter_map(|ticket| decode(&ticket.body));
        let changes: Vec<Change> = changes.collect();
        !changes.is_empty() && self.merge(&changes)
    }
}

/// Groups entries by the ticket that gave them.
fn encode(entries: &[(&Name, &Entry)]) -> Vec<TicketBytes> {
    let mut changes: BTreeMap<Ticket, Change> = BTreeMap::new();
    for (name, entry) in entries {
        let number = entry.ticket;
        let empty = Change {
            number,
            set: Vec::new(),
            remove: Vec::new(),
        };
        let change = changes.entry(number).or_insert(empty);
        match &entry.object {
            Some(object) => change.set.push(object.clone()),
            None => change.remove.push(Name::clone(name)),
        }
    }
    let ticket = |change: &Change| {
        let body = Bytes::from(serde_json::to_vec(change).ok()?);
        Some(TicketBytes {
            number: change.number.0,
            body,
        })
    };
    changes.values().filter_map(ticket).collect()
}

fn decode(body: &[u8]) -> Option<Change> {
    let change = serde_json::from_slice(body);
    let warn = |error| log::warn!(step = "decode ticket"; "{error}");
    change.map_err(warn).ok()
}

fn bucket(name: &Name) -> String {
    (hash(name) % BUCKETS).to_string()
}

fn hash(name: &Name) -> u64 {
    fingerprint(&[&postcard::to_stdvec(name).unwrap_or_default()])
}

fn digests(config: &Config) -> HashMap<String, u64> {
    let mut digests = HashMap::new();
    for (name, entry) in config.entries() {
        let hash = hash(name);
        let digest = fingerprint(&[&hash.to_be_bytes(), &entry.ticket.0.to_be_bytes()]);
        *digests.entry((hash % BUCKETS).to_string()).or_insert(0) ^= digest;
    }
    digests
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
