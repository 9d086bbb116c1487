//! Outcomes of attempts whose shard moved while they ran: reported to the new owner.
//!
//! The new owner alone decides whether the attempt is still awaited, so a late report changes
//! nothing.

use std::time::Duration;

use coord::id::Attempt;
use coord::id::Shard;
use coord::record::Call;
use coord::record::Outcome;
use coord::record::Record;
use tokio::time::Instant;
use wire::SettleReply;
use wire::SettleRequest;
use wire::settle_reply::Reply;

use crate::clock::unix_ms;
use crate::flight::Flight;
use crate::ledger;
use crate::ledger::Stop;
use crate::member::Member;
use crate::shards::Moved;

const STEP: &str = "settle";

/// Leases for which a report looks for an owner of the shard.
const LEASES: u32 = 2;

/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for the owner's reply.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Records an outcome here, or at whichever node owns the shard by now.
pub async fn report(
    member: &Member,
    call: &Call,
    shard: Shard,
    attempt: &Attempt,
    outcome: Outcome,
) -> Result<(), Stop> {
    let end = Instant::now() + member.lease.duration() * LEASES;
    loop {
        let shards = member.shards();
        let here = ledger::record_outcome(shards, call, shard, attempt, outcome.clone()).await;
        let moved = match here {
            Err(Stop::Moved(moved)) => moved,
            settled => return settled,
        };
        match forward(member, call, shard, attempt, &outcome).await {
            Some(true) => return Ok(()),
            Some(false) => return Err(ledger::not_awaited().into()),
            None if Instant::now() > end => return Err(moved.into()),
            None => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Whether the owner recorded it; none if no owner could be asked.
async fn forward(
    member: &Member,
    call: &Call,
    shard: Shard,
    attempt: &Attempt,
    outcome: &Outcome,
) -> Option<bool> {
    let peer = member.owner(shard).filter(|peer| !peer.me)?;
    let record = Record::Settled {
        call: call.clone(),
        attempt: attempt.clone(),
        outcome: outcome.clone(),
        at_ms: unix_ms(),
    };
    let request = SettleRequest {
        node: member.node().to_string(),
        shard: shard.0.into(),
        record: postcard::to_stdvec(&record).ok()?.into(),
    };
    let mut client = member.peers().owner(peer.addr);
    let reply = tokio::time::timeout(TIMEOUT, client.settle(request)).await;
    match reply {
        Ok(Ok(reply)) => match reply.into_inner().reply {
            Some(Reply::Recorded(recorded)) => Some(recorded),
            Some(Reply::Moved(_)) | None => None,
        },
        Ok(Err(status)) => {
            log::warn!(step = STEP, peer = peer.node.as_str(); "{}", status.message());
            None
        }
        Err(_) => {
            log::warn!(step = STEP, peer = peer.node.as_str(); "no reply in time");
            None
        }
    }
}

/// Takes a report of a shard's former owner.
pub async fn take(member: &Member, flight: &Flight, request: SettleRequest) -> SettleReply {
    let shard = Shard(request.shard as u16);
    let reply = match postcard::from_bytes(&request.record) {
        Ok(Record::Settled {
            call,
            attempt,
            outcome,
            ..
        }) => {
            let shards = member.shards();
            match ledger::record_outcome(shards, &call, shard, &attempt, outcome).await {
                Ok(()) => Reply::Recorded(true),
                Err(Stop::Moved(Moved { shard, epoch })) => Reply::Moved(wire::Moved {
                    shard: shard.0.into(),
                    epoch: epoch.0,
                }),
                Err(_) => Reply::Recorded(false),
            }
        }
        _ => Reply::Recorded(false),
    };
    flight.settled(shard);
    SettleReply { reply: Some(reply) }
}
