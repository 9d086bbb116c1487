//! A customer's rate limit over several entries, in virtual time with delayed and lost reports,
//! cut-off entries and restarts.

use coord::id::Burst;
use coord::id::Rate;
use coord::quota::Charge;
use coord::quota::Fleet;
use coord::quota::MAX_PATIENCE;
use coord::quota::Quota;
use coord::quota::SILENCE_TIMEOUT;
use coord::quota::Take;
use coord::quota::Total;
use coord::time::Millis;
use coord::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 100;
const WINDOW_MS: u64 = 5_000;

/// Allowed excess over rate and burst: a fraction, and a fixed number of requests.
const EXCESS_FRACTION: f64 = 0.1;
const EXTRA_REQUESTS: f64 = 20.0;

#[derive(Debug)]
struct Entry {
    quota: Quota,
    incarnation: u64,
    /// Time of the last report from each other entry.
    last_report: Vec<u64>,
}

#[derive(Debug)]
struct Report {
    from: usize,
    to: usize,
    arrives_at: u64,
    incarnation: u64,
    total: Total,
}

#[derive(Debug)]
struct World {
    rate: f64,
    burst: u32,
    entries: Vec<Entry>,
    reports: Vec<Report>,
    /// Times at which requests were sent, and by which entry.
    admitted: Vec<(u64, usize)>,
    /// Time for which requests wait instead of being refused.
    patience: Millis,
    random: StdRng,
    cut: Option<usize>,
    loss: f64,
    lag_ms: u64,
}

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).expect("rate")
}

impl World {
    fn new(entries: usize, per_second: f64, burst: u32, seed: u64) -> World {
        let fleet = Fleet { entries, silent: 0 };
        let entry = |incarnation| Entry {
            quota: Quota::new(rate(per_second), Burst(burst), fleet, Time(0)),
            incarnation,
            last_report: vec![0; entries],
        };
        World {
            rate: per_second,
            burst,
            entries: (0..entries).map(|number| entry(number as u64)).collect(),
            reports: Vec::new(),
            admitted: Vec::new(),
            patience: Millis(0),
            random: StdRng::seed_from_u64(seed),
            cut: None,
            loss: 0.0,
            lag_ms: 5,
        }
    }

    fn fleet(&self, at: usize, now: u64) -> Fleet {
        let last_report = self.entries[at].last_report.iter().enumerate();
        let silent = last_report
            .filter(|(other, last_report)| *other != at && now - **last_report > SILENCE_TIMEOUT.0);
        Fleet {
            entries: self.entries.len(),
            silent: silent.count(),
        }
    }

    /// Sends requests to one entry at a rate for one step.
    fn offer(&mut self, at: usize, per_second: f64, now: u64) {
        let mean = per_second * STEP_MS as f64 / 1000.0;
        let whole = mean as u64;
        let extra = u64::from(self.random.random_bool(mean.fract()));
        let fleet = self.fleet(at, now);
        for _ in 0..whole + extra {
            let quota = &mut self.entries[at].quota;
            match quota.take(Charge::Request, self.patience, fleet, Time(now)) {
                Take::Granted => self.admitted.push((now, at)),
                Take::GrantedAfter(wait) => self.admitted.push((now + wait.0, at)),
                Take::Wait(_) => {}
            }
        }
    }

    fn exchange(&mut self, now: u64) {
        if now.is_multiple_of(REPORT_MS) {
            for from in 0..self.entries.len() {
                for to in 0..self.entries.len() {
                    self.send(from, to, now);
                }
            }
        }
        let (due, waiting) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|report| report.arrives_at <= now);
        self.reports = waiting;
        let due: Vec<Report> = due;
        for report in due {
            self.receive(&report, now);
        }
    }

    fn send(&mut self, from: usize, to: usize, now: u64) {
        let cut_off = self.cut == Some(from) || self.cut == Some(to);
        if from == to || cut_off || self.random.random_bool(self.loss) {
            return;
        }
        self.reports.push(Report {
            from,
            to,
            arrives_at: now + self.random.random_range(1..=self.lag_ms),
            incarnation: self.entries[from].incarnation,
            total: self.entries[from].quota.total(),
        });
    }

    fn receive(&mut self, report: &Report, now: u64) {
        let silent = now - self.entries[report.to].last_report[report.from];
        let silent = Millis(silent.saturating_sub(SILENCE_TIMEOUT.0));
        self.entries[report.to].last_report[report.from] = now;
        let fleet = self.fleet(report.to, now);
        self.entries[report.to].quota.merge_report(
            report.from as u64,
            report.incarnation,
            report.total,
            silent,
            fleet,
            Time(now),
        );
    }

    /// Restarts an entry; the requests that wait there are lost.
    fn restart(&mut self, at: usize, now: u64) {
        self.admitted
            .retain(|(sent, entry)| *entry != at || *sent <= now);
        let fleet = Fleet {
            entries: self.entries.len(),
            silent: 0,
        };
        let entry = &mut self.entries[at];
        entry.quota = Quota::new(rate(self.rate), Burst(self.burst), fleet, Time(now));
        entry.incarnation += 1_000;
        entry.last_report = vec![now; entry.last_report.len()];
    }

    /// Largest number of requests sent in any window.
    fn worst_window(&self) -> usize {
        let mut sent: Vec<u64> = self.admitted.iter().map(|(sent, _)| *sent).collect();
        sent.sort_unstable();
        let mut start = 0;
        let mut worst = 0;
        for (end, at) in sent.iter().enumerate() {
            while sent[start] + WINDOW_MS < *at {
                start += 1;
            }
            worst = worst.max(end + 1 - start);
        }
        worst
    }

    fn bound(&self) -> f64 {
        let window = self.rate * WINDOW_MS as f64 / 1000.0 + f64::from(self.burst);
        window * (1.0 + EXCESS_FRACTION) + EXTRA_REQUESTS
    }
}

fn steps(seconds: u64) -> impl Iterator<Item = u64> {
    (1..=seconds * 1000 / STEP_MS).map(|step| step * STEP_MS)
}

#[rstest]
fn no_window_exceeds_the_bound_while_reports_are_late_or_lost(
    #[values(1, 4, 18)] entries: usize,
    #[values(0.0, 0.3)] loss: f64,
    #[values(Millis(0), MAX_PATIENCE)] patience: Millis,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut world = World::new(entries, 135.0, 135, seed);
    world.patience = patience;
    world.loss = loss;
    world.lag_ms = 80;
    for now in steps(20) {
        for at in 0..entries {
            world.offer(at, 1_000.0 / entries as f64, now);
        }
        world.exchange(now);
    }
    let (worst, bound) = (world.worst_window() as f64, world.bound());
    assert!(worst <= bound, "{worst} > {bound}");
}

#[rstest]
fn no_window_exceeds_the_bound_while_an_entry_is_cut_off(
    #[values(3, 4)] entries: usize,
    #[values(Millis(0), MAX_PATIENCE)] patience: Millis,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut world = World::new(entries, 80.0, 80, seed);
    world.patience = patience;
    let cut_start = world.random.random_range(500..9_000);
    let cut_end = cut_start + world.random.random_range(500..9_000);
    for now in steps(25) {
        world.cut = (cut_start..cut_end).contains(&now).then_some(0);
        for at in 0..entries {
            world.offer(at, 300.0, now);
        }
        world.exchange(now);
    }
    let (worst, bound) = (world.worst_window() as f64, world.bound());
    assert!(worst <= bound, "{worst} > {bound}");
}

#[rstest]
fn no_window_exceeds_the_bound_while_entries_restart(
    #[values(Millis(0), MAX_PATIENCE)] patience: Millis,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut world = World::new(4, 80.0, 80, seed);
    world.patience = patience;
    for now in steps(20) {
        if now.is_multiple_of(4_000) {
            let at = world.random.random_range(0..4);
            world.restart(at, now);
        }
        for at in 0..4 {
            world.offer(at, 200.0, now);
        }
        world.exchange(now);
    }
    let (worst, bound) = (world.worst_window() as f64, world.bound());
    assert!(worst <= bound, "{worst} > {bound}");
}

#[rstest]
fn a_customer_that_floods_one_entry_gets_its_whole_rate() {
    let mut world = World::new(4, 100.0, 100, 7);
    for now in steps(20) {
        world.offer(2, 700.0, now);
        world.exchange(now);
    }
    let admitted = world.admitted.len() as f64;
    assert!(admitted >= 0.97 * 100.0 * 20.0, "{admitted}");
}

#[rstest]
fn a_customer_within_its_rate_is_never_refused() {
    let mut world = World::new(4, 100.0, 100, 9);
    let mut offered = 0;
    for now in steps(30) {
        for at in 0..4 {
            let before = world.admitted.len();
            world.offer(at, 15.0, now);
            offered += world.admitted.len() - before;
        }
        world.exchange(now);
    }
    assert_eq!(offered, world.admitted.len());
    assert!(offered as f64 > 0.9 * 60.0 * 30.0);
}

#[rstest]
fn programs_start_no_faster_than_the_rate_can_finish_them() {
    let fleet = Fleet {
        entries: 1,
        silent: 0,
    };
    let mut quota = Quota::new(rate(100.0), Burst(100), fleet, Time(0));
    let mut started = 0;
    for now in steps(10) {
        for _ in 0..3 {
            let taken = quota.take(Charge::FirstTurn(10.0), MAX_PATIENCE, fleet, Time(now));
            started += u32::from(taken == Take::Granted);
        }
    }
    // Ten requests a program: the rate finishes 100 programs in 10 s, the burst 10 more.
    assert!((100..=112).contains(&started), "{started}");
}

#[rstest]
fn reduced_limits_apply_at_once() {
    let fleet = Fleet {
        entries: 1,
        silent: 0,
    };
    let mut quota = Quota::new(rate(100.0), Burst(100), fleet, Time(0));
    quota.set_limits(rate(10.0), Burst(5), fleet, Time(1_000));
    let granted = (0..50)
        .filter(|_| quota.take(Charge::Request, Millis(0), fleet, Time(1_000)) == Take::Granted)
        .count();
    assert_eq!(granted, 5);
    let Take::Wait(wait) = quota.take(Charge::Request, Millis(0), fleet, Time(1_000)) else {
        panic!("granted beyond the burst");
    };
    assert_eq!(wait, Millis(100));
}

#[rstest]
fn requests_that_wait_are_sent_one_after_the_other_at_the_rate() {
    let fleet = Fleet {
        entries: 1,
        silent: 0,
    };
    let mut quota = Quota::new(rate(50.0), Burst(4), fleet, Time(0));
    let mut take = || quota.take(Charge::Request, MAX_PATIENCE, fleet, Time(0));
    let waits: Vec<Take> = (0..30).map(|_| take()).collect();
    assert_eq!(waits[..4], [Take::Granted; 4]);
    let expected: Vec<Take> = (1..=25)
        .map(|place| Take::GrantedAfter(Millis(place * 20)))
        .collect();
    assert_eq!(waits[4..29], expected);
    assert_eq!(waits[29], Take::Wait(Millis(520)));
}

#[rstest]
fn first_turns_neither_wait_nor_take_what_programs_under_way_need() {
    let fleet = Fleet {
        entries: 1,
        silent: 0,
    };
    let mut quota = Quota::new(rate(50.0), Burst(50), fleet, Time(0));
    let mut started = 0;
    while quota.take(Charge::FirstTurn(1.0), MAX_PATIENCE, fleet, Time(0)) == Take::Granted {
        started += 1;
    }
    assert_eq!(started, 40);
    for _ in 0..10 {
        let taken = quota.take(Charge::Request, Millis(0), fleet, Time(0));
        assert_eq!(taken, Take::Granted);
    }
}
