//! Connections of callers, and the memory that they and their requests occupy together.
//!
//! Each connection claims memory from its accept to its end. What it claims depends on its stage: a fixed amount
//! for its buffers, and the allocated size of a request's body until the request has ended. Claims never exceed
//! the account. When it is short, connections that occupy it without progress make room: ones that have sent
//! nothing or only a part of a head are closed, bodies that stopped are refused as not run. A request in progress
//! never makes room.
//!
//! One customer's bodies may occupy at most three times as much as they leave free. Its connections and short requests
//! may use most of that, but for a part that other customers keep. All connections without an authenticated request
//! together count as one customer. Requests in progress at one service, of all customers, leave a part to other services:
//! they stay for long if it doesn't answer.

mod account;
pub mod limits;
pub mod stage;

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Map;
use crate::serve::intake::account::Account;
use crate::serve::intake::account::Connection;
use crate::serve::intake::account::Events;
use crate::serve::intake::account::SHORT_BODY_BYTES;
use crate::serve::intake::account::Use;
use crate::serve::intake::account::max_body_bytes;
use crate::serve::intake::limits::Limits;
use crate::serve::intake::stage::REQUEST_BYTES;
use crate::serve::intake::stage::Stage;
use crate::serve::memory::Exhausted;
use crate::serve::memory::Source;

/// Size up to which a body whose length is announced is allocated at once, in bytes. A longer one is allocated whole
/// when more than this has arrived: copies to larger and larger allocations would fragment the heap.
const WHOLE_BODY_BYTES: usize = 32 * 1024;

/// Smallest allocation for a body, in bytes.
const MIN_BODY_BYTES: usize = 4 * 1024;

/// Bytes of a body that count as progress. A caller on a bad link sends whole packets.
const PROGRESS_BYTES: usize = 1024;

/// Account of all connections of callers.
#[derive(Debug, Clone)]
pub struct Intake {
    account: Arc<Mutex<Account>>,
}

/// Totals of an account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    pub limits: Limits,
    pub bytes: usize,
    /// Number of connections by stage.
    pub connections: BTreeMap<Stage, u64>,
    /// Number of connections that had to make room since the start, by their stage then.
    pub evicted: BTreeMap<Stage, u64>,
    /// Number of requests and connections that found no room since the start.
    pub rejected: u64,
}

/// What one connection occupies of an [`Intake`], until it is dropped.
#[derive(Debug)]
pub struct Claim {
    account: Arc<Mutex<Account>>,
    number: u64,
    events: Arc<Events>,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.account.lock().remove(self.number);
    }
}

impl Intake {
    /// An account with these limits.
    pub fn new(limits: Limits) -> Intake {
        let account = Account {
            limits,
            free: limits.bytes,
            taken: Map::default(),
            running: Map::default(),
            connections: Map::default(),
            next: 0,
            evicted: BTreeMap::new(),
            rejected: 0,
        };
        Intake {
            account: Arc::new(Mutex::new(account)),
        }
    }

    /// Limits the number of connections from now on.
    pub fn limit_connections(&self, connections: usize) {
        self.account.lock().limits.connections = connections;
    }

    /// Size of the largest body that can ever be received, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        max_body_bytes(self.account.lock().limits.bytes)
    }

    /// Claims the memory of a new connection.
    ///
    /// Errors: there is no room, and no other connection can make any.
    pub fn connect(&self, now: Instant) -> Result<Claim, Exhausted> {
        let events = Arc::new(Events::default());
        let number = self.account.lock().connect(Arc::clone(&events), now)?;
        Ok(Claim {
            account: Arc::clone(&self.account),
            number,
            events,
        })
    }

    /// Memory that a source's connections occupy, in bytes.
    pub fn taken(&self, source: Source) -> usize {
        self.account.lock().taken(source)
    }

    /// What all connections occupy.
    pub fn usage(&self) -> Usage {
        let account = self.account.lock();
        let mut connections = BTreeMap::new();
        for connection in account.connections.values() {
            *connections.entry(connection.stage).or_insert(0) += 1;
        }
        Usage {
            limits: account.limits,
            bytes: account.limits.bytes - account.free,
            connections,
            evicted: account.evicted.clone(),
            rejected: account.rejected,
        }
    }
}

impl Claim {
    /// Records that bytes have arrived. If they begin a request that there is no room for, a head that they complete
    /// is refused, and no further bytes are received.
    ///
    /// Errors: the connection must be closed.
    pub fn receive(&self, now: Instant) -> Result<(), Exhausted> {
        let mut account = self.account.lock();
        match account.stage(self.number) {
            Some(Stage::Connected | Stage::Idle) => {
                if account.enter(self.number, Stage::Head, now).is_err() {
                    account.reject(self.number);
                }
                Ok(())
            }
            None | Some(Stage::Rejected) => Err(Exhausted),
            Some(_) => Ok(()),
        }
    }

    /// Whether the connection is about to be closed to make room.
    pub fn ends(&self) -> bool {
        let stage = self.account.lock().stage(self.number);
        stage.is_none_or(Stage::ends)
    }

    /// Begins a customer's request, whose head has arrived.
    ///
    /// Errors: there is no room for it.
    pub fn begin_body(&self, source: Source, now: Instant) -> Result<(), Exhausted> {
        let mut account = self.account.lock();
        account.enter(self.number, Stage::Body, now)?;
        account.assign(self.number, source, now)
    }

    /// Appends bytes to the request's body, whose length is `announced` if it is known.
    ///
    /// Errors: there is no room, or the body had to make room for others.
    pub fn append(
        &self,
        bytes: &[u8],
        announced: Option<usize>,
        now: Instant,
    ) -> Result<(), Exhausted> {
        // The body is only used while the account is locked.
        let mut account = self.account.lock();
        let connection = account.connections.get_mut(&self.number);
        let connection = connection.filter(|connection| connection.stage == Stage::Body);
        let connection = connection.ok_or(Exhausted)?;
        connection.received += bytes.len();
        if connection.received >= PROGRESS_BYTES {
            connection.received = 0;
            connection.progress = now;
        }
        let (size, capacity) = {
            let body = self.events.body.lock();
            (body.len() + bytes.len(), body.capacity())
        };
        if size > capacity {
            let max_size = max_body_bytes(account.limits.bytes);
            let capacity = grown(size, announced, max_size);
            let purpose = match capacity > SHORT_BODY_BYTES {
                true => Use::Body,
                false => Use::Short,
            };
            account.hold(self.number, purpose, REQUEST_BYTES + capacity, now)?;
            let mut larger = BytesMut::with_capacity(capacity);
            let mut body = self.events.body.lock();
            larger.extend_from_slice(&body);
            *body = larger;
        }
        self.events.body.lock().extend_from_slice(bytes);
        Ok(())
    }

    /// Whether the connection receives a body that isn't short.
    pub fn receives_long_body(&self) -> bool {
        let account = self.account.lock();
        let connection = account.connections.get(&self.number);
        connection.is_some_and(Connection::is_long)
    }

    /// Ends the body and returns it. The request is in progress from now on.
    ///
    /// Errors: there is no room for a request in progress, or the body had to make room for others.
    pub fn finish_body(&self, now: Instant) -> Result<Bytes, Exhausted> {
        let mut account = self.account.lock();
        if account.stage(self.number) != Some(Stage::Body) {
            return Err(Exhausted);
        }
        let size = self.events.body.lock().capacity();
        account.hold(self.number, Use::Short, Stage::Running.bytes() + size, now)?;
        if let Some(connection) = account.connections.get_mut(&self.number) {
            connection.stage = Stage::Running;
        }
        Ok(std::mem::take(&mut *self.events.body.lock()).freeze())
    }

    /// Names the service at which the request in progress runs.
    ///
    /// Errors: the service's requests leave no room for it.
    pub fn enter_service(&self, service: Source) -> Result<(), Exhausted> {
        self.account.lock().enter_service(self.number, service)
    }

    /// Records that the answer has ended, but for its last bytes.
    pub fn finish_answer(&self) {
        let mut account = self.account.lock();
        account.leave_service(self.number);
        if let Some(connection) = account.connections.get_mut(&self.number)
            && matches!(connection.stage, Stage::Head | Stage::Body | Stage::Running)
        {
            connection.stage = Stage::Answered;
            *self.events.body.lock() = BytesMut::new();
        }
    }

    /// Records that all bytes for the caller are sent.
    pub fn flush(&self, now: Instant) {
        let mut account = self.account.lock();
        if account.stage(self.number) == Some(Stage::Answered) {
            // What an idle connection occupies is less.
            let _ = account.enter(self.number, Stage::Idle, now);
        }
    }

    /// Waits until the connection must be closed to make room.
    pub async fn closed(&self) {
        self.events.closed.notified().await;
    }

    /// Waits until the request must be refused to make room.
    pub async fn refused(&self) {
        self.events.refused.notified().await;
    }
}

/// Size of an allocation that holds `size` bytes and some of those that follow. It grows in few steps: a body that has
/// taken memory and finds no more is received in vain.
fn grown(size: usize, announced: Option<usize>, max_size: usize) -> usize {
    let larger = match size {
        size if size <= MIN_BODY_BYTES => MIN_BODY_BYTES,
        size if size <= SHORT_BODY_BYTES => SHORT_BODY_BYTES,
        size => size.next_power_of_two().max(WHOLE_BODY_BYTES),
    };
    match announced {
        Some(announced) if announced <= WHOLE_BODY_BYTES || size > WHOLE_BODY_BYTES => {
            announced.max(size)
        }
        Some(announced) => larger.min(announced).max(size),
        None => larger.min(max_size).max(size),
    }
}
