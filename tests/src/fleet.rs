//! The whole system as processes: stand-ins, entries, sidecars.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use coord::id::Node;
use coord::id::Program;
use coord::id::Shard;
use coord::shard::Map;
use eyre::WrapErr;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::caller::Caller;
use crate::caller::Http;
use crate::cut::Cut;
use crate::object::OPERATOR;
use crate::object::customer_object;
use crate::object::key_object;
use crate::object::operator_hash;
use crate::object::presented;
pub use crate::plan::Plan;
use crate::plan::lay_over;
use crate::port;
use crate::process::Process;
use crate::target;
use crate::target::Kind;
use crate::target::Target;

/// Longest wait for a condition that must come about.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The model of every engine.
pub const MODEL: &str = "small";

const POLL: Duration = Duration::from_millis(25);

/// Fleets that run at a time in one test program.
const FLEETS: usize = 3;

static FOLDERS: AtomicU32 = AtomicU32::new(0);
static TURNS: Semaphore = Semaphore::const_new(FLEETS);

/// An entry and the switches on the paths that lead to and from it.
#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub process: Process,
    pub settings: PathBuf,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    /// From other entries to this one.
    pub inward: Cut,
    /// From this entry to the platform.
    pub platform: Cut,
}

/// All processes of one run; they end with it.
#[derive(Debug)]
pub struct Fleet {
    pub folder: PathBuf,
    pub platform: Process,
    pub store: SocketAddr,
    pub entries: Vec<Entry>,
    pub engines: Vec<Target>,
    pub tools: Vec<Target>,
    pub http: Http,
    ticket: u64,
    /// A condition didn't come about: the folder is kept.
    failed: AtomicBool,
    _turn: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts everything, configures the customers and waits until it serves.
    ///
    /// Errors: a process doesn't start, or doesn't serve in time.
    pub async fn start(plan: &Plan) -> eyre::Result<Fleet> {
        let turn = TURNS.acquire().await?;
        let folder = folder()?;
        let store = port::free();
        let listen = store.to_string();
        let args = ["platform", "--listen", listen.as_str()];
        let platform = Process::start(&folder, "platform", "teasellever-fakes", &args)?;
        let mut fleet = Fleet {
            folder,
            platform,
            store,
            entries: Vec::new(),
            engines: Vec::new(),
            tools: Vec::new(),
            http: Http::default(),
            ticket: 0,
            failed: AtomicBool::new(false),
            _turn: turn,
        };
        fleet.wait_for_port(store).await?;
        for data_centre in &plan.data_centres {
            let entry = fleet.start_entry(plan, data_centre).await?;
            fleet.entries.push(entry);
        }
        for number in 1..=plan.engines {
            let target = fleet.start_target(plan, Kind::Engine, number).await?;
            fleet.engines.push(target);
        }
        for number in 1..=plan.tools {
            let target = fleet.start_target(plan, Kind::Plain, number).await?;
            fleet.tools.push(target);
        }
        fleet.wait_healthy().await?;
        let objects = fleet.objects(plan);
        fleet.change(objects, json!([])).await?;
        fleet.wait_replicated().await?;
        Ok(fleet)
    }

    /// A caller of a customer at one entry.
    pub fn caller(&self, entry: usize, customer: &str) -> Caller {
        let key = presented(&format!("{customer}-key"));
        Caller::new(self.http.clone(), self.entries[entry].callers, &key)
    }

    /// Puts the next ticket through the first entry that accepts it.
    ///
    /// Errors: none accepts it in time.
    pub async fn change(&mut self, set: Value, remove: Value) -> eyre::Result<u64> {
        self.ticket += 1;
        let number = self.ticket;
        let change = json!({ "number": number, "set": set, "remove": remove });
        let end = Instant::now() + PATIENCE;
        loop {
            for entry in &self.entries {
                let (status, reply) = self.put_ticket(entry.admin, &change).await;
                match status {
                    200 => return Ok(number),
                    _ if Instant::now() > end => {
                        self.failed.store(true, Ordering::Relaxed);
                        eyre::bail!("ticket {number}: {status} {reply}");
                    }
                    _ => tokio::time::sleep(POLL).await,
                }
            }
        }
    }

    /// Puts a ticket at one entry; returns status and reply, status 0 without one.
    pub async fn put_ticket(&self, admin: SocketAddr, change: &Value) -> (u16, Value) {
        let path = format!("/v1/tickets/{}", change["number"]);
        let reply = self
            .http
            .json(Method::PUT, admin, &path, OPERATOR, change)
            .await;
        reply.unwrap_or_else(|error| (0, json!({ "message": error.to_string() })))
    }

    /// The state dump of a process.
    ///
    /// Errors: it doesn't answer.
    pub async fn state(&self, admin: SocketAddr) -> eyre::Result<Value> {
        let (status, state) = self
            .http
            .json(Method::GET, admin, "/v1/state", OPERATOR, &Value::Null)
            .await?;
        eyre::ensure!(status == 200, "state: {status} {state}");
        Ok(state)
    }

    /// Sets the fault switches of a stand-in.
    ///
    /// Errors: it doesn't answer.
    pub async fn faults(&self, fake: SocketAddr, faults: Value) -> eyre::Result<()> {
        let reply = self
            .http
            .json(Method::POST, fake, "/fake/faults", "", &faults)
            .await?;
        eyre::ensure!(reply.0 < 300, "faults: {} {}", reply.0, reply.1);
        Ok(())
    }

    /// What a stand-in has counted.
    ///
    /// Errors: it doesn't answer.
    pub async fn stats(&self, fake: SocketAddr) -> eyre::Result<Value> {
        let path = "/fake/stats";
        let (_, stats) = self
            .http
            .json(Method::GET, fake, path, "", &Value::Null)
            .await?;
        Ok(stats)
    }

    /// Waits until every entry serves.
    ///
    /// Errors: not in time.
    pub async fn wait_healthy(&self) -> eyre::Result<()> {
        for entry in &self.entries {
            self.wait_serving(entry.admin).await?;
        }
        for target in self.engines.iter().chain(&self.tools) {
            self.wait_serving(target.admin).await?;
        }
        Ok(())
    }

    /// Waits until one process serves.
    ///
    /// Errors: not in time.
    pub async fn wait_serving(&self, admin: SocketAddr) -> eyre::Result<()> {
        self.until("a process serves", async || {
            let path = "/healthz";
            let reply = self
                .http
                .json(Method::GET, admin, path, "", &Value::Null)
                .await;
            reply.is_ok_and(|(status, _)| status == 200)
        })
        .await
    }

    /// Polls a condition until it holds.
    ///
    /// Errors: not in time.
    pub async fn until(&self, what: &str, holds: impl AsyncFn() -> bool) -> eyre::Result<()> {
        let end = Instant::now() + PATIENCE;
        while !holds().await {
            if Instant::now() > end {
                self.failed.store(true, Ordering::Relaxed);
                eyre::bail!("not in time: {what}; see {}", self.folder.display());
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Starts an entry again from its settings after its process has ended.
    ///
    /// Errors: it doesn't start.
    pub fn restart_entry(&mut self, index: usize) -> eyre::Result<()> {
        let entry = &mut self.entries[index];
        let settings = entry.settings.to_string_lossy().into_owned();
        let args = ["serve", settings.as_str()];
        entry.process = Process::start(&self.folder, &entry.name, "teasellever-entry", &args)?;
        Ok(())
    }

    /// Starts a sidecar again from its settings after its process has ended.
    ///
    /// Errors: it doesn't start.
    pub fn restart_sidecar(&mut self, index: usize, plain: bool) -> eyre::Result<()> {
        let folder = self.folder.clone();
        let target = self.target(index, plain);
        let settings = target.settings.to_string_lossy().into_owned();
        let name = format!("sidecar-{}", target.name);
        let args = ["serve", settings.as_str()];
        target.sidecar = Process::start(&folder, &name, "teasellever-sidecar", &args)?;
        Ok(())
    }

    /// Starts a target again after it has crashed.
    ///
    /// Errors: it doesn't start.
    pub fn restart_target(&mut self, index: usize, plain: bool) -> eyre::Result<()> {
        let folder = self.folder.clone();
        let target = self.target(index, plain);
        let args: Vec<&str> = target.args.iter().map(String::as_str).collect();
        target.fake = Process::start(&folder, &target.name, "teasellever-fakes", &args)?;
        Ok(())
    }

    /// A target by its place among those of its kind.
    pub fn target(&mut self, index: usize, plain: bool) -> &mut Target {
        match plain {
            true => &mut self.tools[index],
            false => &mut self.engines[index],
        }
    }

    /// The shard map in the platform.
    ///
    /// Errors: there is none.
    pub async fn map(&self) -> eyre::Result<Map> {
        let path = "/v1/objects/shard-map";
        let null = Value::Null;
        let (status, map) = self
            .http
            .json(Method::GET, self.store, path, "", &null)
            .await?;
        eyre::ensure!(status == 200, "shard map: {status}");
        Ok(serde_json::from_value(map)?)
    }

    /// Waits until every shard has a primary and a standby that run.
    ///
    /// Errors: not in time.
    pub async fn wait_replicated(&self) -> eyre::Result<()> {
        self.until("every shard has two owners", async || {
            let map = self.map().await;
            map.is_ok_and(|map| {
                let mut owners = map.shards.iter();
                owners
                    .all(|owner| owner.primary.is_some() && owner.standby.is_some() && !owner.lost)
            })
        })
        .await
    }

    /// Place of the entry that is primary of a shard, as the map says.
    ///
    /// Errors: there is none.
    pub async fn primary(&self, shard: Shard) -> eyre::Result<usize> {
        let map = self.map().await?;
        self.place(map.owner(shard).and_then(|owner| owner.primary.as_ref()))
    }

    /// Place of the entry that is standby of a shard, as the map says.
    ///
    /// Errors: there is none.
    pub async fn standby(&self, shard: Shard) -> eyre::Result<usize> {
        let map = self.map().await?;
        self.place(map.owner(shard).and_then(|owner| owner.standby.as_ref()))
    }

    fn place(&self, node: Option<&Node>) -> eyre::Result<usize> {
        let node = node.ok_or_else(|| eyre::eyre!("the shard lacks an owner"))?;
        // A node's name in the map is the entry's and that of its process's life.
        let is_owner = |entry: &Entry| {
            let life = node.as_str().strip_prefix(entry.name.as_str());
            life.is_some_and(|life| life.is_empty() || life.starts_with(':'))
        };
        let place = self.entries.iter().position(is_owner);
        place.ok_or_else(|| eyre::eyre!("{node} isn't an entry of this fleet"))
    }

    /// Place of the entry that is primary of a program's shard.
    ///
    /// Errors: there is none.
    pub async fn primary_of(&self, program: &str) -> eyre::Result<usize> {
        let program: Program = program.parse()?;
        self.primary(Shard::of_program(&program)).await
    }

    /// Waits until a shard has another primary than the entry at this place.
    ///
    /// Errors: not in time.
    pub async fn wait_replaced(&self, shard: Shard, former: usize) -> eyre::Result<()> {
        self.until("the shard has a new primary", async || {
            let primary = self.primary(shard).await;
            primary.is_ok_and(|primary| primary != former)
        })
        .await
    }

    /// Cuts an entry off from the platform and from other entries.
    pub fn cut_off(&self, entry: usize) {
        self.entries[entry].platform.cut();
        self.entries[entry].inward.cut();
    }

    /// Connects an entry again.
    pub fn connect(&self, entry: usize) {
        self.entries[entry].platform.heal();
        self.entries[entry].inward.heal();
    }

    /// The objects of the first ticket.
    fn objects(&self, plan: &Plan) -> Value {
        let customers = plan.customers.iter().flat_map(|customer| {
            [
                customer_object(customer, 10_000.0, 10_000),
                key_object(customer),
            ]
        });
        let targets = self.engines.iter().chain(&self.tools).map(|target| {
            let models = match target.kind {
                Kind::Engine => json!([MODEL]),
                Kind::Plain => json!([]),
            };
            json!({ "target": {
                "id": target.name,
                "data_centre": plan.data_centres[0],
                "sidecar": target.inward.address,
                "models": models,
            }})
        });
        let tools: Vec<&str> = self
            .tools
            .iter()
            .map(|target| target.name.as_str())
            .collect();
        let routes = [
            ("book", false, false),
            ("look", true, false),
            ("open", true, true),
        ]
        .map(|(id, idempotent, public)| {
            json!({ "route": {
                "id": id, "targets": tools, "idempotent": idempotent, "public": public,
            }})
        });
        let model = json!({ "model": { "id": MODEL, "context": 300_000 } });
        customers
            .chain(targets)
            .chain(routes)
            .chain([model])
            .collect()
    }

    async fn start_entry(&self, plan: &Plan, data_centre: &str) -> eyre::Result<Entry> {
        let name = format!("entry-{data_centre}-{}", self.entries.len() + 1);
        let [callers, peers, admin] = [port::free(), port::free(), port::free()];
        let inward = Cut::new(peers).await?;
        let platform = Cut::new(self.store).await?;
        let mut settings = json!({
            "node": name,
            "data_centre": data_centre,
            "listen": {
                "callers": callers,
                "peers": peers,
                "advertised": inward.address,
                "admin": admin,
            },
            "platform": format!("http://{}", platform.address),
            "operators": [operator_hash()],
            "lease": { "duration_ms": plan.lease_ms, "margin_ms": plan.lease_ms / 10 },
        });
        lay_over(&mut settings, &plan.entry);
        let settings = self.write(&name, &settings)?;
        let args = ["serve", settings.to_str().unwrap_or_default()];
        let process = Process::start(&self.folder, &name, "teasellever-entry", &args)?;
        Ok(Entry {
            name,
            process,
            settings,
            callers,
            admin,
            inward,
            platform,
        })
    }

    async fn start_target(&self, plan: &Plan, kind: Kind, number: usize) -> eyre::Result<Target> {
        let name = match kind {
            Kind::Engine => format!("engine-{number}"),
            Kind::Plain => format!("tool-{number}"),
        };
        let [url, peers, admin] = [port::free(), port::free(), port::free()];
        let record = self.folder.join(format!("{name}.executions"));
        let args = target::args(plan, kind, url, &record);
        let words: Vec<&str> = args.iter().map(String::as_str).collect();
        let fake = Process::start(&self.folder, &name, "teasellever-fakes", &words)?;
        let inward = Cut::new(peers).await?;
        let mut settings = json!({
            "target": name,
            "data_centre": plan.data_centres[0],
            "listen": { "peers": peers, "admin": admin },
            "url": format!("http://{url}"),
            "kind": if kind == Kind::Engine { "engine" } else { "plain" },
            "platform": format!("http://{}", self.store),
            "operators": [operator_hash()],
            "limits": {
                "slots": plan.slots,
                "prefill_rate": plan.prefill_rate,
                "decode_rate": plan.decode_rate,
            },
        });
        lay_over(&mut settings, &plan.sidecar);
        let settings = self.write(&name, &settings)?;
        self.wait_for_port(url).await?;
        let args = ["serve", settings.to_str().unwrap_or_default()];
        let process = format!("sidecar-{name}");
        let sidecar = Process::start(&self.folder, &process, "teasellever-sidecar", &args)?;
        Ok(Target {
            name,
            fake,
            url,
            args: words.iter().map(|word| (*word).to_owned()).collect(),
            sidecar,
            settings,
            admin,
            inward,
            kind,
        })
    }

    fn write(&self, name: &str, settings: &Value) -> eyre::Result<PathBuf> {
        let file = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, serde_json::to_string_pretty(settings)?)?;
        Ok(file)
    }

    async fn wait_for_port(&self, address: SocketAddr) -> eyre::Result<()> {
        self.until("a port listens", async || {
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await
    }
}

fn folder() -> eyre::Result<PathBuf> {
    let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
    let name = format!("teasellever-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).wrap_err("making a folder for settings and logs")?;
    Ok(folder)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let failed = std::thread::panicking() || self.failed.load(Ordering::Relaxed);
        if !failed && std::env::var_os("TEASELLEVER_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
