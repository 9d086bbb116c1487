//! Retirement of a history host.
//!
//! The host rejects new records, sends all its records to the others, leaves the membership and
//! reports completion. Calls that a client still sends to it under the old membership are rejected;
//! the client receives the new membership from the other hosts.
//!
//! A host isn't emptied while fewer than `t + 1` other members accept records, as no record could be committed
//! without it, nor while one of the others is away and the retirement would leave no spare disk: if that one
//! is gone, it couldn't be evicted any more. The order stays running, and the host accepts records, until then.

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

/// Keeps this host's place in the membership until its retirement is ordered, then retires it as soon as the
/// others can do without it. An order may be withdrawn until then.
pub async fn keep_until_retired<S: ObjectStore>(
    server: &Server,
    objects: &S,
    config: &Config,
    ordered: watch::Receiver<bool>,
) {
    let mut retirement = Retirement::new(server, objects, config);
    loop {
        let possible = retirement.until_possible(ordered.clone());
        place::keep(server, objects, config, possible).await;
        if retirement.attempt().await == Outcome::Retired {
            return;
        }
        tokio::time::sleep(join::jittered(CHECK_DELAY)).await;
    }
}

/// Retires this host, retrying until it succeeds or the others can't do without it.
pub async fn retire<S: ObjectStore>(server: &Server, objects: &S, config: &Config) -> Outcome {
    Retirement::new(server, objects, config).attempt().await
}

/// Retirement of one host.
struct Retirement<'a, S> {
    server: &'a Server,
    objects: &'a S,
    config: &'a Config,
    /// Whether the order's status says that it is running.
    reported: bool,
}

impl<'a, S: ObjectStore> Retirement<'a, S> {
    fn new(server: &'a Server, objects: &'a S, config: &'a Config) -> Retirement<'a, S> {
        Retirement {
            server,
            objects,
            config,
            reported: false,
        }
    }

    /// Waits until the retirement is ordered and the others can do without this host.
    async fn until_possible(&mut self, mut ordered: watch::Receiver<bool>) {
        loop {
            // An error means that nothing follows the orders any more.
            if ordered.wait_for(|ordered| *ordered).await.is_err() {
                std::future::pending::<()>().await;
            }
            if self.is_possible().await {
                return;
            }
            self.report_running().await;
            tokio::time::sleep(join::jittered(CHECK_DELAY)).await;
        }
    }

    /// Reads the object, as added disks may not have told this host.
    async fn is_possible(&self) -> bool {
        let current = match join::read_membership(self.objects).await {
            Ok((current, _)) => current,
            Err(error) => {
                log::warn!(step = "retire", peer = "platform"; "{error:#}");
                return false;
            }
        };
        let others = current.without(self.config.me.disk);
        let needed = needed_members(&others, self.config.tolerated_losses);
        let accepting = accepting_members(&others, needed).await;
        if accepting < needed {
            log::warn!(
                step = "retire", peer = "history", members = current.members.len();
                "host isn't emptied: {accepting} of {needed} other history hosts accept records"
            );
        }
        accepting >= needed
    }

    /// Retires this host, unless the others can't do without it; then it accepts records again.
    async fn attempt(&mut self) -> Outcome {
        log::info!(step = "retire", peer = "history"; "host is retiring");
        self.report_running().await;
        // A host that is killed after it has left the membership must not acknowledge records again.
        while !self.server.close().await {
            tokio::time::sleep(join::jittered(RETRY_DELAY)).await;
        }
        let mut removal_sent = false;
        loop {
            match self.try_retire(&mut removal_sent).await {
                Ok(Outcome::Retired) => break,
                Ok(Outcome::Postponed) => return self.postpone(removal_sent).await,
                Err(error) => {
                    log::warn!(step = "retire", peer = "history"; "not empty yet: {error:#}");
                    if !removal_sent {
                        return self.postpone(removal_sent).await;
                    }
                    tokio::time::sleep(join::jittered(RETRY_DELAY)).await;
                }
            }
        }
        while !report(self.objects, self.config, State::Completed).await {
            tokio::time::sleep(join::jittered(RETRY_DELAY)).await;
        }
        log::info!(step = "retire", peer = "history"; "host has retired");
        Outcome::Retired
    }

    /// Accepts records again, if no update of this process may have removed the disk. Otherwise the disk joins
    /// again, which supersedes the update.
    async fn postpone(&self, removal_sent: bool) -> Outcome {
        if !removal_sent && !self.server.reopen().await {
            log::warn!(step = "retire", peer = "disk"; "write to the local disk failed");
        }
        Outcome::Postponed
    }

    /// Does all steps once; sets `removal_sent` before it sends an update that removes the disk.
    ///
    /// Errors: the membership can't be read or written, or was changed meanwhile.
    async fn try_retire(&self, removal_sent: &mut bool) -> eyre::Result<Outcome> {
        let (me, losses) = (self.config.me.disk, self.config.tolerated_losses);
        let object = self.objects.get(Kind::Members, join::MEMBERSHIP_OBJECT);
        let object = object.await.wrap_err("membership can't be read")?;
        let object = object.ok_or_else(|| eyre!("membership object doesn't exist"))?;
        let current: Membership = serde_json::from_value(object.spec)?;
        let next = current.without(me);
        // Also if another disk has replaced this one: it may still copy.
        let received = hand_over(self.server, &next).await;
        let needed = needed_members(&next, losses);
        if received < needed {
            log::warn!(
                step = "retire", peer = "history";
                "not empty yet: {received} of {needed} history hosts received the records"
            );
            return Ok(Outcome::Postponed);
        }
        if current.find(me).is_none() {
            return Ok(Outcome::Retired);
        }
        *removal_sent = true;
        join::write_membership(self.objects, &next, Some(object.revision)).await?;
        // Readers with an older membership are referred to the new one until the host is removed.
        let record = Record::Membership(next.clone());
        if !self.server.persist(vec![record]).await {
            log::warn!(step = "retire", peer = "disk"; "write to the local disk failed");
        }
        join::announce(&next, me, next.members.len()).await;
        Ok(Outcome::Retired)
    }

    async fn report_running(&mut self) {
        self.reported = self.reported || report(self.objects, self.config, State::Running).await;
    }
}

/// Number of the others that must accept records, so that this host isn't needed: without a spare disk all,
/// as one that is away may be gone.
fn needed_members(others: &Membership, tolerated_losses: usize) -> usize {
    let needed = others.write_quorum(tolerated_losses);
    match others.has_spare(tolerated_losses) {
        true => needed,
        false => needed.max(others.members.len()),
    }
}

/// Number of members that accept records; not more than `needed` are waited for.
async fn accepting_members(membership: &Membership, needed: usize) -> usize {
    let members = membership.members.iter().cloned();
    let calls = members.map(|member| async move {
        let link = copy::connect(&member).await?;
        copy::append(&link, &member, Vec::new()).await.ok()
    });
    gather(calls, needed).await.len()
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
