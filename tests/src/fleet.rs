//! The whole system as processes: stand-ins, entries, sidecars.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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
use crate::object::presented;
pub use crate::plan::Plan;
use crate::port;
use crate::process::Process;
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
        let ticket = fleet.change(objects, json!([])).await?;
        fleet.wait_in_force(ticket).await?;
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

    /// Waits until every entry has a ticket in force.
    ///
    /// Errors: not in time.
    pub async fn wait_in_force(&self, ticket: u64) -> eyre::Result<()> {
        for entry in &self.entries {
            let newest = async || {
                self.state(entry.admin)
                    .await
                    .map(|state| state["config"]["newest"].as_u64())
            };
            self.until("a ticket is in force", async || {
                newest().await.is_ok_and(|newest| newest >= Some(ticket))
            })
            .await?;
        }
        Ok(())
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
