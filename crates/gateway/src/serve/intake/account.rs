//! Account of connections by stage: who occupies how much, and who makes room for whom.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::Map;
use crate::serve::intake::limits::Limits;
use crate::serve::intake::stage::CONNECTED_BYTES;
use crate::serve::intake::stage::REQUEST_BYTES;
use crate::serve::intake::stage::Stage;
use crate::serve::memory::Exhausted;
use crate::serve::memory::Source;

/// Size up to which a body is short, in bytes.
pub(super) const SHORT_BODY_BYTES: usize = 8 * 1024;

/// Largest ratio of what one source occupies to what is left, for its connections and short requests.
pub(super) const SOURCE_RATIO: usize = 15;

/// The same for bodies that aren't short, which leave room for short requests of the same source.
pub(super) const BODY_SOURCE_RATIO: usize = 3;

/// Part of the account that bodies which aren't short leave free.
pub(super) const BODY_RESERVE_DIVISOR: usize = 8;

/// Part of the account that requests in progress at one service leave to others: if it doesn't answer, they stay until
/// their deadlines, and those of several customers would take all.
pub(super) const SERVICE_RESERVE_DIVISOR: usize = 8;

/// Time without progress after which a connection may have to make room. A retransmission takes 200 ms at least.
const STALL_TIME: Duration = Duration::from_millis(500);

/// What memory is claimed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Use {
    /// A connection, or a request with a short body or none.
    Short,
    /// A body that isn't short.
    Body,
}

/// Size of the largest body that fits into the account while nobody else occupies it, in bytes.
pub(super) fn max_body_bytes(bytes: usize) -> usize {
    let source_bytes = bytes / (BODY_SOURCE_RATIO + 1) * BODY_SOURCE_RATIO;
    source_bytes.saturating_sub(Stage::Running.bytes())
}

/// What all connections occupy.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) limits: Limits,
    pub(super) free: usize,
    pub(super) taken: Map<Source, usize>,
    /// Bytes that requests in progress occupy, by their service.
    pub(super) running: Map<Source, usize>,
    pub(super) connections: Map<u64, Connection>,
    pub(super) next: u64,
    pub(super) evicted: BTreeMap<Stage, u64>,
    pub(super) rejected: u64,
}

/// A connection as the account knows it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stage: Stage,
    pub(super) source: Source,
    /// Bytes of the account that it occupies.
    pub(super) held: usize,
    /// Service of the request in progress, and the bytes that it occupies.
    pub(super) running: Option<(Source, usize)>,
    /// Time of its last progress. A head has none: it usually arrives at once.
    pub(super) progress: Instant,
    /// Bytes of the body since then.
    pub(super) received: usize,
    pub(super) events: Arc<Events>,
}

impl Connection {
    /// Whether it receives a body that isn't short.
    pub(super) fn is_long(&self) -> bool {
        self.stage == Stage::Body && self.held > REQUEST_BYTES + SHORT_BODY_BYTES
    }
}

/// What the account tells a connection, and the body that it may take from it.
#[derive(Debug, Default)]
pub(super) struct Events {
    /// The connection must be closed.
    pub(super) closed: Notify,
    /// The request whose body is being received must be refused.
    pub(super) refused: Notify,
    pub(super) body: Mutex<BytesMut>,
}

impl Account {
    pub(super) fn connect(&mut self, events: Arc<Events>, now: Instant) -> Result<u64, Exhausted> {
        while self.open() >= self.limits.connections {
            let evicted = self.evict(None, None, Use::Body, now);
            evicted.inspect_err(|_| self.rejected += 1)?;
        }
        self.next += 1;
        let connection = Connection {
            stage: Stage::Connected,
            source: Source::unauthenticated(),
            held: 0,
            running: None,
            progress: now,
            received: 0,
            events,
        };
        self.connections.insert(self.next, connection);
        let taken = self.hold(self.next, Use::Short, CONNECTED_BYTES, now);
        taken.inspect_err(|_| self.remove(self.next))?;
        Ok(self.next)
    }

    /// Number of connections, without those that end.
    pub(super) fn open(&self) -> usize {
        let connections = self.connections.values();
        connections
            .filter(|connection| !connection.stage.ends())
            .count()
    }

    pub(super) fn remove(&mut self, number: u64) {
        self.leave_service(number);
        if let Some(connection) = self.connections.remove(&number) {
            self.release(connection.source, connection.held);
        }
    }

    pub(super) fn release(&mut self, source: Source, bytes: usize) {
        self.free += bytes;
        subtract(&mut self.taken, source, bytes);
    }

    /// Makes a request in progress one of a service.
    ///
    /// Errors: the service's requests occupy too much already.
    pub(super) fn enter_service(&mut self, number: u64, service: Source) -> Result<(), Exhausted> {
        let limit = self.limits.bytes - self.limits.bytes / SERVICE_RESERVE_DIVISOR;
        let connection = self.connections.get_mut(&number).ok_or(Exhausted)?;
        let running = self.running.entry(service).or_insert(0);
        if *running + connection.held > limit {
            self.rejected += 1;
            return Err(Exhausted);
        }
        *running += connection.held;
        connection.running = Some((service, connection.held));
        Ok(())
    }

    /// Ends a request's part of what its service's requests occupy.
    pub(super) fn leave_service(&mut self, number: u64) {
        let connection = self.connections.get_mut(&number);
        if let Some((service, bytes)) = connection.and_then(|connection| connection.running.take())
        {
            subtract(&mut self.running, service, bytes);
        }
    }

    pub(super) fn taken(&self, source: Source) -> usize {
        self.taken.get(&source).copied().unwrap_or(0)
    }

    /// Sets what a connection occupies; others make room if necessary.
    ///
    /// Errors: there is no room; the connection keeps what it holds.
    pub(super) fn hold(
        &mut self,
        number: u64,
        purpose: Use,
        bytes: usize,
        now: Instant,
    ) -> Result<(), Exhausted> {
        let (ratio, reserve) = match purpose {
            Use::Short => (SOURCE_RATIO, 0),
            Use::Body => (BODY_SOURCE_RATIO, self.limits.bytes / BODY_RESERVE_DIVISOR),
        };
        loop {
            let connection = self.connections.get(&number).ok_or(Exhausted)?;
            let (source, held) = (connection.source, connection.held);
            let taken = self.taken(source) - held + bytes;
            match (self.free + held).checked_sub(bytes) {
                Some(free) if bytes <= held || (taken <= ratio * free && free >= reserve) => {
                    self.free = free;
                    self.taken.insert(source, taken);
                    break;
                }
                // A source that occupies too much doesn't take from those that occupy less.
                Some(free) if taken > ratio * free => {
                    self.evict(Some(number), Some(source), purpose, now)
                }
                Some(_) | None => self.evict(Some(number), None, purpose, now),
            }
            .inspect_err(|_| self.rejected += 1)?;
        }
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.held = bytes;
        }
        Ok(())
    }

    /// Makes one connection give up what it holds: of the first stage that has any without progress, of the source
    /// that occupies most, the one without progress for the longest time. Bodies that aren't short also make room
    /// for short requests while they make progress, as they leave them none otherwise. If a source is given, only its
    /// connections and those of sources that occupy more make room.
    ///
    /// Errors: there is none.
    pub(super) fn evict(
        &mut self,
        except: Option<u64>,
        source: Option<Source>,
        purpose: Use,
        now: Instant,
    ) -> Result<(), Exhausted> {
        let is_stalled = |connection: &Connection| {
            now.saturating_duration_since(connection.progress) >= STALL_TIME
        };
        let candidates = self.connections.iter().filter(|(number, connection)| {
            let yields = is_stalled(connection) || purpose == Use::Short && connection.is_long();
            let occupies_enough = source.is_none_or(|source| {
                source == connection.source || self.taken(connection.source) > self.taken(source)
            });
            connection.stage.makes_room() && yields && occupies_enough && Some(**number) != except
        });
        let victim = candidates.min_by_key(|(number, connection)| {
            let taken = Reverse(self.taken(connection.source));
            let (stage, progress) = (connection.stage, connection.progress);
            (!is_stalled(connection), stage, taken, progress, **number)
        });
        let (&number, connection) = victim.ok_or(Exhausted)?;
        *self.evicted.entry(connection.stage).or_insert(0) += 1;
        match connection.stage {
            Stage::Body => self.refuse(number),
            _ => self.close(number),
        }
        Ok(())
    }

    /// Closes a connection that isn't in a request.
    pub(super) fn close(&mut self, number: u64) {
        if let Some(connection) = self.connections.get(&number) {
            connection.events.closed.notify_one();
            self.remove(number);
        }
    }

    /// Frees the body of a request that is being received, and makes the connection end with a refusal.
    pub(super) fn refuse(&mut self, number: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            *connection.events.body.lock() = BytesMut::new();
            connection.events.refused.notify_one();
            connection.stage = Stage::Refused;
            let (source, held) = (connection.source, connection.held);
            connection.held = 0;
            self.release(source, held);
        }
    }

    /// Makes a connection end that there is no room for.
    pub(super) fn reject(&mut self, number: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stage = Stage::Rejected;
            let (source, held) = (connection.source, connection.held);
            connection.held = 0;
            self.release(source, held);
        }
    }

    /// Sets the stage of a connection, and what it occupies without a body.
    ///
    /// Errors: there is no room; the connection keeps its stage.
    pub(super) fn enter(
        &mut self,
        number: u64,
        stage: Stage,
        now: Instant,
    ) -> Result<(), Exhausted> {
        if self.stage(number).is_some_and(Stage::ends) {
            return Err(Exhausted);
        }
        self.hold(number, Use::Short, stage.bytes(), now)?;
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stage = stage;
            connection.progress = now;
        }
        Ok(())
    }

    /// Makes a customer's what a connection occupies.
    ///
    /// Errors: the customer occupies too much already; the connection keeps its former source.
    pub(super) fn assign(
        &mut self,
        number: u64,
        source: Source,
        now: Instant,
    ) -> Result<(), Exhausted> {
        let connection = self.connections.get(&number).ok_or(Exhausted)?;
        let (former, held) = (connection.source, connection.held);
        self.move_to(number, source, 0);
        let assigned = self.hold(number, Use::Short, held, now);
        if assigned.is_err() {
            self.move_to(number, former, held);
        }
        assigned
    }

    /// Replaces the source of a connection and what it occupies, whether or not there is room.
    pub(super) fn move_to(&mut self, number: u64, source: Source, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&number) {
            let held = std::mem::replace(&mut connection.held, bytes);
            let former = std::mem::replace(&mut connection.source, source);
            self.release(former, held);
            self.free -= bytes;
            *self.taken.entry(source).or_insert(0) += bytes;
        }
    }

    pub(super) fn stage(&self, number: u64) -> Option<Stage> {
        self.connections
            .get(&number)
            .map(|connection| connection.stage)
    }
}

/// Takes bytes from what a source occupies.
fn subtract(occupied: &mut Map<Source, usize>, source: Source, bytes: usize) {
    if let Some(left) = occupied.get_mut(&source) {
        *left -= bytes;
        if *left == 0 {
            occupied.remove(&source);
        }
    }
}
