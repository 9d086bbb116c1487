//! The calls' path of one entry: what serves callers and other entries, and the loops beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use gateway::serve::intake::Intake;
use opentelemetry::metrics::Meter;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tonic::transport;
use tonic::transport::server::TcpIncoming;
use wire::owner_server::OwnerServer;

use crate::admission::Admission;
use crate::cache;
use crate::call::Call;
use crate::callers::Callers;
use crate::clock;
use crate::gauges;
use crate::ingress::Ingress;
use crate::instruments::Instruments;
use crate::member::Member;
use crate::probe;
use crate::resolve;
use crate::rpc;
use crate::server::Server;
use crate::sweep;

/// Time between two looks at how far a planned stop has come.
const PAUSE: Duration = Duration::from_millis(20);
/// Time for other entries' connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves callers and other entries.
pub struct Service {
    pub member: Arc<Member>,
    pub call: Arc<Call>,
    pub admission: Arc<Admission>,
    pub ingress: Arc<Ingress>,
    callers: Server,
    grace: Duration,
    peers: JoinHandle<()>,
    loops: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

impl Service {
    /// Starts serving on the addresses of the settings.
    ///
    /// Errors: an address can't be bound.
    pub async fn start(member: Arc<Member>, meter: &Meter) -> eyre::Result<Service> {
        let settings = member.settings().clone();
        let limits = settings.limits.clone();
        let grace = clock::duration(limits.grace_ms);
        let admission = Admission::new(Arc::clone(&member), limits.admission_wait_ms);
        let admission = Arc::new(admission);
        let instruments = Arc::new(Instruments::new(meter));
        gauges::observe(&member, meter);
        let call = Call::new(
            Arc::clone(&member),
            Arc::new(settings.clone()),
            Arc::clone(&admission),
            Arc::clone(&instruments),
        );
        let ingress = Ingress::new(Arc::clone(&member), Arc::clone(&call), limits.requests);
        let ingress = Arc::new(ingress);
        let intake = Intake::new(limits.intake());
        let callers = Callers::new(
            Arc::clone(&member),
            Arc::clone(&ingress),
            limits,
            instruments,
        );
        let callers = Server::start(callers, intake, settings.listen.callers).await?;
        let stop = watch::Sender::new(false);
        let server = rpc::Server::new(
            Arc::clone(&member),
            Arc::clone(&call),
            Arc::clone(&admission),
        );
        let peers = serve_peers(settings.listen.peers, server, stop.subscribe()).await?;
        let loops = vec![
            tokio::spawn(resolve::keep(Arc::clone(&call))),
            tokio::spawn(resolve::sweep(Arc::clone(&call))),
            tokio::spawn(probe::keep(Arc::clone(&call))),
            tokio::spawn(cache::keep(Arc::clone(&call))),
            tokio::spawn(sweep::keep(Arc::clone(&call))),
        ];
        Ok(Service {
            member,
            call,
            admission,
            ingress,
            callers,
            grace,
            peers,
            loops,
            stop,
        })
    }

    /// Where callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Whether no call of a caller or of another entry is in progress here.
    pub fn is_idle(&self) -> bool {
        self.ingress.open() == 0 && self.call.flight.total() == 0
    }

    /// Stops as planned: hands the shards over, finishes the open answers, then ends. Takes up to
    /// twice the limit.
    pub async fn stop(self, limit: Duration) {
        self.member.shed(limit).await;
        finish(self.callers, &self.call, self.grace, limit).await;
        self.member.depart(limit).await;
        self.loops.iter().for_each(JoinHandle::abort);
        self.stop.send_replace(true);
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.peers).await;
    }
}

/// Serves callers until the balancer had time to notice, then finishes all that is in progress.
async fn finish(callers: Server, call: &Call, grace: Duration, limit: Duration) {
    tokio::time::sleep(grace).await;
    if tokio::time::timeout(limit, callers.close()).await.is_err() {
        log::warn!(step = "stop", peer = "callers"; "answers were still open at the limit");
    }
    let end = Instant::now() + limit;
    while call.flight.total() > 0 && Instant::now() < end {
        tokio::time::sleep(PAUSE).await;
    }
}

async fn serve_peers(
    address: SocketAddr,
    server: rpc::Server,
    mut stop: watch::Receiver<bool>,
) -> eyre::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("binding {address}"))?;
    let owner = OwnerServer::new(server)
        .max_decoding_message_size(wire::MESSAGE_LIMIT)
        .max_encoding_message_size(wire::MESSAGE_LIMIT);
    let stopped = async move {
        let _ = stop.wait_for(|stop| *stop).await;
    };
    let serving = transport::Server::builder()
        .add_service(owner)
        .serve_with_incoming_shutdown(incoming(listener), stopped);
    Ok(tokio::spawn(async move {
        if let Err(error) = serving.await {
            log::error!(step = "serve", peer = address.to_string().as_str(); "{error}");
        }
    }))
}

/// Connections without Nagle's delay; the server's own setting holds only where it binds itself.
fn incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}
