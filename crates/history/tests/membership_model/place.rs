//! Notices that another disk has replaced this one, and tells members of the membership that missed a
//! change; mirrors the product's steps.

use std::rc::Rc;

use history::membership::Epoch;
use history::membership::Membership;
use history::message::Answer;
use history::message::Call;
use history::record::Disk;
use history::record::Record;
use rand::RngExt;

use crate::core::Shared;
use crate::disk::completeness_probe;
use crate::evict;
use crate::host::Process;
use crate::slot::pause;

/// Waits until the host shall retire or its disk isn't a member any more; returns whether it isn't.
pub async fn is_lost(process: &Process) -> bool {
    let me = process.me().disk;
    loop {
        if process.core.borrow().hosts[process.at].retirement_ordered {
            return false;
        }
        pause().await;
        if !checks(&process.core) {
            continue;
        }
        if evicts(&process.core) {
            // A failed attempt is repeated by a later check.
            let _ = evict::evict_silent(process).await;
        }
        let known = process.core.borrow().hosts[process.at].is_known_member();
        let reads_object = process.core.borrow_mut().random.random_bool(0.2);
        let newer = match reads_object {
            true => newer_object(process).await,
            false => compare(process).await,
        };
        match newer {
            _ if !known => return true,
            Some(newer) if newer.find(me).is_none() => return true,
            Some(newer) => process.persist(vec![Record::Membership(newer)]).await,
            None => {}
        }
    }
}

/// Whether a host checks its place now. Checks are seconds apart, and other messages milliseconds.
fn checks(core: &Shared) -> bool {
    let mut core = core.borrow_mut();
    let probability = match core.calm {
        true => 0.1,
        false => 0.004,
    };
    core.scenario.events.place_checks && core.chance(probability)
}

fn evicts(core: &Shared) -> bool {
    let mut core = core.borrow_mut();
    core.scenario.events.removals && core.chance(0.5)
}

/// The object's content, if it is newer.
async fn newer_object(process: &Process) -> Option<Membership> {
    let object = process.read_object().await.ok()?;
    let core = process.core.borrow();
    let known = core.hosts[process.at].index.membership.epoch;
    (object.epoch > known).then_some(object)
}

/// A newer membership from one other member, which receives this one if it knows an older one.
async fn compare(process: &Process) -> Option<Membership> {
    let me = process.me().disk;
    let known = process.core.borrow().hosts[process.at]
        .index
        .membership
        .clone();
    let others = known.members.iter().map(|member| member.disk);
    let others: Vec<Disk> = others.filter(|disk| *disk != me).collect();
    if others.is_empty() {
        return None;
    }
    let (other, answer) = {
        let mut core = process.core.borrow_mut();
        let other = others[core.random.random_range(0..others.len())];
        let call = Rc::new(completeness_probe());
        let before = Epoch(known.epoch.0.saturating_sub(1));
        (other, core.call(Some(process.at), other, before, call))
    };
    match answer.await {
        Some(Answer::Stale(newer)) if newer.epoch > known.epoch => Some(newer),
        Some(Answer::Account { .. }) => {
            process.call(other, Call::Inform(known)).await;
            None
        }
        _ => None,
    }
}
