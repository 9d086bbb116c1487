//! Calls that a former owner of a shard had in flight, resolved by the new one.
//!
//! Each attempt is fenced off at the sidecar that it was sent to. What surely never ran may be sent
//! again; what may have run is final, unless it may be repeated.

use std::sync::Arc;
use std::time::Duration;

use coord::decision::InFlightCall;
use coord::id::Epoch;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::record::Outcome;
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
use crate::shards::Role;

const STEP: &str = "resolve";
/// Attempts resolved at once in one shard.
const CONCURRENCY: usize = 16;
/// Tries to reach the sidecar of an attempt.
const TRIES: u32 = 4;
/// Time beyond the longest request for a former owner to finish.
const LINGER: Duration = Duration::from_secs(60);
/// Pause between two looks for attempts that no call follows.
const ABANDONED_PAUSE: Duration = Duration::from_secs(2);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// Resolves each shard that this node gains, until the process ends.
pub async fn keep(call: Arc<Call>) {
    let mut gained = call.member.gained();
    loop {
        match gained.recv().await {
            Ok(Gained { shard, epoch }) => start(&call, shard, epoch),
            Err(RecvError::Lagged(_)) => all(&call),
            Err(RecvError::Closed) => return,
        }
    }
}

/// Resolves attempts of this process that no call follows any more, until the process ends. A call
/// leaves one behind when neither its dispatch nor its outcome reached a second place.
pub async fn sweep(call: Arc<Call>) {
    loop {
        tokio::time::sleep(ABANDONED_PAUSE).await;
        for number in 0..SHARDS {
            let shard = Shard(number);
            if let Some(authority) = call.member.authority(shard) {
                abandoned(&call, shard, authority.epoch).await;
            }
        }
    }
}

async fn abandoned(call: &Call, shard: Shard, epoch: Epoch) {
    let me = call.member.node();
    let fence = Fence {
        node: me.clone(),
        shard,
        epoch,
    };
    let flights = call
        .member
        .shards()
        .inspect(shard, |state| state.replica.in_flight());
    for flight in flights.unwrap_or_default() {
        if flight.sender == me && !call.flight.is_own(&flight.attempt) {
            settle(call, &fence, flight).await;
        }
    }
}

/// Resolves all shards that this node owns at present.
fn all(call: &Arc<Call>) {
    for number in 0..SHARDS {
        let shard = Shard(number);
        if let Some(authority) = call.member.authority(shard) {
            start(call, shard, authority.epoch);
        }
    }
}

fn start(call: &Arc<Call>, shard: Shard, epoch: Epoch) {
    let call = Arc::clone(call);
    tokio::spawn(async move { resolve(&call, shard, epoch).await });
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

async fn settle(call: &Call, fence: &Fence, flight: InFlightCall) {
    while is_orphan(call, fence, &flight).await {
        let outcome = match is_fenced(call, fence, &flight).await {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        };
        let shards = call.member.shards();
        let (asked, attempt) = (&flight.call, &flight.attempt);
        let settled = ledger::record_outcome(shards, asked, fence.shard, attempt, outcome).await;
        call.flight.settled(fence.shard);
        match settled {
            Ok(()) => return,
            Err(_) => {
                log::warn!(step = STEP, peer = flight.target.as_str(); "the outcome wasn't recorded");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Waits until the attempt's node reports its outcome, is no member any more or has had more time
/// than any request; false: nothing is left to resolve here.
async fn is_orphan(call: &Call, fence: &Fence, flight: &InFlightCall) -> bool {
    let mut maps = call.member.map_changes();
    let longest = clock::duration(call.settings.limits.timeout_max_ms);
    let end = Instant::now() + longest + LINGER;
    loop {
        let news = call.flight.news(fence.shard);
        let awaited = is_awaited(call, fence, flight);
        match maps.borrow_and_update().member(&flight.sender) {
            _ if !awaited => return false,
            Some(_) if flight.sender == fence.node => return !call.flight.is_own(&flight.attempt),
            Some(_) if Instant::now() < end => {}
            Some(_) | None => return true,
        }
        tokio::select! {
            () = news => {}
            Ok(()) = maps.changed() => {}
        }
    }
}

/// Whether this node owns the shard as when it gained it, and awaits the outcome.
fn is_awaited(call: &Call, fence: &Fence, flight: &InFlightCall) -> bool {
    let awaited = call.member.shards().inspect(fence.shard, |state| {
        let held = state.role == Role::Primary && state.epoch == fence.epoch;
        held && state.replica.awaits_outcome(&flight.call, &flight.attempt)
    });
    awaited.unwrap_or(false)
}

async fn is_fenced(call: &Call, fence: &Fence, flight: &InFlightCall) -> bool {
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
