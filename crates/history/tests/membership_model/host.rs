//! A host's own process: it joins, and retires once this is ordered. Mirrors the product's joining step
//! by step.

use std::rc::Rc;

use history::membership::Change;
use history::membership::Epoch;
use history::membership::Member;
use history::membership::Membership;
use history::message::Answer;
use history::message::Call;
use history::record::Disk;
use history::record::Record;
use rand::RngExt;

use crate::copy;
use crate::copy::Copier;
use crate::core::Message;
use crate::core::Shared;
use crate::core::Written;
use crate::place;
use crate::retire;
use crate::rules::Mutation;
use crate::slot::Slot;
use crate::slot::pause;

/// Why a step failed; the whole attempt is repeated.
#[derive(Debug)]
pub struct Failed;

/// A host's process.
#[derive(Debug, Clone)]
pub struct Process {
    pub core: Shared,
    /// Number of the host.
    pub at: usize,
}

impl Process {
    pub fn me(&self) -> Member {
        self.core.borrow().hosts[self.at].member()
    }

    pub fn losses(&self) -> usize {
        self.core.borrow().losses()
    }

    pub fn has(&self, mutation: Mutation) -> bool {
        self.core.borrow().has(mutation)
    }

    /// Calls a member, whatever its epoch; the slot receives the answer, or `None` if there is none.
    pub fn call(&self, disk: Disk, call: Call) -> Slot<Option<Answer>> {
        let newest = Epoch(u64::MAX);
        let mut core = self.core.borrow_mut();
        core.call(Some(self.at), disk, newest, Rc::new(call))
    }

    pub async fn persist(&self, records: Vec<Record>) {
        let synced = self.core.borrow_mut().persist(self.at, records);
        synced.await;
    }

    pub async fn read_object(&self) -> Result<Membership, Failed> {
        let slot = Slot::new();
        let message = Message::ReadObject {
            from: self.at,
            slot: slot.clone(),
        };
        self.core.borrow_mut().messages.push(message);
        slot.await.ok_or(Failed)
    }

    /// Replaces the object's content if its epoch is still `expected`.
    pub async fn update_object(&self, next: &Membership, expected: Epoch) -> Result<(), Failed> {
        let slot = Slot::new();
        let message = Message::UpdateObject {
            from: self.at,
            expected,
            next: next.clone(),
            slot: slot.clone(),
            late: false,
        };
        self.core.borrow_mut().messages.push(message);
        match slot.await {
            Written::Done => Ok(()),
            Written::Failed => Err(Failed),
        }
    }

    async fn reopen(&self) {
        self.persist(Vec::new()).await;
        let host = &mut self.core.borrow_mut().hosts[self.at];
        (host.closed, host.retiring) = (false, false);
    }

    fn joining(&self) -> bool {
        self.core.borrow().hosts[self.at].index.joining
    }
}

/// Joins, also after another disk has taken the place, until the order to retire.
pub async fn run(process: Process) {
    loop {
        let mut superseded = false;
        while join(&process, &mut superseded).await.is_err() {
            pause().await;
        }
        process.core.borrow_mut().hosts[process.at].joined = true;
        if !place::is_lost(&process).await {
            break;
        }
        process.core.borrow_mut().hosts[process.at].joined = false;
    }
    retire::retire(&process).await;
    // The process runs on until it is stopped.
    std::future::pending().await
}

async fn join(process: &Process, superseded: &mut bool) -> Result<(), Failed> {
    let me = process.me();
    let updates_object = process.core.borrow().updates_object(process.at);
    process.core.borrow_mut().hosts[process.at].replacing &= updates_object;
    let first_start = process.core.borrow().hosts[process.at].first_start;
    let current = process.read_object().await?;
    let mut copier = Copier::new(process);
    if current.find(me.disk) == Some(&me) && process.joining() {
        if current.only_grew() {
            process.persist(vec![Record::Joining(false)]).await;
            return begin_writes(process, current).await;
        }
        return complete_join(process, &mut copier, current).await;
    }
    let host_is_member = current.members.iter().any(|member| member.host == me.host);
    let unreachable = match first_start || host_is_member {
        true => Vec::new(),
        false => copy::unreachable(process, &current).await,
    };
    let (known, closed) = {
        let host = &process.core.borrow().hosts[process.at];
        (host.is_known_member(), host.closed)
    };
    match current.change_for(&me, &unreachable, first_start) {
        Change::None if closed && !*superseded => {
            let next = current.with_member(me, None);
            process.update_object(&next, current.epoch).await?;
            *superseded = true;
            begin_writes(process, next).await
        }
        Change::None if closed => begin_writes(process, current).await,
        Change::None if known => {
            let record = Record::Membership(current.clone());
            process.persist(vec![record]).await;
            let wanted = current.copy_quorum(process.losses() + 1);
            announce(process, &current, wanted).await;
            Ok(())
        }
        Change::None => {
            let begun = begin_writes(process, current.clone()).await;
            if begun.is_err() && !current.only_grew() {
                let next = current.without(me.disk);
                process.update_object(&next, current.epoch).await?;
                pause().await;
            }
            begun
        }
        Change::Move => {
            let next = current.with_member(me, None);
            process.update_object(&next, current.epoch).await?;
            *superseded = true;
            begin(process, next).await
        }
        Change::Return => {
            let vacancy = me.disk.vacancy();
            let next = current.with_member(me, Some(vacancy));
            process.update_object(&next, current.epoch).await?;
            *superseded = true;
            begin(process, next).await
        }
        Change::Add if process.joining() && !current.only_grew() => {
            let next = current.without(me.disk);
            process.update_object(&next, current.epoch).await?;
            process.persist(vec![Record::Membership(next)]).await;
            process.persist(vec![Record::Joining(false)]).await;
            Err(Failed)
        }
        Change::Add => {
            let next = current.with_member(me, None);
            let expected = current.epoch;
            process.persist(vec![Record::Membership(current)]).await;
            process.update_object(&next, expected).await?;
            process.persist(vec![Record::Joining(false)]).await;
            begin_writes(process, next).await
        }
        Change::Replace(old) => {
            process.core.borrow_mut().hosts[process.at].replacing |= !host_is_member;
            let others = current.without(old).without(me.disk).members;
            let needed = current.copy_quorum(process.losses());
            copier.copy_from_quorum(process, &others, needed).await?;
            let next = current.with_member(me, Some(old));
            let expected = current.epoch;
            process.persist(vec![Record::Membership(current)]).await;
            process.persist(vec![Record::Joining(true)]).await;
            process.update_object(&next, expected).await?;
            complete_join(process, &mut copier, next).await
        }
    }
}

async fn begin(process: &Process, membership: Membership) -> Result<(), Failed> {
    match process.joining() {
        true => complete_join(process, &mut Copier::new(process), membership).await,
        false => begin_writes(process, membership).await,
    }
}

async fn begin_writes(process: &Process, membership: Membership) -> Result<(), Failed> {
    let is_founder = membership.is_founder(process.me().disk, process.losses());
    if !is_founder && !process.has(Mutation::NewDiskAcknowledgesAtOnce) {
        inform_quorum(process, &membership).await?;
    }
    let record = Record::Membership(membership.clone());
    process.persist(vec![record]).await;
    process.reopen().await;
    if is_founder {
        // Sent in the background.
        send_membership(process, &membership);
    }
    Ok(())
}

async fn complete_join(
    process: &Process,
    copier: &mut Copier,
    membership: Membership,
) -> Result<(), Failed> {
    let needed = membership.copy_quorum(process.losses());
    if process.has(Mutation::NewDiskAcknowledgesAtOnce) {
        let record = Record::Membership(membership.clone());
        process.persist(vec![record]).await;
        process.reopen().await;
    }
    let informed = inform_quorum(process, &membership).await?;
    let record = Record::Membership(membership.clone());
    process.persist(vec![record]).await;
    process.reopen().await;
    let me = process.me().disk;
    let apart = process.has(Mutation::InformedAndCopiedApart);
    let members = membership.members.into_iter();
    let sources: Vec<Member> = members
        .filter(|member| member.disk != me && (apart || informed.contains(&member.disk)))
        .collect();
    if informed.len() < needed {
        return Err(Failed);
    }
    copier.copy_from_quorum(process, &sources, needed).await?;
    process.persist(vec![Record::Joining(false)]).await;
    Ok(())
}

async fn inform_quorum(process: &Process, membership: &Membership) -> Result<Vec<Disk>, Failed> {
    let needed = membership.inform_quorum(process.losses());
    let wanted = membership.copy_quorum(process.losses()).max(needed);
    let informed = announce(process, membership, wanted).await;
    match informed.len() < needed {
        true => Err(Failed),
        false => Ok(informed),
    }
}

/// Sends the membership to all other members; returns the disks that received it.
pub async fn announce(process: &Process, membership: &Membership, wanted: usize) -> Vec<Disk> {
    let calls = send_membership(process, membership);
    let answers = gather(process, calls, wanted, |answer| *answer == Answer::Informed).await;
    answers.into_iter().map(|(disk, _)| disk).collect()
}

fn send_membership(
    process: &Process,
    membership: &Membership,
) -> Vec<(Disk, Slot<Option<Answer>>)> {
    let me = process.me().disk;
    let others = membership.members.iter().filter(|other| other.disk != me);
    let calls = others.map(|other| {
        let call = Call::Inform(membership.clone());
        (other.disk, process.call(other.disk, call))
    });
    calls.collect()
}

/// The answers that succeed; some of them are left out once `wanted` have succeeded.
pub async fn gather(
    process: &Process,
    mut calls: Vec<(Disk, Slot<Option<Answer>>)>,
    wanted: usize,
    succeeds: impl Fn(&Answer) -> bool,
) -> Vec<(Disk, Answer)> {
    let mut succeeded = Vec::new();
    loop {
        calls.retain(|(disk, slot)| match slot.take() {
            None => true,
            Some(answer) => {
                let answer = answer.filter(|answer| succeeds(answer));
                succeeded.extend(answer.map(|answer| (*disk, answer)));
                false
            }
        });
        let enough = succeeded.len() >= wanted;
        let ends = enough && process.core.borrow_mut().random.random_bool(0.5);
        if calls.is_empty() || ends {
            return succeeded;
        }
        pause().await;
    }
}
