//! Calls that a former owner of a shard had in flight, resolved by the new one.
//!
//! Each attempt is fenced off at the sidecar that it was sent to. What surely never ran may be sent
//! again; what may have run is final, unless it may be repeated.

use std::sync::Arc;
use std::time::Duration;

use coord::decision::Flight;
use coord::id::Epoch;
use coord::id::Node;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::record::Outcome;
use coord::shard::Map;
use futures::StreamExt;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::Instant;

use crate::call::Call;
use crate::clock;
use crate::dispatch;
use crate::dispatch::Fence;
use crate::ledger;
use crate::run;
use crate::shards::Gained;

const STEP: &str = "resolve";
/// Attempts resolved at once in one shard.
const CONCURRENCY: usize = 16;
/// Tries to reach the sidecar of an attempt.
const TRIES: u32 = 4;
/// Time beyond the longest request for a former owner to finish.
const LINGER: Duration = Duration::from_secs(60);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// Owners of each shard, the newest two that were seen.
#[derive(Debug, Default)]
struct Owners(Vec<[Option<(Epoch, Node)>; 2]>);

impl Owners {
    fn see(&mut self, map: &Map) {
        self.0.resize_with(usize::from(SHARDS), Default::default);
        for (seen, number) in self.0.iter_mut().zip(0..SHARDS) {
            let owner = map.owner(Shard(number));
            let owner = owner.and_then(|owner| Some((owner.epoch, owner.primary.clone()?)));
            let newest = seen[0].as_ref().map(|(epoch, _)| *epoch);
            match owner {
                Some(owner) if newest < Some(owner.0) => {
                    seen[1] = seen[0].replace(owner);
                }
                _ => {}
            }
        }
    }

    /// Who owned a shard before an epoch, as far as was seen.
    fn before(&self, shard: Shard, epoch: Epoch) -> Option<Node> {
        let seen = self.0.get(usize::from(shard.0))?;
        let mut earlier = seen.iter().flatten().filter(|(other, _)| *other < epoch);
        earlier.next().map(|(_, node)| node.clone())
    }
}

/// Resolves each shard that this node gains, until the process ends.
pub async fn keep(call: Arc<Call>) {
    let mut gained = call.member.gained();
    let mut maps = call.member.map_changes();
    let mut owners = Owners::default();
    loop {
        owners.see(&call.member.map());
        tokio::select! {
            gain = gained.recv() => match gain {
                Ok(Gained { shard, epoch }) => start(&call, &owners, shard, epoch),
                Err(RecvError::Lagged(_)) => all(&call, &owners),
                Err(RecvError::Closed) => return,
            },
            Ok(()) = maps.changed() => {}
        }
    }
}

/// Resolves all shards that this node owns at present.
fn all(call: &Arc<Call>, owners: &Owners) {
    for number in 0..SHARDS {
        let shard = Shard(number);
        if let Some(authority) = call.member.authority(shard) {
            start(call, owners, shard, authority.epoch);
        }
    }
}

fn start(call: &Arc<Call>, owners: &Owners, shard: Shard, epoch: Epoch) {
    let call = Arc::clone(call);
    let former = owners.before(shard, epoch);
    tokio::spawn(async move {
        if let Some(former) = former {
            finished(&call, shard, &former).await;
        }
        resolve(&call, shard, epoch).await;
    });
}

/// Waits while the former owner, which handed the shard over, finishes what it began.
async fn finished(call: &Call, shard: Shard, former: &Node) {
    let end = Instant::now() + clock::duration(call.settings.limits.timeout_max_ms) + LINGER;
    while Instant::now() < end && call.member.map().member(former).is_some() {
        if !has_foreign(call, shard) {
            return;
        }
        call.flight.news(shard).await;
    }
}

/// Whether a call that another node began is in flight.
fn has_foreign(call: &Call, shard: Shard) -> bool {
    let foreign = |flight: &Flight| !call.flight.is_own(&flight.attempt);
    let shards = call.member.shards();
    let found = shards.inspect(shard, |state| state.replica.in_flight().iter().any(foreign));
    found.unwrap_or(false)
}

async fn resolve(call: &Call, shard: Shard, epoch: Epoch) {
    let flights = call
        .member
        .shards()
        .inspect(shard, |state| state.replica.in_flight());
    let fence = Fence {
        node: call.member.node(),
        shard,
        epoch,
    };
    let flights = flights.unwrap_or_default().into_iter();
    let flights = flights.filter(|flight| !call.flight.is_own(&flight.attempt));
    let resolved = flights.map(|flight| settle(call, &fence, flight));
    let resolved = futures::stream::iter(resolved).buffer_unordered(CONCURRENCY);
    resolved.collect::<Vec<()>>().await;
}

async fn settle(call: &Call, fence: &Fence, flight: Flight) {
    if !is_orphan(call, fence, &flight).await {
        return;
    }
    let fenced = is_fenced(call, fence, &flight).await;
    let outcome = match fenced {
        true => Outcome::NotRun,
        false => Outcome::Unknown,
    };
    let shards = call.member.shards();
    let settled =
        ledger::record_outcome(shards, &flight.call, fence.shard, &flight.attempt, outcome).await;
    if settled.is_err() {
        log::warn!(step = STEP, peer = flight.target.as_str(); "the outcome wasn't recorded");
    }
    call.flight.settled(fence.shard);
}

/// Waits until the attempt's node reports its outcome or is no member any more; false: nothing is
/// left to resolve here.
async fn is_orphan(call: &Call, fence: &Fence, flight: &Flight) -> bool {
    let mut maps = call.member.map_changes();
    loop {
        let news = call.flight.news(fence.shard);
        let shards = call.member.shards();
        let held = shards
            .authority(fence.shard)
            .is_some_and(|held| held.epoch == fence.epoch);
        let awaited = || {
            shards.inspect(fence.shard, |state| {
                state.replica.awaits(&flight.call, &flight.attempt)
            })
        };
        match maps.borrow_and_update().member(&flight.by) {
            _ if !held || awaited() != Some(true) => return false,
            None => return true,
            Some(_) => {}
        }
        tokio::select! {
            () = news => {}
            Ok(()) = maps.changed() => {}
        }
    }
}

async fn is_fenced(call: &Call, fence: &Fence, flight: &Flight) -> bool {
    let config = call.member.config();
    let Some(target) = config.target(&flight.target) else {
        return false;
    };
    for _ in 0..TRIES {
        let client = call.member.peers().target(target.sidecar);
        match dispatch::cancel(client, &flight.attempt, fence).await {
            Ok(reply) => return run::never_ran(&flight.attempt, &reply),
            Err(status) => {
                log::warn!(step = STEP, peer = flight.target.as_str(); "{}", status.message());
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}
