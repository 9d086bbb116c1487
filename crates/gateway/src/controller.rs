//! Lifecycle of an entry, from startup to graceful shutdown.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::eyre;
use history::join;
use history::quorum::Route;
use node::link;
use node::listener;
use node::metrics::Metrics;
use node::object::Kind;
use node::object::ObjectStore;
use node::shutdown;
use rand::seq::IteratorRandom;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::adapter::Adapter;
use crate::fleet::evacuations;
use crate::fleet::gossip;
use crate::fleet::news;
use crate::fleet::usage;
use crate::follow::Follower;
use crate::freshness;
use crate::gauges;
use crate::membership::Reply;
use crate::operators;
use crate::reload;
use crate::serve::caller::RECEIVE_BUFFER_BYTES;
use crate::serve::readiness;
use crate::serve::server;
use crate::settings::Bounds;
use crate::settings::Settings;
use crate::state::State;

/// Interval between removals of expired state.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(1000);

/// Mean delay before the membership of the history hosts is read again.
const MEMBERSHIP_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Mean delay before the membership is read again while the history hosts that it names don't make up
/// a quorum. All of them may have been replaced or moved; long, as calls to the object store are priced
/// and all entries make them at the same time.
const MEMBERSHIP_CHECK_DELAY: Duration = Duration::from_millis(4000);

/// Shortest interval between reads of the membership; callers may name any number of turns that don't
/// exist.
const MEMBERSHIP_MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between probes of the history hosts while they are reachable.
const HISTORY_PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval between probes of unreachable history hosts; short, as callers wait for them.
const HISTORY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a probe of the history hosts.
const HISTORY_PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Failed probes in a row after which the history hosts count as unreachable. Turns are then
/// refused at once, so a single slow answer must not be enough.
const HISTORY_FAILURE_THRESHOLD: u32 = 2;

/// Time for which new connections are accepted after a graceful shutdown begins: the load balancer
/// probes once a second and removes an entry after the second failed probe.
const DRAIN_DELAY: Duration = Duration::from_millis(2600);

/// Part of the time allowed for a graceful shutdown that stays unused.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Time before the end of a graceful shutdown at which requests without an answer get one of this entry,
/// so that it reaches their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// Runs an entry until its graceful shutdown has ended.
///
/// Errors: a required address is missing or can't be bound, or signals can't be handled.
pub async fn run<S: ObjectStore>(
    settings: Settings,
    file: &Path,
    hangup_signals: Signal,
    objects: S,
    adapter: Arc<dyn Adapter>,
) -> eyre::Result<()> {
    let callers = settings.listen.callers;
    let callers = callers.ok_or_else(|| eyre!("listen.callers is missing"))?;
    let ready = settings.listen.ready;
    let ready = ready.ok_or_else(|| eyre!("listen.ready is missing"))?;
    let stop_time = Duration::from_secs_f64(settings.stop_s);
    let callers = listener::bind_with_buffer(callers, RECEIVE_BUFFER_BYTES as u32).await?;
    let ready = listener::bind_with_buffer(ready, RECEIVE_BUFFER_BYTES as u32).await?;
    let metrics = Metrics::new()?;
    let state = State::new(settings, adapter, &metrics.meter());
    gauges::observe_entry(&metrics.meter(), &state);
    let objects = Arc::new(objects);
    let limits = state.intake.usage().limits;
    log::info!(
        step = "start", peer = "self", caller_connections = limits.connections,
        caller_bytes = limits.bytes;
        "entry starts"
    );
    warn_of_short_bounds(&state.settings);
    tokio::spawn(readiness::serve(ready, Arc::clone(&state)));
    for kind in [Kind::Config, Kind::Targets] {
        let (objects, state) = (Arc::clone(&objects), Arc::clone(&state));
        tokio::spawn(async move {
            let follower = Follower {
                objects: &*objects,
                kind,
                freshness: &state.freshness,
                age_limit: || state.knowledge_age_limit(kind),
                random: rand::random,
            };
            follower
                .run(|kind, event| state.apply_event(kind, event))
                .await;
        });
    }
    tokio::spawn(follow_membership(Arc::clone(&objects), Arc::clone(&state)));
    tokio::spawn(remove_expired(Arc::clone(&state)));
    if let Some(bound) = state.settings.bounds.evacuate_ms {
        let bound = Duration::from_millis(bound);
        let objects = Arc::clone(&objects);
        tokio::spawn(evacuations::follow(objects, Arc::clone(&state), bound));
    }
    tokio::spawn(exchange_reports(objects, Arc::clone(&state)));
    let peers = listener::bind(state.settings.peer_address()).await?;
    tokio::spawn(link::serve(peers, Arc::clone(&state)));
    let relay = listener::bind(state.settings.relay_address()).await?;
    tokio::spawn(link::serve(relay, Arc::new(state.history.relay())));
    tokio::spawn(news::follow(Arc::clone(&state)));
    tokio::spawn(probe_history(Arc::clone(&state)));
    if let Some(address) = state.settings.listen.admin {
        let view = operators::View {
            process: operators::Process::Entry(Arc::clone(&state)),
            metrics,
            operators: state.settings.operators.clone(),
        };
        operators::serve(address, view);
    }
    let reloads = {
        let state = Arc::clone(&state);
        let port = state.settings.peer_ports.0;
        reload::run(
            hangup_signals,
            file,
            state.settings.clone(),
            move |settings| {
                let seeds = settings.seeds.iter();
                seeds.for_each(|seed| state.add_peer(SocketAddr::new(seed.ip(), port)));
            },
        )
    };
    let stop = watch::Sender::new(false);
    let server = server::serve(callers, Arc::clone(&state), stop.subscribe());
    let server = tokio::spawn(server);
    tokio::select! {
        requested = shutdown::requested() => requested?,
        () = reloads => {}
    }
    log::info!(step = "stop", peer = "self"; "graceful shutdown begins");
    state.drain();
    tokio::time::sleep(DRAIN_DELAY).await;
    stop.send_replace(true);
    let end = Instant::now() + stop_time.saturating_sub(DRAIN_DELAY + STOP_MARGIN);
    state.stop.set_limit(end - ANSWER_MARGIN);
    match tokio::time::timeout_at(end, server).await {
        Ok(_) => log::info!(step = "stop", peer = "self"; "all answers are finished"),
        Err(_) => {
            log::warn!(step = "stop", peer = "self"; "unfinished answers are aborted: shutdown timeout reached")
        }
    }
    node::log::drain();
    Ok(())
}

/// Warns if changes can't be known in time once a watch is lost.
fn warn_of_short_bounds(settings: &Settings) {
    let Bounds {
        leave_ms,
        config_ms,
        ..
    } = settings.bounds;
    let needed = freshness::FIRST_CHECK_AGE + freshness::CHANGE_RESERVE;
    if Duration::from_millis(leave_ms.min(config_ms)) < needed {
        log::warn!(
            step = "check settings", peer = "self", leave_ms = leave_ms, config_ms = config_ms,
            needed_ms = needed.as_millis() as u64;
            "bounds are too short for the checks of the object store"
        );
    }
}

/// Reads the membership of the history hosts from the object store at the start, while no quorum of them
/// answers, and when a request needs it. Later changes come from the history hosts.
async fn follow_membership<S: ObjectStore>(objects: Arc<S>, state: Arc<State>) {
    let mut requests = state.membership_requests.receiver.lock().await;
    let mut waiting: Vec<Reply> = Vec::new();
    loop {
        let began = Instant::now();
        match read_membership(&*objects, &state).await {
            // An error only means that the request has reached its deadline.
            true => waiting.drain(..).for_each(|reply| {
                let _ = reply.send(());
            }),
            false => waiting.clear(),
        }
        tokio::select! {
            request = requests.recv() => waiting.extend(request),
            () = until_membership_is_due(&state) => {}
        }
        tokio::time::sleep_until(began + MEMBERSHIP_MIN_INTERVAL).await;
        waiting.extend(std::iter::from_fn(|| requests.try_recv().ok()));
    }
}

/// Waits until the membership is to be read again, whether or not a request needs it.
async fn until_membership_is_due(state: &State) {
    if state.history.membership().members.len() <= state.settings.tolerated_losses {
        return tokio::time::sleep(join::jittered(MEMBERSHIP_RETRY_DELAY)).await;
    }
    loop {
        tokio::time::sleep(join::jittered(MEMBERSHIP_CHECK_DELAY)).await;
        if !state.reaches_history() {
            return;
        }
    }
}

/// Reads the membership; returns whether the object store has a valid one.
async fn read_membership<S: ObjectStore>(objects: &S, state: &State) -> bool {
    match objects.get(Kind::Members, join::MEMBERSHIP_OBJECT).await {
        Ok(Some(object)) => match serde_json::from_value(object.spec) {
            Ok(membership) => {
                state.history.update_membership(membership);
                true
            }
            Err(error) => {
                log::error!(step = "read membership", peer = "platform"; "{error}");
                false
            }
        },
        Ok(None) => false,
        Err(error) => {
            log::debug!(step = "read membership", peer = "platform"; "{error}");
            false
        }
    }
}

/// Exchanges reports and customers' usage with the other entries.
async fn exchange_reports<S: ObjectStore>(objects: Arc<S>, state: Arc<State>) {
    let registered = gossip::register(&*objects, &state);
    let (exchanged, counted, ()) = tokio::join!(
        gossip::run(Arc::clone(&state)),
        usage::run(Arc::clone(&state)),
        registered
    );
    for error in [exchanged, counted].into_iter().filter_map(Result::err) {
        log::error!(step = "exchange reports", peer = "entries"; "{error}");
    }
}

/// Probes the history hosts periodically and selects a relay while they don't answer directly.
async fn probe_history(state: Arc<State>) {
    let mut failures = 0;
    loop {
        let direct = state
            .history
            .has_quorum(Route::Direct, HISTORY_PROBE_TIMEOUT)
            .await;
        let relayed = match direct {
            true => {
                state.history.set_relay(None);
                false
            }
            false => select_relay(&state).await,
        };
        let reached = direct || relayed;
        failures = if reached { 0 } else { failures + 1 };
        if reached || failures >= HISTORY_FAILURE_THRESHOLD {
            state.record_history_reachability(direct, relayed);
        }
        let interval = match reached {
            true => HISTORY_PROBE_INTERVAL,
            false => HISTORY_RETRY_INTERVAL,
        };
        tokio::time::sleep(interval).await;
    }
}

/// Keeps the current relay if it works, otherwise tries another one at random. Returns whether a
/// relay works. Calls use a relay only once it has answered: it may have gone silent after its last report.
async fn select_relay(state: &State) -> bool {
    let relays = state.relays();
    let current = state.history.relay_address();
    let listed = current.filter(|relay| relays.contains(relay));
    if let Some(relay) = listed
        && state.history.try_relay(relay, HISTORY_PROBE_TIMEOUT).await
    {
        return true;
    }
    state.history.set_relay(None);
    let others = relays.into_iter().filter(|relay| Some(*relay) != current);
    let other = others.choose(&mut rand::rng());
    match other {
        Some(relay) => state.history.try_relay(relay, HISTORY_PROBE_TIMEOUT).await,
        None => false,
    }
}

async fn remove_expired(state: Arc<State>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        state.expire();
    }
}
