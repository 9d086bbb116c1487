//! A plain tool service: answers any method and path, and counts each execution.
//!
//! An execution is known by its `x-request-id` header. `/fake/faults`, `/fake/stats` and `/healthz`
//! are the fake's own.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::Method;
use http::StatusCode;
use http::request::Parts;
use parking_lot::Mutex;
use serde_json::json;

use crate::fault;
use crate::fault::Faults;
use crate::server;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::Switch;
use crate::stats::Stats;
use crate::stats::unix_ms;

/// How a service is built.
#[derive(Debug, Clone)]
pub struct Settings {
    pub listen: SocketAddr,
    /// Time that each request takes.
    pub work: Duration,
    /// A crash ends the process.
    pub exits: bool,
    /// Where executions are recorded.
    pub record: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work: Duration::from_millis(5),
            exits: false,
            record: None,
        }
    }
}

/// A running service.
#[derive(Debug)]
pub struct Tool {
    pub address: SocketAddr,
    pub stats: Arc<Stats>,
    settings: Settings,
    state: Arc<State>,
}

impl Tool {
    /// Starts a service.
    pub async fn start(settings: Settings) -> io::Result<Tool> {
        let stats = Stats::open(settings.record.as_deref())?;
        Tool::begin(settings, Arc::new(stats)).await
    }

    /// Starts anew at the same address; the counts go on.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.crash();
        let mut settings = self.settings.clone();
        settings.listen = self.address;
        *self = Tool::begin(settings, self.stats.clone()).await?;
        Ok(())
    }

    /// Dies at once.
    pub fn crash(&self) {
        self.state.switch.crash();
    }

    /// Resolves when the service is down.
    pub async fn downed(&self) {
        self.state.switch.downed().await;
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock() = faults;
    }

    async fn begin(settings: Settings, stats: Arc<Stats>) -> io::Result<Tool> {
        let switch = Switch::new(settings.exits);
        let state = Arc::new(State {
            incarnation: format!("{}-{:x}", unix_ms(), rand::random::<u32>()),
            work: settings.work,
            sequence: AtomicU64::new(0),
            faults: Mutex::default(),
            stats: stats.clone(),
            switch: switch.clone(),
        });
        let address = server::start(settings.listen, state.clone(), switch).await?;
        Ok(Tool {
            address,
            stats,
            settings,
            state,
        })
    }
}

#[derive(Debug)]
struct State {
    incarnation: String,
    work: Duration,
    sequence: AtomicU64,
    faults: Mutex<Faults>,
    stats: Arc<Stats>,
    switch: Switch,
}

impl State {
    async fn execute(&self, head: &Parts, body: &Bytes) -> Reply {
        let faults = self.faults.lock().clone();
        if fault::spend(&mut self.faults.lock().unavailable) {
            self.stats.change(|counts| counts.turned_away += 1);
            return server::error(StatusCode::SERVICE_UNAVAILABLE, "unavailable");
        }
        let request = head.headers.get("x-request-id");
        let request = request.and_then(|value| value.to_str().ok());
        let what = format!("{} {}", head.method, head.uri.path());
        self.stats.started(request.unwrap_or_default(), &what);
        if faults.crashes(body) {
            self.stats.ended();
            self.switch.crash();
            return Err(io::Error::from(io::ErrorKind::ConnectionReset));
        }
        if faults.hangs(body) {
            std::future::pending::<()>().await;
        }
        let late = Duration::from_millis(faults.late_ms);
        tokio::time::sleep(late + self.work * faults.slowness()).await;
        self.stats.ended();
        if fault::spend(&mut self.faults.lock().lose_answers) {
            return Err(io::Error::from(io::ErrorKind::ConnectionReset));
        }
        match fault::spend(&mut self.faults.lock().break_streams) {
            true => broken(),
            false => self.echo(head, body),
        }
    }

    fn echo(&self, head: &Parts, body: &Bytes) -> Reply {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let echo = json!({
            "method": head.method.as_str(),
            "path": head.uri.path_and_query().map(|path| path.as_str()),
            "length": body.len(),
            "sequence": sequence,
        });
        server::json(StatusCode::OK, &echo)
    }

    fn set(&self, body: &Bytes) -> Reply {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                *self.faults.lock() = faults;
                server::json(StatusCode::OK, &json!({}))
            }
            Err(error) => server::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

impl Handler for State {
    async fn handle(self: Arc<Self>, head: Parts, body: Bytes) -> Reply {
        self.stats.scan(&head, &body);
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/healthz") => {
                let health = json!({ "incarnation": self.incarnation });
                server::json(StatusCode::OK, &health)
            }
            (&Method::POST, "/fake/faults") => self.set(&body),
            (&Method::GET, "/fake/stats") => {
                let stats = json!({ "counts": self.stats.counts() });
                server::json(StatusCode::OK, &stats)
            }
            _ => self.execute(&head, &body).await,
        }
    }
}

/// Time between the part of an answer that is sent and the break.
const BREAK_DELAY: Duration = Duration::from_millis(50);

/// An answer that breaks off.
fn broken() -> Reply {
    let parts = [
        Ok(Bytes::from_static(b"{\"method\":")),
        Err(io::Error::from(io::ErrorKind::ConnectionReset)),
    ];
    let parts = futures::stream::iter(parts).then(|part| async move {
        if part.is_err() {
            // What was sent before must have arrived.
            tokio::time::sleep(BREAK_DELAY).await;
        }
        part
    });
    server::stream(StatusCode::OK, "application/json", parts)
}
