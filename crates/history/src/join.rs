//! Adds a disk to the membership; [`crate::membership`] explains the required steps.

use std::time::Duration;

use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use node::link::Link;
use node::object::Error;
use node::object::Kind;
use node::object::ObjectStore;
use node::object::Revision;
use tokio::time::Instant;

use crate::copy;
use crate::copy::Copier;
use crate::gather::gather;
use crate::membership::Change;
use crate::membership::Member;
use crate::membership::Membership;
use crate::message::Answer;
use crate::message::Call;
use crate::record::Disk;
use crate::record::Record;
use crate::server::Server;

/// Name of the platform object that contains the membership.
pub const MEMBERSHIP_OBJECT: &str = "history";

/// Mean delay before a failed attempt to join is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Mean delay before a disk that has withdrawn is added again; others complete their joining meanwhile.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(1000);

/// Configuration of a history host.
#[derive(Debug, Clone)]
pub struct Config {
    pub me: Member,
    /// Number of disks that may be lost without losing records.
    pub tolerated_losses: usize,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}

/// Changes of the membership that aren't repeated by each attempt to join.
#[derive(Debug, Default)]
struct Attempts {
    /// Whether the membership was replaced by this process, so that no earlier removal of the disk
    /// can take effect.
    superseded: bool,
}

/// Makes this disk a member, retrying until it succeeds.
pub async fn join<S: ObjectStore>(server: &Server, objects: &S, config: &Config) {
    let mut attempts = Attempts::default();
    loop {
        match try_join(server, objects, config, &mut attempts).await {
            Ok(()) => return,
            Err(error) => {
                log::warn!(step = "join", peer = "history"; "doesn't count yet: {error:#}");
                tokio::time::sleep(jittered(RETRY_DELAY)).await;
            }
        }
    }
}

async fn try_join<S: ObjectStore>(
    server: &Server,
    objects: &S,
    config: &Config,
    attempts: &mut Attempts,
) -> eyre::Result<()> {
    let me = &config.me;
    let (current, revision) = read_membership(objects).await?;
    if current.find(me.disk) == Some(me) && server.joining() {
        if current.only_grew() {
            // No disk was ever replaced, so this one was added and has nothing to copy.
            persist(server, Record::Joining(false)).await?;
            return begin_writes(server, current, config).await;
        }
        return complete_join(server, &mut Copier::new(server), current, config).await;
    }
    let host_is_member = current.members.iter().any(|member| member.host == me.host);
    let unreachable = match config.first_start || host_is_member {
        true => Vec::new(),
        false => copy::unreachable(&current, me.disk).await,
    };
    match current.change_for(me, &unreachable, config.first_start) {
        // A removal that this host requested before it was killed may still take effect; a newer
        // revision of the object prevents that.
        Change::None if server.is_closed() && !attempts.superseded => {
            let next = current.with_member(me.clone(), None);
            write_membership(objects, &next, revision).await?;
            attempts.superseded = true;
            begin_writes(server, next, config).await
        }
        Change::None if server.is_closed() => begin_writes(server, current, config).await,
        Change::None if server.is_known_member() => {
            persist(server, Record::Membership(current.clone())).await?;
            // Builds that stored their membership first may have been stopped before they sent it. Up to
            // `t` of the others may be lost; these receive it in the background.
            let wanted = current.copy_quorum(config.tolerated_losses + 1);
            announce(&current, me.disk, wanted).await;
            log::info!(step = "join", peer = "history", epoch:% = current.epoch; "disk counts");
            Ok(())
        }
        Change::None => {
            let begun = begin_writes(server, current.clone(), config).await;
            // The first disks begin by themselves as long as none is removed.
            if begun.is_err() && !current.only_grew() {
                withdraw(objects, &current, revision, config).await?;
            }
            begun
        }
        Change::Move => {
            let next = current.with_member(me.clone(), None);
            write_membership(objects, &next, revision).await?;
            log::info!(step = "join", peer = "history", epoch:% = next.epoch; "disk has moved");
            attempts.superseded = true;
            begin(server, next, config).await
        }
        Change::Return => {
            let next = current.with_member(me.clone(), Some(me.disk.vacancy()));
            write_membership(objects, &next, revision).await?;
            log::info!(
                step = "join", peer = "history", epoch:% = next.epoch;
                "disk takes its place back"
            );
            attempts.superseded = true;
            begin(server, next, config).await
        }
        // An earlier request to replace another disk may still take effect. If this disk were added now
        // and killed, it couldn't tell which of the two made it a member, and would wait for others to
        // copy; a newer revision of the object prevents that.
        Change::Add if server.joining() && !current.only_grew() => {
            let next = current.without(me.disk);
            write_membership(objects, &next, revision).await?;
            // An older membership that names this disk would make it count for absent records.
            persist(server, Record::Membership(next)).await?;
            persist(server, Record::Joining(false)).await?;
            bail!("an earlier request to replace another disk is superseded")
        }
        Change::Add => {
            let next = current.with_member(me.clone(), None);
            persist(server, Record::Membership(current)).await?;
            write_membership(objects, &next, revision).await?;
            log::info!(step = "join", peer = "history", epoch:% = next.epoch; "disk is added");
            // Only now no earlier request to replace another disk can take effect.
            persist(server, Record::Joining(false)).await?;
            begin_writes(server, next, config).await
        }
        Change::Replace(old) => {
            let others = current.without(old).without(me.disk).members;
            let needed = current.copy_quorum(config.tolerated_losses);
            let mut copier = Copier::new(server);
            copy_from_quorum(server, &mut copier, &others, needed).await?;
            let next = current.with_member(me.clone(), Some(old));
            persist(server, Record::Membership(current)).await?;
            persist(server, Record::Joining(true)).await?;
            write_membership(objects, &next, revision).await?;
            log::info!(
                step = "join", peer = "history", epoch:% = next.epoch, replaces:% = old;
                "disk replaces another"
            );
            complete_join(server, &mut copier, next, config).await
        }
    }
}

/// Begins to count as a member of a new membership; a disk that replaces another one copies first.
async fn begin(server: &Server, membership: Membership, config: &Config) -> eyre::Result<()> {
    match server.joining() {
        true => complete_join(server, &mut Copier::new(server), membership, config).await,
        false => begin_writes(server, membership, config).await,
    }
}

/// Leaves the membership again, as too few others acknowledge records to inform them. Two added hosts
/// would wait for each other otherwise. Nothing is lost: this disk hasn't acknowledged any record.
async fn withdraw<S: ObjectStore>(
    objects: &S,
    current: &Membership,
    revision: Option<Revision>,
    config: &Config,
) -> eyre::Result<()> {
    let next = current.without(config.me.disk);
    write_membership(objects, &next, revision).await?;
    log::info!(step = "join", peer = "history", epoch:% = next.epoch; "disk is withdrawn for now");
    tokio::time::sleep(jittered(WITHDRAWAL_DELAY)).await;
    Ok(())
}

/// Acknowledges records once enough of the others have received the membership. The membership is
/// stored only then, so that a host that is killed in between informs them after its next start.
async fn begin_writes(
    server: &Server,
    membership: Membership,
    config: &Config,
) -> eyre::Result<()> {
    let is_founder = membership.is_founder(config.me.disk, config.tolerated_losses);
    if !is_founder {
        inform_quorum(&membership, config).await?;
    }
    persist(server, Record::Membership(membership.clone())).await?;
    reopen(server).await?;
    log::info!(
        step = "join", peer = "history", epoch:% = membership.epoch;
        "disk counts from now on"
    );
    if is_founder {
        // Entries that read the object before learn of this disk from the others.
        let me = config.me.disk;
        let wanted = membership.members.len();
        tokio::spawn(async move { announce(&membership, me, wanted).await });
    }
    Ok(())
}

/// Sends the new membership to the others, then copies the records committed in the meantime. After
/// that, the disk's answers count toward read quorums.
async fn complete_join(
    server: &Server,
    copier: &mut Copier,
    membership: Membership,
    config: &Config,
) -> eyre::Result<()> {
    let started = Instant::now();
    let needed = membership.copy_quorum(config.tolerated_losses);
    let informed = inform_quorum(&membership, config).await?;
    persist(server, Record::Membership(membership.clone())).await?;
    reopen(server).await?;
    // A host that hasn't received the membership may still acknowledge records of the replaced disk
    // after it was copied.
    let members = membership.members.into_iter();
    let sources: Vec<Member> = members
        .filter(|member| informed.contains(&member.disk))
        .collect();
    if sources.len() < needed {
        bail!(
            "{} of {needed} history hosts received the membership",
            sources.len()
        );
    }
    copy_from_quorum(server, copier, &sources, needed).await?;
    persist(server, Record::Joining(false)).await?;
    log::info!(
        step = "join", peer = "history", epoch:% = membership.epoch,
        took_ms = started.elapsed().as_millis() as u64;
        "disk holds all records"
    );
    Ok(())
}

/// Sends a membership with this disk to the other members; returns the disks that received it.
///
/// Errors: too few received it for this disk to acknowledge records.
async fn inform_quorum(membership: &Membership, config: &Config) -> eyre::Result<Vec<Disk>> {
    let needed = membership.inform_quorum(config.tolerated_losses);
    let wanted = membership.copy_quorum(config.tolerated_losses).max(needed);
    let informed = announce(membership, config.me.disk, wanted).await;
    if informed.len() < needed {
        bail!(
            "{} of {needed} history hosts received the membership",
            informed.len()
        );
    }
    Ok(informed)
}

/// The membership object and its revision, or an empty membership if it doesn't exist.
///
/// Errors: the object can't be read or is invalid.
pub async fn read_membership<S: ObjectStore>(
    objects: &S,
) -> eyre::Result<(Membership, Option<Revision>)> {
    let object = objects.get(Kind::Members, MEMBERSHIP_OBJECT).await;
    match object.wrap_err("membership can't be read")? {
        None => Ok((Membership::default(), None)),
        Some(object) => {
            let membership = serde_json::from_value(object.spec);
            Ok((
                membership.wrap_err("membership object is invalid")?,
                Some(object.revision),
            ))
        }
    }
}

/// Replaces the membership object if its revision is still `revision`; `None` creates the object.
///
/// Errors: the object has changed, or the write failed; after a failure it may have taken effect.
pub async fn write_membership<S: ObjectStore>(
    objects: &S,
    next: &Membership,
    revision: Option<Revision>,
) -> eyre::Result<()> {
    let spec = serde_json::to_value(next)?;
    let written = match revision {
        None => objects.create(Kind::Members, MEMBERSHIP_OBJECT, spec).await,
        Some(revision) => {
            objects
                .update(Kind::Members, MEMBERSHIP_OBJECT, revision, spec)
                .await
        }
    };
    match written {
        Ok(()) => Ok(()),
        Err(Error::Conflict) => Err(eyre!("another host changed the membership")),
        Err(error) => Err(error).wrap_err("membership can't be written"),
    }
}

async fn persist(server: &Server, record: Record) -> eyre::Result<()> {
    match server.persist(vec![record]).await {
        true => Ok(()),
        false => Err(eyre!("write to the local disk failed")),
    }
}

async fn reopen(server: &Server) -> eyre::Result<()> {
    match server.reopen().await {
        true => Ok(()),
        false => Err(eyre!("write to the local disk failed")),
    }
}

/// Copies records from all reachable ones of `members`.
///
/// Errors: fewer than `needed` of them were copied completely.
async fn copy_from_quorum(
    server: &Server,
    copier: &mut Copier,
    members: &[Member],
    needed: usize,
) -> eyre::Result<()> {
    let copied = copier.copy(server, members, needed).await;
    match copied < needed {
        true => bail!("records of {copied} of {needed} history hosts copied"),
        false => Ok(()),
    }
}

/// Sends the membership to all members other than `me`; returns the disks that received it and
/// acknowledge records. Waits for all of them until `wanted` have received it; the others are called
/// on in the background.
pub async fn announce(membership: &Membership, me: Disk, wanted: usize) -> Vec<Disk> {
    let call = Call::Inform(membership.clone());
    let others = membership.members.iter().filter(|other| other.disk != me);
    let calls = others.cloned().map(|member| {
        let call = call.clone();
        async move {
            let link = Link::new(member.address);
            match copy::call(&link, member.disk, &call).await {
                Ok(Answer::Informed) => Some(member.disk),
                Ok(answer) => {
                    log::debug!(
                        step = "announce", peer:% = member.host;
                        "membership isn't received: {answer:?}"
                    );
                    None
                }
                Err(error) => {
                    log::debug!(
                        step = "announce", peer:% = member.host;
                        "membership isn't received: {error:#}"
                    );
                    None
                }
            }
        }
    });
    gather(calls, wanted).await
}

/// Random delay between 0.5 and 1.5 times `mean`.
pub fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::random_range(0.5..1.5))
}
