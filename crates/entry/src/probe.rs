//! Asks sidecars for their load when what came along with answers is stale, and tells them what the
//! configuration wants of their targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Set;
use futures::StreamExt;
use wire::ProbeRequest;
use wire::Wanted;

use crate::call::Call;
use crate::roster::Listed;

const STEP: &str = "probe";
/// How often stale reports are looked for.
const EVERY: Duration = Duration::from_millis(200);
/// Longest wait for a report.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Targets asked at once.
const CONCURRENCY: usize = 16;
/// How often channels out of use are closed.
const CLOSING: Duration = Duration::from_secs(30);

/// Probes until the process ends.
pub async fn keep(call: Arc<Call>) {
    let mut tick = tokio::time::interval(EVERY);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut closed = Instant::now();
    loop {
        tick.tick().await;
        refresh(&call).await;
        if closed.elapsed() >= CLOSING {
            closed = Instant::now();
            close(&call);
        }
    }
}

/// Asks all targets that are due once.
pub async fn refresh(call: &Call) {
    let member = &call.member;
    let now = Instant::now();
    let due = call
        .table
        .due(&member.config(), &member.map(), &member.node(), now);
    let probes = due.into_iter().map(|listed| probe(call, listed));
    let probes = futures::stream::iter(probes).buffer_unordered(CONCURRENCY);
    probes.collect::<Vec<()>>().await;
}

/// Closes the channels to sidecars that are out of use.
fn close(call: &Call) {
    let config = call.member.config();
    let mut idle: Set<SocketAddr> = config.targets().map(|target| target.sidecar).collect();
    for sidecar in call.table.sidecars(&config) {
        idle.remove(&sidecar);
    }
    for sidecar in call.caches.sidecars() {
        idle.remove(&sidecar);
    }
    call.member
        .peers()
        .retain(|address| !idle.contains(address));
}

/// What the newest ticket says of a target.
fn wanted(listed: &Listed) -> Wanted {
    let models = listed.target.models.iter();
    Wanted {
        ticket: listed.ticket.0,
        models: models.map(ToString::to_string).collect(),
    }
}

async fn probe(call: &Call, listed: Arc<Listed>) {
    let target = &listed.target;
    let mut client = call.member.peers().target(target.sidecar);
    let wanted = Some(wanted(&listed));
    let reply = tokio::time::timeout(TIMEOUT, client.probe(ProbeRequest { wanted })).await;
    let now = Instant::now();
    match reply {
        Ok(Ok(load)) => {
            call.table.report(&target.id, load.into_inner(), now);
            call.table.told(&listed);
        }
        Ok(Err(status)) => {
            log::debug!(step = STEP, peer = target.id.as_str(); "{}", status.message());
            call.table.failed(&target.id, now);
        }
        Err(_) => call.table.failed(&target.id, now),
    }
}
