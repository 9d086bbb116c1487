//! State shared by all tasks of a run: hosts, the membership object, messages in flight, and what was
//! committed.

use std::cell::RefCell;
use std::rc::Rc;

use history::Set;
use history::membership::Epoch;
use history::membership::Membership;
use history::message::Answer;
use history::message::Call;
use history::record::Disk;
use history::record::Record;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::disk::Host;
use crate::disk::Then;
use crate::patient::PatientReaders;
use crate::rules::Mutation;
use crate::rules::Scenario;
use crate::slot::Slot;

pub type Shared = Rc<RefCell<Core>>;

/// Answer of the object store to an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    Done,
    /// The object has changed, or there is no answer.
    Failed,
}

/// A message in flight.
#[derive(Debug)]
pub enum Message {
    Call {
        from: Option<usize>,
        to: Disk,
        epoch: Epoch,
        call: Rc<Call>,
        slot: Slot<Option<Answer>>,
        /// How often other messages overtake this one.
        delay: usize,
    },
    Answer {
        from: usize,
        to: Option<usize>,
        /// The answer of the host, once it has one.
        answered: Slot<Option<Answer>>,
        slot: Slot<Option<Answer>>,
        /// The call, which is sent again if the answer is lost.
        repeated: Option<(Disk, Epoch, Rc<Call>)>,
    },
    ReadObject {
        from: usize,
        slot: Slot<Option<Membership>>,
    },
    UpdateObject {
        from: usize,
        expected: Epoch,
        next: Membership,
        slot: Slot<Written>,
        /// Whether its caller has given up.
        late: bool,
    },
}

#[derive(Debug)]
pub struct Core {
    pub random: StdRng,
    pub scenario: Scenario,
    /// Content of the membership object.
    pub object: Membership,
    pub hosts: Vec<Host>,
    pub messages: Vec<Message>,
    pub readers: PatientReaders,
    /// Memberships that the clients use.
    pub client_views: Vec<Membership>,
    pub last_disk: u64,
    /// Whether no more messages are lost or delayed.
    pub calm: bool,
    /// Probability that a call between hosts fails.
    pub loss: f64,
    /// Probability that a client's call is delayed.
    pub delayed: f64,
    /// Events so far, for a failure's report.
    pub trace: Vec<String>,
}

impl Core {
    pub fn losses(&self) -> usize {
        self.scenario.losses
    }

    pub fn has(&self, mutation: Mutation) -> bool {
        self.scenario.mutation == Some(mutation)
    }

    /// The host with this disk.
    pub fn find(&self, disk: Disk) -> Option<usize> {
        let mut hosts = self.hosts.iter();
        hosts.position(|host| host.disk == disk && !host.retired)
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    /// Records an event for a failure's report.
    pub fn note(&mut self, event: impl FnOnce() -> String) {
        if self.trace.len() < 200_000 && std::env::var_os("MODEL_TRACE").is_some() {
            self.trace.push(event());
        }
    }

    /// Whether a host has joined and is a member, or has left for good.
    pub fn has_place(&self, host: &Host) -> bool {
        let keeps_place = self.scenario.events.place_checks && !host.left;
        let is_member = self.object.find(host.disk).is_some();
        host.retired || host.joined && (is_member || !keeps_place)
    }

    /// Whether a disk is a member of the object, or a vacancy has taken its place.
    pub fn counts(&self, disk: Disk) -> bool {
        let object = &self.object;
        object.find(disk).is_some() || object.find(disk.vacancy()).is_some()
    }

    /// The host with a member's disk, or with the disk whose place a vacancy has taken.
    fn find_behind(&self, member: Disk) -> Option<&Host> {
        let mut hosts = self.hosts.iter().filter(|host| !host.retired);
        hosts.find(|host| host.disk == member || host.disk.vacancy() == member)
    }

    /// Members of the object whose disk is lost or doesn't have all records. A member that is evicted by mistake
    /// isn't lost.
    pub fn lost_disks(&self) -> usize {
        let mut lost: Set<Disk> = Set::default();
        for member in &self.object.members {
            let host = self.find_behind(member.disk);
            if !host.is_some_and(|host| host.is_complete() && !host.changes_joining()) {
                lost.insert(member.disk);
            }
        }
        let events = self.scenario.events;
        let others = self.hosts.iter().filter(|host| {
            let retires = host.retirement_ordered && !events.retirements_beside_losses;
            let replaces = host.replacing && !events.replacements_beside_losses;
            !host.retired && (replaces || retires) && !lost.contains(&host.disk)
        });
        lost.len() + others.count()
    }

    /// Whether an update of the object by this host is in flight.
    pub fn updates_object(&self, at: usize) -> bool {
        let mut messages = self.messages.iter();
        messages.any(|message| matches!(message, Message::UpdateObject { from, .. } if *from == at))
    }

    /// Sends a call; the slot receives the answer, or `None` if there is none.
    pub fn call(
        &mut self,
        from: Option<usize>,
        to: Disk,
        epoch: Epoch,
        call: Rc<Call>,
    ) -> Slot<Option<Answer>> {
        let slot = Slot::new();
        let writes = matches!(*call, Call::Append(_)) && from.is_none();
        let delay = match writes && self.chance(self.delayed) {
            true => self.random.random_range(1..20),
            false => 0,
        };
        let host_delay = self.find(to).map_or(0, |at| self.hosts[at].client_delay);
        let delay = match from {
            None => delay + self.random.random_range(0..=host_delay),
            Some(_) => 0,
        };
        self.messages.push(Message::Call {
            from,
            to,
            epoch,
            call,
            slot: slot.clone(),
            delay,
        });
        slot
    }

    /// Stores records on a host's own disk.
    pub fn persist(&mut self, at: usize, record: Vec<Record>) -> Slot<bool> {
        let slot = Slot::new();
        self.note(|| format!("host {at} stores {record:?}"));
        let ends_joining = record.contains(&Record::Joining(false));
        self.hosts[at].submit(record, Then::Continue(slot.clone()));
        if ends_joining {
            self.observe(at);
        }
        slot
    }

    /// Lets the patient readers ask a host.
    pub fn observe(&mut self, at: usize) {
        self.readers.observe(&self.hosts[at]);
    }

    /// Replaces the object's content.
    pub fn set_object(&mut self, next: Membership) {
        let disks: Vec<u64> = next.members.iter().map(|member| member.disk.0).collect();
        let epoch = next.epoch;
        self.note(|| format!("object {epoch}: {disks:?}"));
        let needed = match self.has(Mutation::SmallReadQuorum) {
            true => next.copy_quorum(self.losses()),
            false => next.read_quorum(self.losses()),
        };
        self.readers.add_view(&next, needed);
        self.object = next;
        (0..self.hosts.len()).for_each(|at| self.observe(at));
    }

    /// Delivers, delays or loses one message in flight.
    pub fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let which = self.random.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(which);
        match message {
            Message::Call {
                from,
                to,
                epoch,
                call,
                slot,
                delay,
            } if delay > 0 && !self.calm => self.messages.push(Message::Call {
                from,
                to,
                epoch,
                call,
                slot,
                delay: delay - 1,
            }),
            Message::Call {
                from,
                to,
                epoch,
                call,
                slot,
                ..
            } => self.deliver_call(from, to, epoch, call, slot),
            Message::Answer {
                from,
                to,
                answered,
                slot,
                repeated,
            } => self.deliver_answer(from, to, answered, slot, repeated),
            Message::ReadObject { from, slot } => {
                let fails = self.hosts[from].cut_from_store || !self.calm && self.chance(0.03);
                slot.fill((!fails).then(|| self.object.clone()));
            }
            Message::UpdateObject {
                from,
                expected,
                next,
                slot,
                late,
            } => self.deliver_update(from, expected, next, slot, late),
        }
    }

    /// Whether messages between a host and another host or a client are lost.
    fn is_cut(&self, at: usize, peer: Option<usize>) -> bool {
        match peer {
            Some(peer) => self.hosts[at].cut || self.hosts[peer].cut,
            None => self.hosts[at].cut_from_clients,
        }
    }

    fn deliver_call(
        &mut self,
        from: Option<usize>,
        to: Disk,
        epoch: Epoch,
        call: Rc<Call>,
        slot: Slot<Option<Answer>>,
    ) {
        let host = self.find(to).filter(|at| self.hosts[*at].running);
        let Some(at) = host.filter(|at| !self.is_cut(*at, from)) else {
            return slot.fill(None);
        };
        let host = &self.hosts[at];
        if host.paused || host.slow && !self.calm && self.random.random_bool(0.97) {
            // The caller may give up while the call is still on its way.
            if self
                .random
                .random_bool(if from.is_some() { 0.03 } else { 0.003 })
            {
                slot.fill(None);
            }
            return self.messages.push(Message::Call {
                from,
                to,
                epoch,
                call,
                slot,
                delay: 0,
            });
        }
        let lost = host.loses(&call) || !self.calm && self.random.random_bool(self.loss);
        if from.is_some() && lost {
            return slot.fill(None);
        }
        self.note(|| format!("host {at} ({to}) handles {call:?} of {from:?} at {epoch}"));
        let answered = Slot::new();
        let mutation = self.scenario.mutation;
        self.hosts[at].handle(to, epoch, &call, answered.clone(), mutation);
        self.messages.push(Message::Answer {
            from: at,
            to: from,
            answered,
            slot,
            repeated: Some((to, epoch, call)),
        });
    }

    fn deliver_answer(
        &mut self,
        from: usize,
        to: Option<usize>,
        answered: Slot<Option<Answer>>,
        slot: Slot<Option<Answer>>,
        repeated: Option<(Disk, Epoch, Rc<Call>)>,
    ) {
        let lost = self.is_cut(from, to) || !self.calm && self.chance(0.03);
        match answered.take() {
            _ if lost => match repeated {
                Some((disk, epoch, call)) if self.random.random_bool(0.5) => {
                    self.messages.push(Message::Call {
                        from: to,
                        to: disk,
                        epoch,
                        call,
                        slot,
                        delay: 0,
                    });
                }
                _ => slot.fill(None),
            },
            Some(answer) => slot.fill(answer),
            // The process was killed before it answered.
            None if self.hosts[from].unsynced.is_empty() => slot.fill(None),
            None => {
                // The caller may give up while the host still syncs.
                if !self.calm && self.random.random_bool(0.02) {
                    slot.fill(None);
                }
                self.messages.push(Message::Answer {
                    from,
                    to,
                    answered,
                    slot,
                    repeated,
                });
            }
        }
    }

    fn deliver_update(
        &mut self,
        from: usize,
        expected: Epoch,
        next: Membership,
        slot: Slot<Written>,
        late: bool,
    ) {
        let cut = self.hosts[from].cut_from_store;
        let held_back = match late {
            true => 0.99,
            false if cut => 0.9,
            false => 0.2,
        };
        if self.scenario.events.late_updates && !self.calm && self.chance(held_back) {
            // The caller gives up, and the update may take effect later.
            slot.fill(Written::Failed);
            return self.messages.push(Message::UpdateObject {
                from,
                expected,
                next,
                slot,
                late: true,
            });
        }
        let cut = cut && !late;
        if cut || self.object.epoch != expected {
            return slot.fill(Written::Failed);
        }
        self.set_object(next);
        let answer_lost = !self.calm && self.chance(0.1);
        slot.fill(match answer_lost {
            true => Written::Failed,
            false => Written::Done,
        });
    }
}
