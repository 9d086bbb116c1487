//! Members over loopback with the platform's stand-in in the same process.

#![allow(dead_code)]

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coord::config::Change;
use coord::id::Shard;
use coord::record::Budget;
use coord::record::Record;
use coord::shard;
use entry::heartbeat;
use entry::member::Member;
use entry::promise;
use entry::replicate;
use entry::settings::Settings;
use entry::shards::Durable;
use entry::shards::Moved;
use entry::shards::Role;
use fakes::platform::Faults;
use fakes::platform::Platform;
use futures::stream::Empty;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;
use wire::owner_server::Owner;
use wire::owner_server::OwnerServer;

/// Longest wait for a condition that must come about.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Length of a lease, in milliseconds.
pub const LEASE: u64 = 1_500;

/// How long a member goes on without the platform, in milliseconds.
pub const OUTAGE: u64 = 300_000;

/// Threads of a member.
const WORKERS: usize = 2;

const POLL: Duration = Duration::from_millis(10);

/// The members' part of the service between entries.
#[derive(Debug)]
struct Service(Arc<Member>);

#[tonic::async_trait]
impl Owner for Service {
    type CallStream = Empty<Result<wire::CallFrame, Status>>;

    async fn call(
        &self,
        _: Request<wire::CallRequest>,
    ) -> Result<Response<Self::CallStream>, Status> {
        Err(Status::unimplemented("members only"))
    }

    async fn admit(
        &self,
        _: Request<wire::AdmitRequest>,
    ) -> Result<Response<wire::AdmitReply>, Status> {
        Err(Status::unimplemented("members only"))
    }

    async fn settle(
        &self,
        _: Request<wire::SettleRequest>,
    ) -> Result<Response<wire::SettleReply>, Status> {
        Err(Status::unimplemented("members only"))
    }

    async fn replicate(
        &self,
        request: Request<wire::ReplicateRequest>,
    ) -> Result<Response<wire::ReplicateReply>, Status> {
        Ok(Response::new(replicate::append(
            self.0.shards(),
            request.get_ref(),
        )))
    }

    async fn sync(
        &self,
        request: Request<Streaming<wire::SyncChunk>>,
    ) -> Result<Response<wire::ReplicateReply>, Status> {
        Ok(Response::new(
            replicate::install(self.0.shards(), request.into_inner()).await?,
        ))
    }

    async fn exchange(
        &self,
        request: Request<wire::Digest>,
    ) -> Result<Response<wire::Digest>, Status> {
        Ok(Response::new(heartbeat::answer(&self.0, request.get_ref())))
    }

    async fn promise(
        &self,
        request: Request<wire::PromiseRequest>,
    ) -> Result<Response<wire::PromiseReply>, Status> {
        Ok(Response::new(promise::answer(&self.0, request.get_ref())))
    }
}

/// A member and its server.
pub struct Node {
    pub member: Arc<Member>,
    runtime: Option<Runtime>,
    paused: Option<Instant>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Node {
    /// Starts a member in a data centre.
    pub async fn start(platform: &Platform, name: &str, data_centre: &str) -> Node {
        Node::start_with(platform, name, data_centre, OUTAGE, &[]).await
    }

    /// Starts a member that goes on for so long without the platform, and knows some peers.
    pub async fn start_with(
        platform: &Platform,
        name: &str,
        data_centre: &str,
        outage_ms: u64,
        seeds: &[String],
    ) -> Node {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let peers = listener.local_addr().unwrap();
        let settings = json!({
            "node": name,
            "data_centre": data_centre,
            "listen": { "callers": "127.0.0.1:1", "peers": peers, "admin": "127.0.0.1:2" },
            "platform": format!("http://{}", platform.address()),
            "lease": {
                "duration_ms": LEASE,
                "margin_ms": LEASE / 10,
                "outage_ms": outage_ms,
            },
            "seeds": seeds,
        });
        let settings: Settings =
            node::settings::parse(Path::new("test"), &settings.to_string()).unwrap();
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .enable_all()
            .build()
            .unwrap();
        let member = runtime.spawn(serve(settings, listener)).await.unwrap();
        Node {
            member,
            runtime: Some(runtime),
            paused: None,
        }
    }

    /// Ends all that it runs at once, open connections too, as a crash would.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops all its threads for a while, as a stopped process does.
    pub fn pause(&mut self, length: Duration) {
        self.paused = Some(Instant::now() + length);
        let runtime = self.runtime.as_ref().unwrap();
        for _ in 0..WORKERS {
            runtime.spawn(async move { std::thread::sleep(length) });
        }
    }

    pub fn address(&self) -> String {
        self.member.settings().listen.peers.to_string()
    }

    /// Shards of which it is the primary with authority.
    pub fn led(&self) -> Vec<Shard> {
        let all = (0..coord::id::SHARDS).map(Shard);
        all.filter(|shard| self.member.authority(*shard).is_some())
            .collect()
    }

    /// Whether it is stopped at present.
    pub fn is_paused(&self) -> bool {
        self.paused.is_some_and(|end| Instant::now() < end)
    }

    /// Opens a program in its shard; the name tells them apart.
    pub fn open(&self, program: &str) -> Result<Durable, Moved> {
        let program: coord::id::Program = program.parse().unwrap();
        let shard = Shard::of_program(&program);
        let decision = |_: &_| (vec![opened(&program)], ());
        let ((), durable) = self.member.shards().decide(shard, decision)?;
        Ok(durable)
    }

    /// Whether its copy, as primary, holds a program.
    pub fn holds(&self, program: &str) -> bool {
        let program: coord::id::Program = program.parse().unwrap();
        let shard = Shard::of_program(&program);
        let look = |state: &entry::shards::State| {
            state.role == Role::Primary && state.replica.program(&program).is_some()
        };
        self.member.shards().inspect(shard, look).unwrap_or(false)
    }
}

async fn serve(settings: Settings, listener: std::net::TcpListener) -> Arc<Member> {
    let listener = TcpListener::from_std(listener).unwrap();
    let member = Member::start(settings);
    let service = OwnerServer::new(Service(Arc::clone(&member)))
        .max_decoding_message_size(wire::MESSAGE_LIMIT);
    let server = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    tokio::spawn(server);
    member
}

fn opened(program: &coord::id::Program) -> Record {
    let budget = Budget {
        tokens: coord::id::Tokens(1_000),
        calls: 10,
        wall_ms: 60_000,
    };
    let customer = "customer".parse().unwrap();
    Record::Opened {
        program: program.clone(),
        customer,
        budget,
        at_ms: entry::clock::unix_ms(),
    }
}

/// The platform's stand-in.
pub async fn platform() -> Platform {
    Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

/// Waits for a condition that must come about.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "not in time: {what}");
        sleep(POLL).await;
    }
}

/// Waits until all shards have a primary with authority and a standby, and no plan moves any.
pub async fn settled(nodes: &[&Node]) {
    let end = Instant::now() + PATIENCE;
    while let Some(why) = unsettled(nodes) {
        assert!(Instant::now() < end, "not in time: {why}");
        sleep(POLL).await;
    }
}

/// What is missing, for a failing test to show.
fn unsettled(nodes: &[&Node]) -> Option<String> {
    let map = nodes[0].member.map();
    let members: Vec<&str> = map
        .members
        .iter()
        .map(|member| member.node.as_str())
        .collect();
    let alone = map
        .shards
        .iter()
        .filter(|owner| owner.standby.is_none())
        .count();
    let led: Vec<usize> = nodes.iter().map(|node| node.led().len()).collect();
    let behind = nodes
        .iter()
        .any(|node| node.member.map().version != map.version);
    let moves = nodes.iter().map(|node| {
        let name = node.member.node();
        shard::standby_plan(&map, &name).len() + shard::handover_plan(&map, &name).len()
    });
    let moves: usize = moves.sum();
    let settled = members.len() == nodes.len()
        && alone == 0
        && led.iter().sum::<usize>() == usize::from(coord::id::SHARDS)
        && !behind
        && moves == 0;
    let why = format!("members {members:?} led {led:?} alone {alone} moves {moves} {behind}");
    (!settled).then_some(why)
}

/// Programs named so that they fall on shards that this node leads.
pub fn programs_of(node: &Node, prefix: &str, count: usize) -> Vec<String> {
    let led = node.led();
    let names = (0..).map(|number| format!("{prefix}-{number}"));
    let here = |name: &String| led.contains(&Shard::of_program(&name.parse().unwrap()));
    names.filter(here).take(count).collect()
}

/// Programs of this node's whose standby is another.
pub fn shared_programs(node: &Node, standby: &Node, prefix: &str, count: usize) -> Vec<String> {
    let map = node.member.map();
    let shards = map.shards_with_standby(&standby.member.node());
    let shared = |name: &String| shards.contains(&Shard::of_program(&name.parse().unwrap()));
    let names = programs_of(node, prefix, 100 * count).into_iter();
    names.filter(shared).take(count).collect()
}

/// Opens programs and waits until each stands in two places.
pub async fn open_all(node: &Node, programs: &[String]) {
    for program in programs {
        node.open(program).unwrap().wait().await.unwrap();
    }
}

/// A ticket that sets one customer's rate.
pub fn ticket(number: u64, customer: &str, rate: f64) -> Change {
    let change = json!({
        "number": number,
        "set": [{ "customer": { "id": customer, "rate": rate, "burst": 10 } }],
    });
    serde_json::from_value(change).unwrap()
}

/// The rate of a customer as a node has it.
pub fn rate(node: &Node, customer: &str) -> Option<f64> {
    let config = node.member.config();
    let customer = config.customer(&customer.parse().unwrap())?;
    Some(customer.rate.per_second())
}

/// Faults with the platform down.
pub fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}
