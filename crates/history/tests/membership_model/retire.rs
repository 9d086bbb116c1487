//! Retirement of a host; mirrors the product's steps.

use history::record::Record;

use crate::copy;
use crate::host;
use crate::host::Failed;
use crate::host::Process;
use crate::slot::pause;

/// Retires a host, retrying until it succeeds.
pub async fn retire(process: &Process) {
    process.core.borrow_mut().hosts[process.at].closed = true;
    process.persist(Vec::new()).await;
    process.core.borrow_mut().hosts[process.at].retiring = true;
    while try_retire(process).await.is_err() {
        pause().await;
    }
    let host = &mut process.core.borrow_mut().hosts[process.at];
    host.retirement_ordered = false;
    host.left = true;
}

async fn try_retire(process: &Process) -> Result<(), Failed> {
    let me = process.me().disk;
    let losses = process.losses();
    let current = process.read_object().await?;
    let next = current.without(me);
    let needed = match next.has_spare(losses) {
        true => next.write_quorum(losses),
        false => next.write_quorum(losses).max(next.members.len()),
    };
    let mut received = 0;
    for member in &next.members {
        received += usize::from(copy::push_missing(process, member.disk).await.is_ok());
    }
    if received < needed {
        return Err(Failed);
    }
    if current.find(me).is_none() {
        return Ok(());
    }
    process.update_object(&next, current.epoch).await?;
    process
        .persist(vec![Record::Membership(next.clone())])
        .await;
    host::announce(process, &next, next.members.len()).await;
    Ok(())
}
