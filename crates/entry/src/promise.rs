//! Going on while the platform is away: every registered member promises not to write the shard map
//! for the length of a lease, which takes the place of a renewal.

use std::time::Duration;

use coord::time::Millis;
use coord::time::Time;
use futures::future::join_all;
use parking_lot::Mutex;
use tokio::time::timeout;
use wire::PromiseReply;
use wire::PromiseRequest;

use crate::member::Member;
use crate::peer::Peers;

/// Share of a lease within which all members must have answered.
const SHARE: u32 = 6;

/// Until when this node has promised not to write the shard map.
#[derive(Debug, Default)]
pub struct Given {
    until: Mutex<Time>,
}

impl Given {
    /// Whether the shard map may be written at this moment.
    pub fn may_write(&self, now: Time) -> bool {
        now > *self.until.lock()
    }

    fn give(&self, until: Time) {
        let mut given = self.until.lock();
        *given = (*given).max(until);
    }
}

/// Asks all other members; true: each promised, and the lease counts on from before the question.
///
/// A node that is alone in the map has nobody to ask and doesn't go on.
pub async fn ask(member: &Member) -> bool {
    let sent = member.now();
    let map = member.map();
    let me = member.node();
    let limit = member.lease.duration() / SHARE;
    let request = PromiseRequest {
        node: me.to_string(),
        map_version: map.version.0,
        duration_ms: member.duration().0,
    };
    let others = map.members.iter().filter(|other| other.node != me);
    let asked: Vec<_> = others
        .map(|other| ask_one(member.peers(), other.peers, request.clone(), limit))
        .collect();
    let registered = map.member(&me).is_some() && !asked.is_empty();
    let all = join_all(asked).await.into_iter().all(|promised| promised);
    let unchanged = member.map().version == map.version;
    let granted = registered && all && unchanged;
    if granted {
        member.given.give(sent + member.duration());
        member.lease.promised(sent);
    }
    granted
}

async fn ask_one(
    peers: &Peers,
    address: std::net::SocketAddr,
    request: PromiseRequest,
    limit: Duration,
) -> bool {
    let map_version = request.map_version;
    let mut client = peers.owner(address);
    match timeout(limit, client.promise(request)).await {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            reply.promised && reply.map_version == map_version
        }
        _ => false,
    }
}

/// Answers another member's question.
pub fn answer(member: &Member, request: &PromiseRequest) -> PromiseReply {
    let map = member.map();
    let same = map.version.0 == request.map_version;
    let known = map
        .members
        .iter()
        .any(|other| other.node.as_str() == request.node);
    // No change of the map may be under way, and none begins while the lock is held.
    let idle = member.changing.try_lock();
    let promised = same && known && idle.is_ok();
    if promised {
        let length = Millis(request.duration_ms + member.lease.margin().0);
        member.given.give(member.now() + length);
    }
    PromiseReply {
        promised,
        map_version: map.version.0,
    }
}
