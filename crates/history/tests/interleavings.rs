//! Seeded simulations of history hosts: random interleavings of writes, reads, lost messages, wiped
//! disks and joining disks.
//!
//! A few simulated disks run the real membership, index and budget code; the order of deliveries
//! and losses is random. The users allow the loss of a disk only while all other disks are members
//! and have finished joining, so a disk is wiped only then.

use bytes::Bytes;
use coord::id::Request;
use history::account::Snapshot;
use history::account::Verdict;
use history::index::Index;
use history::membership::Change;
use history::membership::Epoch;
use history::membership::Member;
use history::membership::Membership;
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
const NEVER_EXPIRES: Timestamp = Timestamp(u64::MAX / 2);
const EVENTS: usize = 400;
const SEEDS: u64 = 1_500;

/// Progress of a host's disk in joining.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Join {
    /// The disk is not a member yet and has no change of the membership pending.
    Started,
    /// The change is pending; records were copied before if it replaces a disk.
    Copied(PendingChange),
    /// The disk is a member, but the others may not have received the membership yet.
    Member,
    Done,
}

/// Membership change that takes effect unless the membership object has changed since `epoch`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingChange {
    replaced: Option<Disk>,
    epoch: Epoch,
}

#[derive(Debug)]
struct Host {
    disk: Disk,
    index: Index,
    join: Join,
    /// Whether all messages to and from the host are lost.
    cut: bool,
}

#[derive(Debug)]
struct Write {
    record: Record,
    epoch: Epoch,
    /// Disks to which the call is in flight.
    undelivered: Vec<Disk>,
    acks: usize,
    committed: bool,
}

#[derive(Debug)]
struct World {
    random: StdRng,
    /// Number of disks that may be lost without losing records.
    tolerated_losses: usize,
    /// Current content of the membership object.
    object: Membership,
    hosts: Vec<Host>,
    writes: Vec<Write>,
    committed: Vec<Request>,
    next_id: u64,
}

fn host_name(number: usize) -> compact_str::CompactString {
    compact_str::format_compact!("host-{number}")
}

impl World {
    fn new(hosts: usize, losses: usize, seed: u64) -> World {
        let mut world = World {
            random: StdRng::seed_from_u64(seed),
            tolerated_losses: losses,
            object: Membership::default(),
            hosts: Vec::new(),
            writes: Vec::new(),
            committed: Vec::new(),
            next_id: 0,
        };
        for number in 0..hosts {
            let disk = world.new_disk();
            let member = world.member(number, disk);
            world.object = world.object.with_member(member, None);
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

    fn new_disk(&mut self) -> Disk {
        self.next_id += 1;
        Disk(self.next_id)
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
        self.next_id += 1;
        let record = Record::Turn(Turn {
            id: format!("turn-{}", self.next_id).parse().expect("name"),
            customer: "c".parse().expect("name"),
            previous: None,
            content: Bytes::new(),
            expires: NEVER_EXPIRES,
        });
        let view = self.random_view();
        let undelivered = view.members.iter().map(|member| member.disk).collect();
        self.writes.push(Write {
            record,
            epoch: view.epoch,
            undelivered,
            acks: 0,
            committed: false,
        });
    }

    /// A membership that a client may still use: that of any host or the current object.
    fn random_view(&mut self) -> Membership {
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
        if write.undelivered.is_empty() {
            self.writes.swap_remove(number);
            return;
        }
        let which = self.random.random_range(0..write.undelivered.len());
        let disk = write.undelivered.swap_remove(which);
        let (epoch, record) = (write.epoch, write.record.clone());
        let Some(at) = self.host(disk) else {
            return;
        };
        let host = &mut self.hosts[at];
        if epoch < host.index.membership.epoch {
            return;
        }
        host.index.insert(record, FILE);
        // The acknowledgement may be lost although the record is stored.
        let lost = self.random.random_bool(0.2);
        let needed = self.object.write_quorum(self.tolerated_losses);
        let write = &mut self.writes[number];
        write.acks += usize::from(!lost);
        if write.acks >= needed && !write.committed {
            write.committed = true;
            if let Record::Turn(turn) = &write.record {
                self.committed.push(turn.id.clone());
            }
        }
    }

    /// Asserts that a read quorum never reports a committed record as absent.
    fn read(&mut self) {
        let view = self.random_view();
        let needed = view.read_quorum(self.tolerated_losses);
        let mut disks: Vec<Disk> = view.members.iter().map(|member| member.disk).collect();
        let count = disks.len();
        for at in 0..count {
            disks.swap(at, self.random.random_range(0..count));
        }
        for id in &self.committed {
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

    /// Wipes a disk if all disks are members and have finished joining.
    fn wipe(&mut self) {
        let all_joined = self
            .hosts
            .iter()
            .all(|host| host.join == Join::Done && self.object.find(host.disk).is_some());
        if !all_joined {
            return;
        }
        let at = self.random.random_range(0..self.hosts.len());
        let disk = self.new_disk();
        self.hosts[at] = Host {
            disk,
            index: Index::default(),
            join: Join::Started,
            cut: false,
        };
    }

    fn join(&mut self, at: usize) {
        let me = self.member(at, self.hosts[at].disk);
        match self.hosts[at].join {
            Join::Done => {}
            Join::Started => {
                let current = self.object.clone();
                match current.change_for(&me, &[], false) {
                    Change::Replace(old) => {
                        let others = current.without(old).without(me.disk);
                        let needed = current.members.len() - self.tolerated_losses;
                        if self.copy(at, &others) >= needed {
                            self.hosts[at].index.joining = true;
                            self.hosts[at].join = Join::Copied(PendingChange {
                                replaced: Some(old),
                                epoch: current.epoch,
                            });
                        }
                    }
                    Change::Add => {
                        self.hosts[at].join = Join::Copied(PendingChange {
                            replaced: None,
                            epoch: current.epoch,
                        });
                    }
                    Change::None | Change::Move | Change::Return => {
                        self.hosts[at].join = Join::Done
                    }
                }
            }
            Join::Copied(PendingChange { replaced, epoch }) => {
                if self.object.epoch != epoch {
                    self.hosts[at].join = Join::Started;
                    return;
                }
                self.object = self.object.with_member(me, replaced);
                self.hosts[at].index.membership = self.object.clone();
                self.hosts[at].join = Join::Member;
            }
            Join::Member => self.finish(at),
        }
    }

    fn finish(&mut self, at: usize) {
        let current = self.object.clone();
        let disk = self.hosts[at].disk;
        let others = current.without(disk);
        let needed = current.members.len() - self.tolerated_losses;
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

    /// Copies the records of all reachable members; returns the number of these members.
    fn copy(&mut self, at: usize, others: &Membership) -> usize {
        let mut copied = 0;
        for member in &others.members {
            let Some(other) = self.host(member.disk) else {
                continue;
            };
            let (fingerprints, _, end) = self.hosts[other].index.digest(Position::default());
            assert!(end);
            for position in 0..fingerprints.len() as u64 {
                if let Some(record) = self.hosts[other].index.record_at(Position(position)) {
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
fn a_committed_record_is_never_reported_as_absent(#[case] hosts: usize, #[case] losses: usize) {
    for seed in 0..SEEDS {
        let mut world = World::new(hosts, losses, seed);
        for _ in 0..EVENTS {
            world.step();
        }
        world.hosts.iter_mut().for_each(|host| host.cut = false);
        world.read();
    }
}

const MAX_TOKENS: u64 = 100;

#[derive(Debug)]
struct PendingTurn {
    id: Request,
    /// Disks whose answer is in flight, with the charges that they returned.
    answers: Vec<(usize, Vec<history::record::Entry>)>,
    /// Disks to which no call has been sent yet.
    uncalled: Vec<usize>,
    snapshot: Snapshot,
    received: usize,
    confirming: bool,
}

/// Guards against concurrent reservations of one program at several entries that together exceed
/// the budget by more than one turn.
#[rstest]
#[case(3, 1)]
#[case(8, 2)]
fn grants_never_exceed_the_budget_by_more_than_one_turn(
    #[case] hosts: usize,
    #[case] losses: usize,
) {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let budget = random.random_range(1..12) * MAX_TOKENS / 2;
        let mut indexes: Vec<Index> = (0..hosts).map(|_| Index::default()).collect();
        let mut turns: Vec<PendingTurn> = Vec::new();
        let mut granted = 0;
        let mut started = 0;
        let needed = (losses + 1).max(hosts - losses);
        for _ in 0..600 {
            if started < 14 && random.random_bool(0.05) {
                started += 1;
                turns.push(PendingTurn {
                    id: format!("turn-{started}").parse().expect("name"),
                    answers: Vec::new(),
                    uncalled: (0..hosts).collect(),
                    snapshot: Snapshot::default(),
                    received: 0,
                    confirming: false,
                });
            }
            if turns.is_empty() {
                continue;
            }
            let number = random.random_range(0..turns.len());
            let turn = &mut turns[number];
            if !turn.uncalled.is_empty() && random.random_bool(0.5) {
                let which = random.random_range(0..turn.uncalled.len());
                let at = turn.uncalled.swap_remove(which);
                let charges = indexes[at].charges(&account());
                if !turn.confirming {
                    indexes[at].insert(reservation(&turn.id), FILE);
                }
                turn.answers.push((at, charges));
            } else if let Some((_, charges)) = turn.answers.pop() {
                turn.snapshot.merge(charges);
                turn.received += 1;
            }
            if turn.received < needed {
                continue;
            }
            match turn
                .snapshot
                .decide(&turn.id, MAX_TOKENS, budget, turn.confirming)
            {
                Verdict::Granted => {
                    granted += MAX_TOKENS;
                    turns.swap_remove(number);
                }
                Verdict::Spent { .. } => {
                    turns.swap_remove(number);
                }
                Verdict::Confirm => {
                    turn.confirming = true;
                    turn.received = 0;
                    turn.answers.clear();
                    turn.uncalled = (0..hosts).collect();
                }
            }
            assert!(
                granted <= budget + MAX_TOKENS,
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
        state: State::Reserved(MAX_TOKENS),
        target: 0,
        expires: NEVER_EXPIRES,
    })
}
