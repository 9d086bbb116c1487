//! A small fleet in one process: a platform, two entries, sidecars with their targets.

// Each test binary uses a part.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use coord::config::Change;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::shard;
use entry::member::Member;
use entry::service::Service;
use entry::settings::Settings;
use entry::tickets;
use entry::tickets::Verdict;
use fakes::engine::Engine;
use fakes::platform::Platform;
use fakes::tool::Tool;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use node::metrics::Metrics;
use serde_json::Value;
use serde_json::json;
use sidecar::daemon::Daemon;
use tokio::task::JoinHandle;

const PATIENCE: Duration = Duration::from_secs(20);
const ENTRIES: usize = 2;
/// Places at each target.
const SLOTS: u64 = 4;
/// First port and number of ports.
const PORTS: (u16, u16) = (8_000, 4_000);
const SALT: &str = "00ff";

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Everything of one test; it ends with it.
pub struct Fleet {
    _platform: Platform,
    pub services: Vec<Service>,
    pub engine: Engine,
    pub tool: Tool,
    _sidecars: Vec<Daemon>,
    ticket: u64,
}

/// An answer read whole.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub retry_after: Option<u64>,
    pub text: String,
    pub body: Value,
}

impl Reply {
    pub fn code(&self) -> &str {
        self.body["code"].as_str().unwrap_or_default()
    }

    pub fn ran(&self) -> &str {
        self.body["ran"].as_str().unwrap_or_default()
    }

    pub fn content(&self) -> &str {
        let content = &self.body["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default()
    }
}

impl Fleet {
    pub async fn start() -> Fleet {
        let platform = Platform::start(free()).await.expect("a platform");
        let engine = Engine::start(fakes::engine::Settings::default());
        let engine = engine.await.expect("an engine");
        let tool = Tool::start(fakes::tool::Settings::default());
        let tool = tool.await.expect("a tool");
        let mut services = Vec::new();
        for number in 1..=ENTRIES {
            services.push(start_entry(number, platform.address()).await);
        }
        let (first, engine_at) = start_sidecar("engine-1", "engine", engine.address).await;
        let (second, tool_at) = start_sidecar("tool-1", "plain", tool.address).await;
        let mut fleet = Fleet {
            _platform: platform,
            services,
            engine,
            tool,
            _sidecars: vec![first, second],
            ticket: 0,
        };
        fleet.change(objects(engine_at, tool_at), json!([])).await;
        fleet.wait_settled().await;
        fleet
    }

    /// Puts the next ticket.
    pub async fn change(&mut self, set: Value, remove: Value) {
        self.ticket += 1;
        let change = json!({ "number": self.ticket, "set": set, "remove": remove });
        let change: Change = serde_json::from_value(change).expect("a sound ticket");
        let member = &self.services[0].member;
        within("a ticket is accepted", async || {
            tickets::put(member, change.clone()).await == Verdict::Accepted
        })
        .await;
        within("a ticket is in force", async || {
            let newest = |service: &Service| service.member.config().newest_ticket();
            self.services
                .iter()
                .all(|service| newest(service) == change.number)
        })
        .await;
    }

    /// Waits until each shard has its owner and standby, and none is about to move.
    async fn wait_settled(&self) {
        within("the shards have settled", async || {
            self.services
                .iter()
                .all(|service| is_settled(&service.member))
        })
        .await;
    }

    pub async fn call(
        &self,
        entry: usize,
        customer: &str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Reply {
        let address = self.services[entry].callers();
        let request = request(address, customer, method, path, headers);
        send(request.body(Full::new(body.into())).expect("sound")).await
    }

    /// Posts in the background.
    pub fn background(
        &self,
        entry: usize,
        customer: &str,
        path: &str,
        name: &str,
        body: String,
    ) -> JoinHandle<Reply> {
        let address = self.services[entry].callers();
        let headers = [("idempotency-key", name)];
        let request = request(address, customer, Method::POST, path, &headers);
        tokio::spawn(send(request.body(Full::new(body.into())).expect("sound")))
    }

    /// Occupies all of the tool's places.
    pub async fn fill_tool(&self) -> Vec<JoinHandle<Reply>> {
        let fill = |number| {
            let name = format!("fill-{number}");
            self.background(0, "large", "/r/book/fill", &name, String::new())
        };
        let fillers = (0..SLOTS).map(fill).collect();
        within("the tool is full", async || self.executions() == SLOTS).await;
        fillers
    }

    /// Calls that wait at the tool's sidecar, as the entries know.
    pub fn queued(&self) -> u32 {
        let reports = |service: &Service| service.call.table.reports();
        let reports = self.services.iter().flat_map(reports);
        let tool = reports.filter(|(target, _)| target.as_str() == "tool-1");
        tool.map(|(_, load)| load.queued).max().unwrap_or(0)
    }

    pub async fn post(&self, entry: usize, customer: &str, path: &str, body: Value) -> Reply {
        self.call(entry, customer, Method::POST, path, &[], body.to_string())
            .await
    }

    pub async fn open(&self, customer: &str) -> String {
        let budget = json!({ "tokens": 100_000, "calls": 100, "wall_ms": 600_000 });
        let reply = self.post(0, customer, "/v1/programs", budget).await;
        let program = reply.body["program"].as_str();
        program.unwrap_or_else(|| panic!("{reply:?}")).to_owned()
    }

    pub async fn turn(
        &self,
        entry: usize,
        customer: &str,
        program: &str,
        step: u32,
        content: &str,
    ) -> Reply {
        let step = step.to_string();
        let headers = [
            ("teasellever-program", program),
            ("teasellever-step", &step),
        ];
        let body = chat(content, false).to_string();
        self.call(
            entry,
            customer,
            Method::POST,
            "/v1/chat/completions",
            &headers,
            body,
        )
        .await
    }

    /// A request name whose shard an entry owns.
    pub fn name_at(&self, entry: usize, customer: &str) -> String {
        let customer = customer.parse().expect("a customer's name");
        let owned = |name: &String| {
            let request = name.parse().expect("a request's name");
            let shard = Shard::of_request(&customer, &request);
            self.services[entry].member.authority(shard).is_some()
        };
        let names = (0..10_000).map(|number| format!("request-{number}"));
        names.into_iter().find(owned).expect("an owned shard")
    }

    /// Executions that the tool has counted.
    pub fn executions(&self) -> u64 {
        self.tool.stats.counts().executions.values().sum()
    }
}

pub fn chat(content: &str, stream: bool) -> Value {
    json!({
        "model": "m1",
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": 32,
        "stream": stream,
    })
}

fn is_settled(member: &Member) -> bool {
    let map = member.map();
    let paired = |number| {
        let owner = map.owner(Shard(number));
        owner.is_some_and(|owner| owner.primary.is_some() && owner.standby.is_some())
    };
    let resting = map
        .members
        .iter()
        .all(|one| shard::handover_plan(&map, &one.node).is_empty());
    map.members.len() == ENTRIES && resting && (0..SHARDS).all(paired)
}

fn request(
    address: SocketAddr,
    customer: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
) -> http::request::Builder {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    if !customer.is_empty() {
        let key = format!("Bearer tk.{customer}-key.{customer}-secret");
        request = request.header("authorization", key);
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request
}

async fn send(request: Request<Full<Bytes>>) -> Reply {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.expect("a reply");
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.into_body().collect().await;
    let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    Reply {
        status,
        retry_after,
        text,
        body,
    }
}

/// Polls a condition until it holds.
pub async fn within(what: &str, holds: impl AsyncFn() -> bool) {
    let end = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start_entry(number: usize, platform: SocketAddr) -> Service {
    let settings: Settings = serde_json::from_value(json!({
        "node": format!("entry-{number}"),
        "data_centre": format!("dc-{number}"),
        "listen": { "callers": free(), "peers": free(), "admin": free() },
        "platform": format!("http://{platform}"),
        "lease": { "duration_ms": 1500, "margin_ms": 150 },
        "limits": { "body_bytes": 100_000, "grace_ms": 100 },
    }))
    .expect("sound settings");
    let metrics = Metrics::new().expect("metrics");
    let member = Member::start(settings);
    let service = Service::start(Arc::clone(&member), &metrics.meter()).await;
    service.expect("an entry")
}

async fn start_sidecar(target: &str, kind: &str, url: SocketAddr) -> (Daemon, SocketAddr) {
    let peers = free();
    let settings = serde_json::from_value(json!({
        "target": target,
        "data_centre": "dc-1",
        "listen": { "peers": peers, "admin": free() },
        "url": format!("http://{url}"),
        "kind": kind,
        "limits": { "slots": SLOTS },
    }));
    let daemon = Daemon::start(settings.expect("sound settings")).await;
    (daemon.expect("a sidecar"), peers)
}

fn objects(engine: SocketAddr, tool: SocketAddr) -> Value {
    let mut objects = vec![
        json!({ "model": { "id": "m1", "context": 100_000 } }),
        json!({ "target": {
            "id": "engine-1", "data_centre": "dc-1", "sidecar": engine, "models": ["m1"],
        }}),
        json!({ "target": { "id": "tool-1", "data_centre": "dc-1", "sidecar": tool } }),
        json!({ "route": { "id": "book", "targets": ["tool-1"] } }),
        json!({ "route": { "id": "open", "targets": ["tool-1"], "public": true } }),
        customer("slow", 0.5, 1),
        key("slow"),
    ];
    for name in ["large", "small"] {
        objects.extend([customer(name, 1000.0, 1000), key(name)]);
    }
    json!(objects)
}

pub fn customer(id: &str, rate: f64, burst: u32) -> Value {
    json!({ "customer": { "id": id, "rate": rate, "burst": burst } })
}

fn key(customer: &str) -> Value {
    let hash = hash(SALT, &format!("{customer}-secret"));
    let id = format!("{customer}-key");
    json!({ "key": { "id": id, "customer": customer, "salt": SALT, "hash": hash } })
}

fn hash(salt: &str, secret: &str) -> String {
    use sha2::Digest;
    let digest = sha2::Sha256::new()
        .chain_update(salt)
        .chain_update(secret)
        .finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A port below the range that the kernel hands out for connections.
fn free() -> SocketAddr {
    let start = std::process::id() as u16 % PORTS.1;
    (0..PORTS.1)
        .map(|_| PORTS.0 + (start + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS.1)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .find(|address| TcpListener::bind(address).is_ok())
        .expect("a port is free")
}
