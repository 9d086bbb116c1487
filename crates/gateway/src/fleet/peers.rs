//! State of the other entries, from their reports.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use coord::allotment;
use coord::allotment::Holder;
use coord::id::Customer;
use coord::quota;
use coord::quota::Fleet;
use coord::quota::Total;
use coord::time::Millis;
use coord::time::Time;
use node::object::Kind;
use serde::Deserialize;
use serde::Serialize;

use crate::Map;
use crate::freshness::Statement;
use crate::target::cold;
use crate::target::departure::Incarnation;
use crate::target::evacuation;
use crate::target::hash;
use crate::target::limits::Notice;

/// Time between reports with at most [`INTERVAL_ENTRIES`] entries.
const BASE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of entries above which the interval grows in proportion to it.
const INTERVAL_ENTRIES: usize = 8;

/// Number of missed reports after which an entry counts as silent. Among few entries, the longer
/// [`quota::SILENCE_TIMEOUT`] applies.
const MISSED_REPORTS: u32 = 3;

/// Time without a report after which an entry is removed.
const REMOVE_TIMEOUT: Millis = Millis(40_000);

/// Time for which a departed entry isn't added again, although reports of others still list it.
const DEPARTED_LIFETIME: Millis = Millis(15_000);

/// Report of one entry; encoded with postcard, so the order and types of the fields are its format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub host: CompactString,
    /// Random number drawn at each start of the sender.
    pub incarnation: u64,
    /// Version of the sender's configuration.
    pub version: u64,
    /// Whether the object store answers the sender.
    pub store_reachable: bool,
    /// Whether enough history hosts answer the sender.
    pub history_reachable: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    pub totals: Vec<(Customer, Total)>,
    /// Requests of the sender that run on targets, by the hash of the target's id.
    pub running: Vec<(u32, u32)>,
    /// Prefixes that targets have processed recently: hash of the prefix and of the target.
    pub cached_prefixes: Vec<(u32, u32)>,
    /// Requests in flight at a target's crash: fingerprint of the request and of the crash.
    pub crashes: Vec<(u64, u64)>,
    /// Other entries with recent reports, for receivers that can't read the object store.
    pub entries: Vec<SocketAddr>,
    /// Targets that announced that they leave. This and the next fields are encoded after the report,
    /// where earlier builds ignore them.
    #[serde(skip)]
    pub departures: Vec<Incarnation>,
    /// Targets whose last answer to the sender was a failure, by the hash of the target's id.
    #[serde(skip)]
    pub failing: Vec<u32>,
    /// What the sender knows of the object store's objects.
    #[serde(skip)]
    pub knowledge: Vec<Statement>,
    /// Limits that targets have named.
    #[serde(skip)]
    pub limits: Vec<Notice>,
    /// Requests sent to targets with limits: hash of the target's id, and total since the sender's
    /// start.
    #[serde(skip)]
    pub limited_sendings: Vec<(u32, u32)>,
    /// Step of the sender's demand; see [`coord::allotment::Demand`].
    #[serde(skip)]
    pub demand: u8,
    /// Evacuated data centres, if the sender knows them.
    #[serde(skip)]
    pub evacuations: Option<evacuation::Notice>,
    /// Targets that the sender has learned to be cold.
    #[serde(skip)]
    pub cold: Vec<cold::Notice>,
}

impl Report {
    /// Encodes the report for a datagram.
    ///
    /// Errors: none that the fields can cause.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let report = postcard::to_stdvec(self)?;
        let report =
            postcard::to_extend(&(&self.departures, &self.failing, &self.knowledge), report)?;
        let limits = (&self.limits, &self.limited_sendings, self.demand);
        postcard::to_extend(&(limits, &self.evacuations, &self.cold), report)
    }

    /// Decodes a datagram, also of a build that reports fewer of the fields after the report.
    ///
    /// Errors: the datagram is malformed.
    pub fn decode(datagram: &[u8]) -> Result<Report, postcard::Error> {
        let (mut report, rest) = postcard::take_from_bytes::<Report>(datagram)?;
        if rest.is_empty() {
            return Ok(report);
        }
        let ((departures, failing), rest) = postcard::take_from_bytes(rest)?;
        (report.departures, report.failing) = (departures, failing);
        if rest.is_empty() {
            return Ok(report);
        }
        let (knowledge, rest) = postcard::take_from_bytes(rest)?;
        report.knowledge = knowledge;
        if rest.is_empty() {
            return Ok(report);
        }
        let ((limits, sendings, demand), rest) = postcard::take_from_bytes(rest)?;
        (report.limits, report.limited_sendings, report.demand) = (limits, sendings, demand);
        if !rest.is_empty() {
            (report.evacuations, report.cold) = postcard::from_bytes(rest)?;
        }
        Ok(report)
    }
}

#[derive(Debug, Clone, Copy)]
struct LastReport {
    received: Time,
    version: u64,
    store_reachable: bool,
    history_reachable: bool,
    incarnation: u64,
}

#[derive(Debug)]
struct Peer {
    /// When the entry was added.
    added: Time,
    /// When the first report of its present incarnation came.
    joined: Option<Time>,
    /// When its first report came after a start or a silence.
    returned: Option<Time>,
    /// Last reported step of its demand.
    demand: Option<u8>,
    last_report: Option<LastReport>,
    running: Vec<(u32, u32)>,
}

/// The other entries and their latest reports.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Map<SocketAddr, Peer>,
    /// Entries whose last report announced that they stop, with its time; others may still list them.
    departed: Map<SocketAddr, Time>,
    /// When the last message of any entry came.
    last_message: Time,
}

impl Peers {
    /// Adds an entry that may exist; it counts as silent until its first report.
    pub fn add(&mut self, address: SocketAddr, now: Time) {
        let departed = self.departed.get(&address);
        if departed.is_some_and(|at| now.since(*at) < DEPARTED_LIFETIME) {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            added: now,
            joined: None,
            returned: None,
            demand: None,
            last_report: None,
            running: Vec::new(),
        });
    }

    /// Records a report; returns how long its sender counted as silent, in which it was assumed to use
    /// its even share of the rates.
    pub fn record_report(&mut self, address: SocketAddr, report: &Report, now: Time) -> Millis {
        self.record_message(now);
        if report.leaving {
            self.peers.remove(&address);
            self.departed.insert(address, now);
            return Millis(0);
        }
        self.departed.remove(&address);
        self.add(address, now);
        let timeout = self.silence_timeout();
        let Some(peer) = self.peers.get_mut(&address) else {
            return Millis(0);
        };
        let last_seen = peer
            .last_report
            .map_or(peer.added, |report| report.received);
        let known = peer.last_report.map(|report| report.incarnation);
        if known != Some(report.incarnation) {
            peer.joined = Some(now);
        }
        if known != Some(report.incarnation) || now.since(last_seen) > timeout {
            peer.returned = Some(now);
        }
        peer.last_report = Some(LastReport {
            received: now,
            version: report.version,
            store_reachable: report.store_reachable,
            history_reachable: report.history_reachable,
            incarnation: report.incarnation,
        });
        peer.running.clone_from(&report.running);
        peer.demand = Some(report.demand);
        Millis(now.since(last_seen).0.saturating_sub(timeout.0))
    }

    /// Removes entries without a report for [`REMOVE_TIMEOUT`]. While none is heard, this entry may be cut
    /// off from the others, which go on; it then keeps those that it has heard before.
    pub fn expire(&mut self, now: Time) {
        let is_isolated = self.is_isolated(now);
        self.peers.retain(|_, peer| {
            let last_seen = peer
                .last_report
                .map_or(peer.added, |report| report.received);
            let may_go_on = is_isolated && peer.last_report.is_some();
            may_go_on || now.since(last_seen) < REMOVE_TIMEOUT
        });
        self.departed
            .retain(|_, at| now.since(*at) < DEPARTED_LIFETIME);
    }

    /// Whether an entry has started since a time.
    pub fn any_newcomer(&self, since: Time) -> bool {
        let mut joined = self.peers.values().filter_map(|peer| peer.joined);
        joined.any(|joined| joined >= since)
    }

    /// Whether an entry has started, or has reported again after a silence, since a time; it may lack what
    /// others sent before.
    pub fn any_return(&self, since: Time) -> bool {
        let mut returned = self.peers.values().filter_map(|peer| peer.returned);
        returned.any(|returned| returned >= since)
    }

    /// Entries among which limits are divided, silent ones included: they may be cut off and go on. An
    /// entry that hasn't reported its demand is taken to have that of this one, `own_demand`.
    pub fn holders(&self, own_demand: u8) -> Vec<Holder> {
        let peers = self.peers.iter();
        let holders = peers.map(|(address, peer)| Holder {
            entry: holder_id(*address),
            weight: allotment::weight(peer.demand.unwrap_or(own_demand)),
        });
        holders.collect()
    }

    /// Counts all entries, this one included, and the silent ones, for the division of rates.
    pub fn fleet(&self, now: Time) -> Fleet {
        let silent = self
            .peers
            .values()
            .filter(|peer| !peer.is_fresh(now, self.silence_timeout()));
        Fleet {
            entries: self.peers.len() + 1,
            silent: silent.count(),
        }
    }

    /// Records that a message of another entry came.
    pub fn record_message(&mut self, now: Time) {
        self.last_message = now;
    }

    /// Whether there are other entries, and no message of any came lately. Among many entries this
    /// shows sooner that this one is cut off than the silence of each.
    pub fn is_isolated(&self, now: Time) -> bool {
        !self.peers.is_empty() && now.since(self.last_message) > quota::SILENCE_TIMEOUT
    }

    fn silence_timeout(&self) -> Millis {
        silence_timeout(self.peers.len() + 1)
    }

    /// Addresses that reports are sent to.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Entries with a recent report.
    pub fn fresh_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let timeout = self.silence_timeout();
        let fresh = self.peers.iter();
        fresh
            .filter(|(_, peer)| peer.is_fresh(now, timeout))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Requests of other entries that run on targets, by the hash of the target's id.
    pub fn running(&self, now: Time) -> Map<u32, u32> {
        let mut sums = Map::default();
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now, self.silence_timeout()));
        for (target, running) in fresh.flat_map(|peer| &peer.running) {
            *sums.entry(*target).or_default() += running;
        }
        sums
    }

    /// Entry with the newest configuration among those whose object store answers.
    pub fn newest_with_store(&self, now: Time) -> Option<SocketAddr> {
        let fresh = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_fresh(now, self.silence_timeout()));
        let reports = fresh.filter_map(|(address, peer)| Some((*address, peer.last_report?)));
        reports
            .filter(|(_, report)| report.store_reachable)
            .max_by_key(|(_, report)| (report.version, report.incarnation))
            .map(|(address, _)| address)
    }

    /// Whether a recent report says that the object store doesn't answer its sender.
    pub fn any_without_store(&self, now: Time) -> bool {
        let timeout = self.silence_timeout();
        let mut fresh = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now, timeout));
        fresh.any(|peer| {
            peer.last_report
                .is_some_and(|report| !report.store_reachable)
        })
    }

    /// Number of entries that the object store answers and that come before this one, in an order that
    /// depends on the kind of objects.
    pub fn order_of_checks(&self, own: SocketAddr, kind: Kind, now: Time) -> usize {
        let order =
            |address: SocketAddr| hash::hash_parts(&[&kind.to_string(), &address.to_string()]);
        let fresh = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_fresh(now, self.silence_timeout()));
        let reaching = fresh.filter(|(_, peer)| {
            peer.last_report
                .is_some_and(|report| report.store_reachable)
        });
        let own_order = order(own);
        reaching
            .filter(|(address, _)| order(**address) < own_order)
            .count()
    }

    /// Any entry with a recent report.
    pub fn any_fresh(&self, now: Time) -> Option<SocketAddr> {
        let mut fresh = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_fresh(now, self.silence_timeout()));
        fresh.next().map(|(address, _)| *address)
    }

    /// Whether there are other entries, none of which has a recent report.
    pub fn all_silent(&self, now: Time) -> bool {
        !self.peers.is_empty() && self.fresh_addresses(now).is_empty()
    }

    /// Entries whose recent report states that enough history hosts answer them.
    pub fn reaching_history(&self, now: Time) -> Vec<SocketAddr> {
        let timeout = self.silence_timeout();
        let reaching = self.peers.iter().filter(|(_, peer)| {
            peer.is_fresh(now, timeout)
                && peer
                    .last_report
                    .is_some_and(|report| report.history_reachable)
        });
        reaching.map(|(address, _)| *address).collect()
    }
}

/// Name of an entry in the division of limits.
pub fn holder_id(address: SocketAddr) -> u64 {
    hash::hash_parts(&[&address.to_string()])
}

impl Peer {
    fn is_fresh(&self, now: Time, timeout: Millis) -> bool {
        self.last_report
            .is_some_and(|report| now.since(report.received) <= timeout)
    }
}

/// Whether reports among this many entries come at the shortest interval.
pub fn is_small(entries: usize) -> bool {
    entries <= INTERVAL_ENTRIES
}

/// Time between reports among this many entries.
pub fn interval(entries: usize) -> Duration {
    BASE_INTERVAL.mul_f64((entries as f64 / INTERVAL_ENTRIES as f64).max(1.0))
}

/// Time without a report after which an entry counts as silent among this many entries.
fn silence_timeout(entries: usize) -> Millis {
    let missed = interval(entries) * MISSED_REPORTS;
    Millis((missed.as_millis() as u64).max(quota::SILENCE_TIMEOUT.0))
}
