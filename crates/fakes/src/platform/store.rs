//! The stored objects, with enough of their past to serve stale reads.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use super::Faults;

/// How long superseded values are kept for stale reads.
const PAST: Duration = Duration::from_secs(30);

/// Calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    /// Refused with 429.
    pub limited: u64,
    /// Conditional writes that met another version.
    pub conflicts: u64,
    /// Writes that took effect without a reply.
    pub lost: u64,
}

/// A host as the lagging list shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    pub name: String,
    #[serde(default)]
    pub leaving: bool,
}

/// An object in a listing.
#[derive(Debug, Clone, Serialize)]
pub struct Listed {
    pub name: String,
    pub version: u64,
    pub revision: u64,
    /// Base64.
    pub value: String,
}

/// What changed under a prefix after a revision.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Changes {
    pub revision: u64,
    pub objects: Vec<Listed>,
    pub deleted: Vec<String>,
}

/// The call's kind, for counting and limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    Read,
    Watch,
    Write,
}

#[derive(Debug)]
struct Write {
    at: Instant,
    revision: u64,
    value: Option<Bytes>,
}

#[derive(Debug)]
struct Window {
    start: Instant,
    reads: u32,
    writes: u32,
}

#[derive(Debug)]
struct Inner {
    revision: u64,
    objects: BTreeMap<String, Vec<Write>>,
    faults: Faults,
    stats: Stats,
    window: Window,
    hosts: Vec<Host>,
    next_hosts: Option<(Instant, Vec<Host>)>,
}

/// All objects under one lock.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    revision: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Store {
        let window = Window {
            start: Instant::now(),
            reads: 0,
            writes: 0,
        };
        let inner = Inner {
            revision: 0,
            objects: BTreeMap::new(),
            faults: Faults::default(),
            stats: Stats::default(),
            window,
            hosts: Vec::new(),
            next_hosts: None,
        };
        Store {
            inner: Mutex::new(inner),
            revision: watch::Sender::new(0),
        }
    }
}

impl Store {
    /// Wakes at each change of the store or its faults.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    pub fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    pub fn set_faults(&self, faults: Faults) {
        self.inner.lock().faults = faults;
        self.revision.send_modify(|_| ());
    }

    pub fn stats(&self) -> Stats {
        self.inner.lock().stats
    }

    pub fn hosts(&self) -> Vec<Host> {
        let mut inner = self.inner.lock();
        let due = matches!(&inner.next_hosts, Some((at, _)) if *at <= Instant::now());
        if due && let Some((_, hosts)) = inner.next_hosts.take() {
            inner.hosts = hosts;
        }
        inner.hosts.clone()
    }

    pub fn set_hosts(&self, hosts: Vec<Host>, lag: Duration) {
        self.inner.lock().next_hosts = Some((Instant::now() + lag, hosts));
    }

    /// Counts a call; false: over the rate.
    pub fn count(&self, kind: Kind) -> bool {
        let mut inner = self.inner.lock();
        let inner = &mut *inner;
        match kind {
            Kind::Read => inner.stats.reads += 1,
            Kind::Watch => inner.stats.watches += 1,
            Kind::Write => inner.stats.writes += 1,
        }
        if inner.window.start.elapsed() >= Duration::from_secs(1) {
            inner.window.start = Instant::now();
            inner.window.reads = 0;
            inner.window.writes = 0;
        }
        let (used, limit) = match kind {
            Kind::Write => (&mut inner.window.writes, inner.faults.rate_limit),
            Kind::Read | Kind::Watch => (&mut inner.window.reads, inner.faults.read_limit),
        };
        *used += 1;
        let within = limit == 0 || *used <= limit;
        if !within {
            inner.stats.limited += 1;
        }
        within
    }

    /// Whether the reply of a write to this object is to be lost.
    pub fn lose(&self, name: &str) -> bool {
        let mut inner = self.inner.lock();
        let lose = inner.faults.lose_replies > 0 && name.starts_with(&inner.faults.lose_prefix);
        if lose {
            inner.faults.lose_replies -= 1;
            inner.stats.lost += 1;
        }
        lose
    }

    /// Version and value as they were `ago`.
    pub fn read(&self, name: &str, ago: Duration) -> Option<(u64, Bytes)> {
        let inner = self.inner.lock();
        let write = as_of(inner.objects.get(name)?, ago)?;
        Some((write.revision, write.value.clone()?))
    }

    /// Writes or deletes; the error is the current version, 0 for none.
    pub fn write(
        &self,
        name: &str,
        value: Option<Bytes>,
        condition: Option<u64>,
    ) -> Result<u64, u64> {
        let mut inner = self.inner.lock();
        let current = inner.objects.get(name).and_then(|past| past.last());
        let version = match current {
            Some(write) if write.value.is_some() => write.revision,
            _ => 0,
        };
        if condition.is_some_and(|expected| expected != version) {
            inner.stats.conflicts += 1;
            return Err(version);
        }
        inner.revision += 1;
        let revision = inner.revision;
        let past = inner.objects.entry(name.to_owned()).or_default();
        let now = Instant::now();
        let old = past.iter().rposition(|write| now - write.at > PAST);
        past.drain(..old.unwrap_or(0));
        past.push(Write {
            at: now,
            revision,
            value,
        });
        drop(inner);
        self.revision.send_replace(revision);
        Ok(revision)
    }

    /// Changes under a prefix after a revision, as the store was `ago`.
    pub fn list(&self, prefix: &str, since: u64, ago: Duration) -> Changes {
        let inner = self.inner.lock();
        let mut changes = Changes {
            revision: match ago.is_zero() {
                true => inner.revision,
                false => newest(&inner.objects, ago),
            },
            ..Changes::default()
        };
        let from = inner.objects.range(prefix.to_owned()..);
        for (name, past) in from.take_while(|(name, _)| name.starts_with(prefix)) {
            match as_of(past, ago) {
                Some(write) if write.revision > since => changes.add(name, write),
                _ => (),
            }
        }
        changes
    }
}

impl Changes {
    fn add(&mut self, name: &str, write: &Write) {
        match &write.value {
            Some(value) => self.objects.push(Listed {
                name: name.to_owned(),
                version: write.revision,
                revision: write.revision,
                value: super::serve::base64(value),
            }),
            None => self.deleted.push(name.to_owned()),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.objects.is_empty() && self.deleted.is_empty()
    }
}

fn as_of(past: &[Write], ago: Duration) -> Option<&Write> {
    past.iter().rev().find(|write| write.at.elapsed() >= ago)
}

fn newest(objects: &BTreeMap<String, Vec<Write>>, ago: Duration) -> u64 {
    let revisions = objects
        .values()
        .filter_map(|past| as_of(past, ago))
        .map(|write| write.revision);
    revisions.max().unwrap_or(0)
}
