//! The whole flow of the process: start, watch the target, serve entries, drain, stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::HttpServer;
use eyre::WrapErr;
use eyre::eyre;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use wire::target_server::TargetServer;

use crate::clock;
use crate::dump::Dump;
use crate::health::Reach;
use crate::order::Reconciler;
use crate::release;
use crate::rpc;
use crate::settings::Settings;
use crate::state::State;

/// Pause between two looks at the target.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Pause between two passes over the engine's cache.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between two sweeps over old attempts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Pause between two looks at what still runs, while draining.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Silence on a connection after which the other side is asked whether it lives, and given up.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Flow-control window of one connection, in bytes.
const WINDOW: u32 = 8 * 1024 * 1024;

/// Streams of one connection beyond those that run or wait.
const SPARE_STREAMS: usize = 1_024;

/// Time for entries to learn of the stop from their probes; new work is turned away until then.
const NOTICE: Duration = Duration::from_millis(1_000);

/// A running sidecar.
pub struct Daemon {
    state: Arc<State>,
    peers: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<Result<(), tonic::transport::Error>>,
    admin: HttpServer<Dump>,
    watches: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts to watch the target and to serve entries and operators.
    ///
    /// Errors: an address can't be bound.
    pub async fn start(settings: Settings) -> eyre::Result<Daemon> {
        let listen = settings.listen.clone();
        let state = Arc::new(State::new(settings)?);
        let listener = TcpListener::bind(listen.peers).await;
        let listener =
            listener.wrap_err_with(|| format!("listen for entries: {}", listen.peers))?;
        let peers = listener.local_addr()?;
        let api = node::admin::api_description::<Dump>();
        let admin = node::admin::serve(listen.admin, api, Dump(state.clone()))?;
        look(&state).await;
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(state.clone(), listener, stopped));
        let mut watches = vec![
            tokio::spawn(watch_target(state.clone())),
            tokio::spawn(watch_cache(state.clone())),
            tokio::spawn(sweep(state.clone())),
        ];
        let reconciler = Reconciler::new(state.clone()).filter(|_| state.is_engine());
        watches.extend(reconciler.map(|reconciler| tokio::spawn(reconciler.run())));
        log::info!(peer = state.settings.target.as_str(); "serving entries on {peers}");
        Ok(Daemon {
            state,
            peers,
            stop,
            server,
            admin,
            watches,
        })
    }

    /// Where entries are served.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Where operators are served.
    pub fn admin(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    /// The shared state.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Refuses new work, finishes what waits and runs, and stops.
    ///
    /// Errors: work was cut off because it outlasted the time for a planned stop.
    pub async fn drain(self) -> eyre::Result<()> {
        self.state.drain();
        log::info!("draining");
        let limit = clock::duration(self.state.settings.limits.drain_ms);
        let finish = finish(&self.state, &self.stop, self.server);
        let finished = tokio::time::timeout(limit, finish).await;
        self.watches.iter().for_each(JoinHandle::abort);
        self.admin.close().await.map_err(|error| eyre!(error))?;
        log::info!("stopped");
        finished.wrap_err("requests outlasted the time for a planned stop")
    }
}

async fn serve(
    state: Arc<State>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) -> Result<(), tonic::transport::Error> {
    let limits = &state.settings.limits;
    let streams = limits.queue + limits.slots + SPARE_STREAMS;
    let service = TargetServer::new(rpc::Server::new(state.clone()))
        .max_decoding_message_size(wire::MESSAGE_LIMIT)
        .max_encoding_message_size(wire::MESSAGE_LIMIT);
    Server::builder()
        .max_concurrent_streams(Some(streams as u32))
        .initial_connection_window_size(Some(WINDOW))
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_service(service)
        .serve_with_incoming_shutdown(incoming(listener), async move {
            let _ = stopped.wait_for(|stopped| *stopped).await;
        })
        .await
}

async fn watch_target(state: Arc<State>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        look(&state).await;
    }
}

async fn look(state: &State) {
    state.health.probe().await;
    state.metrics.depth(state.queue.depth());
    if !state.is_engine() {
        return;
    }
    let models = match state.health.reach() {
        Reach::Up => state.upstream.models().await,
        // Entries send nothing to an engine that serves no model.
        Reach::Unknown | Reach::Silent | Reach::Down => Ok(Vec::new()),
    };
    match models {
        Ok(models) => *state.models.lock() = models,
        Err(error) => state.record_failure("models", &error),
    }
}

async fn watch_cache(state: Arc<State>) {
    while state.is_engine() {
        tokio::select! {
            () = state.release.notified() => {}
            () = tokio::time::sleep(RELEASE_INTERVAL) => {}
        }
        if state.health.reach() != Reach::Up {
            continue;
        }
        if let Err(error) = release::pass(&state).await {
            state.record_failure("release", &error);
        }
    }
}

async fn sweep(state: Arc<State>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = state.clock.now();
        state.ledger.lock().sweep(now);
    }
}

/// Waits until nothing waits or runs, then until all answers have been read.
async fn finish(
    state: &State,
    stop: &watch::Sender<bool>,
    server: JoinHandle<Result<(), tonic::transport::Error>>,
) {
    tokio::time::sleep(NOTICE).await;
    while !state.queue.is_idle() {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    stop.send_replace(true);
    if let Ok(Err(error)) = server.await {
        state.record_failure("serve entries", &error);
    }
}

/// Connections without Nagle's delay; the server's own setting holds only where it binds itself.
fn incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}
