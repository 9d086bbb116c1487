//! No two nodes hold authority for one shard, whichever of them are cut from the platform.

mod common;

use common::name;
use coord::id::Epoch;
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
use coord::time::Millis;
use coord::time::Time;
use proptest::prelude::*;

const NODES: usize = 4;
const LEASE: Millis = Millis(300);
const MARGIN: Millis = Millis(20);
const PROMISE: Millis = Millis(200);
const TERMS: Terms = Terms {
    margin: MARGIN,
    limit: Millis(1500),
};

#[derive(Debug, Clone)]
enum Event {
    Pass(u64),
    Renew(usize),
    ReadMap(usize),
    Observe(usize, usize),
    Fence(usize, usize),
    /// Sends a map write that removes a fenced node.
    WriteOut(usize, usize),
    Join(usize),
    /// Something under way arrives, or is lost.
    Deliver(usize),
    Lose(usize),
    Ask(usize, usize),
    TellMap(usize, usize),
    /// A process dies and starts anew under another name.
    Restart(usize),
    Cut(usize, bool),
}

fn event() -> impl Strategy<Value = Event> {
    let one = || 0usize..NODES;
    prop_oneof![
        8 => (10u64..150).prop_map(Event::Pass),
        4 => one().prop_map(Event::Renew),
        3 => one().prop_map(Event::ReadMap),
        4 => (one(), one()).prop_map(|(a, b)| Event::Observe(a, b)),
        4 => (one(), one()).prop_map(|(a, b)| Event::Fence(a, b)),
        4 => (one(), one()).prop_map(|(a, b)| Event::WriteOut(a, b)),
        2 => one().prop_map(Event::Join),
        16 => (0usize..6).prop_map(Event::Deliver),
        1 => (0usize..6).prop_map(Event::Lose),
        10 => (one(), one()).prop_map(|(a, b)| Event::Ask(a, b)),
        3 => (one(), one()).prop_map(|(a, b)| Event::TellMap(a, b)),
        1 => one().prop_map(Event::Restart),
        2 => (one(), any::<bool>()).prop_map(|(a, cut)| Event::Cut(a, cut)),
    ]
}

enum Message {
    /// A conditional write of the map; joins tell their sender.
    Write {
        base: Version,
        map: Map,
        join: Option<(usize, Node)>,
    },
    Ask {
        from: usize,
        name: Node,
        to: usize,
        version: Version,
        sent: Time,
    },
    Promised {
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
    renewed: Option<Time>,
    observers: std::collections::HashMap<Node, lease::Observer>,
    fenced: Vec<Node>,
    voter: Voter,
    promises: Holder,
    cut: bool,
}

impl Process {
    fn new(name: Node) -> Process {
        Process {
            name,
            map: None,
            lease: lease::Holder::new(LEASE, MARGIN),
            renewed: None,
            observers: Default::default(),
            fenced: Vec::new(),
            voter: Voter::new(TERMS),
            promises: Holder::new(TERMS),
            cut: false,
        }
    }

    fn learn(&mut self, map: &Map) {
        self.voter.saw(map.version);
        if self
            .map
            .as_ref()
            .is_none_or(|old| old.version < map.version)
        {
            self.map = Some(map.clone());
        }
    }

    /// Whether it may act for the shard now, and if so, without the platform.
    fn authority(&self, now: Time) -> Option<bool> {
        let map = self.map.as_ref()?;
        let owner = map.owner(Shard(0))?;
        let renewed = self.renewed?;
        let promised = || self.promises.valid(&map.members, map.version, renewed, now);
        match owner.primary.as_ref() == Some(&self.name) {
            true if self.lease.valid(now) => Some(false),
            true if promised() => Some(true),
            _ => None,
        }
    }
}

struct World {
    clock: u64,
    map: Map,
    /// Version of each node's lease object, and whether it is revoked.
    leases: std::collections::HashMap<Node, (Version, bool)>,
    processes: Vec<Process>,
    messages: Vec<Message>,
    started: usize,
    /// Whether anyone ever acted without the platform, and was written out.
    seen: (bool, bool),
}

impl World {
    fn new() -> World {
        let mut world = World {
            clock: 1000,
            map: Map {
                version: Version(1),
                ..Map::first(Vec::new())
            },
            leases: Default::default(),
            processes: Vec::new(),
            messages: Vec::new(),
            started: 0,
            seen: (false, false),
        };
        for node in 0..NODES {
            let process = world.start();
            world.processes.push(process);
            // The last one joins later, if at all.
            if node + 1 < NODES {
                world.on(Event::ReadMap(node));
                world.on(Event::Join(node));
                world.on(Event::Deliver(0));
                world.on(Event::Renew(node));
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

    fn on(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Pass(ms) => self.clock += ms,
            Event::Cut(a, cut) => self.processes[a].cut = cut,
            Event::Restart(a) => self.processes[a] = self.start(),
            Event::Renew(a) if !self.processes[a].cut => self.renew(a, now),
            Event::ReadMap(a) if !self.processes[a].cut => self.processes[a].learn(&self.map),
            Event::TellMap(a, b) => {
                if let Some(map) = self.processes[a].map.clone() {
                    let teller = self.processes[a].name.clone();
                    self.processes[b].voter.heard(&teller, map.version);
                    self.processes[b].learn(&map);
                }
            }
            Event::Observe(a, b) if !self.processes[a].cut => {
                let other = self.processes[b].name.clone();
                let version = self.leases[&other].0;
                let observers = &mut self.processes[a].observers;
                let observer = observers.entry(other);
                let observer = observer.or_insert_with(|| lease::Observer::new(LEASE, MARGIN));
                observer.saw(version, now);
            }
            Event::Fence(a, b) if !self.processes[a].cut => self.fence(a, b, now),
            Event::WriteOut(a, b) if !self.processes[a].cut => self.write_out(a, b, now),
            Event::Join(a) if !self.processes[a].cut => self.join(a),
            Event::Ask(a, b) => self.ask(a, b, now),
            Event::Deliver(i) if i < self.messages.len() => {
                let message = self.messages.remove(i);
                self.deliver(message, now);
            }
            Event::Lose(i) if i < self.messages.len() => drop(self.messages.remove(i)),
            _ => (),
        }
    }

    fn renew(&mut self, a: usize, now: Time) {
        let process = &mut self.processes[a];
        let lease = self.leases.get_mut(&process.name).expect("has one");
        match lease {
            (version, false) => {
                version.0 += 1;
                process.lease.renewed(now, *version);
                process.renewed = Some(now);
            }
            (_, true) => process.lease.lost(),
        }
    }

    /// Names of the members that a process knows, in a stable order.
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
        let expired = process.observers.get(&other).and_then(|o| o.expired(now));
        let lease = self.leases.get_mut(&other).expect("has one");
        if expired == Some(lease.0) {
            *lease = (Version(lease.0.0 + 1), true);
            process.fenced.push(other);
        }
    }

    fn write_out(&mut self, a: usize, b: usize, now: Time) {
        let Some(other) = self.member(a, b) else {
            return;
        };
        let process = &mut self.processes[a];
        let observer = process.observers.get(&other);
        let standing = observer.and_then(|o| o.standing(now)).unwrap_or_default();
        let map = process.map.clone().expect("knows a member");
        let allowed = process.fenced.contains(&other)
            && process.voter.may_write_out(&other, standing, now)
            && process.voter.begin_write(map.version, now);
        if allowed {
            let write = Message::Write {
                base: map.version,
                map: map.died(&other),
                join: None,
            };
            self.messages.push(write);
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
                map: map.join(member),
                join,
            };
            self.messages.push(write);
        }
    }

    fn ask(&mut self, a: usize, b: usize, now: Time) {
        let process = &self.processes[a];
        let Some(map) = process.map.as_ref() else {
            return;
        };
        let (from, to, version, sent) = (a, b, map.version, now);
        let name = process.name.clone();
        self.messages.push(Message::Ask {
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
                self.seen.1 |= join.is_none();
                let sender = join.map(|(a, name)| (&mut self.processes[a], name));
                if let Some((process, _)) = sender.filter(|(process, name)| process.name == *name) {
                    process.learn(&self.map);
                    process.voter.joined(self.map.version);
                }
            }
            Message::Write { .. } => (),
            Message::Ask {
                from,
                name,
                to,
                version,
                sent,
            } => {
                let voter = &mut self.processes[to].voter;
                if voter.ask(&name, version, PROMISE, now) == Vote::Promised {
                    let own = self.processes[to].name.clone();
                    self.messages.push(Message::Promised {
                        to: from,
                        name,
                        from: own,
                        version,
                        sent,
                    });
                }
            }
            Message::Promised {
                to,
                name,
                from,
                version,
                sent,
            } => {
                let process = &mut self.processes[to];
                if process.name == name {
                    process.promises.promised(&from, version, PROMISE, sent);
                }
            }
        }
    }

    fn check(&mut self) {
        let now = self.now();
        let held = self.processes.iter().filter_map(|p| p.authority(now));
        let held: Vec<bool> = held.collect();
        self.seen.0 |= held.contains(&true);
        assert!(held.len() <= 1, "{} nodes act for one shard", held.len());
    }
}

proptest! {
    #![proptest_config(common::seeded(1500))]

    #[test]
    fn at_most_one_node_acts_for_a_shard(events in prop::collection::vec(event(), 1..250)) {
        let mut world = World::new();
        for event in events {
            world.on(event);
            world.check();
        }
    }
}

#[test]
fn an_owner_goes_on_while_all_promise_and_stops_when_one_does_not() {
    let mut world = World::new();
    let owner = world.map.owner(Shard(0)).unwrap().clone();
    assert_eq!((owner.primary, owner.epoch), (Some(name("n1")), Epoch(1)));
    world.on(Event::TellMap(2, 0));
    world.on(Event::TellMap(2, 1));
    let mut go_on = |voters: &[usize]| {
        for voter in voters {
            world.on(Event::Ask(0, *voter));
            world.on(Event::Deliver(0));
            world.on(Event::Deliver(0));
        }
        world.clock += 150;
        world.processes[0].authority(world.now())
    };
    assert_eq!(go_on(&[0, 1, 2]), Some(false));
    for _ in 0..8 {
        assert_eq!(go_on(&[0, 1, 2]), Some(true));
    }
    assert_eq!(go_on(&[0, 1]), None);
    assert_eq!(go_on(&[0, 1, 2]), None, "the limit has passed");
}

#[test]
fn a_process_that_has_not_joined_or_has_a_write_under_way_promises_nothing() {
    let owner: Node = name("n1");
    let mut voter = Voter::new(TERMS);
    let ask = |voter: &mut Voter, version| voter.ask(&owner, Version(version), PROMISE, Time(0));
    assert_eq!(ask(&mut voter, 3), Vote::Refused);
    voter.joined(Version(3));
    assert!(voter.begin_write(Version(3), Time(0)));
    assert_eq!(ask(&mut voter, 3), Vote::Refused);
    voter.saw(Version(4));
    assert_eq!(ask(&mut voter, 3), Vote::Behind(Version(4)));
    assert_eq!(ask(&mut voter, 4), Vote::Promised);
    assert!(!voter.begin_write(Version(4), Time(219)));
    assert!(voter.begin_write(Version(4), Time(220)));
}
