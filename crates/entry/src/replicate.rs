//! Records on their way from a shard's primary to its standby, and the standby's side.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Epoch;
use coord::id::Node;
use coord::id::Shard;
use coord::record::Record;
use coord::replica::Replica;
use futures::StreamExt;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tonic::Status;
use wire::ReplicateReply;
use wire::ReplicateRequest;
use wire::SyncChunk;

use crate::shards::Link;
use crate::shards::Phase;
use crate::shards::Role;
use crate::shards::Shards;
use crate::shards::Slot;
use crate::shards::State;

/// Records in one request.
const BATCH: usize = 1024;

/// Bytes of records in one request.
const BATCH_BYTES: usize = 2 * 1024 * 1024;

/// Bytes of one part of a whole copy.
const PART: usize = 1024 * 1024;

/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a standby may fail before the primary goes on without it.
const PATIENCE: Duration = Duration::from_millis(500);

/// Sends a link's pending records until there are none or the link is given up or replaced.
pub async fn pump(shards: &Arc<Shards>, slot: &Arc<Slot>, id: u64) {
    let mut failing: Option<Instant> = None;
    while let Some((address, request)) = next_request(shards, slot, id) {
        let first = request.first;
        let mut client = shards.peers().owner(address);
        let reply = timeout(PATIENCE, client.replicate(request)).await;
        let reply = reply
            .ok()
            .and_then(Result::ok)
            .map(|reply| reply.into_inner());
        match reply {
            Some(reply) if reply.accepted => {
                failing = None;
                acknowledge(slot, id, first, reply.next);
            }
            _ => {
                let since = *failing.get_or_insert_with(Instant::now);
                if since.elapsed() >= PATIENCE {
                    return give_up(shards, slot, id);
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn next_request(shards: &Shards, slot: &Slot, id: u64) -> Option<(SocketAddr, ReplicateRequest)> {
    let mut state = slot.state.lock();
    let epoch = state.epoch;
    let primary = state.role == Role::Primary;
    let link = state.link.as_mut().filter(|link| link.id == id)?;
    if !primary || link.broken || link.pending.is_empty() {
        link.pumping = false;
        return None;
    }
    let mut size = 0;
    let fits = link.pending.iter().take(BATCH).take_while(|record| {
        size += record.len();
        size <= BATCH_BYTES || size == record.len()
    });
    let request = ReplicateRequest {
        node: shards.lease().node().to_string(),
        shard: u32::from(slot.shard.0),
        epoch: epoch.0,
        first: link.acked,
        records: fits.cloned().collect(),
        standby: link.node.to_string(),
    };
    Some((link.address, request))
}

fn acknowledge(slot: &Slot, id: u64, first: u64, next: u64) {
    let mut state = slot.state.lock();
    let link = state
        .link
        .as_mut()
        .filter(|link| link.id == id && link.acked == first);
    let Some(link) = link else { return };
    let count = next.saturating_sub(first).min(link.pending.len() as u64);
    link.pending.drain(..count as usize);
    link.acked += count;
    slot.publish(&mut state);
}

fn give_up(shards: &Shards, slot: &Slot, id: u64) {
    let mut state = slot.state.lock();
    match &mut state.link {
        Some(link) if link.id == id && link.phase != Phase::Syncing => {
            link.broken = true;
            link.pumping = false;
            link.pending.clear();
        }
        Some(link) if link.id == id => state.link = None,
        _ => (),
    }
    drop(state);
    shards.upkeep.notify_one();
}

/// Brings a node up to date with a shard, to become its standby; true: it holds everything and
/// receives what follows.
pub async fn bring_up(
    shards: &Arc<Shards>,
    slot: &Arc<Slot>,
    node: &Node,
    address: SocketAddr,
) -> bool {
    if keeps_link(slot, node) {
        return true;
    }
    let Some(copy) = start_link(slot, node, address) else {
        return false;
    };
    let (id, next) = (copy.link, copy.next);
    let chunks = chunks(shards, slot.shard, copy);
    let mut client = shards.peers().owner(address);
    let sent = client.sync(futures::stream::iter(chunks));
    let sent = timeout(shards.lease().duration(), sent).await;
    let accepted = matches!(&sent, Ok(Ok(reply)) if reply.get_ref().accepted);
    finish_link(shards, slot, id, accepted.then_some(next))
}

/// The standby holds everything up to `next`, or the copy wasn't accepted.
fn finish_link(shards: &Arc<Shards>, slot: &Arc<Slot>, id: u64, next: Option<u64>) -> bool {
    let mut state = slot.state.lock();
    let link = state.link.as_mut().filter(|link| link.id == id);
    let Some(link) = link else { return false };
    let Some(next) = next else {
        state.link = None;
        return false;
    };
    link.acked = next;
    link.pumping = !link.pending.is_empty();
    let pump = link.pumping;
    slot.publish(&mut state);
    drop(state);
    if pump {
        shards.start_pump(slot, id);
    }
    true
}

/// Whether the node is being brought up since an earlier round whose change of the map failed. The
/// link to another node is dropped, unless the map may name that one already.
fn keeps_link(slot: &Slot, node: &Node) -> bool {
    let mut state = slot.state.lock();
    match &state.link {
        Some(link) if link.node == *node => !link.broken,
        Some(link) if link.phase == Phase::Syncing => {
            state.link = None;
            false
        }
        Some(_) | None => false,
    }
}

/// A whole copy of a shard for a new link.
struct Copy {
    link: u64,
    standby: Node,
    epoch: Epoch,
    next: u64,
    bytes: Bytes,
}

/// Takes the whole copy and keeps what follows for the new link.
fn start_link(slot: &Slot, node: &Node, address: SocketAddr) -> Option<Copy> {
    let mut state = slot.state.lock();
    if !state.decides() || state.link.is_some() {
        return None;
    }
    let bytes = Bytes::from(state.replica.encode().ok()?);
    let mut link = Link::new(node.clone(), address, Phase::Syncing, 0);
    link.pumping = true;
    let id = link.id;
    state.link = Some(link);
    Some(Copy {
        link: id,
        standby: node.clone(),
        epoch: state.epoch,
        next: state.next,
        bytes,
    })
}

fn chunks(
    shards: &Shards,
    shard: Shard,
    copy: Copy,
) -> impl Iterator<Item = SyncChunk> + Send + 'static {
    let node = shards.lease().node().to_string();
    let Copy {
        standby,
        epoch,
        next,
        bytes,
        ..
    } = copy;
    let parts = bytes.len().div_ceil(PART).max(1);
    (0..parts).map(move |part| SyncChunk {
        node: node.clone(),
        shard: u32::from(shard.0),
        epoch: epoch.0,
        next,
        part: bytes.slice(part * PART..bytes.len().min((part + 1) * PART)),
        standby: standby.to_string(),
    })
}

/// Appends a primary's records at its standby.
pub fn append(shards: &Shards, request: &ReplicateRequest) -> ReplicateReply {
    let slot = shards.slot(Shard(request.shard as u16));
    let mut state = slot.state.lock();
    let accepted = may_follow(shards, &state, request) && apply(shards, &mut state, request);
    ReplicateReply {
        accepted,
        epoch: state.epoch.0,
        next: state.next,
    }
}

/// A standby whose lease has lapsed may have been taken out of the map already.
fn may_follow(shards: &Shards, state: &State, request: &ReplicateRequest) -> bool {
    state.role == Role::Standby
        && request.standby == shards.lease().node().as_str()
        && state.epoch.0 == request.epoch
        && request.first <= state.next
        && shards.lease().authority().is_some()
}

fn apply(shards: &Shards, state: &mut State, request: &ReplicateRequest) -> bool {
    let known = (state.next - request.first) as usize;
    let fresh: Result<Vec<Record>, postcard::Error> = request
        .records
        .iter()
        .skip(known)
        .map(|bytes| postcard::from_bytes(bytes))
        .collect();
    let Ok(fresh) = fresh else { return false };
    fresh.iter().for_each(|record| state.replica.apply(record));
    state.next += fresh.len() as u64;
    state.replica.tick(shards.lease().clock().now());
    true
}

/// Replaces this node's copy of a shard by the primary's.
///
/// # Errors
///
/// The stream breaks, is empty or too large.
pub async fn install(
    shards: &Shards,
    mut stream: impl futures::Stream<Item = Result<SyncChunk, Status>> + Unpin,
) -> Result<ReplicateReply, Status> {
    let mut copy = Vec::new();
    let mut head: Option<SyncChunk> = None;
    while let Some(chunk) = stream.next().await {
        let chunk = chunk?;
        copy.extend_from_slice(&chunk.part);
        head.get_or_insert(chunk);
    }
    let Some(head) = head else {
        return Err(Status::invalid_argument("no chunk"));
    };
    let Ok(replica) = Replica::decode(&copy, shards.limits()) else {
        return Err(Status::invalid_argument("damaged copy"));
    };
    Ok(replace(shards, &head, replica))
}

fn replace(shards: &Shards, head: &SyncChunk, replica: Replica) -> ReplicateReply {
    let slot = shards.slot(Shard(head.shard as u16));
    let mut state = slot.state.lock();
    let free = matches!(state.role, Role::None | Role::Standby);
    // A copy that was under way for long must not replace a newer one.
    let newer = (head.epoch, head.next) >= (state.epoch.0, state.next);
    let meant = head.standby == shards.lease().node().as_str();
    let accepted = free && newer && meant && shards.lease().authority().is_some();
    if accepted {
        state.reset(shards.limits());
        state.role = Role::Standby;
        state.epoch = Epoch(head.epoch);
        state.replica = replica;
        state.replica.tick(shards.lease().clock().now());
        state.next = head.next;
    }
    ReplicateReply {
        accepted,
        epoch: state.epoch.0,
        next: state.next,
    }
}
