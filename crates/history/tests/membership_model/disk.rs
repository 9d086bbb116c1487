//! A history host: its disk with synced and unsynced records, and its handler of calls, which mirrors
//! the product's server.

use std::collections::VecDeque;

use history::index::Index;
use history::membership::Epoch;
use history::membership::Member;
use history::message::Answer;
use history::message::Call;
use history::record::Account;
use history::record::Disk;
use history::record::Record;
use history::segment::Number;

use crate::rules::Mutation;
use crate::slot::Slot;

const FILE: Number = Number(1);

/// What happens once records are synced.
#[derive(Debug)]
pub enum Then {
    /// The answer is sent.
    Answer(Slot<Option<Answer>>, Answer),
    /// The host's own task goes on.
    Continue(Slot<bool>),
}

/// Records that are visible in the index but not synced.
#[derive(Debug)]
pub struct Unsynced {
    pub records: Vec<Record>,
    pub then: Then,
}

/// Calls that are lost on their way to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostCalls {
    Informs,
    Copies,
}

#[derive(Debug)]
pub struct Host {
    pub number: usize,
    pub port: u16,
    pub disk: Disk,
    pub index: Index,
    /// Records that survive a power loss.
    pub synced: Vec<Record>,
    /// Records that a killed process has written and not synced; they survive its restart, but not a
    /// power loss.
    pub written: Vec<Record>,
    pub unsynced: VecDeque<Unsynced>,
    /// Whether new records are rejected, as in the product's server.
    pub closed: bool,
    /// Whether the disk is marked as that of a retiring host; the mark survives a power loss.
    pub retiring: bool,
    /// Number of starts; positions in a digest are valid for one.
    pub incarnation: u64,
    pub running: bool,
    pub paused: bool,
    /// Whether messages to and from other hosts are lost.
    pub cut: bool,
    /// Calls of other hosts that are lost although the others arrive.
    pub lost_calls: Option<LostCalls>,
    /// Whether messages to and from clients are lost.
    pub cut_from_clients: bool,
    /// Whether messages to the object store are lost.
    pub cut_from_store: bool,
    /// Whether calls to this host take very long.
    pub slow: bool,
    /// Upper bound of the number of messages that overtake a client's call to this host.
    pub client_delay: usize,
    pub first_start: bool,
    pub retirement_ordered: bool,
    /// Whether the host has completed its retirement, and its process still runs.
    pub left: bool,
    /// Whether the host is gone for good.
    pub retired: bool,
    /// Whether the process has completed its joining.
    pub joined: bool,
    /// Whether the disk is about to replace another one.
    pub replacing: bool,
}

impl Host {
    pub fn new(number: usize, disk: Disk, first_start: bool) -> Host {
        Host {
            number,
            port: 1_000 + number as u16,
            disk,
            index: Index::default(),
            synced: Vec::new(),
            written: Vec::new(),
            unsynced: VecDeque::new(),
            closed: false,
            retiring: false,
            incarnation: 0,
            running: false,
            paused: false,
            cut: false,
            lost_calls: None,
            cut_from_clients: false,
            cut_from_store: false,
            slow: false,
            client_delay: 0,
            first_start,
            retirement_ordered: false,
            left: false,
            retired: false,
            joined: false,
            replacing: false,
        }
    }

    /// This host as a member.
    pub fn member(&self) -> Member {
        Member {
            disk: self.disk,
            host: compact_str::format_compact!("host-{}", self.number),
            address: ([127, 0, 0, 1], self.port).into(),
        }
    }

    /// Whether the process handles calls.
    pub fn serves(&self) -> bool {
        self.running && !self.paused
    }

    pub fn is_known_member(&self) -> bool {
        self.index.membership.find(self.disk).is_some()
    }

    /// Makes records visible; they are synced by a later event.
    pub fn submit(&mut self, records: Vec<Record>, then: Then) {
        let mut changed = Vec::new();
        for record in records {
            if self.index.insert(record.clone(), FILE) {
                changed.push(record);
            }
        }
        self.unsynced.push_back(Unsynced {
            records: changed,
            then,
        });
    }

    /// Syncs the oldest `count` submissions.
    pub fn sync(&mut self, count: usize) {
        for _ in 0..count {
            let Some(oldest) = self.unsynced.pop_front() else {
                return;
            };
            self.synced.extend(oldest.records);
            match oldest.then {
                Then::Answer(slot, answer) => slot.fill(Some(answer)),
                Then::Continue(slot) => slot.fill(true),
            }
        }
    }

    /// Ends all cuts and pauses.
    pub fn reconnect(&mut self) {
        (self.cut, self.cut_from_clients, self.cut_from_store) = (false, false, false);
        (self.lost_calls, self.paused, self.slow) = (None, false, false);
    }

    /// Whether a call of another host is lost.
    pub fn loses(&self, call: &Call) -> bool {
        match call {
            Call::Inform(_) => self.lost_calls == Some(LostCalls::Informs),
            Call::Digest(_) | Call::Fetch(_) => self.lost_calls == Some(LostCalls::Copies),
            _ => false,
        }
    }

    fn read_disk(&mut self) {
        self.index = Index::default();
        for record in self.synced.iter().chain(&self.written) {
            self.index.insert(record.clone(), FILE);
        }
    }

    /// Ends the process; the oldest `kept` submissions were written before, but not acknowledged.
    /// Without `durable`, a power loss removes them later.
    pub fn kill(&mut self, kept: usize, durable: bool) {
        let kept = kept.min(self.unsynced.len());
        let records = self.unsynced.drain(..kept).flat_map(|kept| kept.records);
        match durable {
            true => self.synced.extend(records),
            false => self.written.extend(records),
        }
        self.unsynced.clear();
        self.read_disk();
        self.running = false;
        self.joined = false;
        self.left = false;
    }

    /// Starts the process with the records on the disk.
    pub fn start(&mut self, mutation: Option<Mutation>) {
        // A start syncs what a killed process has written.
        self.synced.append(&mut self.written);
        self.read_disk();
        let reopens = mutation == Some(Mutation::RetiredHostReopens);
        self.closed = self.index.joining || (self.retiring && !reopens);
        self.incarnation += 1;
        self.running = true;
        self.paused = false;
    }

    /// Handles a call; the answer is filled in at once or once the records are synced.
    pub fn handle(
        &mut self,
        addressee: Disk,
        epoch: Epoch,
        call: &Call,
        slot: Slot<Option<Answer>>,
        mutation: Option<Mutation>,
    ) {
        let accepts_any_epoch = matches!(call, Call::Digest(_) | Call::Fetch(_) | Call::Inform(_));
        if addressee != self.disk {
            return slot.fill(Some(Answer::OtherDisk));
        }
        if !accepts_any_epoch && epoch < self.index.membership.epoch {
            return slot.fill(Some(Answer::Stale(self.index.membership.clone())));
        }
        let any_counts = mutation == Some(Mutation::AnyInformedDiskCounts);
        match call {
            Call::Append(records) => match self.closed || !self.is_known_member() {
                true => slot.fill(Some(Answer::Closed)),
                false => self.submit(records.clone(), Then::Answer(slot, Answer::Appended)),
            },
            Call::Inform(_) if !self.is_known_member() && !any_counts => {
                slot.fill(Some(Answer::Closed));
            }
            Call::Inform(membership) => {
                // With the mutation, a disk that isn't a known member takes the call without learning
                // the membership, which would make it one.
                let records = match self.is_known_member() {
                    true => vec![Record::Membership(membership.clone())],
                    false => Vec::new(),
                };
                self.submit(records, Then::Answer(slot, Answer::Informed));
            }
            Call::ReadAccount(_) => slot.fill(Some(Answer::Account {
                charges: Vec::new(),
                complete: !self.index.joining,
            })),
            Call::Chain(turn) => slot.fill(Some(Answer::Chain {
                turns: self.index.chain(turn),
                complete: !self.index.joining,
            })),
            Call::Digest(from) => {
                let (fingerprints, next, end) = self.index.digest(*from);
                slot.fill(Some(Answer::Digest {
                    incarnation: self.incarnation,
                    fingerprints,
                    next,
                    end,
                }));
            }
            Call::Fetch(positions) => {
                let found = positions
                    .iter()
                    .map(|position| self.index.record_at(*position));
                slot.fill(Some(Answer::Records(found.flatten().collect())));
            }
            other => panic!("the model has no such call: {other:?}"),
        }
    }

    /// Whether the disk acknowledges records and counts for absent ones.
    pub fn is_complete(&self) -> bool {
        !self.index.joining && self.is_known_member()
    }

    /// Whether a change of the joining state isn't synced.
    pub fn changes_joining(&self) -> bool {
        let mut records = self.unsynced.iter().flat_map(|unsynced| &unsynced.records);
        records.any(|record| matches!(record, Record::Joining(_)))
    }
}

/// The call by which a joining host asks whether a member is complete.
pub fn completeness_probe() -> Call {
    Call::ReadAccount(Account::probe())
}
