//! What a stand-in has seen, for tests to check; it outlives a crash within one process.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::request::Parts;
use parking_lot::Mutex;
use serde::Serialize;

use crate::Map;
use crate::fault;

/// How a caller's key begins.
const KEY_PREFIX: &[u8] = b"tk.";

/// Executions listed at most.
const LIST_LIMIT: usize = 200_000;

/// One execution.
#[derive(Debug, Clone, Serialize)]
pub struct Execution {
    /// The request's name at the target.
    pub request: String,
    /// Method and path, or the hash of the messages.
    pub what: String,
    /// Unix time, milliseconds.
    pub at_ms: u64,
}

/// Counts since the start of the process.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counts {
    /// Executions by request name.
    pub executions: Map<String, u64>,
    /// Executions by path, or by the hash of the messages.
    pub contents: Map<String, u64>,
    /// Executions in order of their start.
    pub list: Vec<Execution>,
    /// Places in which a caller's key was seen.
    pub keys_seen: Vec<String>,
    /// Requests answered with status 503 without running.
    pub turned_away: u64,
    /// Requests cancelled while they ran or waited.
    pub cancelled: u64,
    /// Requests running now, and the most at once.
    pub running: u64,
    pub running_most: u64,
    /// Streams resumed at an offset.
    pub resumed: u64,
    /// Prompt tokens computed, and taken from the cache.
    pub prefilled_tokens: u64,
    pub cached_tokens: u64,
    pub completion_tokens: u64,
}

/// Shared record of what was seen.
#[derive(Debug, Default)]
pub struct Stats {
    counts: Mutex<Counts>,
    record: Option<Mutex<File>>,
}

impl Stats {
    /// Counts in memory, and in a file if one is named.
    pub fn open(record: Option<&Path>) -> io::Result<Stats> {
        match record {
            Some(path) => Stats::recorded(path),
            None => Ok(Stats::default()),
        }
    }

    /// Also appends each execution to a file as a JSON line, so that a crash loses none.
    fn recorded(path: &Path) -> io::Result<Stats> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Stats {
            counts: Mutex::default(),
            record: Some(Mutex::new(file)),
        })
    }

    /// Notes the start of an execution.
    pub fn started(&self, request: &str, what: &str) {
        let execution = Execution {
            request: request.to_owned(),
            what: what.to_owned(),
            at_ms: unix_ms(),
        };
        self.write(&execution);
        self.change(|counts| {
            *counts.executions.entry(request.to_owned()).or_default() += 1;
            *counts.contents.entry(what.to_owned()).or_default() += 1;
            counts.running += 1;
            counts.running_most = counts.running_most.max(counts.running);
            if counts.list.len() < LIST_LIMIT {
                counts.list.push(execution);
            }
        });
    }

    /// Notes the end of an execution.
    pub fn ended(&self) {
        self.change(|counts| counts.running = counts.running.saturating_sub(1));
    }

    /// Changes the counts.
    pub fn change<T>(&self, change: impl FnOnce(&mut Counts) -> T) -> T {
        change(&mut self.counts.lock())
    }

    /// A copy of the counts.
    pub fn counts(&self) -> Counts {
        self.counts.lock().clone()
    }

    /// Looks for a caller's key in every part of a request.
    pub fn scan(&self, head: &Parts, body: &Bytes) {
        let uri = head.uri.to_string();
        let headers = head.headers.iter();
        let headers = headers.map(|(name, value)| (name.as_str(), value.as_bytes()));
        let rest = [("uri", uri.as_bytes()), ("body", body.as_ref())];
        headers
            .chain(rest)
            .filter(|(_, bytes)| fault::contains(bytes, KEY_PREFIX))
            .for_each(|(place, _)| self.change(|counts| counts.keys_seen.push(place.to_owned())));
    }

    fn write(&self, execution: &Execution) {
        let Some(file) = &self.record else { return };
        let mut line = serde_json::to_vec(execution).unwrap_or_default();
        line.push(b'\n');
        let _ = file.lock().write_all(&line);
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.unwrap_or_default().as_millis() as u64
}
