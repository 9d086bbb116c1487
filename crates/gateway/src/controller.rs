//! The whole run of an entry and of a history host.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::eyre;
use history::join;
use history::join::Config;
use history::membership::Member;
use history::quorum::Route;
use history::server::Server;
use history::time::Timestamp;
use node::link;
use node::listener;
use node::metrics::Metrics;
use node::object::Change;
use node::object::Kind;
use node::object::Object;
use node::object::Objects;
use node::shutdown;
use rand::seq::IteratorRandom;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::edge::Dialect;
use crate::fleet::gossip;
use crate::fleet::news;
use crate::follow;
use crate::follow::News;
use crate::gauges;
use crate::operators;
use crate::reload;
use crate::serve::server;
use crate::settings::Settings;
use crate::state::State;

/// Pause between sweeps of what has expired.
const SWEEP_PAUSE: Duration = Duration::from_millis(1000);

/// Pause before the membership of the history is asked for again.
const MEMBERSHIP_PAUSE: Duration = Duration::from_millis(500);

/// Pause between questions whether the history answers.
const HISTORY_PAUSE: Duration = Duration::from_millis(1000);

/// Pause between them while it doesn't: callers wait for the answer.
const HISTORY_AWAY_PAUSE: Duration = Duration::from_millis(100);

/// Time for the history to answer that question.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(700);

/// Questions without an answer after which the history isn't reached: turns are then refused at
/// once, which one slow answer mustn't cause.
const HISTORY_MISSES: u32 = 2;

/// How long new callers may still come after a planned stop began: the balancer asks once a second
/// and believes the second refusal.
const LINGER: Duration = Duration::from_millis(2600);

/// Part of a planned stop's time that is left unused.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Share of a disk that the history may fill.
const DISK_SHARE: f64 = 0.7;

/// Runs an entry until a planned stop has ended.
///
/// Errors: an address can't be bound.
pub async fn entry<O: Objects>(
    settings: Settings,
    file: &Path,
    hangups: Signal,
    objects: O,
    dialect: Arc<dyn Dialect>,
) -> eyre::Result<()> {
    let callers = settings.listen.callers;
    let callers = callers.ok_or_else(|| eyre!("listen.callers is missing"))?;
    let ready = settings.listen.ready;
    let ready = ready.ok_or_else(|| eyre!("listen.ready is missing"))?;
    let stop_time = Duration::from_secs_f64(settings.stop_s);
    let callers = listener::bind(callers).await?;
    let ready = listener::bind(ready).await?;
    let metrics = Metrics::new()?;
    let state = State::new(settings, dialect, &metrics.meter());
    gauges::observe_entry(&metrics.meter(), &state);
    let objects = Arc::new(objects);
    log::info!(step = "start", peer = "self"; "entry starts");
    tokio::spawn(server::serve_ready(ready, Arc::clone(&state)));
    for kind in [Kind::Config, Kind::Targets] {
        let (objects, state) = (Arc::clone(&objects), Arc::clone(&state));
        tokio::spawn(async move {
            follow::follow(&*objects, kind, |kind, news| state.hear(kind, news)).await;
        });
    }
    tokio::spawn(find_history(Arc::clone(&objects), Arc::clone(&state)));
    tokio::spawn(sweep(Arc::clone(&state)));
    tokio::spawn(share(objects, Arc::clone(&state)));
    let peers = listener::bind(state.settings.peer_address()).await?;
    tokio::spawn(link::serve(peers, Arc::clone(&state)));
    let relayed = listener::bind(state.settings.relay_address()).await?;
    tokio::spawn(link::serve(relayed, Arc::new(state.history.relay())));
    tokio::spawn(news::follow(Arc::clone(&state)));
    tokio::spawn(watch_history(Arc::clone(&state)));
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
        reload::follow(hangups, file, state.settings.clone(), move |settings| {
            let seeds = settings.seeds.iter();
            seeds.for_each(|seed| state.add_peer(SocketAddr::new(seed.ip(), port)));
        })
    };
    let stop = watch::Sender::new(false);
    let server = server::serve(callers, Arc::clone(&state), stop.subscribe());
    let server = tokio::spawn(server);
    tokio::select! {
        requested = shutdown::requested() => requested?,
        () = reloads => {}
    }
    log::info!(step = "stop", peer = "self"; "planned stop begins");
    state.drain();
    tokio::time::sleep(LINGER).await;
    stop.send_replace(true);
    let left = stop_time.saturating_sub(LINGER + STOP_MARGIN);
    match tokio::time::timeout(left, server).await {
        Ok(_) => log::info!(step = "stop", peer = "self"; "all answers are finished"),
        Err(_) => log::warn!(step = "stop", peer = "self"; "answers are cut: time is up"),
    }
    node::log::drain();
    Ok(())
}

/// Learns the membership of the history once; later changes come from history hosts.
async fn find_history<O: Objects>(objects: Arc<O>, state: Arc<State>) {
    loop {
        match objects.get(Kind::Members, join::MEMBERSHIP_OBJECT).await {
            Ok(Some(object)) => match serde_json::from_value(object.spec) {
                Ok(membership) => {
                    state.history.update_membership(membership);
                    if state.history.membership().members.len() > state.settings.tolerated_losses {
                        return;
                    }
                }
                Err(error) => {
                    log::error!(step = "read membership", peer = "platform"; "{error}");
                }
            },
            Ok(None) => {}
            Err(error) => log::debug!(step = "read membership", peer = "platform"; "{error}"),
        }
        tokio::time::sleep(join::jittered(MEMBERSHIP_PAUSE)).await;
    }
}

/// Exchanges reports with the other entries.
async fn share<O: Objects>(objects: Arc<O>, state: Arc<State>) {
    let registered = gossip::register(&*objects, &state);
    let (exchanged, ()) = tokio::join!(gossip::run(Arc::clone(&state)), registered);
    if let Err(error) = exchanged {
        log::error!(step = "exchange reports", peer = "entries"; "{error}");
    }
}

/// Asks the history hosts now and then whether they answer, and looks for a relay if they don't.
async fn watch_history(state: Arc<State>) {
    let mut misses = 0;
    loop {
        let direct = state
            .history
            .has_quorum(Route::Direct, HISTORY_TIMEOUT)
            .await;
        let relayed = match direct {
            true => {
                state.history.set_relay(None);
                false
            }
            false => find_relay(&state).await,
        };
        let reached = direct || relayed;
        misses = if reached { 0 } else { misses + 1 };
        if reached || misses >= HISTORY_MISSES {
            state.set_history(direct, relayed);
        }
        let pause = match reached {
            true => HISTORY_PAUSE,
            false => HISTORY_AWAY_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Keeps to a relay that works, or takes another one; whether there is one.
async fn find_relay(state: &State) -> bool {
    let relays = state.relays();
    let current = state.history.relay_address();
    let kept = current.filter(|relay| relays.contains(relay));
    let others = relays.iter().copied().filter(|relay| Some(*relay) != kept);
    let drawn = others.choose(&mut rand::rng());
    for relay in kept.into_iter().chain(drawn) {
        state.history.set_relay(Some(relay));
        if state.history.has_quorum(Route::Any, HISTORY_TIMEOUT).await {
            return true;
        }
    }
    state.history.set_relay(None);
    false
}

async fn sweep(state: Arc<State>) {
    loop {
        tokio::time::sleep(SWEEP_PAUSE).await;
        state.expire();
    }
}

/// Runs a history host until a planned stop.
///
/// Errors: no disk, or it can't be read; an address can't be bound.
pub async fn history<O: Objects>(
    settings: Settings,
    file: &Path,
    hangups: Signal,
    objects: O,
) -> eyre::Result<()> {
    let folder = settings.data_folder.clone();
    let folder = folder.ok_or_else(|| eyre!("data_folder is missing"))?;
    let capacity = settings.resources.disk_mb as f64 * DISK_SHARE * 1e6;
    let server = Server::open(&folder, capacity as u64)?;
    let listener = listener::bind(settings.peer_address()).await?;
    log::info!(step = "start", peer = "self"; "history host starts");
    tokio::spawn(link::serve(listener, Arc::clone(&server)));
    let config = Config {
        me: Member {
            disk: server.disk(),
            host: settings.host.clone(),
            address: settings.peer_address(),
        },
        tolerated_losses: settings.tolerated_losses,
        first_start: settings.first_start,
    };
    let objects = Arc::new(objects);
    tokio::spawn(expire(Arc::clone(&server)));
    tokio::spawn(take_part(Arc::clone(&server), objects, config));
    if let Some(address) = settings.listen.admin {
        let metrics = Metrics::new()?;
        gauges::observe_history(&metrics.meter(), &server);
        let view = operators::View {
            process: operators::Process::History(Arc::clone(&server)),
            metrics,
            operators: settings.operators.clone(),
        };
        operators::serve(address, view);
    }
    tokio::select! {
        requested = shutdown::requested() => requested?,
        () = reload::follow(hangups, file, settings.clone(), |_| {}) => {}
    }
    log::info!(step = "stop", peer = "self"; "history host stops");
    node::log::drain();
    Ok(())
}

async fn take_part<O: Objects>(server: Arc<Server>, objects: Arc<O>, config: Config) {
    join::join(&server, &*objects, &config).await;
    let order = watch::Sender::new(false);
    let mut ordered = order.subscribe();
    let following = follow::follow(&*objects, Kind::Retirements, |_, news| {
        if is_ordered(news, &config.me.host) {
            order.send_replace(true);
        }
    });
    tokio::select! {
        () = following => {}
        _ = ordered.wait_for(|ordered| *ordered) => {}
    }
    history::retire::retire(&server, &*objects, &config).await;
}

/// Whether a host is to be emptied.
fn is_ordered(news: &News, host: &str) -> bool {
    let open = |object: &Object| {
        let state = object.status.get("state").and_then(|state| state.as_str());
        object.name == host && state != Some("completed")
    };
    match news {
        News::Listed(objects, _) => objects.iter().any(open),
        News::Changed(changes, _) => changes.iter().any(|change| match change {
            Change::Put(object) => open(object),
            Change::Deleted(_) => false,
        }),
        News::Lost | News::Regained => false,
    }
}

async fn expire(server: Arc<Server>) {
    loop {
        tokio::time::sleep(SWEEP_PAUSE).await;
        server.expire(Timestamp::now());
    }
}
