//! Lifecycle of a history host, from startup to graceful shutdown.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::eyre;
use history::join::Config;
use history::membership::Member;
use history::retire;
use history::server::Limits;
use history::server::Server;
use history::time::Timestamp;
use history::volume::Local;
use node::link;
use node::link::memory::Memory;
use node::listener;
use node::metrics::Metrics;
use node::object::Change;
use node::object::Kind;
use node::object::Object;
use node::object::ObjectStore;
use node::shutdown;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::follow::Event;
use crate::follow::Follower;
use crate::freshness::Freshness;
use crate::gauges;
use crate::operators;
use crate::reload;
use crate::settings::Settings;

/// Interval between removals of expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(1000);

/// Fraction of the disk that stored turns and budgets may fill.
const DISK_SHARE: f64 = 0.7;

/// Fraction of a history host's memory that contents of turns may fill; the rest is for the index of
/// all records, batches of calls and the log file that is read at a start.
const CONTENT_MEMORY_SHARE: f64 = 0.3;

/// Part of a history host's memory that large calls may occupy together while they are received and stored. Each takes
/// several times its size: as it arrives, as content, and encoded for the log.
const CALL_MEMORY_DIVISOR: u64 = 16;

/// Age of a history host's knowledge of ordered retirements at which it asks the object store again.
const RETIREMENT_CHECK_AGE: Duration = Duration::from_millis(5000);

/// Runs a history host until a graceful shutdown is requested.
///
/// Errors: the data folder is missing or can't be read, an address can't be bound, or signals can't
/// be handled.
pub async fn run<S: ObjectStore>(
    settings: Settings,
    file: &Path,
    hangup_signals: Signal,
    objects: S,
) -> eyre::Result<()> {
    let folder = settings.data_folder.clone();
    let folder = folder.ok_or_else(|| eyre!("data_folder is missing"))?;
    let capacity = settings.resources.disk_mb as f64 * DISK_SHARE * 1e6;
    let memory = settings.resources.memory_mb as f64 * CONTENT_MEMORY_SHARE * 1e6;
    let limits = Limits::new(capacity as u64, memory as usize);
    let server = Server::open_on(Local, &folder, limits)?;
    let listener = listener::bind(settings.peer_address()).await?;
    log::info!(step = "start", peer = "self"; "history host starts");
    let calls = settings.resources.memory_mb * 1024 * 1024 / CALL_MEMORY_DIVISOR;
    let calls = Memory::new(calls as usize);
    tokio::spawn(link::serve_within(listener, Arc::clone(&server), calls));
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
    tokio::spawn(remove_expired_records(Arc::clone(&server)));
    tokio::spawn(join_and_retire(Arc::clone(&server), objects, config));
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
        () = reload::run(hangup_signals, file, settings.clone(), |_| {}) => {}
    }
    log::info!(step = "stop", peer = "self"; "history host stops");
    node::log::drain();
    Ok(())
}

/// Joins the membership, and retires from it once a retirement of this host is ordered.
async fn join_and_retire<S: ObjectStore>(server: Arc<Server>, objects: Arc<S>, config: Config) {
    let order_sender = watch::Sender::new(false);
    let freshness = Freshness::default();
    let follower = Follower {
        objects: &*objects,
        kind: Kind::Retirements,
        freshness: &freshness,
        age_limit: || RETIREMENT_CHECK_AGE,
        random: rand::random,
    };
    let following = follower.run(|_, event| {
        if let Some(ordered) = ordered_retirement(event, &config.me.host) {
            order_sender.send_replace(ordered);
        }
    });
    let orders = order_sender.subscribe();
    tokio::select! {
        () = following => {}
        () = retire::keep_until_retired(&server, &*objects, &config, orders) => {}
    }
}

/// Whether a retirement of `host` is ordered and not completed; `None` if an event says nothing of it.
fn ordered_retirement(event: &Event, host: &str) -> Option<bool> {
    let is_pending = |object: &Object| {
        let state = object.status.get("state").and_then(|state| state.as_str());
        state != Some("completed")
    };
    match event {
        Event::Listed(objects, _) => {
            let order = objects.iter().find(|object| object.name == host);
            Some(order.is_some_and(is_pending))
        }
        Event::Changed(changes, _) => {
            let mut orders = changes.iter().filter_map(|change| match change {
                Change::Put(object) => (object.name == host).then(|| is_pending(object)),
                Change::Deleted(name) => (name == host).then_some(false),
            });
            orders.next_back()
        }
        Event::Unchanged(_) | Event::Unavailable | Event::Available => None,
    }
}

async fn remove_expired_records(server: Arc<Server>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        server.expire(Timestamp::now());
    }
}
