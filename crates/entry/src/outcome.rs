//! Outcomes of attempts, recorded at whoever owns the shard by now.
//!
//! A shard may be handed over while a call runs. The node that began the call goes on with it and
//! sends the outcome to the new owner, which waits for it as long as that node is in the fleet.

use std::time::Duration;

use coord::id;
use coord::id::Attempt;
use coord::id::Shard;
use coord::record::Call;
use coord::record::Outcome;
use tokio::time::Instant;
use wire::SettleReply;
use wire::SettleRequest;
use wire::settle_reply::State;

use crate::job::Job;
use crate::ledger;
use crate::ledger::Stop;
use crate::member::Member;
use crate::member::Peer;

const STEP: &str = "settle";
/// Pause before the owner is looked up again.
const PAUSE: Duration = Duration::from_millis(25);
/// Time for the reply of another owner.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Leases for which an owner is looked for.
const LEASES: u32 = 3;

/// Records an attempt's outcome in two places, here or at the shard's new owner.
pub async fn settle(
    member: &Member,
    job: &Job,
    attempt: &Attempt,
    outcome: Outcome,
) -> Result<(), Stop> {
    if !job.recorded {
        return Ok(());
    }
    let (call, shards) = (&job.call, member.shards());
    let end = Instant::now() + member.lease_duration() * LEASES;
    loop {
        let settled =
            ledger::record_outcome(shards, call, job.shard, attempt, outcome.clone()).await;
        let Err(Stop::Moved(moved)) = settled else {
            return settled;
        };
        let owner = member.owner(job.shard).filter(|owner| !owner.me);
        let state = match owner {
            Some(owner) => forward(member, &owner, job, attempt, &outcome).await,
            None => State::Moved,
        };
        match state {
            State::Recorded => return Ok(()),
            State::NotAwaited | State::Lost => return Err(ledger::not_awaited().into()),
            State::Moved if Instant::now() > end => return Err(Stop::Moved(moved)),
            State::Moved => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn forward(
    member: &Member,
    owner: &Peer,
    job: &Job,
    attempt: &Attempt,
    outcome: &Outcome,
) -> State {
    let (Ok(call), Ok(outcome)) = (postcard::to_stdvec(&job.call), postcard::to_stdvec(outcome))
    else {
        return State::Lost;
    };
    let request = SettleRequest {
        shard: job.shard.0.into(),
        call: call.into(),
        attempt: attempt.to_string(),
        outcome: outcome.into(),
    };
    let mut client = member.peers().owner(owner.addr);
    match tokio::time::timeout(TIMEOUT, client.settle(request)).await {
        Ok(Ok(reply)) => reply.into_inner().state(),
        Ok(Err(status)) => {
            log::warn!(step = STEP, peer = owner.node.as_str(); "{}", status.message());
            State::Moved
        }
        Err(_) => State::Moved,
    }
}

/// Records an outcome that another node sends.
pub async fn serve(member: &Member, request: &SettleRequest) -> SettleReply {
    let state = match read(request) {
        None => State::NotAwaited,
        Some((shard, call, attempt, outcome)) => {
            let shards = member.shards();
            match ledger::record_outcome(shards, &call, shard, &attempt, outcome).await {
                Ok(()) => State::Recorded,
                Err(Stop::Moved(_)) => State::Moved,
                Err(_) => State::NotAwaited,
            }
        }
    };
    SettleReply {
        state: state.into(),
    }
}

fn read(request: &SettleRequest) -> Option<(Shard, Call, Attempt, Outcome)> {
    let shard = u16::try_from(request.shard).ok().map(Shard);
    let shard = shard.filter(|shard| shard.0 < id::SHARDS)?;
    let call = postcard::from_bytes(&request.call).ok()?;
    let attempt = request.attempt.parse().ok()?;
    let outcome = postcard::from_bytes(&request.outcome).ok()?;
    Some((shard, call, attempt, outcome))
}
