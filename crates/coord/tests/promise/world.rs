//! Simulation of a platform, some processes, and the messages between them.
//!
//! `a` is the index of the process that acts; `b` is that of its peer, or selects a member from the
//! map of `a` (see [`World::member`]).

use std::collections::HashMap;

use coord::id::Node;
use coord::id::Shard;
use coord::id::Version;
use coord::lease;
use coord::promise::Holder;
use coord::promise::Terms;
use coord::promise::Vote;
use coord::promise::Voter;
use coord::shard::Map;
use coord::shard::Member;
use coord::shard::Owner;
use coord::time::Millis;
use coord::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::common::name;

/// Number of processes, and of shards.
const NODES: usize = 4;
const LEASE_DURATION: Millis = Millis(300);
const MARGIN: Millis = Millis(20);
pub const PROMISE_DURATION: Millis = Millis(200);
pub const TERMS: Terms = Terms {
    margin: MARGIN,
    max_extension: Millis(1500),
};

enum Message {
    /// A conditional write of the map; `join` is the process and the name that joins by it.
    Write {
        base: Version,
        map: Map,
        join: Option<(usize, Node)>,
    },
    /// A request for a promise by the owner `name`.
    Request {
        from: usize,
        name: Node,
        to: usize,
        version: Version,
        sent: Time,
    },
    /// A promise by the member `from` to the owner `name`.
    Promise {
        to: usize,
        name: Node,
        from: Node,
        version: Version,
        sent: Time,
    },
}

struct Process {
    name: Node,
    map: Option<Map>,
    lease: lease::Holder,
    /// Time of the last renewal of its lease.
    renewed: Option<Time>,
    observers: HashMap<Node, lease::Observer>,
    voter: Voter,
    promises: Holder,
    /// Whether the process can't reach the platform.
    partitioned: bool,
    paused_until: u64,
}

impl Process {
    fn new(name: Node) -> Process {
        Process {
            name,
            voter: Voter::new(TERMS),
            map: None,
            lease: lease::Holder::new(LEASE_DURATION, MARGIN),
            renewed: None,
            observers: Default::default(),
            promises: Holder::new(TERMS),
            partitioned: false,
            paused_until: 0,
        }
    }

    fn receive_map(&mut self, map: &Map) {
        match map.member(&self.name) {
            Some(_) => self.voter.record_map_version(map.version),
            None => self.voter.record_departure(map.version),
        }
        if self
            .map
            .as_ref()
            .is_none_or(|old| old.version < map.version)
        {
            self.map = Some(map.clone());
        }
    }

    /// Returns whether the process may act for the shard now, on promises alone (`true`) or under
    /// its lease (`false`); `None` if it may not act.
    fn authority(&self, shard: Shard, now: Time) -> Option<bool> {
        let map = self.map.as_ref()?;
        let owner = map.owner(shard)?;
        let renewed = self.renewed?;
        let promised = || {
            self.promises
                .is_valid(&map.members, map.version, renewed, now)
        };
        match owner.primary.as_ref() == Some(&self.name) {
            true if self.lease.is_valid(now) => Some(false),
            true if promised() => Some(true),
            _ => None,
        }
    }
}

pub struct World {
    clock: u64,
    pub map: Map,
    /// Version of each node's lease object, and whether it is revoked.
    leases: HashMap<Node, (Version, bool)>,
    processes: Vec<Process>,
    /// Messages in flight, each with its arrival time.
    messages: Vec<(u64, Message)>,
    /// Number of processes started so far; the last one's name is derived from it.
    started: usize,
    rng: StdRng,
    /// Number of checks at which a process acted on promises alone.
    pub extended: usize,
    /// Number of members removed from the map.
    pub removed: usize,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            clock: 1000,
            map: Map {
                version: Version(1),
                members: Vec::new(),
                shards: vec![Owner::default(); NODES],
            },
            leases: HashMap::new(),
            processes: Vec::new(),
            messages: Vec::new(),
            started: 0,
            rng: StdRng::seed_from_u64(seed),
            extended: 0,
            removed: 0,
        };
        for node in 0..NODES {
            let process = world.start();
            world.processes.push(process);
            // The last process joins later.
            if node + 1 < NODES {
                world.processes[node].receive_map(&world.map);
                world.join(node);
                world.deliver_all();
                world.renew(node, world.now());
            }
        }
        world
    }

    fn start(&mut self) -> Process {
        self.started += 1;
        let name: Node = name(&format!("n{}", self.started));
        self.leases.insert(name.clone(), (Version(1), false));
        Process::new(name)
    }

    fn now(&self) -> Time {
        Time(self.clock)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    /// Sends a message that is lost, delivered quickly or delayed.
    fn send(&mut self, message: Message) {
        let delay = match self.rng.random_range(0..10) {
            0 => return,
            1 => self.rng.random_range(0..800),
            _ => self.rng.random_range(0..20),
        };
        self.messages.push((self.clock + delay, message));
    }

    fn deliver_due(&mut self) {
        let clock = self.clock;
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |(at, _)| *at <= clock)
            .map(|(_, m)| m)
            .collect();
        let now = self.now();
        due.into_iter()
            .for_each(|message| self.deliver(message, now));
    }

    fn deliver_all(&mut self) {
        let now = self.now();
        let all = std::mem::take(&mut self.messages);
        all.into_iter()
            .for_each(|(_, message)| self.deliver(message, now));
    }

    /// Advances the clock, delivers due messages and lets each process act at random.
    pub fn step(&mut self) {
        self.clock += self.rng.random_range(5..60);
        self.deliver_due();
        if self.rng.random_ratio(1, 60) {
            let partitioned = self.chance(60);
            self.processes
                .iter_mut()
                .for_each(|process| process.partitioned = partitioned);
        }
        for a in 0..NODES {
            match self.rng.random_range(0..400) {
                0 => self.processes[a] = self.start(),
                1..8 => self.processes[a].partitioned ^= true,
                8..12 => {
                    self.processes[a].paused_until = self.clock + self.rng.random_range(0..900)
                }
                _ => (),
            }
            if self.processes[a].paused_until <= self.clock {
                self.act(a);
            }
        }
    }

    fn act(&mut self, a: usize) {
        let now = self.now();
        for b in 0..NODES {
            if self.chance(70) {
                self.request_promise(a, b, now);
            }
            if self.chance(20) {
                self.send_map(a, b);
            }
        }
        if self.processes[a].partitioned {
            return;
        }
        if self.chance(80) {
            self.processes[a].voter.record_platform_contact(now);
            self.renew(a, now);
        }
        if self.chance(30) {
            self.processes[a].receive_map(&self.map);
            self.join(a);
        }
        for b in 0..NODES {
            self.observe(a, b, now);
            self.fence(a, b, now);
            self.remove_fenced(a, b, now);
        }
    }

    fn send_map(&mut self, a: usize, b: usize) {
        if let Some(map) = self.processes[a].map.clone() {
            let sender = self.processes[a].name.clone();
            self.processes[b]
                .voter
                .record_peer_version(&sender, map.version);
            self.processes[b].receive_map(&map);
        }
    }

    fn observe(&mut self, a: usize, b: usize, now: Time) {
        let Some(other) = self.member(a, b) else {
            return;
        };
        let version = self.leases[&other].0;
        let observers = &mut self.processes[a].observers;
        let observer = observers.entry(other);
        let observer = observer.or_insert_with(|| lease::Observer::new(LEASE_DURATION, MARGIN));
        observer.record_version(version, now);
    }

    fn renew(&mut self, a: usize, now: Time) {
        let process = &mut self.processes[a];
        let lease = self.leases.get_mut(&process.name).expect("lease exists");
        match lease {
            (version, false) => {
                version.0 += 1;
                process.lease.record_renewal(now, *version);
                process.renewed = Some(now);
            }
            (_, true) => process.lease.mark_lost(),
        }
    }

    /// Member number `b`, modulo their count, in the map of process `a`.
    fn member(&self, a: usize, b: usize) -> Option<Node> {
        let map = self.processes[a].map.as_ref()?;
        let member = map.members.get(b % map.members.len().max(1))?;
        Some(member.node.clone())
    }

    fn fence(&mut self, a: usize, b: usize, now: Time) {
        let Some(other) = self.member(a, b) else {
            return;
        };
        let process = &mut self.processes[a];
        let expired = process
            .observers
            .get(&other)
            .and_then(|o| o.expired_version(now));
        let lease = self.leases.get_mut(&other).expect("lease exists");
        if expired == Some(lease.0) {
            *lease = (Version(lease.0.0 + 1), true);
        }
    }

    fn remove_fenced(&mut self, a: usize, b: usize, now: Time) {
        let Some(other) = self.member(a, b) else {
            return;
        };
        let process = &mut self.processes[a];
        let observer = process.observers.get(&other);
        let unrenewed = observer
            .and_then(|o| o.unrenewed_for(now))
            .unwrap_or_default();
        let map = process
            .map
            .clone()
            .expect("a process with members to remove has a map");
        let voter = &mut process.voter;
        let fenced = self.leases[&other].1;
        if fenced && voter.begin_removal(&other, unrenewed, map.version, now) {
            let write = Message::Write {
                base: map.version,
                map: map.without_member(&other),
                join: None,
            };
            self.send(write);
        }
    }

    fn join(&mut self, a: usize) {
        let process = &self.processes[a];
        let Some(map) = process.map.as_ref() else {
            return;
        };
        if map.member(&process.name).is_none() {
            let address = ([127, 0, 0, 1], a as u16).into();
            let member = Member {
                node: process.name.clone(),
                data_centre: name(&format!("dc-{a}")),
                peers: address,
                callers: address,
                leaving: false,
            };
            let join = Some((a, process.name.clone()));
            let write = Message::Write {
                base: map.version,
                map: map.with_member(member),
                join,
            };
            self.send(write);
        }
    }

    fn request_promise(&mut self, a: usize, b: usize, now: Time) {
        let process = &self.processes[a];
        let Some(map) = process.map.as_ref() else {
            return;
        };
        let (from, to, version, sent) = (a, b, map.version, now);
        let name = process.name.clone();
        self.send(Message::Request {
            from,
            name,
            to,
            version,
            sent,
        });
    }

    fn deliver(&mut self, message: Message, now: Time) {
        match message {
            Message::Write { base, map, join } if base == self.map.version => {
                self.map = Map {
                    version: Version(base.0 + 1),
                    ..map
                };
                self.removed += usize::from(join.is_none());
                let sender = join.map(|(a, name)| (&mut self.processes[a], name));
                if let Some((process, _)) = sender.filter(|(process, name)| process.name == *name) {
                    process.receive_map(&self.map);
                    process.voter.record_join(self.map.version);
                }
            }
            Message::Write { .. } => (),
            Message::Request {
                from,
                name,
                to,
                version,
                sent,
            } => {
                let voter = &mut self.processes[to].voter;
                if voter.vote(&name, version, PROMISE_DURATION, now) == Vote::Promised {
                    let own = self.processes[to].name.clone();
                    self.send(Message::Promise {
                        to: from,
                        name,
                        from: own,
                        version,
                        sent,
                    });
                }
            }
            Message::Promise {
                to,
                name,
                from,
                version,
                sent,
            } => {
                let process = &mut self.processes[to];
                if process.name == name {
                    process
                        .promises
                        .record_promise(&from, version, PROMISE_DURATION, sent);
                }
            }
        }
    }

    /// Asserts that at most one process may act for each shard.
    pub fn check(&mut self) {
        let now = self.now();
        for shard in (0..NODES as u16).map(Shard) {
            let holders = self.processes.iter();
            let held: Vec<bool> = holders.filter_map(|p| p.authority(shard, now)).collect();
            assert!(held.len() <= 1, "{} nodes act for one shard", held.len());
            self.extended += usize::from(held.contains(&true));
        }
    }
}
