//! Seeded interleavings of writers, readers, cut messages, wiped disks and joining ones.
//!
//! A world of a few disks runs the product's membership, index and budget decisions; the order of
//! deliveries and losses is drawn. As the users allow, a disk is wiped only while all others count
//! and hold what they should.

use bytes::Bytes;
use coord::id::Request;
use history::account::Verdict;
use history::account::View;
use history::index::Index;
use history::membership::Epoch;
use history::membership::Member;
use history::membership::Membership;
use history::membership::Step;
use history::message::Position;
use history::record::Account;
use history::record::Charge;
use history::record::Disk;
use history::record::Record;
use history::record::State;
use history::record::Turn;
use history::segment::Number;
use history::time::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const FILE: Number = Number(1);
const FOREVER: Timestamp = Timestamp(u64::MAX / 2);
const EVENTS: usize = 400;
const SEEDS: u64 = 1_500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Join {
    Starts,
    Copied(Step2),
    Counts,
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Step2 {
    replaced: Option<Disk>,
    epoch: Epoch,
}

#[derive(Debug)]
struct Host {
    disk: Disk,
    index: Index,
    join: Join,
    /// Messages to and from it are lost.
    cut: bool,
}

#[derive(Debug)]
struct Write {
    record: Record,
    epoch: Epoch,
    waiting: Vec<Disk>,
    acks: usize,
    counts: bool,
}

#[derive(Debug)]
struct World {
    random: StdRng,
    losses: usize,
    object: Membership,
    hosts: Vec<Host>,
    writes: Vec<Write>,
    counted: Vec<Request>,
    next: u64,
}

fn host_name(number: usize) -> compact_str::CompactString {
    compact_str::format_compact!("host-{number}")
}

impl World {
    fn new(hosts: usize, losses: usize, seed: u64) -> World {
        let mut world = World {
            random: StdRng::seed_from_u64(seed),
            losses,
            object: Membership::default(),
            hosts: Vec::new(),
            writes: Vec::new(),
            counted: Vec::new(),
            next: 0,
        };
        for number in 0..hosts {
            let disk = world.fresh_disk();
            let member = world.member(number, disk);
            world.object = world.object.with(member, None);
            world.hosts.push(Host {
                disk,
                index: Index::default(),
                join: Join::Done,
                cut: false,
            });
        }
        let first = world.object.clone();
        for host in &mut world.hosts {
            host.index.membership = first.clone();
        }
        world
    }

    fn fresh_disk(&mut self) -> Disk {
        self.next += 1;
        Disk(self.next)
    }

    fn member(&self, number: usize, disk: Disk) -> Member {
        Member {
            disk,
            host: host_name(number),
            address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        }
    }

    fn host(&self, disk: Disk) -> Option<usize> {
        let mut hosts = self.hosts.iter();
        hosts.position(|host| host.disk == disk && !host.cut)
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..5 => self.begin_write(),
            5..13 => self.deliver(),
            13 => self.read(),
            14 => self.wipe(),
            15 => {
                let at = self.random.random_range(0..self.hosts.len());
                self.hosts[at].cut = self.random.random_bool(0.4);
            }
            _ => {
                let at = self.random.random_range(0..self.hosts.len());
                self.join(at);
            }
        }
    }

    fn begin_write(&mut self) {
        self.next += 1;
        let record = Record::Turn(Turn {
            id: format!("turn-{}", self.next).parse().expect("name"),
            customer: "c".parse().expect("name"),
            previous: None,
            content: Bytes::new(),
            expires: FOREVER,
        });
        let view = self.some_view();
        let waiting = view.members.iter().map(|member| member.disk).collect();
        self.writes.push(Write {
            record,
            epoch: view.epoch,
            waiting,
            acks: 0,
            counts: false,
        });
    }

    /// What some client may still believe: what any host was told, or the object.
    fn some_view(&mut self) -> Membership {
        let at = self.random.random_range(0..=self.hosts.len());
        match self.hosts.get(at) {
            Some(host) => host.index.membership.clone(),
            None => self.object.clone(),
        }
    }

    fn deliver(&mut self) {
        if self.writes.is_empty() {
            return;
        }
        let number = self.random.random_range(0..self.writes.len());
        let write = &mut self.writes[number];
        if write.waiting.is_empty() {
            self.writes.swap_remove(number);
            return;
        }
        let which = self.random.random_range(0..write.waiting.len());
        let disk = write.waiting.swap_remove(which);
        let (epoch, record) = (write.epoch, write.record.clone());
        let Some(at) = self.host(disk) else {
            return;
        };
        let host = &mut self.hosts[at];
        if epoch < host.index.membership.epoch {
            return;
        }
        host.index.insert(record, FILE);
        // The answer may be lost although the record is there.
        let lost = self.random.random_bool(0.2);
        let needed = self.object.write_quorum(self.losses);
        let write = &mut self.writes[number];
        write.acks += usize::from(!lost);
        if write.acks >= needed && !write.counts {
            write.counts = true;
            if let Record::Turn(turn) = &write.record {
                self.counted.push(turn.id.clone());
            }
        }
    }

    /// A reader that hears enough disks must find every record that counts.
    fn read(&mut self) {
        let view = self.some_view();
        let needed = view.read_quorum(self.losses);
        let mut disks: Vec<Disk> = view.members.iter().map(|member| member.disk).collect();
        let count = disks.len();
        for at in 0..count {
            disks.swap(at, self.random.random_range(0..count));
        }
        for id in &self.counted {
            let mut absent = 0;
            let mut found = false;
            for disk in &disks {
                let Some(at) = self.host(*disk) else {
                    continue;
                };
                let host = &self.hosts[at];
                if view.epoch < host.index.membership.epoch {
                    continue;
                }
                found |= !host.index.chain(id).is_empty();
                absent += usize::from(!host.index.joining && host.index.chain(id).is_empty());
                if found || absent >= needed {
                    break;
                }
            }
            assert!(found || absent < needed, "{id} is lost under {view:?}");
        }
    }

    /// Wipes a disk if the users allow the loss now.
    fn wipe(&mut self) {
        let settled = self
            .hosts
            .iter()
            .all(|host| host.join == Join::Done && self.object.find(host.disk).is_some());
        if !settled {
            return;
        }
        let at = self.random.random_range(0..self.hosts.len());
        let disk = self.fresh_disk();
        self.hosts[at] = Host {
            disk,
            index: Index::default(),
            join: Join::Starts,
            cut: false,
        };
    }

    fn join(&mut self, at: usize) {
        let me = self.member(at, self.hosts[at].disk);
        match self.hosts[at].join {
            Join::Done => {}
            Join::Starts => {
                let current = self.object.clone();
                match current.step(&me, &[], false) {
                    Step::Replace(old) => {
                        let others = current.without(old).without(me.disk);
                        let needed = current.members.len() - self.losses;
                        if self.copy(at, &others) >= needed {
                            self.hosts[at].index.joining = true;
                            self.hosts[at].join = Join::Copied(Step2 {
                                replaced: Some(old),
                                epoch: current.epoch,
                            });
                        }
                    }
                    Step::Add => {
                        self.hosts[at].join = Join::Copied(Step2 {
                            replaced: None,
                            epoch: current.epoch,
                        });
                    }
                    Step::Member | Step::Move => self.hosts[at].join = Join::Done,
                }
            }
            Join::Copied(Step2 { replaced, epoch }) => {
                if self.object.epoch != epoch {
                    self.hosts[at].join = Join::Starts;
                    return;
                }
                self.object = self.object.with(me, replaced);
                self.hosts[at].index.membership = self.object.clone();
                self.hosts[at].join = Join::Counts;
            }
            Join::Counts => self.finish(at),
        }
    }

    fn finish(&mut self, at: usize) {
        let current = self.object.clone();
        let disk = self.hosts[at].disk;
        let others = current.without(disk);
        let needed = current.members.len() - self.losses;
        self.hosts[at].index.membership = current.clone();
        let mut informed = 0;
        for member in &others.members {
            if let Some(other) = self.host(member.disk) {
                let newest = &mut self.hosts[other].index.membership;
                if newest.epoch < current.epoch {
                    *newest = current.clone();
                }
                informed += 1;
            }
        }
        if !self.hosts[at].index.joining {
            self.hosts[at].join = Join::Done;
        } else if informed >= needed && self.copy(at, &others) >= needed {
            self.hosts[at].index.joining = false;
            self.hosts[at].join = Join::Done;
        }
    }

    /// Copies from the members that are reached; returns how many.
    fn copy(&mut self, at: usize, others: &Membership) -> usize {
        let mut copied = 0;
        for member in &others.members {
            let Some(other) = self.host(member.disk) else {
                continue;
            };
            let (names, _, end) = self.hosts[other].index.digest(Position::default());
            assert!(end);
            for place in 0..names.len() as u64 {
                if let Some(record) = self.hosts[other].index.at(Position(place)) {
                    self.hosts[at].index.insert(record, FILE);
                }
            }
            copied += 1;
        }
        copied
    }
}

#[rstest]
#[case(3, 1)]
#[case(4, 1)]
#[case(5, 2)]
#[case(8, 2)]
fn a_record_that_counts_is_never_said_to_be_missing(#[case] hosts: usize, #[case] losses: usize) {
    for seed in 0..SEEDS {
        let mut world = World::new(hosts, losses, seed);
        for _ in 0..EVENTS {
            world.step();
        }
        world.hosts.iter_mut().for_each(|host| host.cut = false);
        world.read();
    }
}

const MOST: u64 = 100;

#[derive(Debug)]
struct Turning {
    id: Request,
    /// Disks that have the reservation but whose answer isn't read yet, and what they showed.
    answers: Vec<(usize, Vec<history::record::Entry>)>,
    unasked: Vec<usize>,
    view: View,
    heard: usize,
    confirming: bool,
}

/// Turns of one program on many entries: grants never pass the budget by more than one turn.
#[rstest]
#[case(3, 1)]
#[case(8, 2)]
fn grants_never_pass_the_budget_by_more_than_a_turn(#[case] hosts: usize, #[case] losses: usize) {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let budget = random.random_range(1..12) * MOST / 2;
        let mut indexes: Vec<Index> = (0..hosts).map(|_| Index::default()).collect();
        let mut turns: Vec<Turning> = Vec::new();
        let mut granted = 0;
        let mut started = 0;
        let needed = (losses + 1).max(hosts - losses);
        for _ in 0..600 {
            if started < 14 && random.random_bool(0.05) {
                started += 1;
                turns.push(Turning {
                    id: format!("turn-{started}").parse().expect("name"),
                    answers: Vec::new(),
                    unasked: (0..hosts).collect(),
                    view: View::default(),
                    heard: 0,
                    confirming: false,
                });
            }
            if turns.is_empty() {
                continue;
            }
            let number = random.random_range(0..turns.len());
            let turn = &mut turns[number];
            if !turn.unasked.is_empty() && random.random_bool(0.5) {
                let which = random.random_range(0..turn.unasked.len());
                let at = turn.unasked.swap_remove(which);
                let shown = indexes[at].charges(&account());
                if !turn.confirming {
                    indexes[at].insert(reservation(&turn.id), FILE);
                }
                turn.answers.push((at, shown));
            } else if let Some((_, shown)) = turn.answers.pop() {
                turn.view.merge(shown);
                turn.heard += 1;
            }
            if turn.heard < needed {
                continue;
            }
            match turn.view.decide(&turn.id, MOST, budget, turn.confirming) {
                Verdict::Granted => {
                    granted += MOST;
                    turns.swap_remove(number);
                }
                Verdict::Spent { .. } => {
                    turns.swap_remove(number);
                }
                Verdict::Confirm => {
                    turn.confirming = true;
                    turn.heard = 0;
                    turn.answers.clear();
                    turn.unasked = (0..hosts).collect();
                }
            }
            assert!(
                granted <= budget + MOST,
                "seed {seed}: {granted} of {budget}"
            );
        }
    }
}

fn account() -> Account {
    Account {
        customer: "c".parse().expect("name"),
        program: "p".parse().expect("name"),
    }
}

fn reservation(turn: &Request) -> Record {
    Record::Charge(Charge {
        account: account(),
        turn: turn.clone(),
        state: State::Reserved(MOST),
        target: 0,
        expires: FOREVER,
    })
}
