//! Retirement of a history host.
//!
//! The host rejects new records, sends all its records to the others, leaves the membership and
//! reports completion. Calls that a client still sends to it under the old membership are rejected;
//! the client receives the new membership from the other hosts.
//!
//! A host isn't emptied while fewer than `t + 1` other members accept records: no record could be committed
//! without it. The order stays running, and the host accepts records, until enough others do. Hosts that
//! retire at the same time would wait for each other otherwise.

use std::time::Duration;

use eyre::WrapErr;
use eyre::eyre;
use futures::future::join_all;
use node::object::Kind;
use node::object::ObjectStore;
use serde_json::json;
use tokio::sync::watch;

use crate::copy;
use crate::gather::gather;
use crate::join;
use crate::join::Config;
use crate::membership::Membership;
use crate::place;
use crate::record::Record;
use crate::server::Server;

/// Mean delay before a failed attempt is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Mean delay between checks whether enough others are members; the object store's calls are priced.
const CHECK_DELAY: Duration = Duration::from_millis(2000);

/// How an attempt to retire a host ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Retired,
    /// The host is still a member, as too few others accept records.
    Postponed,
}

/// State of a retirement order, written to the order's status for the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Completed,
}

/// Keeps this host's place in the membership until its retirement is ordered, then retires it as soon as
/// enough others are members.
pub async fn keep_until_retired<S: ObjectStore>(
    server: &Server,
    objects: &S,
    config: &Config,
    ordered: watch::Receiver<bool>,
) {
    loop {
        let mut ordered = ordered.clone();
        let possible = async {
            // An error means that nothing follows the orders any more.
            if ordered.wait_for(|ordered| *ordered).await.is_err() {
                std::future::pending::<()>().await;
            }
            until_possible(objects, config).await;
        };
        place::keep(server, objects, config, possible).await;
        if retire(server, objects, config).await == Outcome::Retired {
            return;
        }
    }
}

/// Waits until enough other members accept records. Reads the object, as added disks may not have told this
/// one.
async fn until_possible<S: ObjectStore>(objects: &S, config: &Config) {
    let mut reported = false;
    loop {
        match join::read_membership(objects).await {
            Ok((current, _)) => {
                let needed = current.write_quorum(config.tolerated_losses);
                let accepting = accepting_members(&current, config, needed).await;
                if accepting >= needed {
                    return;
                }
                log::warn!(
                    step = "retire", peer = "history", members = current.members.len();
                    "host isn't emptied: {accepting} of {needed} other history hosts accept records"
                );
                reported = reported || report(objects, config, State::Running).await;
            }
            Err(error) => log::warn!(step = "retire", peer = "platform"; "{error:#}"),
        }
        tokio::time::sleep(join::jittered(CHECK_DELAY)).await;
    }
}

/// Number of other members that accept records; not more than `needed` are waited for.
async fn accepting_members(membership: &Membership, config: &Config, needed: usize) -> usize {
    let others = membership.without(config.me.disk).members;
    let calls = others.into_iter().map(|member| async move {
        let link = copy::connect(&member).await?;
        copy::append(&link, &member, Vec::new()).await.ok()
    });
    gather(calls, needed).await.len()
}

/// Retires this host, retrying until it succeeds or too few others accept records. In the latter case the
/// host rejects new records until it has joined again.
pub async fn retire<S: ObjectStore>(server: &Server, objects: &S, config: &Config) -> Outcome {
    log::info!(step = "retire", peer = "history"; "host is retiring");
    report(objects, config, State::Running).await;
    // A host that is killed after it has left the membership must not acknowledge records again.
    while !server.close().await {
        tokio::time::sleep(join::jittered(RETRY_DELAY)).await;
    }
    loop {
        match try_retire(server, objects, config).await {
            Ok(Outcome::Retired) => break,
            Ok(Outcome::Postponed) => return Outcome::Postponed,
            Err(error) => {
                log::warn!(step = "retire", peer = "history"; "not empty yet: {error:#}");
                tokio::time::sleep(join::jittered(RETRY_DELAY)).await;
            }
        }
    }
    while !report(objects, config, State::Completed).await {
        tokio::time::sleep(join::jittered(RETRY_DELAY)).await;
    }
    log::info!(step = "retire", peer = "history"; "host has retired");
    Outcome::Retired
}

async fn try_retire<S: ObjectStore>(
    server: &Server,
    objects: &S,
    config: &Config,
) -> eyre::Result<Outcome> {
    let object = objects.get(Kind::Members, join::MEMBERSHIP_OBJECT).await;
    let object = object.wrap_err("membership can't be read")?;
    let object = object.ok_or_else(|| eyre!("membership object doesn't exist"))?;
    let current: Membership = serde_json::from_value(object.spec)?;
    let next = current.without(config.me.disk);
    // Also if another disk has replaced this one: it may still copy.
    let received = hand_over(server, &next).await;
    let needed = next.write_quorum(config.tolerated_losses);
    if received < needed {
        log::warn!(
            step = "retire", peer = "history";
            "not empty yet: {received} of {needed} history hosts received the records"
        );
        return Ok(Outcome::Postponed);
    }
    if current.find(config.me.disk).is_none() {
        return Ok(Outcome::Retired);
    }
    join::write_membership(objects, &next, Some(object.revision)).await?;
    // Readers with an older membership are referred to the new one until the host is removed.
    if !server.persist(vec![Record::Membership(next.clone())]).await {
        log::warn!(step = "retire", peer = "disk"; "write to the local disk failed");
    }
    join::announce(&next, config.me.disk, next.members.len()).await;
    Ok(Outcome::Retired)
}

/// Sends all records to the others, so that each record stays committed without this host; returns the
/// number of those that have received all records.
async fn hand_over(server: &Server, others: &Membership) -> usize {
    let transfers = others
        .members
        .iter()
        .map(|member| copy::push_missing(server, member));
    let results = join_all(transfers).await;
    results.iter().filter(|result| result.is_ok()).count()
}

/// Writes the order's state to its status; returns whether the write succeeded.
async fn report<S: ObjectStore>(objects: &S, config: &Config, state: State) -> bool {
    let state = match state {
        State::Running => "running",
        State::Completed => "completed",
    };
    let status = json!({ "state": state });
    let written = objects.set_status(Kind::Retirements, &config.me.host, status);
    match written.await {
        Ok(()) => true,
        Err(error) => {
            log::warn!(step = "report retirement", peer = "platform"; "status can't be written: {error}");
            false
        }
    }
}
