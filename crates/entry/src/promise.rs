//! Going on while the platform is away: every registered member promises not to write the shard map
//! for the length of a lease, which takes the place of a renewal.

use std::net::SocketAddr;
use std::time::Duration;

use coord::id::Node;
use coord::id::Version;
use coord::promise::Holder;
use coord::promise::Terms;
use coord::promise::Vote;
use coord::promise::Voter;
use coord::time::Millis;
use coord::time::Time;
use futures::future::join_all;
use parking_lot::Mutex;
use tokio::time::timeout;
use wire::PromiseReply;
use wire::PromiseRequest;

use crate::member::Member;
use crate::peer::Peers;
use crate::settings::Lease;

/// Share of a lease within which all members must have answered.
const SHARE: u32 = 6;

/// What this node has promised, and whether it may write the shard map.
#[derive(Debug)]
pub struct Given {
    terms: Terms,
    voter: Mutex<Voter>,
}

impl Given {
    /// Nothing promised; the node hasn't joined.
    pub fn new(settings: &Lease) -> Given {
        let terms = terms(settings);
        Given {
            terms,
            voter: Mutex::new(Voter::new(terms)),
        }
    }

    /// Starts over: this node has lost its lease.
    pub fn restart(&self) {
        *self.voter.lock() = Voter::new(self.terms);
    }

    /// Takes in the version of a map; `member`: this node stands in it by its own write.
    pub fn saw(&self, version: Version, member: bool) {
        let mut voter = self.voter.lock();
        match member {
            true => voter.record_join(version),
            false => voter.record_departure(version),
        }
    }

    /// Takes in which map another member knows.
    pub fn heard(&self, node: &Node, version: Version) {
        self.voter.lock().record_peer_version(node, version);
    }

    /// Whether a fenced member may be written out.
    pub fn may_write_out(&self, node: &Node, standing: Millis, now: Time) -> bool {
        self.voter.lock().may_remove(node, standing, now)
    }

    /// Whether the map may be written now.
    pub fn may_write(&self, now: Time) -> bool {
        self.voter.lock().may_write(now)
    }

    /// A write of the map is about to be sent; false: it must not be.
    pub fn begin_write(&self, base: Version, now: Time) -> bool {
        self.voter.lock().begin_write(base, now)
    }

    /// The write was surely refused.
    pub fn withdrawn(&self, base: Version) {
        self.voter.lock().abort_write(base);
    }

    /// Whether a write of the map is under way or in doubt.
    pub fn is_writing(&self) -> bool {
        self.voter.lock().has_pending_write()
    }

    fn ask(&self, node: &Node, version: Version, duration: Millis, now: Time) -> Vote {
        self.voter.lock().vote(node, version, duration, now)
    }
}

fn terms(settings: &Lease) -> Terms {
    Terms {
        margin: settings.margin_ms,
        max_extension: settings.outage_ms,
    }
}

/// Asks all members; true: each promised, and the lease counts on from before the question.
///
/// A node that is alone in the map has nobody to ask and doesn't go on.
pub async fn ask(member: &Member) -> bool {
    let sent = member.now();
    let map = member.map();
    let me = member.node();
    let duration = member.duration();
    let own = member.given.ask(&me, map.version, duration, sent);
    let mut holder = Holder::new(terms(&member.settings.lease));
    if own == Vote::Promised {
        holder.record_promise(&me, map.version, duration, sent);
    }
    let request = PromiseRequest {
        node: me.to_string(),
        map_version: map.version.0,
        duration_ms: duration.0,
    };
    let limit = member.lease.duration() / SHARE;
    let others = map.members.iter().filter(|other| other.node != me);
    let asked = others.map(|other| {
        ask_one(
            member.peers(),
            &other.node,
            other.peers,
            request.clone(),
            limit,
        )
    });
    let promised = join_all(asked).await;
    let others = promised.len();
    for node in promised.into_iter().flatten() {
        holder.record_promise(node, map.version, duration, sent);
    }
    let unchanged = member.map().version == map.version;
    match holder.valid_until(&map.members, map.version, member.lease.sent()) {
        Some(until) if unchanged && others > 0 && until > member.now() => {
            member.lease.promised(until);
            true
        }
        _ => false,
    }
}

async fn ask_one<'a>(
    peers: &Peers,
    node: &'a Node,
    address: SocketAddr,
    request: PromiseRequest,
    limit: Duration,
) -> Option<&'a Node> {
    let map_version = request.map_version;
    let mut client = peers.owner(address);
    let reply = timeout(limit, client.promise(request))
        .await
        .ok()?
        .ok()?
        .into_inner();
    (reply.promised && reply.map_version == map_version).then_some(node)
}

/// Answers another member's question.
pub fn answer(member: &Member, request: &PromiseRequest) -> PromiseReply {
    let map = member.map();
    let node = request.node.parse::<Node>().ok();
    let known = node.filter(|node| map.member(node).is_some());
    let version = Version(request.map_version);
    let duration = Millis(request.duration_ms);
    let vote = known.map(|node| member.given.ask(&node, version, duration, member.now()));
    PromiseReply {
        promised: vote == Some(Vote::Promised),
        map_version: map.version.0,
    }
}
