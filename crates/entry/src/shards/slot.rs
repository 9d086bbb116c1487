//! One shard's copy, role and progress.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use coord::id::Epoch;
use coord::id::Node;
use coord::id::Shard;
use coord::replica::Limits;
use coord::replica::Replica;
use parking_lot::Mutex;
use tokio::sync::watch;

/// Past epochs whose end is remembered.
const PAST: usize = 8;

/// Links made by this process.
static LINKS: AtomicU64 = AtomicU64::new(0);

/// What this node is for a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Holds no copy.
    None,
    /// Named as primary, but still reading the log.
    Recovering,
    Primary,
    Standby,
}

/// How far a standby has come into the map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Receives records; the map doesn't name it.
    Syncing,
    /// Being written into the map: the write may or may not have taken effect.
    Joining,
    /// The map names it.
    Joined,
}

/// The way to a shard's standby.
#[derive(Debug)]
pub struct Link {
    /// Tells it from earlier links of the shard, to the same node too.
    pub id: u64,
    pub node: Node,
    pub address: SocketAddr,
    pub phase: Phase,
    /// Number up to which the standby holds everything.
    pub acked: u64,
    /// Records from `acked` on.
    pub pending: VecDeque<Bytes>,
    /// A sender runs for this link, or its first copy is under way.
    pub pumping: bool,
    /// The standby doesn't answer or holds something else.
    pub broken: bool,
}

impl Link {
    /// A link to a standby that holds everything up to `acked`.
    pub fn new(node: Node, address: SocketAddr, phase: Phase, acked: u64) -> Link {
        Link {
            id: LINKS.fetch_add(1, Ordering::Relaxed),
            node,
            address,
            phase,
            acked,
            pending: VecDeque::new(),
            pumping: false,
            broken: false,
        }
    }
}

/// A shard's state under its lock.
#[derive(Debug)]
pub struct State {
    pub role: Role,
    pub epoch: Epoch,
    pub replica: Replica,
    /// Number of the next record.
    pub next: u64,
    /// Number up to which the log in the platform holds everything.
    pub journalled: u64,
    /// Bytes in the log since the last checkpoint, and how many make the next one due.
    pub logged: usize,
    pub checkpoint_due: usize,
    pub link: Option<Link>,
    /// Being handed over: takes no decisions.
    pub frozen: bool,
    pub cautious: bool,
    durable: u64,
    ended: VecDeque<(Epoch, u64)>,
}

impl State {
    /// Whether this copy takes decisions, the lease aside.
    pub fn decides(&self) -> bool {
        self.role == Role::Primary && !self.frozen
    }

    /// Whether the standby in the map holds everything.
    pub fn is_complete(&self) -> bool {
        match &self.link {
            Some(link) => link.phase == Phase::Joined && !link.broken && link.acked == self.next,
            None => false,
        }
    }

    /// Queues records for the standby; a sender is to be started for the link returned.
    pub fn send(&mut self, records: Vec<Bytes>) -> Option<u64> {
        match &mut self.link {
            Some(link) if !link.broken => {
                link.pending.extend(records);
                let idle = !std::mem::replace(&mut link.pumping, true);
                idle.then_some(link.id)
            }
            _ => None,
        }
    }

    /// Enters an epoch; what was durable in the last one is remembered.
    pub fn change_epoch(&mut self, epoch: Epoch) {
        self.ended.push_back((self.epoch, self.durable));
        if self.ended.len() > PAST {
            self.ended.pop_front();
        }
        self.epoch = epoch;
        self.durable = 0;
    }

    /// Drops the copy.
    pub fn reset(&mut self, limits: Limits) {
        let epoch = self.epoch;
        if self.role != Role::None {
            self.change_epoch(epoch);
        }
        self.role = Role::None;
        self.replica = Replica::new(limits);
        self.next = 0;
        self.journalled = 0;
        self.link = None;
        self.frozen = false;
        self.cautious = false;
    }

    /// Whether the standby holds all that counts as durable.
    pub fn standby_holds_durable(&self) -> bool {
        self.link
            .as_ref()
            .is_some_and(|link| link.acked >= self.durable)
    }

    fn measure(&self) -> u64 {
        match &self.link {
            _ if self.role != Role::Primary => 0,
            None => self.journalled,
            Some(link) => match link.phase {
                Phase::Syncing => self.journalled,
                Phase::Joining => self.journalled.min(link.acked),
                Phase::Joined => link.acked,
            },
        }
    }
}

/// How far a shard's records stand in two places.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    pub primary: bool,
    pub epoch: Epoch,
    pub durable: u64,
    /// Past epochs with what was durable at their end.
    pub ended: VecDeque<(Epoch, u64)>,
}

impl Progress {
    /// Whether what an epoch wrote up to a number is durable; none: not yet.
    pub fn covers(&self, epoch: Epoch, until: u64) -> Option<bool> {
        match self.ended.iter().rev().find(|(past, _)| *past == epoch) {
            _ if self.primary && self.epoch == epoch && self.durable >= until => Some(true),
            _ if self.primary && self.epoch == epoch => None,
            Some((_, durable)) => Some(*durable >= until),
            None => Some(false),
        }
    }
}

/// One shard at this node.
#[derive(Debug)]
pub struct Slot {
    pub shard: Shard,
    pub state: Mutex<State>,
    pub progress: watch::Sender<Progress>,
}

impl Slot {
    /// Holds no copy.
    pub fn new(shard: Shard, limits: Limits) -> Slot {
        let state = State {
            role: Role::None,
            epoch: Epoch(0),
            replica: Replica::new(limits),
            next: 0,
            journalled: 0,
            logged: 0,
            checkpoint_due: 0,
            link: None,
            frozen: false,
            cautious: false,
            durable: 0,
            ended: VecDeque::new(),
        };
        Slot {
            shard,
            state: Mutex::new(state),
            progress: watch::Sender::new(Progress::default()),
        }
    }

    /// Tells those who wait how far the shard has come.
    pub fn publish(&self, state: &mut State) {
        state.durable = state.durable.max(state.measure());
        let progress = Progress {
            primary: state.role == Role::Primary,
            epoch: state.epoch,
            durable: state.durable,
            ended: state.ended.clone(),
        };
        self.progress.send_replace(progress);
    }
}
