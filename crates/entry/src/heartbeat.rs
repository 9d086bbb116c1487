//! Heartbeats between members, which carry news of configuration and shard map.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::Map;
use coord::id::Node;
use coord::id::Target;
use coord::id::Version;
use coord::lease::Observer;
use coord::time::Millis;
use coord::time::Time;
use parking_lot::Mutex;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::Digest;

use crate::member::Member;
use crate::sync;

/// Heartbeats in the length of a lease.
const BEATS: u32 = 6;

/// Shortest time between two rounds of heartbeats.
const PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Sign {
    at: Time,
    lease: Observer,
}

/// When each member was heard last, and its lease as seen from here.
#[derive(Debug, Default)]
pub struct Heard {
    signs: Mutex<Map<Node, Sign>>,
}

impl Heard {
    /// Takes in a sign of life.
    pub fn heard(&self, member: &Member, node: &Node, version: Version) {
        let now = member.now();
        let mut signs = self.signs.lock();
        let sign = signs
            .entry(node.clone())
            .or_insert_with(|| first(member, now));
        sign.at = now;
        sign.lease.record_version(version, now);
    }

    /// Takes in what a read of the lease that began at `now` showed.
    pub fn saw(&self, member: &Member, node: &Node, version: Version, now: Time) {
        let mut signs = self.signs.lock();
        let sign = signs
            .entry(node.clone())
            .or_insert_with(|| first(member, now));
        sign.lease.record_version(version, now);
        // A renewal is a sign of life too.
        if sign.lease.unrenewed_for(now) == Some(Millis(0)) {
            sign.at = now;
        }
    }

    /// Whether a member has been silent for half a lease, or hasn't renewed its lease in time, for
    /// `delay` longer; a new one counts from now.
    pub fn is_overdue(&self, member: &Member, node: &Node, delay: Millis) -> bool {
        let now = member.now();
        let mut signs = self.signs.lock();
        let sign = signs
            .entry(node.clone())
            .or_insert_with(|| first(member, now));
        let silence = Millis(member.duration().0 / 2 + delay.0);
        let term = Millis(member.duration().0 + member.lease.margin().0 + delay.0);
        let standing = sign.lease.unrenewed_for(now);
        now.since(sign.at) > silence || standing.is_some_and(|standing| standing >= term)
    }

    /// The version at which a member's lease may be fenced.
    pub fn expired(&self, member: &Member, node: &Node) -> Option<Version> {
        let signs = self.signs.lock();
        signs.get(node)?.lease.expired_version(member.now())
    }

    /// How long a member's lease has stood unrenewed.
    pub fn standing(&self, member: &Member, node: &Node) -> Option<Millis> {
        let signs = self.signs.lock();
        signs.get(node)?.lease.unrenewed_for(member.now())
    }

    /// Forgets who is no longer a member.
    pub fn retain(&self, keep: impl Fn(&Node) -> bool) {
        self.signs.lock().retain(|node, _| keep(node));
    }

    /// Forgets everything: this node starts over.
    pub fn clear(&self) {
        self.signs.lock().clear();
    }
}

fn first(member: &Member, now: Time) -> Sign {
    let lease = Observer::new(member.duration(), member.lease.margin());
    Sign { at: now, lease }
}

/// Sends heartbeats until dropped, at once when there is news.
pub async fn run(member: Arc<Member>) {
    loop {
        let length = member.lease.duration() / BEATS;
        let _ = timeout(length, member.news.notified()).await;
        let me = member.node();
        for other in member.map().members.iter().filter(|other| other.node != me) {
            let (member, address) = (Arc::clone(&member), other.peers);
            tokio::spawn(async move { exchange(&member, address).await });
        }
        for address in member.settings.seeds.iter().copied() {
            let member = Arc::clone(&member);
            tokio::spawn(async move { exchange(&member, address).await });
        }
        sleep(PAUSE).await;
    }
}

/// Exchanges news with one member; a second time if it lacks tickets.
async fn exchange(member: &Arc<Member>, address: SocketAddr) {
    let limit = member.lease.duration() / BEATS;
    let Some(reply) = send(member, address, digest(member), limit).await else {
        return;
    };
    let tickets = member.store.missing(&reply.seen);
    let map = newer_map(member, &reply);
    if !tickets.is_empty() || !map.is_empty() {
        let news = Digest {
            tickets,
            map,
            ..digest(member)
        };
        send(member, address, news, limit).await;
    }
}

async fn send(
    member: &Arc<Member>,
    address: SocketAddr,
    digest: Digest,
    limit: Duration,
) -> Option<Digest> {
    let mut client = member.peers().owner(address);
    let reply = timeout(limit, client.exchange(digest)).await.ok()?;
    let reply = reply.ok()?.into_inner();
    take(member, &reply);
    Some(reply)
}

/// Answers another member's heartbeat.
pub fn answer(member: &Arc<Member>, theirs: &Digest) -> Digest {
    take(member, theirs);
    let tickets = member.store.missing(&theirs.seen);
    Digest {
        tickets,
        map: newer_map(member, theirs),
        ..digest(member)
    }
}

fn digest(member: &Member) -> Digest {
    let leaving = member.leaving_targets();
    Digest {
        node: member.node().to_string(),
        lease_version: member.lease.version().unwrap_or_default().0,
        map_version: member.map().version.0,
        seen: member.store.seen(),
        leaving: leaving.iter().map(Target::to_string).collect(),
        quarantine: member.quarantine.news(member.now()).into(),
        ..Digest::default()
    }
}

/// The shard map as bytes, if the other's is older.
fn newer_map(member: &Member, theirs: &Digest) -> bytes::Bytes {
    let map = member.map();
    match map.version.0 > theirs.map_version {
        true => serde_json::to_vec(&*map).unwrap_or_default().into(),
        false => bytes::Bytes::new(),
    }
}

fn take(member: &Arc<Member>, theirs: &Digest) {
    if let Ok(node) = theirs.node.parse()
        && theirs.lease_version > 0
    {
        member
            .heard
            .heard(member, &node, Version(theirs.lease_version));
        member.given.heard(&node, Version(theirs.map_version));
    }
    if member.store.take_news(&theirs.tickets) {
        member.news.notify_one();
    }
    member.quarantine.take(&theirs.quarantine, member.now());
    if !sync::is_watcher(member) {
        let leaving = theirs
            .leaving
            .iter()
            .filter_map(|target| target.parse().ok());
        member.set_leaving(leaving.collect());
    }
    if !theirs.map.is_empty()
        && let Ok(map) = serde_json::from_slice(&theirs.map)
    {
        member.take_map(map);
    }
}
