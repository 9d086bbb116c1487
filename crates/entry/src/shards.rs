//! The shards of which this node holds a copy, each under its own lock.
//!
//! A primary turns decisions into records: applied here, sent to the standby and queued for the log
//! in the platform. Nothing rests on a record before it stands in two places, which [`Durable`]
//! waits for: here and at the standby that the shard map names, or here and in the platform while
//! the map names none. While a standby is about to be written into the map it takes both, so that
//! neither reading of the map loses anything.

mod durable;
pub(crate) mod slot;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Epoch;
use coord::id::Node;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::record::Record;
use coord::replica::Limits;
use coord::replica::Replica;
use tokio::sync::Notify;
use tokio::sync::broadcast;
use tokio::time::Instant;
use tokio::time::timeout_at;

pub use self::durable::Durable;
pub use self::durable::Lost;
pub use self::slot::Link;
pub use self::slot::Phase;
pub use self::slot::Role;
pub use self::slot::Slot;
pub use self::slot::State;

use crate::journal::Journal;
use crate::journal::Mark;
use crate::lease::Authority;
use crate::lease::Lease;
use crate::peer::Peers;

/// Gains of shards that a slow listener may be behind.
const GAINED_BACKLOG: usize = 4096;

/// Bytes of a shard's records in the log before a checkpoint takes their place, at least.
const CHECKPOINT_MIN: usize = 256 * 1024;

/// This node doesn't own the shard at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moved {
    pub shard: Shard,
    /// Highest epoch known here.
    pub epoch: Epoch,
}

/// A shard of which this node became the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gained {
    pub shard: Shard,
    pub epoch: Epoch,
}

/// All shards as this node holds them.
#[derive(Debug)]
pub struct Shards {
    slots: Vec<Arc<Slot>>,
    limits: Limits,
    lease: Arc<Lease>,
    journal: Arc<Journal>,
    peers: Arc<Peers>,
    gained: broadcast::Sender<Gained>,
    /// Wakes the upkeep of the shard map.
    pub(crate) upkeep: Notify,
}

impl Shards {
    /// Holds no copy of any shard.
    pub fn new(
        lease: Arc<Lease>,
        journal: Arc<Journal>,
        peers: Arc<Peers>,
        limits: Limits,
    ) -> Arc<Shards> {
        let slots = (0..SHARDS).map(|number| Arc::new(Slot::new(Shard(number), limits)));
        Arc::new(Shards {
            slots: slots.collect(),
            limits,
            lease,
            journal,
            peers,
            gained: broadcast::Sender::new(GAINED_BACKLOG),
            upkeep: Notify::new(),
        })
    }

    /// Makes one decision as the shard's primary: the closure sees the state and gives records,
    /// which are applied and on their way to the second place when this returns.
    ///
    /// # Errors
    ///
    /// This node has no authority over the shard right now.
    pub fn decide<T>(
        self: &Arc<Self>,
        shard: Shard,
        decision: impl FnOnce(&Replica) -> (Vec<Record>, T),
    ) -> Result<(T, Durable), Moved> {
        let slot = self.slot(shard);
        let mut state = slot.state.lock();
        let epoch = state.epoch;
        if !state.decides() || self.lease.authority().is_none() {
            return Err(Moved { shard, epoch });
        }
        let (records, value) = decision(&state.replica);
        if !records.is_empty() {
            self.append(slot, &mut state, records);
        }
        let until = state.next;
        drop(state);
        Ok((
            value,
            Durable::new(Arc::clone(slot), Arc::clone(&self.lease), epoch, until),
        ))
    }

    /// Authority over a shard at this very moment.
    pub fn authority(&self, shard: Shard) -> Option<Authority> {
        let state = self.slot(shard).state.lock();
        let until = self.lease.authority()?;
        let (epoch, cautious) = (state.epoch, state.cautious);
        state.decides().then_some(Authority {
            epoch,
            until,
            cautious,
        })
    }

    /// Looks at a copy, whatever the role; none: this node holds no copy.
    pub fn inspect<T>(&self, shard: Shard, look: impl FnOnce(&State) -> T) -> Option<T> {
        let state = self.slot(shard).state.lock();
        (state.role != Role::None).then(|| look(&state))
    }

    /// Tells of each shard of which this node becomes the primary.
    pub fn gained(&self) -> broadcast::Receiver<Gained> {
        self.gained.subscribe()
    }

    pub(crate) fn slot(&self, shard: Shard) -> &Arc<Slot> {
        &self.slots[usize::from(shard.0 % SHARDS)]
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = (Shard, &Arc<Slot>)> {
        let number = |index: usize| Shard(index as u16);
        self.slots
            .iter()
            .enumerate()
            .map(move |(index, slot)| (number(index), slot))
    }

    pub(crate) fn announce(&self, gained: Gained) {
        let _ = self.gained.send(gained);
    }

    pub(crate) fn lease(&self) -> &Lease {
        &self.lease
    }

    pub(crate) fn limits(&self) -> Limits {
        self.limits
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    fn append(self: &Arc<Self>, slot: &Arc<Slot>, state: &mut State, records: Vec<Record>) {
        let first = state.next;
        let encoded: Vec<Bytes> = records.iter().map(encode).collect();
        state.logged += encoded.iter().map(Bytes::len).sum::<usize>();
        records
            .iter()
            .for_each(|record| state.replica.apply(record));
        state.next += records.len() as u64;
        self.journal
            .append(slot.shard, state.epoch, first, encoded.clone());
        if let Some(link) = state.send(encoded) {
            self.start_pump(slot, link);
        }
        if state.logged >= state.checkpoint_due {
            self.queue_checkpoint(slot.shard, state);
        }
    }

    /// Starts sending to the standby; there is one sender for each link at most.
    pub(crate) fn start_pump(self: &Arc<Self>, slot: &Arc<Slot>, link: u64) {
        let (shards, slot) = (Arc::clone(self), Arc::clone(slot));
        tokio::spawn(async move { crate::replicate::pump(&shards, &slot, link).await });
    }

    /// Takes in how far a shard's log stands in the platform.
    pub fn written(&self, mark: &Mark) {
        let slot = self.slot(mark.shard);
        let mut state = slot.state.lock();
        let current = state.role == Role::Primary && state.epoch == mark.epoch;
        let contiguous = mark.checkpoint.last || mark.first <= state.journalled;
        if current && contiguous && mark.next > state.journalled {
            state.journalled = mark.next;
            slot.publish(&mut state);
        }
    }

    /// Queues a checkpoint of a shard that this node owns.
    pub fn checkpoint(&self, shard: Shard) {
        let mut state = self.slot(shard).state.lock();
        if state.role == Role::Primary {
            self.queue_checkpoint(shard, &mut state);
        }
    }

    /// A checkpoint is due again when as much has been logged as it is large.
    fn queue_checkpoint(&self, shard: Shard, state: &mut State) {
        match state.replica.encode() {
            Ok(bytes) => {
                state.logged = 0;
                state.checkpoint_due = CHECKPOINT_MIN.max(bytes.len());
                let (epoch, next) = (state.epoch, state.next);
                self.journal.checkpoint(shard, epoch, next, bytes.into());
            }
            Err(error) => log::error!(step = "encode checkpoint"; "{error}"),
        }
    }

    /// Becomes the primary with the copy that the slot holds. The log is to hold the whole state
    /// before it counts as a second place.
    pub(crate) fn promote(&self, slot: &Slot, state: &mut State, epoch: Epoch) {
        state.role = Role::Primary;
        state.change_epoch(epoch);
        state.replica.tick(self.lease.clock().now());
        state.frozen = false;
        state.journalled = 0;
        self.queue_checkpoint(slot.shard, state);
        slot.publish(state);
        self.announce(Gained {
            shard: slot.shard,
            epoch,
        });
    }

    /// Drops every copy: this node has lost its lease.
    pub(crate) fn drop_all(&self) {
        self.journal.clear();
        for slot in &self.slots {
            let mut state = slot.state.lock();
            state.reset(self.limits);
            slot.publish(&mut state);
        }
    }

    /// Names the standby that is to be removed from the map because it doesn't answer.
    pub(crate) fn broken(&self) -> Vec<(Shard, Node)> {
        let broken = |slot: &Arc<Slot>| {
            let state = slot.state.lock();
            let link = state.link.as_ref().filter(|link| link.broken)?;
            Some((slot.shard, link.node.clone()))
        };
        self.slots.iter().filter_map(broken).collect()
    }

    /// Stops decisions on shards that are to be handed over and waits until their standbys have
    /// everything; returns those that are ready.
    pub(crate) async fn freeze(&self, shards: &[Shard], limit: Duration) -> Vec<Shard> {
        let end = Instant::now() + limit;
        for shard in shards {
            let mut state = self.slot(*shard).state.lock();
            state.frozen = state.role == Role::Primary;
        }
        let mut ready = Vec::new();
        for shard in shards {
            match self.complete_by(*shard, end).await {
                true => ready.push(*shard),
                false => self.slot(*shard).state.lock().frozen = false,
            }
        }
        ready
    }

    async fn complete_by(&self, shard: Shard, end: Instant) -> bool {
        let slot = self.slot(shard);
        let mut progress = slot.progress.subscribe();
        while !slot.state.lock().is_complete() {
            match timeout_at(end, progress.changed()).await {
                Ok(Ok(())) => (),
                _ => return false,
            }
        }
        true
    }

    /// Takes decisions again on all shards that are this node's still.
    pub(crate) fn thaw(&self) {
        for slot in &self.slots {
            slot.state.lock().frozen = false;
        }
    }
}

fn encode(record: &Record) -> Bytes {
    match postcard::to_stdvec(record) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => unreachable!("a record is plain data: {error}"),
    }
}
