//! Asks sidecars for their load when what came along with answers is stale.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::config;
use coord::config::Name;
use futures::StreamExt;
use wire::ProbeRequest;
use wire::Wanted;

use crate::call::Call;

const STEP: &str = "probe";
/// How often stale reports are looked for.
const EVERY: Duration = Duration::from_millis(200);
/// Longest wait for a report.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Targets asked at once.
const CONCURRENCY: usize = 16;

/// Probes until the process ends.
pub async fn keep(call: Arc<Call>) {
    let mut tick = tokio::time::interval(EVERY);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        refresh(&call).await;
    }
}

/// Asks all targets with stale reports once.
pub async fn refresh(call: &Call) {
    let due = call.table.due(&call.member.config(), Instant::now());
    let probes = due.into_iter().map(|target| probe(call, target));
    let probes = futures::stream::iter(probes).buffer_unordered(CONCURRENCY);
    probes.collect::<Vec<()>>().await;
}

/// What the newest ticket says of a target.
fn wanted(call: &Call, target: &config::Target) -> Option<Wanted> {
    let config = call.member.config();
    let entry = config.entry(&Name::Target(target.id.clone()))?;
    Some(Wanted {
        ticket: entry.ticket.0,
        models: target.models.iter().map(ToString::to_string).collect(),
    })
}

async fn probe(call: &Call, target: config::Target) {
    let mut client = call.member.peers().target(target.sidecar);
    let wanted = wanted(call, &target);
    let reply = tokio::time::timeout(TIMEOUT, client.probe(ProbeRequest { wanted })).await;
    let now = Instant::now();
    match reply {
        Ok(Ok(load)) => call.table.report(&target.id, load.into_inner(), now),
        Ok(Err(status)) => {
            log::debug!(step = STEP, peer = target.id.as_str(); "{}", status.message());
            call.table.failed(&target.id, now);
        }
        Err(_) => call.table.failed(&target.id, now),
    }
}
