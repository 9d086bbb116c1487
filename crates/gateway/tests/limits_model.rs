//! Entries before targets that limit their requests, in virtual time: reports are late and get lost,
//! entries restart, pause and are cut off, limits change.
//!
//! Counted is what arrives at the targets. The rule of the platform: from three seconds after a target
//! first named its limit, it gets in any four seconds at most one and a half times what the limit
//! allows and five requests, over the entries that had passed on such an answer half a second before.
//! Here more is counted: all arrivals but those of entries that restarted, paused or were cut off.

use std::collections::VecDeque;
use std::net::SocketAddr;

use coord::allotment;
use coord::allotment::Holder;
use coord::id::Rate;
use coord::limit::Statement;
use coord::time::Time;
use gateway::fleet::peers;
use gateway::fleet::peers::Peers;
use gateway::fleet::peers::Report;
use gateway::target::departure::Incarnation;
use gateway::target::limits::Limits;
use gateway::target::limits::Rights;
use gateway::target::limits::Source;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 4_000;
/// Time from which a limit binds.
const STABLE_MS: u64 = 3_000;
/// Time for which a limit that was lowered or withdrawn may still be counted with.
const LEARNING_MS: u64 = 3_000;
const REPORT_WINDOW_MS: u64 = 2_300;

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// Reports are lost, a third of them.
    Loss,
    /// Entries restart, one every two seconds.
    Restarts,
    /// Entries stop for three seconds, and what was sent to them meanwhile comes then.
    Pauses,
    /// One entry after the other neither hears the others nor is heard.
    Cuts,
    /// One entry after the other doesn't hear the others, which hear it.
    Deafness,
    /// Limits go up and down, and end and come back.
    Changes,
    All,
}

impl Trouble {
    fn includes(self, other: Trouble) -> bool {
        self == other || self == Trouble::All
    }
}

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    incarnation: u64,
    limits: Limits,
    peers: Peers,
    next_report: u64,
    last_report: u64,
    news: bool,
    inbox: VecDeque<(u64, usize, Report)>,
    paused_until: u64,
    cut_until: u64,
    deaf_until: u64,
    /// Until when its requests don't count, as it restarted, paused or was cut off.
    excused_until: u64,
    /// Requests that were chosen and wait to be sent: time and target.
    waiting: Vec<(u64, usize, Rights)>,
    /// Answers under way: time, target, when the request was sent.
    answers: Vec<(u64, usize, u64)>,
}

#[derive(Debug)]
struct Target {
    hash: u32,
    /// Limits from a time on.
    limits: Vec<(u64, Option<f64>)>,
    /// When a request arrived, and whether it counts.
    arrivals: Vec<(u64, bool)>,
}

impl Target {
    fn limit(&self, at: u64) -> Option<f64> {
        let before = self.limits.iter().rev().find(|(from, _)| *from <= at);
        before.and_then(|(_, limit)| *limit)
    }

    /// The highest limit between two times; none if there was none for a while.
    fn highest(&self, from: u64, to: u64) -> Option<f64> {
        let later = self.limits.iter().filter(|(at, _)| *at > from && *at <= to);
        let mut limits = later.map(|(_, limit)| *limit).chain([self.limit(from)]);
        limits.try_fold(0.0, |highest, limit| Some(f64::max(highest, limit?)))
    }

    /// Windows in which too much arrived: time, arrivals, most allowed.
    fn excess(&self) -> Vec<(u64, usize, f64)> {
        let counted: Vec<u64> = self
            .arrivals
            .iter()
            .filter(|(_, counts)| *counts)
            .map(|(at, _)| *at)
            .collect();
        let mut excess = Vec::new();
        for (index, from) in counted.iter().enumerate() {
            let within = counted[index..].iter();
            let within = within.take_while(|at| **at < from + WINDOW_MS).count();
            let since = from.saturating_sub(LEARNING_MS);
            let Some(limit) = self.highest(since, from + WINDOW_MS) else {
                continue;
            };
            let most = limit * WINDOW_MS as f64 / 1000.0 * 1.5 + 5.0;
            if *from >= STABLE_MS && within as f64 > most {
                excess.push((*from, within, most));
            }
        }
        excess
    }

    /// Share of the limit that was used between two times.
    fn used(&self, from: u64, to: u64) -> (f64, f64) {
        let within = self.arrivals.iter();
        let arrived = within.filter(|(at, _)| *at >= from && *at < to).count();
        let limit = self.limit(from).unwrap_or(0.0);
        (arrived as f64, limit * (to - from) as f64 / 1000.0)
    }
}

#[derive(Debug)]
struct World {
    now: u64,
    random: StdRng,
    trouble: Trouble,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    /// Requests a second that come to each entry.
    load: Vec<f64>,
    heeded: bool,
    served: usize,
    refused: usize,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, index as u8, 1], 7_780).into()
}

fn entry(index: usize, incarnation: u64, entries: usize, now: u64) -> Entry {
    let mut peers = Peers::default();
    for other in (0..entries).filter(|other| *other != index) {
        peers.add(address(other), Time(now));
    }
    Entry {
        address: address(index),
        incarnation,
        limits: Limits::default(),
        peers,
        next_report: now,
        last_report: now,
        news: false,
        inbox: VecDeque::new(),
        paused_until: 0,
        cut_until: 0,
        deaf_until: 0,
        excused_until: if now == 0 { 0 } else { now + LEARNING_MS },
        waiting: Vec::new(),
        answers: Vec::new(),
    }
}

impl World {
    fn new(entries: usize, limits: &[f64], trouble: Trouble, seed: u64) -> World {
        let targets = limits.iter().enumerate().map(|(index, limit)| Target {
            hash: index as u32 * 7_919 + 17,
            limits: vec![(0, Some(*limit))],
            arrivals: Vec::new(),
        });
        World {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            trouble,
            entries: (0..entries)
                .map(|index| entry(index, 1, entries, 0))
                .collect(),
            targets: targets.collect(),
            load: vec![20.0; entries],
            heeded: true,
            served: 0,
            refused: 0,
        }
    }

    fn incarnation(&self, target: usize) -> Incarnation {
        Incarnation {
            target: self.targets[target].hash,
            born: 1,
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            if self.now.is_multiple_of(2_000) && self.now > 0 {
                self.disturb();
            }
            for index in 0..self.entries.len() {
                if self.now < self.entries[index].paused_until {
                    continue;
                }
                self.receive(index);
                self.answer(index);
                self.accept(index);
                self.send(index);
                self.report(index);
            }
            self.now += STEP_MS;
        }
    }

    fn disturb(&mut self) {
        let (now, count) = (self.now, self.entries.len());
        let victim = self.random.random_range(0..count);
        if self.trouble.includes(Trouble::Restarts) {
            let incarnation = self.entries[victim].incarnation + 1;
            self.entries[victim] = entry(victim, incarnation, count, now);
        }
        if self.trouble.includes(Trouble::Pauses) {
            let paused = &mut self.entries[(victim + 1) % count];
            paused.paused_until = now + 3_000;
            paused.excused_until = now + 3_000 + LEARNING_MS;
        }
        if self.trouble.includes(Trouble::Cuts) {
            let cut = &mut self.entries[(victim + 2) % count];
            cut.cut_until = now + 1_900;
        }
        if self.trouble.includes(Trouble::Deafness) {
            self.entries[(victim + 3) % count].deaf_until = now + 1_900;
        }
        if self.trouble.includes(Trouble::Changes) {
            for target in &mut self.targets {
                let limit = match self.random.random_range(0..5) {
                    0 => None,
                    _ => Some(self.random.random_range(0.0..8.0)),
                };
                let at = now + self.random.random_range(0..1_500);
                target.limits.push((at, limit));
            }
        }
    }

    fn receive(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        while let Some(position) = entry.inbox.iter().position(|(at, _, _)| *at <= now) {
            let Some((_, from, report)) = entry.inbox.remove(position) else {
                break;
            };
            entry.peers.record_report(address(from), &report, Time(now));
            let peer = (from as u64, report.incarnation);
            let (notices, sent) = (&report.limits, &report.limited_sendings);
            entry
                .limits
                .merge_report(peer, &report.host, notices, sent, Time(now));
        }
        if now.is_multiple_of(1_000) {
            entry.peers.expire(Time(now));
            entry.limits.expire(|_| true, Time(now));
        }
    }

    fn answer(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let (come, under_way) = entry.answers.iter().partition(|(at, _, _)| *at <= now);
        entry.answers = under_way;
        let come: Vec<(u64, usize, u64)> = come;
        for (at, target, asked) in come {
            let incarnation = self.incarnation(target);
            let limit = self.targets[target].limit(at.saturating_sub(10));
            let statement = Statement {
                limit: limit.map(|limit| Rate::try_from(limit).expect("rate")),
                asked: Time(asked),
                answered: Time(now),
            };
            let entry = &mut self.entries[index];
            let source = Source::Answer("t".into());
            entry.news |= entry
                .limits
                .merge(incarnation, statement, source, Time(now));
        }
    }

    /// Chooses targets for the requests that come to an entry.
    fn accept(&mut self, index: usize) {
        let (now, count) = (Time(self.now), self.targets.len());
        let expected = self.load[index] * STEP_MS as f64 / 1000.0;
        let requests =
            expected.floor() as usize + usize::from(self.random.random::<f64>() < expected.fract());
        for _ in 0..requests {
            let first = self.random.random_range(0..count);
            let targets = (0..count).map(|offset| (first + offset) % count);
            let targets: Vec<usize> = targets.collect();
            let open = targets.into_iter().find(|target| {
                let incarnation = self.incarnation(*target);
                !self.heeded || self.entries[index].limits.is_open(incarnation, now)
            });
            self.entries[index].limits.record_demand();
            let Some(target) = open else {
                self.refused += 1;
                continue;
            };
            self.served += 1;
            let incarnation = self.incarnation(target);
            let entry = &mut self.entries[index];
            let rights = entry.limits.reserve(incarnation, now);
            // Some wait for a connection, together.
            let delay = match self.random.random_range(0..20) {
                0 => 400 - self.now % 400,
                _ => self.random.random_range(0..20),
            };
            entry.waiting.push((self.now + delay, target, rights));
        }
    }

    fn send(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let (due, waiting) = entry.waiting.iter().partition(|(at, _, _)| *at <= now);
        entry.waiting = waiting;
        let due: Vec<(u64, usize, Rights)> = due;
        for (_, target, rights) in due {
            let incarnation = self.incarnation(target);
            let entry = &mut self.entries[index];
            entry.limits.release(incarnation, rights);
            if self.heeded && !entry.limits.take(incarnation, Time(now)) {
                self.refused += 1;
                self.served -= 1;
                continue;
            }
            let counts = now >= entry.excused_until;
            let took = self.random.random_range(30..400);
            entry.answers.push((now + took, target, now));
            self.targets[target].arrivals.push((now, counts));
        }
    }

    fn report(&mut self, index: usize) {
        let (now, count) = (self.now, self.entries.len());
        let entry = &mut self.entries[index];
        if std::mem::take(&mut entry.news) {
            entry.next_report = entry.next_report.min(entry.last_report + 100);
        }
        if now < entry.next_report {
            return;
        }
        let interval = peers::interval(count).as_millis() as f64;
        let jitter = self.random.random_range(0.5..1.5);
        entry.last_report = now;
        entry.next_report = now + (interval * jitter) as u64;
        let demand = entry.limits.update_demand(Time(now));
        let since = Time(now.saturating_sub(REPORT_WINDOW_MS));
        let mut holders = entry.peers.holders(demand);
        let own = peers::holder_id(entry.address);
        holders.push(Holder {
            entry: own,
            weight: allotment::weight(demand),
        });
        let any_newcomer = entry.peers.any_newcomer(since);
        entry.limits.divide(own, holders, Time(now));
        let report = Report {
            host: format!("e{index}").into(),
            incarnation: entry.incarnation,
            version: 1,
            store_reachable: true,
            history_reachable: true,
            leaving: false,
            totals: Vec::new(),
            running: Vec::new(),
            cached_prefixes: Vec::new(),
            crashes: Vec::new(),
            entries: Vec::new(),
            departures: Vec::new(),
            failing: Vec::new(),
            knowledge: Vec::new(),
            limits: entry.limits.notices(since, any_newcomer, Time(now)),
            limited_sendings: entry.limits.sendings(since),
            demand,
            evacuations: None,
            cold: Vec::new(),
        };
        let cut = now < entry.cut_until;
        for other in (0..count).filter(|other| *other != index) {
            let receiver = &mut self.entries[other];
            let unreachable = cut || now < receiver.cut_until || now < receiver.deaf_until;
            let lost = self.trouble.includes(Trouble::Loss) && self.random.random_range(0..3) == 0;
            let at = now + self.random.random_range(1..30);
            if !unreachable && !lost {
                receiver.inbox.push_back((at, index, report.clone()));
            }
        }
    }

    fn excess(&self) -> Vec<(usize, u64, usize, f64)> {
        let targets = self.targets.iter().enumerate();
        let excess = targets.flat_map(|(index, target)| {
            let excess = target.excess().into_iter();
            excess.map(move |(at, arrived, most)| (index, at, arrived, most))
        });
        excess.collect()
    }

    fn used(&self, from: u64, to: u64) -> f64 {
        let used = self.targets.iter().map(|target| target.used(from, to));
        let (arrived, allowed) = used.fold((0.0, 0.0), |sum, (arrived, allowed)| {
            (sum.0 + arrived, sum.1 + allowed)
        });
        arrived / allowed
    }
}

/// Limits as the users' day has them: from one to seven requests a second.
fn limits(count: usize) -> Vec<f64> {
    (0..count).map(|index| 1.0 + (index % 7) as f64).collect()
}

/// Shows that the model finds what it looks for.
#[rstest]
fn entries_that_ignore_limits_break_the_rule() {
    let mut world = World::new(3, &limits(4), Trouble::None, 1);
    world.heeded = false;
    world.run(10_000);
    assert!(!world.excess().is_empty());
}

/// Guards against a fleet that leaves much of the targets' limits unused, and against one that sends
/// more than they allow, whatever the number of entries.
#[rstest]
#[case(1, 5)]
#[case(2, 13)]
#[case(3, 13)]
#[case(19, 39)]
#[case(91, 90)]
fn a_calm_fleet_with_work_uses_nine_tenths_of_the_limits_and_no_more_than_they_allow(
    #[case] entries: usize,
    #[case] targets: usize,
) {
    let mut world = World::new(entries, &limits(targets), Trouble::None, 7);
    world.load = vec![200.0 / entries as f64 + 20.0; entries];
    world.run(14_000);
    assert_eq!(world.excess(), []);
    let used = world.used(6_000, 14_000);
    println!("{entries} entries, {targets} targets: {used:.3} of the limits used");
    assert!((0.9..=1.02).contains(&used), "{used}");
}

/// Guards against entries that add up to more than the limit when reports are lost or late, when
/// entries restart, pause or are cut off, and when limits change.
#[rstest]
fn no_trouble_makes_entries_send_more_than_the_rule_allows(
    #[values(2, 3, 19)] entries: usize,
    #[values(
        Trouble::Loss,
        Trouble::Restarts,
        Trouble::Pauses,
        Trouble::Cuts,
        Trouble::Deafness,
        Trouble::Changes,
        Trouble::All
    )]
    trouble: Trouble,
) {
    for seed in 0..4 {
        let mut world = World::new(entries, &limits(13), trouble, seed);
        world.run(30_000);
        assert_eq!(world.excess(), [], "seed {seed}");
    }
}

/// The same at the number of entries of the large site.
#[rstest]
#[case(Trouble::Loss)]
#[case(Trouble::All)]
fn no_trouble_makes_ninety_one_entries_send_more_than_the_rule_allows(#[case] trouble: Trouble) {
    let mut world = World::new(91, &limits(40), trouble, 3);
    world.run(14_000);
    assert_eq!(world.excess(), []);
}

/// Guards against limits whose units lie with entries that have no work.
#[rstest]
fn units_move_to_the_entry_that_has_the_work() {
    let mut world = World::new(3, &limits(13), Trouble::None, 5);
    world.load = vec![200.0, 0.0, 0.0];
    world.run(20_000);
    assert_eq!(world.excess(), []);
    let used = world.used(10_000, 20_000);
    assert!(used >= 0.9, "{used}");
}

/// Guards against capacity that stays lost, and against a surge, when limits end.
#[rstest]
fn when_limits_end_all_entries_know_within_a_second() {
    let mut world = World::new(19, &limits(13), Trouble::None, 9);
    for target in &mut world.targets {
        target.limits.push((10_000, None));
    }
    world.run(12_000);
    let still_limited = world.entries.iter().map(|entry| entry.limits.count());
    assert_eq!(still_limited.max(), Some(0));
}
