//! How a disk comes to count; the reasons stand in [`crate::membership`].

use std::time::Duration;

use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use futures::future::join_all;
use node::link::Link;
use node::object::Error;
use node::object::Kind;
use node::object::Objects;
use node::object::Revision;

use crate::copy;
use crate::copy::Copier;
use crate::membership::Member;
use crate::membership::Membership;
use crate::membership::Step;
use crate::message::Answer;
use crate::message::Call;
use crate::record::Disk;
use crate::record::Record;
use crate::server::Server;

/// Name of the membership's object.
pub const MEMBERSHIP_OBJECT: &str = "history";

/// Pause before joining is tried again.
const PAUSE: Duration = Duration::from_millis(100);

/// What a joining disk knows of itself and the system.
#[derive(Debug, Clone)]
pub struct Config {
    pub me: Member,
    /// Disks that may be lost.
    pub tolerated_losses: usize,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}

/// Makes this disk count, however long it takes.
pub async fn join<O: Objects>(server: &Server, objects: &O, config: &Config) {
    loop {
        match attempt(server, objects, config).await {
            Ok(()) => return,
            Err(error) => {
                log::warn!(step = "join", peer = "history"; "doesn't count yet: {error:#}");
                tokio::time::sleep(jittered(PAUSE)).await;
            }
        }
    }
}

async fn attempt<O: Objects>(server: &Server, objects: &O, config: &Config) -> eyre::Result<()> {
    let me = &config.me;
    let (current, revision) = read(objects).await?;
    if current.find(me.disk).is_some() && server.joining() {
        return finish(server, &mut Copier::new(server), current, config).await;
    }
    let known = current.members.iter().any(|member| member.host == me.host);
    let unreachable = match config.first_start || known {
        true => Vec::new(),
        false => copy::unreachable(&current, me.disk).await,
    };
    match current.step(me, &unreachable, config.first_start) {
        Step::Member => {
            keep(server, Record::Membership(current.clone())).await?;
            log::info!(step = "join", peer = "history", epoch:% = current.epoch; "disk counts");
            Ok(())
        }
        Step::Add | Step::Move => {
            let next = current.with(me.clone(), None);
            write(objects, &next, revision).await?;
            keep(server, Record::Membership(next.clone())).await?;
            inform(&next, me.disk).await;
            log::info!(step = "join", peer = "history", epoch:% = next.epoch; "disk counts from now on");
            Ok(())
        }
        Step::Replace(old) => {
            let others = current.without(old).without(me.disk);
            let needed = current
                .members
                .len()
                .saturating_sub(config.tolerated_losses);
            let mut copier = Copier::new(server);
            copy(server, &mut copier, &others, needed).await?;
            let next = current.with(me.clone(), Some(old));
            keep(server, Record::Joining(true)).await?;
            write(objects, &next, revision).await?;
            log::info!(
                step = "join", peer = "history", epoch:% = next.epoch, replaces:% = old;
                "disk takes the place of another"
            );
            finish(server, &mut copier, next, config).await
        }
    }
}

/// Copies what was written until the others knew of this disk; from then on it answers for all.
async fn finish(
    server: &Server,
    copier: &mut Copier,
    membership: Membership,
    config: &Config,
) -> eyre::Result<()> {
    let disk = config.me.disk;
    let others = membership.without(disk);
    let needed = membership
        .members
        .len()
        .saturating_sub(config.tolerated_losses);
    keep(server, Record::Membership(membership.clone())).await?;
    let informed = inform(&membership, disk).await;
    if informed < needed {
        bail!("{informed} of {needed} history hosts know of this disk");
    }
    copy(server, copier, &others, needed).await?;
    keep(server, Record::Joining(false)).await?;
    log::info!(step = "join", peer = "history", epoch:% = membership.epoch; "disk holds all records");
    Ok(())
}

async fn read<O: Objects>(objects: &O) -> eyre::Result<(Membership, Option<Revision>)> {
    let object = objects.get(Kind::Members, MEMBERSHIP_OBJECT).await;
    match object.wrap_err("reading the membership")? {
        None => Ok((Membership::default(), None)),
        Some(object) => {
            let membership = serde_json::from_value(object.spec);
            Ok((
                membership.wrap_err("reading the membership")?,
                Some(object.revision),
            ))
        }
    }
}

/// Replaces the membership, unless it has changed.
///
/// Errors: it has changed, or it isn't known whether the write took effect.
pub async fn write<O: Objects>(
    objects: &O,
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
        Err(error) => Err(error).wrap_err("writing the membership"),
    }
}

async fn keep(server: &Server, record: Record) -> eyre::Result<()> {
    match server.keep(vec![record]).await {
        true => Ok(()),
        false => Err(eyre!("own disk fails")),
    }
}

/// Copies from all others; `needed` of them must have shown all that they hold.
async fn copy(
    server: &Server,
    copier: &mut Copier,
    others: &Membership,
    needed: usize,
) -> eyre::Result<()> {
    let copied = copier.copy(server, others, needed).await;
    match copied < needed {
        true => bail!("{copied} of {needed} history hosts copied"),
        false => Ok(()),
    }
}

/// Tells all other members; returns how many know.
pub async fn inform(membership: &Membership, me: Disk) -> usize {
    let others = membership.members.iter().filter(|other| other.disk != me);
    let told = others.map(|member| async {
        let link = Link::new(member.address);
        let news = Call::Inform(membership.clone());
        matches!(
            copy::call(&link, member.disk, &news).await,
            Ok(Answer::Informed)
        )
    });
    let told = join_all(told).await;
    told.into_iter().filter(|told| *told).count()
}

/// A pause of half to one and a half times this length.
pub fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}
