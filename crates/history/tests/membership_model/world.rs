//! One run: random events on hosts, clients and messages.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Waker;

use coord::id::Request;
use history::membership::Member;
use history::membership::Membership;
use history::record::Disk;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::client;
use crate::client::Found;
use crate::core::Core;
use crate::core::Shared;
use crate::disk::Host;
use crate::disk::LostCalls;
use crate::host;
use crate::host::Process;
use crate::patient::PatientReaders;
use crate::rules::Failure;
use crate::rules::Scenario;

const CLIENTS: usize = 4;
const MAX_TURNS: usize = 60;
const MAX_ATTEMPTS: usize = 300;

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// What happened in a run.
#[derive(Debug, Default)]
pub struct Counts {
    pub committed: usize,
    pub memberships: u64,
    pub wiped: usize,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.committed += other.committed;
        self.memberships += other.memberships;
        self.wiped += other.wiped;
    }
}

pub struct World {
    core: Shared,
    /// Tasks of the hosts' processes.
    processes: Vec<Option<Task>>,
    /// Operations of the clients.
    operations: Vec<Task>,
    turns: usize,
    wipes: usize,
    /// Whether all first hosts have joined once.
    founded: bool,
    /// Probability of a fault per step; differs between runs.
    fault_rate: f64,
    /// Kinds of faults and hosts that are favoured in this run, so that rare combinations occur.
    favoured_kinds: Vec<u32>,
    favoured_hosts: Vec<usize>,
    max_operations: usize,
    storm_rate: f64,
}

impl World {
    pub fn new(scenario: Scenario, seed: u64) -> World {
        let mut random = StdRng::seed_from_u64(seed);
        let fault_rate = [0.03, 0.01, 0.004, 0.001][random.random_range(0..4)];
        let favoured_kinds = (0..4).map(|_| random.random_range(0..100)).collect();
        let favoured_hosts = (0..2).map(|_| random.random_range(0..scenario.hosts));
        let favoured_hosts = favoured_hosts.collect();
        let max_operations = random.random_range(3..16);
        let loss = [0.02, 0.02, 0.1, 0.3][random.random_range(0..4)];
        let delayed = [0.0, 0.2, 0.5][random.random_range(0..3)];
        let core = Core {
            random,
            scenario,
            object: Membership::default(),
            hosts: Vec::new(),
            messages: Vec::new(),
            readers: PatientReaders::default(),
            client_views: vec![Membership::default(); CLIENTS],
            last_disk: 0,
            calm: false,
            loss,
            delayed,
            trace: Vec::new(),
        };
        let mut world = World {
            core: Rc::new(RefCell::new(core)),
            processes: Vec::new(),
            operations: Vec::new(),
            turns: 0,
            wipes: 0,
            founded: false,
            fault_rate,
            favoured_kinds,
            favoured_hosts,
            max_operations,
            storm_rate: if scenario.events.storms { 0.003 } else { 0.0 },
        };
        (0..scenario.hosts).for_each(|_| world.add_host(true));
        world
    }

    fn random_host(&self) -> usize {
        let mut core = self.core.borrow_mut();
        let count = core.hosts.len();
        core.random.random_range(0..count)
    }

    fn chance(&self, probability: f64) -> bool {
        self.core.borrow_mut().chance(probability)
    }

    fn add_host(&mut self, first_start: bool) {
        let mut core = self.core.borrow_mut();
        core.last_disk += 1;
        let (number, disk) = (core.hosts.len(), Disk(core.last_disk));
        core.hosts.push(Host::new(number, disk, first_start));
        drop(core);
        self.processes.push(None);
        self.start(number);
    }

    fn start(&mut self, at: usize) {
        let mut core = self.core.borrow_mut();
        if core.hosts[at].running || core.hosts[at].retired {
            return;
        }
        let mutation = core.scenario.mutation;
        core.note(|| format!("host {at} starts"));
        core.hosts[at].start(mutation);
        core.observe(at);
        drop(core);
        let core = Rc::clone(&self.core);
        self.processes[at] = Some(Box::pin(host::run(Process { core, at })));
    }

    /// Ends a host's process.
    fn kill(&mut self, at: usize) {
        let mut core = self.core.borrow_mut();
        if !core.hosts[at].running {
            return;
        }
        core.note(|| format!("host {at} is killed"));
        let survives = core.scenario.events.unsynced_survives_kill;
        let kept = core.hosts[at].unsynced.len();
        let kept = core.random.random_range(0..=kept);
        core.hosts[at].kill(kept, !survives);
        if core.scenario.events.first_start_is_forgotten {
            core.hosts[at].first_start = false;
        }
        drop(core);
        self.processes[at] = None;
    }

    /// Replaces a host's disk by an empty one, if no more disks are lost than tolerated; returns whether
    /// it has.
    fn wipe(&mut self, at: usize) -> bool {
        let mut core = self.core.borrow_mut();
        let host = &core.hosts[at];
        let counts = host.is_complete() && core.counts(host.disk);
        if !counts || core.lost_disks() >= core.losses() {
            return false;
        }
        core.note(|| format!("host {at} loses its disk"));
        drop(core);
        self.kill(at);
        let mut core = self.core.borrow_mut();
        core.last_disk += 1;
        let disk = Disk(core.last_disk);
        let host = &mut core.hosts[at];
        host.disk = disk;
        host.synced.clear();
        host.written.clear();
        host.retiring = false;
        host.first_start = false;
        drop(core);
        self.wipes += 1;
        true
    }

    /// A host is gone for good, if no more disks are lost than tolerated.
    fn remove(&mut self, at: usize) {
        let mut core = self.core.borrow_mut();
        let host = &core.hosts[at];
        let counts = host.is_complete() && core.counts(host.disk);
        if !counts || core.lost_disks() >= core.losses() {
            return;
        }
        core.note(|| format!("host {at} is removed"));
        drop(core);
        self.kill(at);
        self.core.borrow_mut().hosts[at].retired = true;
    }

    /// All processes end at once; without power, what isn't synced is lost, and disks may be lost.
    fn kill_all(&mut self, power_loss: bool) {
        let count = self.processes.len();
        (0..count).for_each(|at| self.kill(at));
        if power_loss {
            let mut core = self.core.borrow_mut();
            core.hosts.iter_mut().for_each(|host| host.written.clear());
        }
        if self.core.borrow().scenario.events.wipes && self.is_founded() && self.chance(0.5) {
            let losses = self.core.borrow().losses();
            for _ in 0..losses {
                self.wipe(self.random_host());
            }
        }
    }

    /// Whether all first hosts have joined once.
    fn is_founded(&mut self) -> bool {
        if !self.founded {
            let core = self.core.borrow();
            let first = &core.hosts[..core.scenario.hosts];
            self.founded = first.iter().all(|host| host.joined);
        }
        self.founded
    }

    fn fault(&mut self) {
        let events = self.core.borrow().scenario.events;
        let founded = self.is_founded();
        let mut core = self.core.borrow_mut();
        let count = core.hosts.len();
        let at = match core.chance(0.4) {
            true => self.favoured_hosts[core.random.random_range(0..self.favoured_hosts.len())],
            false => core.random.random_range(0..count),
        };
        let kind = match core.chance(0.5) {
            true => self.favoured_kinds[core.random.random_range(0..self.favoured_kinds.len())],
            false => core.random.random_range(0..100),
        };
        drop(core);
        match kind {
            0..16 => {
                let mut core = self.core.borrow_mut();
                let cut = [0.25, 0.25, 0.2].map(|probability| core.chance(probability));
                let host = &mut core.hosts[at];
                [host.cut, host.cut_from_clients, host.cut_from_store] = cut;
                let lost = [None, Some(LostCalls::Informs), Some(LostCalls::Copies)];
                core.hosts[at].lost_calls = lost[core.random.random_range(0..3)];
            }
            16..28 => {
                let mut core = self.core.borrow_mut();
                let paused = core.chance(0.5);
                core.hosts[at].paused = paused;
                core.observe(at);
            }
            28..38 => {
                let slow = self.chance(0.4);
                self.core.borrow_mut().hosts[at].slow = slow;
            }
            38..52 if founded || events.kills_at_first_start => self.kill(at),
            52..60 => (0..self.processes.len()).for_each(|at| self.start(at)),
            60..64 => {
                let mut core = self.core.borrow_mut();
                core.hosts.iter_mut().for_each(Host::reconnect);
                (0..core.hosts.len()).for_each(|at| core.observe(at));
            }
            64..66 if founded || events.kills_at_first_start => {
                let power_loss = self.chance(0.5);
                self.kill_all(power_loss);
            }
            66..76 if founded && events.wipes => {
                self.wipe(at);
                if self.chance(0.5) {
                    self.start(at);
                }
            }
            76..82 if founded => {
                let core = self.core.borrow();
                let added = core.hosts.len() - core.scenario.hosts;
                drop(core);
                if added < events.added {
                    self.add_host(false);
                }
            }
            82..84 if founded && events.retirements => self.order_retirement(at),
            91..93 => {
                let mut core = self.core.borrow_mut();
                if core.hosts[at].left {
                    core.hosts[at].retired = true;
                    drop(core);
                    self.kill(at);
                }
            }
            84..86 if founded && events.removals => self.remove(at),
            84..86 if founded && events.moves => {
                self.kill(at);
                self.core.borrow_mut().hosts[at].port += 100;
                self.start(at);
            }
            86..91 => {
                let mut core = self.core.borrow_mut();
                let (client, newest) = (core.random.random_range(0..CLIENTS), core.object.clone());
                core.client_views[client] = newest;
            }
            93..98 if founded && events.wipes => self.storm(),
            _ => self.start(at),
        }
    }

    /// A disk is wiped while turns are in flight, its host joins again while calls to two others are lost
    /// or one of these is wiped too, and clients reach the rest late: the moment for which the rules of
    /// replacing a disk are made, with the parts given to random hosts.
    fn storm(&mut self) {
        let mut core = self.core.borrow_mut();
        let mut hosts: Vec<usize> = (0..core.hosts.len()).collect();
        hosts.retain(|at| core.hosts[*at].is_complete());
        if hosts.len() < 3 {
            return;
        }
        for at in 0..3 {
            let other = core.random.random_range(at..hosts.len());
            hosts.swap(at, other);
        }
        let wipes_two = core.chance(0.5);
        let delays = [0, 20, if wipes_two { 20 } else { 150 }];
        for (part, at) in hosts.iter().enumerate() {
            core.hosts[*at].client_delay = delays.get(part).copied().unwrap_or(300);
        }
        drop(core);
        for _ in 0..4 {
            self.begin_operation();
        }
        self.progress_for(400);
        let first = hosts[0];
        if self.wipe(first) {
            self.start(first);
            // The joining host is paused once it is a member.
            let disk = self.core.borrow().hosts[first].disk;
            let is_member = |core: &Core| core.object.find(disk).is_some();
            let _ = self.progress_until(2_000, is_member);
            self.core.borrow_mut().hosts[first].paused = true;
            self.progress_for(800);
            self.core.borrow_mut().hosts[hosts[1]].lost_calls = Some(LostCalls::Copies);
            match wipes_two {
                true => {
                    self.wipe(hosts[2]);
                    self.start(hosts[2]);
                }
                false => {
                    let uninformed = &mut self.core.borrow_mut().hosts[hosts[2]];
                    uninformed.lost_calls = Some(LostCalls::Informs);
                }
            }
            self.core.borrow_mut().hosts[first].paused = false;
            self.progress_for(6_000);
        }
        let mut core = self.core.borrow_mut();
        let reconnects = core.chance(0.8);
        for host in &mut core.hosts {
            host.client_delay = 0;
            if reconnects {
                host.reconnect();
            }
        }
        (0..core.hosts.len()).for_each(|at| core.observe(at));
    }

    fn progress_for(&mut self, most: usize) {
        let steps = self.core.borrow_mut().random.random_range(0..most);
        (0..steps).for_each(|_| self.progress());
    }

    /// One host retires at a time, and not below the number of disks that the losses require.
    fn order_retirement(&mut self, at: usize) {
        let mut core = self.core.borrow_mut();
        let retiring = core
            .hosts
            .iter()
            .any(|host| host.retirement_ordered && !host.retired);
        let enough = core.object.members.len() > 2 * core.losses() + 1;
        if !retiring && enough && core.lost_disks() < core.losses() {
            core.note(|| format!("host {at} shall retire"));
            core.hosts[at].retirement_ordered = true;
        }
    }

    fn begin_operation(&mut self) {
        if self.operations.len() >= self.max_operations {
            return;
        }
        let mut core = self.core.borrow_mut();
        let client = core.random.random_range(0..CLIENTS);
        if core.client_views[client].members.len() <= core.losses() {
            core.client_views[client] = core.object.clone();
        }
        if core.client_views[client].members.len() <= core.losses() {
            return;
        }
        let shared = Rc::clone(&self.core);
        let reads = core.chance(0.3) && !core.readers.committed.is_empty();
        if reads {
            let count = core.readers.committed.len();
            let which = core.random.random_range(0..count);
            let id = core.readers.committed[which].clone();
            self.operations.push(Box::pin(async move {
                let found = client::read(Rc::clone(&shared), client, id.clone()).await;
                if found == Found::Absent {
                    let violation = format!("{id} is absent for client {client}");
                    shared
                        .borrow_mut()
                        .readers
                        .violation
                        .get_or_insert(violation);
                }
            }));
        } else if self.turns < MAX_ATTEMPTS && core.readers.committed.len() < MAX_TURNS {
            self.turns += 1;
            let id: Request = format!("turn-{}", self.turns).parse().expect("name");
            self.operations.push(Box::pin(async move {
                client::store(shared, client, id).await;
            }));
        }
    }

    fn poll(task: &mut Task) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        task.as_mut().poll(&mut context).is_ready()
    }

    fn progress(&mut self) {
        let kind = self.core.borrow_mut().random.random_range(0..10);
        match kind {
            0..5 => self.core.borrow_mut().deliver(),
            5..7 => {
                let at = self.random_host();
                let mut core = self.core.borrow_mut();
                let count = core.hosts[at].unsynced.len();
                let slow = core.hosts[at].slow && !core.calm && core.random.random_bool(0.8);
                if core.hosts[at].serves() && count > 0 && !slow {
                    let count = core.random.random_range(1..=count);
                    core.hosts[at].sync(count);
                }
            }
            7..9 => {
                let at = self.random_host();
                if self.core.borrow().hosts[at].serves()
                    && let Some(task) = &mut self.processes[at]
                    && World::poll(task)
                {
                    self.processes[at] = None;
                    self.core.borrow_mut().hosts[at].running = false;
                }
            }
            _ if !self.operations.is_empty() => {
                let count = self.operations.len();
                let which = self.core.borrow_mut().random.random_range(0..count);
                if World::poll(&mut self.operations[which]) {
                    drop(self.operations.swap_remove(which));
                }
            }
            _ => {}
        }
    }

    /// A number of random events, with undisturbed spans between faults.
    pub fn run(&mut self, steps: usize) -> Result<(), Failure> {
        for _ in 0..steps {
            let begins = self.chance(0.004);
            if begins {
                self.begin_operation();
            }
            if self.chance(self.fault_rate) {
                self.fault();
            }
            if self.storm_rate > 0.0 && self.is_founded() && self.chance(self.storm_rate) {
                self.storm();
            }
            self.progress();
            self.check()?;
        }
        Ok(())
    }

    fn check(&self) -> Result<(), Failure> {
        match &self.core.borrow().readers.violation {
            Some(violation) => Err(Failure::Absent(violation.clone())),
            None => Ok(()),
        }
    }

    /// Ends all faults; all hosts join, all committed turns are found, and a new one is stored.
    pub fn calm_down(&mut self) -> Result<(), Failure> {
        self.core.borrow_mut().calm = true;
        for at in 0..self.processes.len() {
            let mut core = self.core.borrow_mut();
            core.hosts[at].reconnect();
            core.observe(at);
            drop(core);
            self.start(at);
        }
        self.operations.clear();
        // Entries exchange the newest membership that one of them knows; one has just started.
        let mut core = self.core.borrow_mut();
        core.client_views = vec![core.object.clone(); CLIENTS];
        drop(core);
        let hosts = self.processes.len();
        let limit = 20_000 + 1_500 * hosts * hosts;
        self.progress_until(limit, |core| {
            core.hosts.iter().all(|host| core.has_place(host))
        })
        .map_err(|()| self.stuck("joining"))?;
        let count = self.core.borrow().readers.committed.len();
        for turn in 0..count {
            let id = self.core.borrow().readers.committed[turn].clone();
            let found = self.finish(move |core, client| async move {
                client::read(core, client, id).await == Found::Present
            });
            self.check()?;
            found.map_err(|()| self.stuck("reading"))?;
        }
        let last: Request = "turn-last".parse().expect("name");
        let stored = self.finish(move |core, client| client::store(core, client, last));
        stored.map_err(|()| self.stuck("storing"))?;
        self.check()?;
        match self.core.borrow().scenario.events.removals {
            true => {}
            false => return Ok(()),
        }
        self.lose_disks_again()
    }

    /// Members that are gone are evicted or replaced; then as many disks as tolerated are lost, and all
    /// committed turns are still found.
    fn lose_disks_again(&mut self) -> Result<(), Failure> {
        let hosts = self.processes.len();
        let limit = 20_000 + 1_500 * hosts * hosts;
        let gone = |core: &Core| {
            let members = core.object.members.iter();
            members
                .filter(|member| core.find(member.disk).is_none())
                .count()
        };
        let evicted = |core: &Core| gone(core) == 0 || !core.object.has_spare(core.losses());
        self.progress_until(limit, evicted)
            .map_err(|()| self.stuck("evicting"))?;
        let missing = gone(&self.core.borrow());
        (0..missing).for_each(|_| self.add_host(false));
        let replaced = |core: &Core| {
            let all = core.hosts.iter().all(|host| {
                host.retired
                    || host.left
                    || core.has_place(host) && host.is_complete() && !host.changes_joining()
            });
            all && gone(core) == 0
        };
        self.progress_until(limit, replaced)
            .map_err(|()| self.stuck("replacing"))?;
        let mut core = self.core.borrow_mut();
        core.hosts
            .iter_mut()
            .for_each(|host| host.replacing = false);
        drop(core);
        let wanted = self.wipes + self.core.borrow().losses();
        for at in 0..self.processes.len() {
            if self.wipes < wanted {
                self.wipe(at);
            }
        }
        (0..self.processes.len()).for_each(|at| self.start(at));
        self.progress_until(limit, replaced)
            .map_err(|()| self.stuck("joining after the last losses"))?;
        let committed = self.core.borrow().readers.committed.clone();
        for id in committed {
            let found = self.finish(move |core, client| async move {
                client::read(core, client, id).await == Found::Present
            });
            self.check()?;
            found.map_err(|()| self.stuck("reading after the last losses"))?;
        }
        Ok(())
    }

    /// Runs one operation of a client to its end; it succeeds if it returns `true`.
    fn finish<F>(&mut self, operation: impl FnOnce(Shared, usize) -> F) -> Result<(), ()>
    where
        F: Future<Output = bool> + 'static,
    {
        let client = self.turns % CLIENTS;
        // An entry reads the object until it names enough members.
        let mut core = self.core.borrow_mut();
        if core.client_views[client].members.len() <= core.losses() {
            core.client_views[client] = core.object.clone();
        }
        drop(core);
        let result = Rc::new(RefCell::new(None));
        let (ends, running) = (Rc::clone(&result), operation(Rc::clone(&self.core), client));
        self.operations.push(Box::pin(async move {
            let succeeded = running.await;
            *ends.borrow_mut() = Some(succeeded);
        }));
        let limit = 20_000 + 1_500 * self.processes.len();
        self.progress_until(limit, |_| result.borrow().is_some())?;
        let succeeded = *result.borrow();
        succeeded
            .filter(|succeeded| *succeeded)
            .map(|_| ())
            .ok_or(())
    }

    fn progress_until(&mut self, limit: usize, ended: impl Fn(&Core) -> bool) -> Result<(), ()> {
        for step in 0..limit {
            if step % 4 == 0 && ended(&self.core.borrow()) {
                return Ok(());
            }
            self.progress();
        }
        Err(())
    }

    /// The failure of a run whose `operation` doesn't end, with the hosts' states.
    fn stuck(&self, operation: &str) -> Failure {
        let core = self.core.borrow();
        let joins = |member: &&Member| {
            let host = core.find(member.disk);
            host.is_none_or(|at| core.hosts[at].index.joining)
        };
        let incomplete = core.object.members.iter().filter(joins).count();
        let unfinished = |host: &&Host| {
            !(host.retired || core.has_place(host) && host.joined && host.is_complete())
        };
        let hosts = core.hosts.iter().filter(unfinished).map(|host| {
            format!(
                "{}: disk {} joined {} joining {} known {} in object {}",
                host.number,
                host.disk.0,
                host.joined,
                host.index.joining,
                host.is_known_member(),
                core.object.find(host.disk).is_some(),
            )
        });
        let hosts: Vec<String> = hosts.collect();
        let report = format!("{operation} is stuck: {}", hosts.join("; "));
        match incomplete > core.losses() {
            true => Failure::StuckIncomplete(report),
            false => Failure::Stuck(report),
        }
    }

    pub fn counts(&self) -> Counts {
        let core = self.core.borrow();
        Counts {
            committed: core.readers.committed.len(),
            memberships: core.object.epoch.0,
            wiped: self.wipes,
        }
    }

    pub fn trace(&self) -> Vec<String> {
        self.core.borrow().trace.clone()
    }
}
