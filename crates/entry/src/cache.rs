//! Where programs' histories are cached, and the leases by which targets keep them.
//!
//! The owner renews a lease while its program is open. A program that has ended, is quiet for long
//! or has moved to another target gives its cache up at once; if that message is lost, the lease
//! runs out by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Map;
use coord::config;
use coord::id::Epoch;
use coord::id::Program;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::id::Target;
use coord::id::Tokens;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::broadcast::error::RecvError;
use wire::CacheLease;
use wire::CacheRequest;

use crate::call::Call;
use crate::clock;
use crate::shards::Gained;

const STEP: &str = "cache";
/// A program without a call for this long gives its cache up.
const QUIET: Duration = Duration::from_secs(120);
/// Renewals in one lease.
const RENEWALS: u32 = 3;
/// Leases in one message at most.
const BATCH: usize = 1000;
/// Longest wait for the reply to a message.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Releases that are tried again at most.
const RELEASES_LIMIT: usize = 10_000;

/// A history cached at a target.
#[derive(Debug, Clone)]
struct Held {
    target: Target,
    sidecar: SocketAddr,
    tokens: Tokens,
    shard: Shard,
    epoch: Epoch,
    used: Instant,
}

/// All histories that this owner's programs have cached.
#[derive(Debug, Default)]
pub struct Caches {
    held: Mutex<Map<Program, Held>>,
    /// To be released, until the sidecar has confirmed it or the lease has run out.
    released: Mutex<Vec<(Program, Held, Instant)>>,
    /// Wakes the sending of releases.
    wake: Notify,
}

impl Caches {
    /// Where a program's history is cached, and how much of it.
    pub fn held(&self, program: &Program) -> Option<(Target, Tokens)> {
        let held = self.held.lock();
        held.get(program)
            .map(|held| (held.target.clone(), held.tokens))
    }

    /// Sidecars of the targets that hold them.
    pub fn sidecars(&self) -> Vec<SocketAddr> {
        let held = self.held.lock();
        held.values().map(|held| held.sidecar).collect()
    }

    /// Number of histories held.
    pub fn len(&self) -> usize {
        self.held.lock().len()
    }

    /// Whether no history is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notes that a program has run at a target.
    pub fn note(
        &self,
        program: &Program,
        target: &config::Target,
        tokens: Tokens,
        shard: Shard,
        epoch: Epoch,
    ) {
        let held = Held {
            target: target.id.clone(),
            sidecar: target.sidecar,
            tokens,
            shard,
            epoch,
            used: Instant::now(),
        };
        let before = self.held.lock().insert(program.clone(), held);
        match before {
            Some(before) if before.target != target.id => self.give_up(program, before),
            _ => {}
        }
    }

    /// Releases what a program has cached.
    pub fn release(&self, program: &Program) {
        let held = self.held.lock().remove(program);
        if let Some(held) = held {
            self.give_up(program, held);
        }
    }

    /// Notes what a former owner held, unless more is known here.
    fn adopt(&self, program: Program, held: Held) {
        self.held.lock().entry(program).or_insert(held);
    }

    fn give_up(&self, program: &Program, held: Held) {
        let mut released = self.released.lock();
        if released.len() < RELEASES_LIMIT {
            released.push((program.clone(), held, Instant::now()));
        }
        self.wake.notify_one();
    }

    fn programs(&self) -> Vec<(Program, Held)> {
        let held = self.held.lock();
        let programs = held
            .iter()
            .map(|(program, held)| (program.clone(), held.clone()));
        programs.collect()
    }

    fn forget(&self, program: &Program) {
        self.held.lock().remove(program);
    }

    fn take_released(&self) -> Vec<(Program, Held, Instant)> {
        std::mem::take(&mut *self.released.lock())
    }

    fn keep_released(&self, again: Vec<(Program, Held, Instant)>) {
        self.released.lock().extend(again);
    }
}

/// Renews and releases leases until the process ends.
pub async fn keep(call: Arc<Call>) {
    let hold = clock::duration(call.settings.limits.cache_hold_ms);
    let mut tick = tokio::time::interval(hold / RENEWALS);
    let mut gained = call.member.gained();
    loop {
        tokio::select! {
            _ = tick.tick() => renew(&call, hold).await,
            gain = gained.recv() => match gain {
                Ok(Gained { shard, .. }) => adopt(&call, shard),
                Err(RecvError::Lagged(_)) => {
                    (0..SHARDS).map(Shard).for_each(|shard| adopt(&call, shard));
                }
                Err(RecvError::Closed) => return,
            },
            () = call.caches.wake.notified() => {}
        }
        flush(&call).await;
    }
}

/// Takes over the leases of a shard's programs from its former owner, and releases those of ended
/// programs, whose release that owner may not have sent.
fn adopt(call: &Call, shard: Shard) {
    let Some(authority) = call.member.authority(shard) else {
        return;
    };
    let config = call.member.config();
    let held = call.member.shards().inspect(shard, |state| {
        let programs = state.replica.programs();
        let held = programs.filter_map(|(name, program)| {
            let target = config.target(program.engine.as_ref()?)?;
            let held = Held {
                target: target.id.clone(),
                sidecar: target.sidecar,
                tokens: program.history_tokens(),
                shard,
                epoch: authority.epoch,
                used: Instant::now(),
            };
            Some((name.clone(), held, program.ended.is_some()))
        });
        held.collect::<Vec<_>>()
    });
    for (name, held, ended) in held.unwrap_or_default() {
        match ended {
            true => call.caches.give_up(&name, held),
            false => call.caches.adopt(name, held),
        }
    }
}

/// Sends the releases that are due.
async fn flush(call: &Call) {
    let hold = clock::duration(call.settings.limits.cache_hold_ms);
    let now = Instant::now();
    let due = call.caches.take_released();
    let due = due
        .into_iter()
        .filter(|(_, _, at)| now.saturating_duration_since(*at) < hold);
    let mut by_sidecar: Map<SocketAddr, Vec<(Program, Held, Instant)>> = Map::default();
    for release in due {
        by_sidecar
            .entry(release.1.sidecar)
            .or_default()
            .push(release);
    }
    for (sidecar, releases) in by_sidecar {
        let leases = releases
            .iter()
            .map(|(program, held, _)| lease(program, held, Duration::ZERO));
        if !send(call, sidecar, leases.collect()).await {
            call.caches.keep_released(releases);
        }
    }
}

async fn renew(call: &Call, hold: Duration) {
    let mut by_sidecar: Map<SocketAddr, Vec<CacheLease>> = Map::default();
    for (program, held) in call.caches.programs() {
        match state(call, &program, &held) {
            State::Open => {
                let leases = by_sidecar.entry(held.sidecar).or_default();
                leases.push(lease(&program, &held, hold));
            }
            State::Over => call.caches.release(&program),
            State::Elsewhere => call.caches.forget(&program),
        }
    }
    for (sidecar, leases) in by_sidecar {
        for batch in leases.chunks(BATCH) {
            send(call, sidecar, batch.to_vec()).await;
        }
    }
}

enum State {
    Open,
    /// Ended, or quiet for long.
    Over,
    /// Its shard has another owner now.
    Elsewhere,
}

fn state(call: &Call, program: &Program, held: &Held) -> State {
    let authority = call.member.authority(held.shard);
    if authority.is_none_or(|authority| authority.epoch != held.epoch) {
        return State::Elsewhere;
    }
    let open = call.member.shards().inspect(held.shard, |state| {
        let program = state.replica.program(program);
        program.map(|program| (program.ended.is_none(), program.is_busy()))
    });
    let quiet = held.used.elapsed() > QUIET;
    match open.flatten() {
        Some((true, busy)) if busy || !quiet => State::Open,
        _ => State::Over,
    }
}

fn lease(program: &Program, held: &Held, hold: Duration) -> CacheLease {
    CacheLease {
        program: program.to_string(),
        shard: held.shard.0.into(),
        epoch: held.epoch.0,
        hold_ms: hold.as_millis() as u64,
    }
}

async fn send(call: &Call, sidecar: SocketAddr, leases: Vec<CacheLease>) -> bool {
    let request = CacheRequest {
        node: call.member.node().to_string(),
        leases,
    };
    let mut client = call.member.peers().target(sidecar);
    match tokio::time::timeout(TIMEOUT, client.cache(request)).await {
        Ok(Ok(_)) => true,
        Ok(Err(status)) => {
            log::warn!(step = STEP, peer = sidecar.to_string().as_str(); "{}", status.message());
            false
        }
        Err(_) => {
            log::warn!(step = STEP, peer = sidecar.to_string().as_str(); "no reply");
            false
        }
    }
}
