//! Renewal of this node's lease, with the reading of tickets that goes before it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Version;
use coord::time::Time;
use node::error;
use node::platform::Condition;
use node::platform::Error;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::lease;
use crate::lease::Object;
use crate::member::Member;
use crate::promise;

/// Renewals in the length of a lease.
const RENEWALS: u32 = 3;

/// Rounds of promises in the length of a lease, besides the platform's time to answer.
const PROMISES: u32 = 6;

/// Attempts in the length of a lease while renewals fail.
const ATTEMPTS: u32 = 12;

/// What became of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Renewed,
    /// All members promised in place of the platform.
    Promised,
    /// Another node fenced the lease.
    Fenced,
    /// Nothing was achieved.
    Failed,
}

/// Renews until dropped.
pub async fn run(member: Arc<Member>) {
    let mut outcome = Outcome::Failed;
    loop {
        let length = member.lease.duration();
        // The platform is given less time while promises have to be renewed beside it.
        let limit = match outcome {
            Outcome::Promised => length / PROMISES,
            Outcome::Renewed | Outcome::Fenced | Outcome::Failed => length / RENEWALS,
        };
        outcome = renew(&member, limit).await;
        let pause = match outcome {
            Outcome::Renewed => length / RENEWALS,
            Outcome::Promised => length / PROMISES,
            Outcome::Failed => length / ATTEMPTS,
            Outcome::Fenced => {
                member.lose();
                Duration::ZERO
            }
        };
        sleep(pause).await;
    }
}

async fn renew(member: &Member, limit: Duration) -> Outcome {
    let sent = member.now();
    match timeout(limit, write(member, sent)).await {
        Ok(Ok(outcome)) => {
            member.shards().upkeep.notify_one();
            outcome
        }
        Ok(Err(cause)) => {
            error::warn(&error::Error::new("renew lease", "platform", cause));
            instead(member).await
        }
        Err(_) => instead(member).await,
    }
}

/// Asks the other members in place of the platform.
async fn instead(member: &Member) -> Outcome {
    let held = member.lease.version().is_some();
    match held && promise::ask(member).await {
        true => Outcome::Promised,
        false => Outcome::Failed,
    }
}

/// Reads tickets, then renews.
async fn write(member: &Member, sent: Time) -> Result<Outcome, Error> {
    let known = member.lease.version();
    let shown = member.store.refresh(&member.platform).await?;
    if known.is_some_and(|version| shown < version) {
        return Err(Error::Malformed("stale listing".to_owned()));
    }
    let condition = known.map_or(Condition::Absent, Condition::At);
    let object = member.lease.next_object();
    let name = lease::object_name(&object.node);
    match member
        .platform
        .update(&name, encode(&object), condition)
        .await
    {
        Ok(version) => {
            member.lease.renewed(sent, version);
            Ok(Outcome::Renewed)
        }
        Err(Error::Conflict { current }) => adopt(member, &name, &object, current).await,
        Err(error) => Err(error),
    }
}

/// Tells an earlier renewal of our own, whose reply was lost, from a fence.
async fn adopt(
    member: &Member,
    name: &str,
    ours: &Object,
    current: Version,
) -> Result<Outcome, Error> {
    let stale = || Error::Malformed("stale lease".to_owned());
    match member.platform.get(name).await? {
        None if current == Version(0) => Ok(Outcome::Fenced),
        None => Err(stale()),
        Some(read) if read.version < current => Err(stale()),
        Some(read) => match decode(&read.value) {
            Some(object) if object.node == ours.node && !object.revoked => {
                member.lease.adopted(read.version);
                Ok(Outcome::Failed)
            }
            _ => Ok(Outcome::Fenced),
        },
    }
}

/// A lease object as it is written.
pub fn encode(object: &Object) -> Bytes {
    Bytes::from(serde_json::to_vec(object).unwrap_or_default())
}

/// A lease object as read; none: damaged.
pub fn decode(value: &[u8]) -> Option<Object> {
    serde_json::from_slice(value).ok()
}

/// Gives the lease up, so that nobody has to wait for its end.
pub async fn release(member: &Member) {
    if let Some(version) = member.lease.version() {
        let name = lease::object_name(&member.node());
        let deleted = member.platform.delete(&name, Condition::At(version)).await;
        if let Err(cause) = deleted {
            error::warn(&error::Error::new("release lease", "platform", cause));
        }
    }
}
