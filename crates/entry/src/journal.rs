//! Group commit of many shards' records into few platform objects.
//!
//! Everything that a node decides is also written, in order, to `log/{node}/{number}`: at most one
//! object at a time and one in an interval that grows with the fleet, so that the platform's writes
//! grow with nodes and time and not with calls. A checkpoint carries a shard's whole state in place
//! of what was written before it. While the platform is away entries wait in memory; over a bound
//! they are dropped and the shards concerned ask for a checkpoint later.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use coord::Set;
use coord::id::Epoch;
use coord::id::Node;
use coord::id::Shard;
use node::platform::Condition;
use node::platform::Error;
use node::platform::Platform;
use node::platform::VALUE_LIMIT;
use parking_lot::Mutex;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// Prefix of the objects that hold the log.
pub const PREFIX: &str = "log/";

/// Shortest time between two writes.
const INTERVAL: Duration = Duration::from_millis(50);

/// Share of the platform's writes that all logs together may use, a second.
const WRITES: usize = 100;

/// Shortest mean delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Bytes of entries kept while the platform is away.
const QUEUE_LIMIT: usize = 64 * 1024 * 1024;

/// Bytes of an object left for framing.
const FRAMING: usize = 64 * 1024;

/// Bytes of one part of a checkpoint.
const PART: usize = VALUE_LIMIT - 2 * FRAMING;

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Encoded records in order.
    Records(Vec<Bytes>),
    /// One part of a record that is too large for one object.
    Part { part: u32, parts: u32, bytes: Bytes },
    /// One part of the shard's whole state before the entry's first record.
    Checkpoint { part: u32, parts: u32, bytes: Bytes },
}

/// One shard's contribution to an object of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub shard: Shard,
    pub epoch: Epoch,
    /// Number of the first record.
    pub first: u64,
    pub body: Body,
}

impl Entry {
    fn size(&self) -> usize {
        let body = match &self.body {
            Body::Records(records) => records.iter().map(|record| record.len() + 8).sum(),
            Body::Part { bytes, .. } | Body::Checkpoint { bytes, .. } => bytes.len(),
        };
        body + 64
    }

    fn next(&self) -> u64 {
        match &self.body {
            Body::Records(records) => self.first + records.len() as u64,
            Body::Part { part, parts, .. } if part + 1 == *parts => self.first + 1,
            Body::Part { .. } | Body::Checkpoint { .. } => self.first,
        }
    }
}

/// How far a shard's log stands in the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mark {
    pub shard: Shard,
    pub epoch: Epoch,
    pub first: u64,
    pub next: u64,
    pub checkpoint: Piece,
}

/// Which end of a checkpoint an entry holds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Piece {
    pub first: bool,
    pub last: bool,
}

/// What the log tells the shards.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// An object of the log was written.
    Written { object: String, marks: Vec<Mark> },
    /// Entries were dropped; these shards need a checkpoint.
    Dropped(Vec<Shard>),
}

#[derive(Debug, Default)]
struct Queue {
    entries: Vec<Entry>,
    size: usize,
    dropped: Set<Shard>,
    generation: u64,
}

/// The log of this node.
#[derive(Debug)]
pub struct Journal {
    platform: Arc<Platform>,
    queue: Mutex<Queue>,
    wake: Notify,
    members: AtomicUsize,
    writing: AtomicBool,
    news: mpsc::UnboundedSender<News>,
}

impl Journal {
    /// A log without entries; what it writes is told over `news`.
    pub fn new(platform: Arc<Platform>, news: mpsc::UnboundedSender<News>) -> Journal {
        Journal {
            platform,
            queue: Mutex::default(),
            wake: Notify::new(),
            members: AtomicUsize::new(1),
            writing: AtomicBool::new(false),
            news,
        }
    }

    /// Queues records of a shard.
    pub fn append(&self, shard: Shard, epoch: Epoch, first: u64, records: Vec<Bytes>) {
        let mut entries: Vec<Entry> = Vec::new();
        let mut size = 0;
        for (first, record) in (first..).zip(records) {
            size += record.len();
            match entries.last_mut().map(|entry| &mut entry.body) {
                Some(Body::Records(batch)) if size <= PART => batch.push(record),
                _ if record.len() <= PART => {
                    size = record.len();
                    let body = Body::Records(vec![record]);
                    entries.push(Entry {
                        shard,
                        epoch,
                        first,
                        body,
                    });
                }
                _ => {
                    let parts = split(&record).map(|(part, parts, bytes)| {
                        let body = Body::Part { part, parts, bytes };
                        Entry {
                            shard,
                            epoch,
                            first,
                            body,
                        }
                    });
                    entries.extend(parts);
                }
            }
        }
        self.push(entries);
    }

    /// Queues a shard's whole state before its record number `next`.
    pub fn checkpoint(&self, shard: Shard, epoch: Epoch, next: u64, state: Bytes) {
        let parts = split(&state).map(|(part, parts, bytes)| {
            let body = Body::Checkpoint { part, parts, bytes };
            Entry {
                shard,
                epoch,
                first: next,
                body,
            }
        });
        self.push(parts);
    }

    /// Tells how many nodes share the platform's writes.
    pub fn set_members(&self, members: usize) {
        self.members.store(members.max(1), Ordering::Relaxed);
    }

    /// Bytes that wait to be written.
    pub fn backlog(&self) -> usize {
        self.queue.lock().size
    }

    /// Drops what waits: this node has lost its authority.
    pub fn clear(&self) {
        let mut queue = self.queue.lock();
        queue.entries.clear();
        queue.size = 0;
        queue.dropped.clear();
        queue.generation += 1;
    }

    fn push(&self, entries: impl IntoIterator<Item = Entry>) {
        let mut queue = self.queue.lock();
        for entry in entries {
            queue.size += entry.size();
            queue.entries.push(entry);
        }
        if queue.size > QUEUE_LIMIT {
            queue.size = 0;
            let shards: Vec<Shard> = queue.entries.drain(..).map(|entry| entry.shard).collect();
            queue.dropped.extend(shards);
        }
        drop(queue);
        self.wake.notify_one();
    }

    /// Takes entries for one object, and the generation that they belong to.
    fn take(&self) -> (u64, Vec<Entry>) {
        let mut queue = self.queue.lock();
        let mut size = 0;
        let fits = queue.entries.iter().take_while(|entry| {
            size += entry.size();
            size <= VALUE_LIMIT - FRAMING
        });
        let count = fits.count().max(1).min(queue.entries.len());
        let entries: Vec<Entry> = queue.entries.drain(..count).collect();
        queue.size -= entries.iter().map(Entry::size).sum::<usize>();
        (queue.generation, entries)
    }

    fn interval(&self) -> Duration {
        let members = self.members.load(Ordering::Relaxed);
        INTERVAL.max(Duration::from_millis((members * 1000 / WRITES) as u64))
    }

    /// Logs come back one by one after an outage, each at its own interval.
    fn retry_delay(&self) -> Duration {
        let mean = RETRY_DELAY.max(self.interval());
        mean.mul_f64(rand::rng().random_range(0.5..1.5))
    }

    /// Writes what is queued until dropped. `node` names the log at each write.
    pub async fn run(&self, node: impl Fn() -> Node) {
        let mut number = 0_u64;
        let mut due = Instant::now();
        loop {
            self.wake.notified().await;
            while !self.is_empty() {
                sleep_until(due).await;
                due = Instant::now() + self.interval();
                self.writing.store(true, Ordering::Relaxed);
                let (generation, entries) = self.take();
                let object = format!("{PREFIX}{}/{number:020}", node());
                number += 1;
                self.write(&object, generation, entries).await;
                self.writing.store(false, Ordering::Relaxed);
                self.tell_dropped();
            }
        }
    }

    /// Whether everything has been written.
    pub fn is_idle(&self) -> bool {
        !self.writing.load(Ordering::Relaxed) && self.is_empty()
    }

    fn is_empty(&self) -> bool {
        self.queue.lock().entries.is_empty()
    }

    fn tell_dropped(&self) {
        let dropped: Vec<Shard> = self.queue.lock().dropped.drain().collect();
        if !dropped.is_empty() {
            let _ = self.news.send(News::Dropped(dropped));
        }
    }

    /// Writes one object, for as long as it takes.
    async fn write(&self, object: &str, generation: u64, entries: Vec<Entry>) {
        let value = match postcard::to_stdvec(&entries) {
            Ok(value) => Bytes::from(value),
            Err(error) => return log::error!(step = "encode log"; "{error}"),
        };
        while self.queue.lock().generation == generation {
            match self
                .platform
                .update(object, value.clone(), Condition::Absent)
                .await
            {
                Ok(_) => return self.tell_written(object, &entries),
                Err(Error::Conflict { .. }) if self.stands(object, &value).await => {
                    return self.tell_written(object, &entries);
                }
                Err(_) => sleep(self.retry_delay()).await,
            }
        }
    }

    /// Whether an earlier write of this very object took effect after all.
    async fn stands(&self, object: &str, value: &Bytes) -> bool {
        let read = self.platform.get(object).await;
        matches!(read, Ok(Some(found)) if found.value == *value)
    }

    fn tell_written(&self, object: &str, entries: &[Entry]) {
        let object = object.to_owned();
        let marks = entries.iter().map(mark).collect();
        let _ = self.news.send(News::Written { object, marks });
    }
}

fn mark(entry: &Entry) -> Mark {
    let checkpoint = match &entry.body {
        Body::Checkpoint { part, parts, .. } => Piece {
            first: *part == 0,
            last: part + 1 == *parts,
        },
        Body::Records(_) | Body::Part { .. } => Piece::default(),
    };
    Mark {
        shard: entry.shard,
        epoch: entry.epoch,
        first: entry.first,
        next: entry.next(),
        checkpoint,
    }
}

/// Cuts what is too large for one object into numbered parts.
fn split(bytes: &Bytes) -> impl Iterator<Item = (u32, u32, Bytes)> {
    let parts = bytes.len().div_ceil(PART).max(1);
    (0..parts).map(move |part| {
        let end = bytes.len().min((part + 1) * PART);
        (part as u32, parts as u32, bytes.slice(part * PART..end))
    })
}

/// Decodes an object of the log; none: damaged.
pub fn decode(value: &[u8]) -> Option<Vec<Entry>> {
    postcard::from_bytes(value).ok()
}
