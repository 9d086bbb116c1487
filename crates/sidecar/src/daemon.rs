//! Lifecycle of the process: start, monitor the target, serve entries, drain and stop.

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

/// Delay between two probes of the target.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay between two release passes over the engine's cache.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between two removals of expired attempts from the ledger.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Delay between two checks for an empty queue while draining.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of HTTP/2 keepalive pings, and timeout after which an unanswered ping closes the
/// connection.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 * 1024 * 1024;

/// Streams allowed per connection in addition to queued and running requests.
const SPARE_STREAMS: usize = 1_024;

/// Time for entries to learn from their probes that the sidecar is draining; new work is refused
/// meanwhile.
const DRAIN_NOTICE: Duration = Duration::from_millis(1_000);

/// A running sidecar.
pub struct Daemon {
    state: Arc<State>,
    peers: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<Result<(), tonic::transport::Error>>,
    admin: HttpServer<Dump>,
    background_tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts monitoring the target and serving entries and operators.
    ///
    /// Errors: an address can't be bound, or the metrics can't be set up.
    pub async fn start(settings: Settings) -> eyre::Result<Daemon> {
        let listen = settings.listen.clone();
        let state = Arc::new(State::new(settings)?);
        let listener = TcpListener::bind(listen.peers).await;
        let listener =
            listener.wrap_err_with(|| format!("cannot listen for entries on {}", listen.peers))?;
        let peers = listener.local_addr()?;
        let api = node::admin::api_description::<Dump>();
        let admin = node::admin::serve(listen.admin, api, Dump(state.clone()))?;
        probe_target(&state).await;
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(state.clone(), listener, stopped));
        let mut background_tasks = vec![
            tokio::spawn(probe_periodically(state.clone())),
            tokio::spawn(release_caches(state.clone())),
            tokio::spawn(sweep_ledger(state.clone())),
        ];
        let reconciler = Reconciler::new(state.clone()).filter(|_| state.is_engine());
        background_tasks.extend(reconciler.map(|reconciler| tokio::spawn(reconciler.run())));
        log::info!(peer = state.settings.target.as_str(); "serving entries on {peers}");
        Ok(Daemon {
            state,
            peers,
            stop,
            server,
            admin,
            background_tasks,
        })
    }

    /// Address for entries.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Refuses new work, finishes queued and running requests, and stops.
    ///
    /// Errors: requests were aborted because they exceeded the drain timeout.
    pub async fn drain(self) -> eyre::Result<()> {
        self.state.drain();
        log::info!("draining");
        let limit = clock::duration(self.state.settings.limits.drain_ms);
        let finish = finish_requests(&self.state, &self.stop, self.server);
        let finished = tokio::time::timeout(limit, finish).await;
        self.background_tasks.iter().for_each(JoinHandle::abort);
        self.admin.close().await.map_err(|error| eyre!(error))?;
        log::info!("stopped");
        finished.wrap_err("requests exceeded the drain timeout")
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
        .initial_connection_window_size(Some(CONNECTION_WINDOW))
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_service(service)
        .serve_with_incoming_shutdown(incoming(listener), async move {
            let _ = stopped.wait_for(|stopped| *stopped).await;
        })
        .await
}

async fn probe_periodically(state: Arc<State>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        probe_target(&state).await;
    }
}

/// Probes the target and updates the depth metrics and the engine's models.
async fn probe_target(state: &State) {
    state.health.probe().await;
    state.metrics.record_depth(state.queue.depth());
    if !state.is_engine() {
        return;
    }
    let models = match state.health.reach() {
        Reach::Up => state.upstream.models().await,
        // With an empty list, entries send no requests to the engine.
        Reach::Unknown | Reach::Silent | Reach::Down => Ok(Vec::new()),
    };
    match models {
        Ok(models) => *state.models.lock() = models,
        Err(error) => state.record_failure("models", &error),
    }
}

/// Releases cached histories when notified and at a fixed interval.
async fn release_caches(state: Arc<State>) {
    while state.is_engine() {
        tokio::select! {
            () = state.release.notified() => {}
            () = tokio::time::sleep(RELEASE_INTERVAL) => {}
        }
        if state.health.reach() != Reach::Up {
            continue;
        }
        if let Err(error) = release::drop_expired(&state).await {
            state.record_failure("release", &error);
        }
    }
}

/// Removes expired attempts from the ledger at a fixed interval.
async fn sweep_ledger(state: Arc<State>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = state.clock.now();
        state.ledger.lock().sweep(now);
    }
}

/// Waits until no request is queued or running, then until all answers have been sent.
async fn finish_requests(
    state: &State,
    stop: &watch::Sender<bool>,
    server: JoinHandle<Result<(), tonic::transport::Error>>,
) {
    tokio::time::sleep(DRAIN_NOTICE).await;
    while !state.queue.is_idle() {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    stop.send_replace(true);
    if let Ok(Err(error)) = server.await {
        state.record_failure("serve entries", &error);
    }
}

/// Accepts connections with `TCP_NODELAY`; the server's own setting applies only if it binds the
/// listener itself.
fn incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}
