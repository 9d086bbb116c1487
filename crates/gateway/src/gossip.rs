//! What entries tell each other, a few times a second, by datagrams.
//!
//! Each report holds what its sender has admitted for customers and what it has at targets, as
//! totals and present values, so that a lost one does no harm. Entries find each other through the
//! objects that they register, through the seeds of their settings, and by hearing of each other.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use coord::id::Customer;
use coord::quota;
use coord::quota::Fleet;
use coord::quota::Total;
use coord::time::Millis;
use coord::time::Time;
use node::object::Error;
use node::object::Kind;
use node::object::Objects;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::UdpSocket;

use crate::Map;
use crate::state::State;

/// Pause between reports among few entries.
const INTERVAL: Duration = Duration::from_millis(100);

/// Entries up to which [`INTERVAL`] holds; it grows with their number beyond.
const INTERVAL_ENTRIES: usize = 8;

/// How long a customer's totals are repeated after they changed.
const REPEAT: Millis = Millis(1500);

/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 16 * 1024;

/// How long an entry counts without having been heard.
const FORGET: Millis = Millis(40_000);

/// Pause before registration is tried again.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);

/// One entry's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub host: CompactString,
    /// Drawn at each start.
    pub incarnation: u64,
    /// Number of the configuration in force.
    pub version: u64,
    /// Whether the object store answers the sender.
    pub current: bool,
    /// Whether enough history hosts answer the sender.
    pub history: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    pub totals: Vec<(Customer, Total)>,
    /// Requests at targets, by the hash of the target's id.
    pub running: Vec<(u32, u32)>,
    /// Shared parts of prompts that targets have read of late; both by hash.
    pub read: Vec<(u32, u32)>,
    /// Requests that were in flight when a target crashed, and the crash; both by name.
    pub crashes: Vec<(u64, u64)>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Time,
    version: u64,
    current: bool,
    history: bool,
    incarnation: u64,
}

#[derive(Debug)]
struct Peer {
    known: Time,
    heard: Option<Heard>,
    running: Vec<(u32, u32)>,
}

/// What is known of the other entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Map<SocketAddr, Peer>,
}

impl Peers {
    /// Adds an entry that may be there.
    pub fn add(&mut self, address: SocketAddr, now: Time) {
        self.peers.entry(address).or_insert_with(|| Peer {
            known: now,
            heard: None,
            running: Vec::new(),
        });
    }

    /// Takes a report; returns how long its sender was taken to use its share of rates.
    pub fn hear(&mut self, address: SocketAddr, report: &Report, now: Time) -> Millis {
        if report.leaving {
            self.peers.remove(&address);
            return Millis(0);
        }
        self.add(address, now);
        let Some(peer) = self.peers.get_mut(&address) else {
            return Millis(0);
        };
        let last = peer.heard.map_or(peer.known, |heard| heard.at);
        peer.heard = Some(Heard {
            at: now,
            version: report.version,
            current: report.current,
            history: report.history,
            incarnation: report.incarnation,
        });
        peer.running.clone_from(&report.running);
        Millis(now.since(last).0.saturating_sub(quota::SILENCE.0))
    }

    /// Forgets entries that were silent for long.
    pub fn expire(&mut self, now: Time) {
        self.peers.retain(|_, peer| {
            let last = peer.heard.map_or(peer.known, |heard| heard.at);
            now.since(last) < FORGET
        });
    }

    /// Entries that count for rates.
    pub fn fleet(&self, now: Time) -> Fleet {
        let silent = self.peers.values().filter(|peer| !peer.is_fresh(now));
        Fleet {
            entries: self.peers.len() + 1,
            silent: silent.count(),
        }
    }

    /// Where entries are told.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Requests that other entries have at targets, by the hash of the target's id.
    pub fn running(&self, now: Time) -> Map<u32, u32> {
        let mut sums = Map::default();
        let fresh = self.peers.values().filter(|peer| peer.is_fresh(now));
        for (target, running) in fresh.flat_map(|peer| &peer.running) {
            *sums.entry(*target).or_default() += running;
        }
        sums
    }

    /// An entry that the object store answers, the one with the newest configuration.
    pub fn informed(&self, now: Time) -> Option<SocketAddr> {
        let fresh = self.peers.iter().filter(|(_, peer)| peer.is_fresh(now));
        let heard = fresh.filter_map(|(address, peer)| Some((*address, peer.heard?)));
        heard
            .filter(|(_, heard)| heard.current)
            .max_by_key(|(_, heard)| (heard.version, heard.incarnation))
            .map(|(address, _)| address)
    }

    /// Any entry that was heard of late.
    pub fn any(&self, now: Time) -> Option<SocketAddr> {
        let mut fresh = self.peers.iter().filter(|(_, peer)| peer.is_fresh(now));
        fresh.next().map(|(address, _)| *address)
    }

    /// Whether another entry reaches the history.
    pub fn history_elsewhere(&self, now: Time) -> bool {
        let fresh = self.peers.values().filter(|peer| peer.is_fresh(now));
        let mut heard = fresh.filter_map(|peer| peer.heard);
        heard.any(|heard| heard.history)
    }
}

impl Peer {
    fn is_fresh(&self, now: Time) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard.at) <= quota::SILENCE)
    }
}

/// Exchanges reports until the task is dropped.
///
/// Errors: the port can't be bound.
pub async fn run(state: Arc<State>) -> std::io::Result<()> {
    let socket = UdpSocket::bind(state.settings.peer_address()).await?;
    let port = state.settings.peer_ports.0;
    for seed in &state.settings.seeds {
        state.meet(SocketAddr::new(seed.ip(), port));
    }
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    let mut next = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((size, from)) => hear(&state, &buffer[..size], from.ip(), port),
                Err(error) => log::debug!(step = "receive report", peer = "entries"; "{error}"),
            },
            () = tokio::time::sleep_until(next) => {
                next = tokio::time::Instant::now() + tell(&state, &socket).await;
            }
        }
    }
}

fn hear(state: &State, datagram: &[u8], from: IpAddr, port: u16) {
    match postcard::from_bytes::<Report>(datagram) {
        Ok(report) if report.host == state.settings.host => {}
        Ok(report) => state.hear_entry(SocketAddr::new(from, port), &report),
        Err(error) => log::debug!(step = "read report", peer:% = from; "{error}"),
    }
}

/// Tells all others; returns the pause until the next time.
async fn tell(state: &State, socket: &UdpSocket) -> Duration {
    let (report, addresses) = state.report();
    let entries = addresses.len() + 1;
    match postcard::to_stdvec(&report) {
        Ok(datagram) => {
            for address in addresses {
                if let Err(error) = socket.send_to(&datagram, address).await {
                    log::debug!(step = "send report", peer:% = address; "{error}");
                }
            }
        }
        Err(error) => log::error!(step = "encode report", peer = "entries"; "{error}"),
    }
    INTERVAL.mul_f64((entries as f64 / INTERVAL_ENTRIES as f64).max(1.0))
}

/// From when on changed totals are told at this time.
pub fn repeat_since(now: Time) -> Time {
    Time(now.0.saturating_sub(REPEAT.0))
}

/// Registers this entry, then learns of those that were registered before.
pub async fn register<O: Objects>(objects: &O, state: &State) {
    loop {
        match try_register(objects, state).await {
            Ok(()) => return,
            Err(error) => log::debug!(step = "register", peer = "platform"; "{error}"),
        }
        tokio::time::sleep(history::join::jittered(REGISTER_PAUSE)).await;
    }
}

async fn try_register<O: Objects>(objects: &O, state: &State) -> Result<(), Error> {
    let host = &state.settings.host;
    let address = state.settings.peer_address();
    let spec = json!({ "address": address });
    match objects.create(Kind::Entries, host, spec.clone()).await {
        Ok(()) => {}
        Err(Error::Conflict) => {
            if let Some(object) = objects.get(Kind::Entries, host).await?
                && object.spec != spec
            {
                let revision = object.revision;
                objects.update(Kind::Entries, host, revision, spec).await?;
            }
        }
        Err(error) => return Err(error),
    }
    let listing = objects.list(Kind::Entries).await?;
    for object in listing
        .objects
        .iter()
        .filter(|object| object.name != **host)
    {
        let address = object.spec.get("address").and_then(|value| value.as_str());
        match address.map(str::parse) {
            Some(Ok(address)) => state.meet(address),
            _ => {
                log::warn!(step = "read entry", peer = object.name.as_str(); "entry without an address")
            }
        }
    }
    Ok(())
}
