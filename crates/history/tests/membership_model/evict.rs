//! Eviction of a member that doesn't answer; mirrors the product's steps. Hosts here also evict members that
//! are only out of reach for a moment.

use history::Map;
use history::Set;
use history::membership::Membership;
use history::message::Answer;
use history::message::Call;
use history::message::Position;
use history::record::Disk;
use history::record::Record;
use rand::RngExt;

use crate::copy;
use crate::disk::completeness_probe;
use crate::host;
use crate::host::Failed;
use crate::host::Process;
use crate::rules::Mutation;

/// Evicts another member, drawn at random, if it doesn't answer twice.
pub async fn evict_silent(process: &Process) -> Result<(), Failed> {
    let me = process.me().disk;
    let known = process.core.borrow().hosts[process.at]
        .index
        .membership
        .clone();
    if known.find(me).is_none() || !known.has_spare(process.losses()) {
        return Ok(());
    }
    let followers = known.followers(me, process.losses() + 1);
    let which = process
        .core
        .borrow_mut()
        .random
        .random_range(0..followers.len());
    let watched = followers[which].disk;
    for _ in 0..2 {
        if process
            .call(watched, copy::probe())
            .await
            .is_some_and(|answer| copy::is_digest(&answer))
        {
            return Ok(());
        }
    }
    evict(process, watched).await
}

async fn evict(process: &Process, disk: Disk) -> Result<(), Failed> {
    let (me, losses) = (process.me().disk, process.losses());
    let current = process.read_object().await?;
    if current.find(disk).is_none() || current.find(me).is_none() || !current.has_spare(losses) {
        return Ok(());
    }
    let needed = current.copy_quorum(losses);
    let others = current.without(me).members;
    let probes = others.iter().map(|other| {
        let probe = process.call(other.disk, completeness_probe());
        (other.disk, probe)
    });
    let is_complete = |answer: &Answer| matches!(answer, Answer::Account { complete: true, .. });
    let complete = host::gather(process, probes.collect(), needed - 1, is_complete).await;
    if complete.iter().any(|(complete, _)| *complete == disk) || complete.len() + 1 < needed {
        return Ok(());
    }
    if process.has(Mutation::EvictedWithoutVacancy) {
        return remove(process, disk, &current).await;
    }
    if disk.is_vacancy() {
        return remove(process, disk, &current).await;
    }
    let vacant = current.with_vacancy(disk);
    process.update_object(&vacant, current.epoch).await?;
    let vacant = process.read_object().await?;
    remove(process, disk.vacancy(), &vacant).await
}

/// Copies the records that the member may have held, then removes its place.
async fn remove(process: &Process, vacancy: Disk, current: &Membership) -> Result<(), Failed> {
    let losses = process.losses();
    if current.find(vacancy).is_none() {
        return Ok(());
    }
    let learned = Record::Membership(current.clone());
    process.persist(vec![learned]).await;
    let needed = current.copy_quorum(losses);
    let informed = host::announce(process, current, needed - 1).await;
    if informed.len() + 1 < needed {
        return Err(Failed);
    }
    if !process.has(Mutation::EvictedWithoutRestoring) {
        restore(process, &informed, needed, current.write_quorum(losses)).await?;
    }
    let next = current.without(vacancy);
    process.update_object(&next, current.epoch).await?;
    process
        .persist(vec![Record::Membership(next.clone())])
        .await;
    host::announce(process, &next, next.members.len()).await;
    Ok(())
}

/// A member and the records that it holds, by position.
struct Holder {
    disk: Disk,
    incarnation: u64,
    fingerprints: Vec<u64>,
    accepts: bool,
}

async fn restore(
    process: &Process,
    informed: &[Disk],
    needed: usize,
    copies: usize,
) -> Result<(), Failed> {
    let mut holders = Vec::new();
    for disk in informed {
        holders.extend(read_holder(process, *disk).await);
    }
    holders.push(read_own(process).await);
    let accepting = holders.iter().filter(|holder| holder.accepts).count();
    if holders.len() < needed || accepting < copies {
        return Err(Failed);
    }
    let mut held_by: Map<u64, Vec<(usize, Position)>> = Map::default();
    for (number, holder) in holders.iter().enumerate() {
        for (position, fingerprint) in (0..).zip(&holder.fingerprints) {
            let holders = held_by.entry(*fingerprint).or_default();
            holders.push((number, Position(position)));
        }
    }
    held_by.remove(&0);
    let mut sources: Set<usize> = Set::default();
    for held in held_by.into_values() {
        let count = held.iter().filter(|(holder, _)| holders[*holder].accepts);
        let missing = copies.saturating_sub(count.count());
        let targets = (0..holders.len()).filter(|target| {
            let holds = held.iter().any(|(holder, _)| holder == target);
            holders[*target].accepts && !holds
        });
        let (source, position) = held[0];
        for target in targets.take(missing) {
            sources.insert(source);
            transfer(
                process,
                holders[source].disk,
                holders[target].disk,
                position,
            )
            .await?;
        }
    }
    for source in sources {
        let holder = &holders[source];
        if holder.disk != process.me().disk {
            copy::check_incarnation(process, holder.disk, holder.incarnation).await?;
        }
    }
    Ok(())
}

async fn read_holder(process: &Process, disk: Disk) -> Option<Holder> {
    match process.call(disk, completeness_probe()).await {
        Some(Answer::Account { complete: true, .. }) => {}
        _ => return None,
    }
    let digest = process.call(disk, Call::Digest(Position::default()));
    let Some(Answer::Digest {
        incarnation,
        fingerprints,
        end: true,
        ..
    }) = digest.await
    else {
        return None;
    };
    let synced = process.call(disk, Call::Append(Vec::new())).await;
    let listing = copy::check_incarnation(process, disk, incarnation).await;
    listing.ok()?;
    Some(Holder {
        disk,
        incarnation,
        fingerprints,
        accepts: synced == Some(Answer::Appended),
    })
}

async fn read_own(process: &Process) -> Holder {
    let (fingerprints, _, end) = process.core.borrow().hosts[process.at]
        .index
        .digest(Position::default());
    assert!(end, "a run has few records");
    process.persist(Vec::new()).await;
    Holder {
        disk: process.me().disk,
        incarnation: 0,
        fingerprints,
        accepts: !process.core.borrow().hosts[process.at].closed,
    }
}

async fn transfer(
    process: &Process,
    source: Disk,
    target: Disk,
    position: Position,
) -> Result<(), Failed> {
    let me = process.me().disk;
    let records: Vec<Record> = match source == me {
        true => {
            let core = process.core.borrow();
            let index = &core.hosts[process.at].index;
            index.record_at(position).into_iter().collect()
        }
        false => match process.call(source, Call::Fetch(vec![position])).await {
            Some(Answer::Records(records)) => records,
            _ => return Err(Failed),
        },
    };
    if target == me {
        process.persist(records).await;
        return Ok(());
    }
    match process.call(target, Call::Append(records)).await {
        Some(Answer::Appended) => Ok(()),
        _ => Err(Failed),
    }
}
