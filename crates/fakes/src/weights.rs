//! A weight store whose bandwidth all readers share.
//!
//! `GET /weights/{model}` takes the time that the store's rate allows; `GET /fake/stats` tells how
//! many reads overlapped.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::server;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::Switch;
use crate::stats::Stats;

/// How a store is built.
#[derive(Debug, Clone)]
pub struct Settings {
    pub listen: SocketAddr,
    /// Time for one read that has the store to itself; overlapping reads take turns.
    pub read: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            read: Duration::from_millis(200),
        }
    }
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    pub stats: Arc<Stats>,
    switch: Switch,
}

impl Store {
    /// Starts a store.
    pub async fn start(settings: Settings) -> io::Result<Store> {
        let stats = Arc::new(Stats::default());
        let switch = Switch::new(false);
        let state = State {
            read: settings.read,
            turn: tokio::sync::Mutex::new(()),
            stats: stats.clone(),
        };
        let address = server::start(settings.listen, Arc::new(state), switch.clone()).await?;
        Ok(Store {
            address,
            stats,
            switch,
        })
    }

    /// Dies at once.
    pub fn crash(&self) {
        self.switch.crash();
    }

    /// Resolves when the store is down.
    pub async fn downed(&self) {
        self.switch.downed().await;
    }
}

#[derive(Debug)]
struct State {
    read: Duration,
    turn: tokio::sync::Mutex<()>,
    stats: Arc<Stats>,
}

impl Handler for State {
    async fn handle(self: Arc<Self>, head: Parts, body: Bytes) -> Reply {
        self.stats.scan(&head, &body);
        let path = head.uri.path().trim_matches('/').to_owned();
        match (&head.method, path.split_once('/')) {
            (&Method::GET, Some(("weights", model))) => {
                self.stats.started(model, &path);
                let turn = self.turn.lock().await;
                tokio::time::sleep(self.read).await;
                drop(turn);
                self.stats.ended();
                server::bytes(StatusCode::OK, "application/octet-stream", Bytes::new())
            }
            (&Method::GET, Some(("fake", "stats"))) => {
                server::json(StatusCode::OK, &self.stats.counts())
            }
            _ => server::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// Reads a model's weights from a store.
pub async fn fetch(store: SocketAddr, model: &str) -> io::Result<()> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{store}/weights/{model}"))
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let response = client.request(request).await.map_err(io::Error::other)?;
    let status = response.status();
    response
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    match status.is_success() {
        true => Ok(()),
        false => Err(io::Error::other(format!("weight store answered {status}"))),
    }
}
