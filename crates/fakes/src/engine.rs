//! A model engine: continuous batching in limited slots, prefix cache, streams that resume.
//!
//! `POST /v1/chat/completions`, `POST /v1/requests/{id}/cancel`, `GET /v1/requests/{id}/stream`,
//! `GET|DELETE /v1/cache…`, `GET /v1/cache/events`, `GET /v1/load`, `GET /v1/models`,
//! `POST /v1/orders`, and the fake's own `/fake/faults` and `/fake/stats`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http::request::Parts;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::batch::Chat;
use crate::batch::Requests;
use crate::fault;
use crate::fault::Faults;
use crate::generation;
use crate::orders::Models;
use crate::prefix::Cache;
use crate::prefix::Entry;
use crate::server;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::Switch;
use crate::slots::Slots;
use crate::stats::Stats;
use crate::stats::unix_ms;

/// How an engine is built.
#[derive(Debug, Clone)]
pub struct Settings {
    pub listen: SocketAddr,
    /// Requests in a batch.
    pub slots: u32,
    /// Prompt tokens a second.
    pub prefill_rate: u64,
    /// Answer tokens a second and request.
    pub decode_rate: u64,
    /// Tokens.
    pub cache_size: u64,
    pub event_delay: Duration,
    pub load_lag: Duration,
    /// Refuses orders with an old fencing number.
    pub fenced: bool,
    pub models: Vec<String>,
    /// Where weights are loaded from.
    pub weights: Option<SocketAddr>,
    /// A crash ends the process.
    pub exits: bool,
    /// Where executions are recorded.
    pub record: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 8,
            prefill_rate: 20_000,
            decode_rate: 2_000,
            cache_size: 200_000,
            event_delay: Duration::from_millis(200),
            load_lag: Duration::from_millis(300),
            fenced: true,
            models: vec!["m1".to_owned()],
            weights: None,
            exits: false,
            record: None,
        }
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    pub address: SocketAddr,
    pub stats: Arc<Stats>,
    settings: Settings,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine.
    pub async fn start(settings: Settings) -> io::Result<Engine> {
        let stats = Stats::open(settings.record.as_deref())?;
        Engine::begin(settings, Arc::new(stats)).await
    }

    /// Starts anew at the same address with empty memory; the counts go on.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.crash();
        let mut settings = self.settings.clone();
        settings.listen = self.address;
        *self = Engine::begin(settings, self.stats.clone()).await?;
        Ok(())
    }

    /// Dies at once.
    pub fn crash(&self) {
        self.state.switch.crash();
    }

    /// Resolves when the engine is down.
    pub async fn downed(&self) {
        self.state.switch.downed().await;
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock() = faults;
    }

    /// Programs in the cache with their tokens.
    pub fn cached(&self) -> Vec<(String, u64)> {
        self.state.cache.lock().listing()
    }

    /// Models loaded.
    pub fn models(&self) -> Vec<String> {
        self.state.models.lock().names.clone()
    }

    async fn begin(settings: Settings, stats: Arc<Stats>) -> io::Result<Engine> {
        let switch = Switch::new(settings.exits);
        let state = Arc::new(State::new(&settings, stats.clone(), switch.clone()));
        let address = server::start(settings.listen, state.clone(), switch).await?;
        Ok(Engine {
            address,
            stats,
            settings,
            state,
        })
    }
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) incarnation: String,
    pub(crate) switch: Switch,
    pub(crate) slots: Slots,
    pub(crate) stats: Arc<Stats>,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) models: Mutex<Models>,
    pub(crate) requests: Mutex<Requests>,
    pub(crate) load: Mutex<(Option<Instant>, Value)>,
}

impl State {
    fn new(settings: &Settings, stats: Arc<Stats>, switch: Switch) -> State {
        let models = Models {
            names: settings.models.clone(),
            ..Models::default()
        };
        State {
            settings: settings.clone(),
            incarnation: format!("{}-{:x}", unix_ms(), rand::random::<u32>()),
            switch,
            slots: Slots::new(settings.slots),
            stats,
            faults: Mutex::default(),
            cache: Mutex::new(Cache::new(settings.cache_size, settings.event_delay)),
            models: Mutex::new(models),
            requests: Mutex::default(),
            load: Mutex::new((None, Value::Null)),
        }
    }

    fn resume(&self, request: &str, head: &Parts) -> Reply {
        let offset = server::query(head, "offset").and_then(|offset| offset.parse().ok());
        let known = self.requests.lock().known.get(request).cloned();
        let barred = self.faults.lock().no_resume;
        match known {
            Some(generation) if !barred => {
                self.stats.change(|counts| counts.resumed += 1);
                let flaw = self.flaw();
                let events = generation::follow(generation, offset.unwrap_or(0), flaw);
                server::stream(StatusCode::OK, "text/event-stream", events)
            }
            _ => server::error(StatusCode::NOT_FOUND, "no such request"),
        }
    }

    fn cancel(&self, request: &str) -> Reply {
        let known = self.requests.lock().known.get(request).cloned();
        match known {
            Some(generation) => {
                generation.cancel();
                let finish = generation.finish();
                server::json(StatusCode::OK, &json!({ "finished": finish }))
            }
            None => server::error(StatusCode::NOT_FOUND, "no such request"),
        }
    }

    fn cache_listing(&self) -> Reply {
        let cache = self.cache.lock();
        let listing = cache.listing();
        let entries: Vec<_> = listing
            .iter()
            .map(|(program, tokens)| json!({ "program": program, "tokens": tokens }))
            .collect();
        let listing = json!({ "entries": entries, "used": cache.used(), "size": cache.size() });
        server::json(StatusCode::OK, &listing)
    }

    fn cache_delete(&self, program: &str) -> Reply {
        let ignored = fault::spend(&mut self.faults.lock().ignore_deletes);
        let deleted = !ignored && self.cache.lock().delete(program);
        server::json(StatusCode::OK, &json!({ "deleted": deleted || ignored }))
    }

    fn cache_events(&self, head: &Parts) -> Reply {
        let since = server::query(head, "since").and_then(|since| since.parse().ok());
        let mut cache = self.cache.lock();
        if self.faults.lock().drop_events {
            cache.lose_events();
        }
        let events = cache.events(since.unwrap_or(0));
        server::json(StatusCode::OK, &json!({ "events": events }))
    }

    fn export(&self, program: &str) -> Reply {
        match self.cache.lock().entry(program) {
            Some(entry) => server::json(StatusCode::OK, entry),
            None => server::error(StatusCode::NOT_FOUND, "not cached"),
        }
    }

    fn import(&self, program: &str, body: &Bytes) -> Reply {
        match parse::<Entry>(body) {
            Ok(entry) => {
                self.cache.lock().store(program, entry.blocks);
                server::json(StatusCode::OK, &json!({}))
            }
            Err(message) => server::error(StatusCode::BAD_REQUEST, &message),
        }
    }

    fn load(&self) -> Reply {
        let mut held = self.load.lock();
        let fresh = held
            .0
            .is_some_and(|at| at.elapsed() < self.settings.load_lag);
        if !fresh {
            *held = (Some(Instant::now()), self.load_now());
        }
        server::json(StatusCode::OK, &held.1)
    }

    fn load_now(&self) -> Value {
        let cache = self.cache.lock();
        json!({
            "incarnation": self.incarnation,
            "running": self.stats.counts().running,
            "waiting": self.slots.waiting(),
            "slots": self.settings.slots,
            "cache_used": cache.used(),
            "cache_size": cache.size(),
            "prefill_rate": self.settings.prefill_rate,
            "decode_rate": self.settings.decode_rate,
        })
    }

    fn models(&self) -> Reply {
        let models = self.models.lock();
        let data: Vec<_> = models
            .names
            .iter()
            .map(|name| json!({ "id": name }))
            .collect();
        let listing = json!({
            "object": "list",
            "data": data,
            "incarnation": self.incarnation,
            "fence": models.fence,
        });
        server::json(StatusCode::OK, &listing)
    }

    fn stats(&self) -> Reply {
        let counts = serde_json::to_value(self.stats.counts()).map_err(io::Error::other)?;
        let models = self.models.lock();
        let listing = json!({
            "counts": counts,
            "cache": self.cache.lock().listing(),
            "models": models.names,
            "orders": models.orders,
            "orders_refused": models.refused,
            "fence": models.fence,
        });
        server::json(StatusCode::OK, &listing)
    }

    fn faults(&self, body: &Bytes) -> Reply {
        match parse(body) {
            Ok(faults) => {
                *self.faults.lock() = faults;
                server::json(StatusCode::OK, &json!({}))
            }
            Err(message) => server::error(StatusCode::BAD_REQUEST, &message),
        }
    }

    /// Applies the faults that strike before a request is read.
    async fn suffer(&self, body: &Bytes) -> Option<Reply> {
        let faults = self.faults.lock().clone();
        if faults.crashes(body) {
            self.note_crash(body);
            self.switch.crash();
            return Some(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
        }
        if faults.hangs(body) {
            std::future::pending::<()>().await;
        }
        if fault::spend(&mut self.faults.lock().unavailable) {
            self.stats.change(|counts| counts.turned_away += 1);
            return Some(server::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable",
            ));
        }
        tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
        None
    }

    /// A request that crashes the engine counts as started.
    fn note_crash(&self, body: &Bytes) {
        if let Ok(chat) = parse::<Chat>(body) {
            let name = generation::name(&chat.messages);
            self.stats.started(&chat.request_id, &name);
            self.stats.ended();
        }
    }
}

impl Handler for State {
    async fn handle(self: Arc<Self>, head: Parts, body: Bytes) -> Reply {
        self.stats.scan(&head, &body);
        let path = head.uri.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => match self.suffer(&body).await {
                Some(reply) => reply,
                None => self.chat(body).await,
            },
            (&Method::POST, ["v1", "requests", id, "cancel"]) => self.cancel(id),
            (&Method::GET, ["v1", "requests", id, "stream"]) => self.resume(id, &head),
            (&Method::GET, ["v1", "cache"]) => self.cache_listing(),
            (&Method::GET, ["v1", "cache", "events"]) => self.cache_events(&head),
            (&Method::DELETE, ["v1", "cache", program]) => self.cache_delete(program),
            (&Method::GET, ["v1", "cache", program, "export"]) => self.export(program),
            (&Method::POST, ["v1", "cache", program, "import"]) => self.import(program, &body),
            (&Method::GET, ["v1", "load"]) => self.load(),
            (&Method::GET, ["v1", "models"]) => self.models(),
            (&Method::POST, ["v1", "orders"]) => self.order(body).await,
            (&Method::POST, ["fake", "faults"]) => self.faults(&body),
            (&Method::GET, ["fake", "stats"]) => self.stats(),
            _ => server::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

pub(crate) fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
