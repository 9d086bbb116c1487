//! Requests of all entries to a cold target.
//!
//! The load that the model plays: targets have just started, or return from an evacuation, in a burst, so
//! that every entry has more requests than they bear, while entries restart, are paused, are cut off from
//! the others or learn late that a target is cold.

use std::time::Duration;

use coord::id::Rate;
use coord::time::Time;
use gateway::Map;
use gateway::config::Service;
use gateway::config::ServiceLimits;
use gateway::config::Warmup;
use gateway::target::cold::Colds;
use gateway::target::cold::Notice;
use gateway::target::cold::Remaining;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// Requests in any second that a cold target may get, by the platform's pages: this multiple of its rate,
/// and so many more.
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Span of the platform's rule, in milliseconds.
const SPAN_MS: u64 = 1_000;

/// Time for which a target is cold.
const COLD_MS: u64 = 6_000;

/// Time between two divisions of an entry; that of reports among ninety entries.
const DIVIDE_MS: u64 = 1_100;

/// Time that a restarted entry needs to read the registered entries.
const LISTING_MS: u64 = 300;

const TARGETS: u32 = 3;

fn service() -> Service {
    "s".into()
}

fn services(per_second: f64) -> Map<Service, ServiceLimits> {
    let limits = ServiceLimits {
        connections: 100,
        engine: None,
        warmup: Some(Warmup {
            rate: Rate::try_from(per_second).expect("rate"),
            time: Duration::from_millis(COLD_MS),
        }),
    };
    [(service(), limits)].into_iter().collect()
}

fn entry_id(index: usize) -> u64 {
    (index as u64 + 1) * 7_919
}

/// Troubles of the entries while the targets are cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// Entries restart, each at a moment of its own.
    Restarts,
    /// All entries restart at once.
    RestartOfAll,
    /// Nobody has requests in every other second, so that units save up what they may.
    Bursts,
    /// Entries stand still for a second.
    Pauses,
    /// Entries don't hear of a newcomer, or that an entry has left, for some seconds.
    Cuts,
}

struct Entry {
    colds: Colds,
    /// Number of entries that it knows, and from when on.
    known: usize,
    known_from: u64,
    paused_until: u64,
    divided: u64,
}

impl Entry {
    fn start(per_second: f64, known: usize, known_from: u64, now: u64) -> Entry {
        let mut colds = Colds::default();
        colds.configure(&services(per_second), Time(now));
        Entry {
            colds,
            known,
            known_from,
            paused_until: 0,
            divided: 0,
        }
    }

    fn divide(&mut self, index: usize, now: u64) {
        self.divided = now;
        let known = if now >= self.known_from {
            self.known
        } else {
            0
        };
        let entries: Vec<u64> = (0..known).map(entry_id).collect();
        self.colds.divide(entry_id(index), &entries, Time(now));
    }

    fn learn(&mut self, remaining_ms: u64, now: u64) {
        let remaining = Remaining::Known(Duration::from_millis(remaining_ms));
        for target in 0..TARGETS {
            self.colds.record(target, &service(), remaining, Time(now));
        }
    }
}

/// Plays the time in which targets are cold; returns when each target got requests.
fn play(count: usize, per_second: f64, trouble: Trouble, seed: u64) -> Vec<Vec<u64>> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut arrivals = vec![Vec::new(); TARGETS as usize];
    let mut entries: Vec<Entry> = (0..count)
        .map(|_| Entry::start(per_second, count, 0, 0))
        .collect();
    for (index, entry) in entries.iter_mut().enumerate() {
        entry.divide(index, 0);
        entry.learn(COLD_MS, 0);
    }
    let restart = random.random_range(500..COLD_MS - 500);
    let moments: Vec<u64> = (0..count)
        .map(|_| random.random_range(100..COLD_MS))
        .collect();
    if trouble == Trouble::Cuts {
        // The first entries believe that there are more, or fewer, than the others do.
        let fewer = count - count / 8;
        entries
            .iter_mut()
            .take(count / 8)
            .for_each(|entry| entry.known = fewer.max(1));
    }
    for now in 0..COLD_MS {
        for index in 0..count {
            let restarts = match trouble {
                Trouble::Restarts => moments[index] == now && index % 3 == 0,
                Trouble::RestartOfAll => restart == now,
                _ => false,
            };
            let entry = &mut entries[index];
            if restarts {
                let known_from = now + random.random_range(0..LISTING_MS);
                *entry = Entry::start(per_second, count, known_from, now);
                entry.learn(COLD_MS - now, now);
            }
            if trouble == Trouble::Pauses && moments[index] == now {
                entry.paused_until = now + 1_000;
            }
            if now < entry.paused_until {
                continue;
            }
            if now - entry.divided >= DIVIDE_MS || now == entry.known_from {
                entry.divide(index, now);
            }
            let is_idle = trouble == Trouble::Bursts && (now / 1_000).is_multiple_of(2);
            if is_idle {
                continue;
            }
            for target in 0..TARGETS {
                while entry.colds.is_open(target, Time(now)) {
                    assert!(entry.colds.take(target, Time(now)));
                    arrivals[target as usize].push(now);
                }
            }
        }
    }
    arrivals
}

fn worst(arrivals: &[u64]) -> usize {
    let windows = arrivals.iter().enumerate().map(|(index, first)| {
        let within = arrivals[index..].iter();
        within.take_while(|at| **at - *first < SPAN_MS).count()
    });
    windows.max().unwrap_or(0)
}

/// Guards against entries that each send a cold target what all together may send.
#[rstest]
fn a_cold_target_gets_from_all_entries_together_no_more_than_it_bears(
    #[values(2, 3, 24, 91)] count: usize,
    #[values(1.0, 23.0, 200.0)] per_second: f64,
    #[values(
        Trouble::None,
        Trouble::Restarts,
        Trouble::RestartOfAll,
        Trouble::Bursts,
        Trouble::Pauses,
        Trouble::Cuts
    )]
    trouble: Trouble,
) {
    let most = (per_second * EXCESS + SLACK) as usize;
    for seed in 0..4 {
        for arrivals in play(count, per_second, trouble, seed) {
            let worst = worst(&arrivals);
            assert!(
                worst <= most,
                "seed {seed}: {worst} requests where {most} are allowed"
            );
        }
    }
}

/// Guards against targets that stand idle although their rate allows requests and there is work.
#[rstest]
fn a_calm_fleet_uses_the_rate_of_a_cold_target(
    #[values(2, 3, 24, 91)] count: usize,
    #[values(23.0, 200.0)] per_second: f64,
) {
    for arrivals in play(count, per_second, Trouble::None, 1) {
        let allowed = per_second * COLD_MS as f64 / 1_000.0;
        let used = arrivals.len() as f64 / allowed;
        println!("{count} entries, {per_second}/s: {used:.3}");
        assert!(used >= 0.8, "{used}");
    }
}

/// Guards against an entry that has just started, and takes itself for the only one.
#[rstest]
fn an_entry_that_does_not_know_the_others_sends_nothing_to_a_cold_target() {
    let mut entry = Entry::start(23.0, 24, 5_000, 0);
    entry.learn(COLD_MS, 0);
    entry.divide(0, 100);
    assert!(!entry.colds.is_open(1, Time(4_000)));
    assert!(entry.colds.is_open(77, Time(4_000)));
}

#[rstest]
fn a_target_is_cold_for_as_long_as_known_and_for_the_usual_time_if_that_is_not_known() {
    let mut colds = Colds::default();
    colds.configure(&services(23.0), Time(0));
    let known = Remaining::Known(Duration::from_millis(800));
    colds.record(1, &service(), known, Time(100));
    colds.record(2, &service(), Remaining::Unknown, Time(100));
    assert!(colds.is_cold(1, Time(899)) && !colds.is_cold(1, Time(900)));
    assert!(colds.is_cold(2, Time(99 + COLD_MS)) && !colds.is_cold(2, Time(100 + COLD_MS)));
    // A shorter time that comes later doesn't end it sooner.
    colds.record(2, &service(), known, Time(200));
    assert!(colds.is_cold(2, Time(99 + COLD_MS)));
    assert!(!colds.is_cold(3, Time(100)));
}

#[rstest]
fn targets_of_a_service_without_a_rate_for_cold_ones_are_not_bounded() {
    let mut colds = Colds::default();
    colds.record(
        1,
        &service(),
        Remaining::Known(Duration::from_secs(5)),
        Time(0),
    );
    assert!(!colds.is_cold(1, Time(10)));
    assert!(colds.is_open(1, Time(10)) && colds.take(1, Time(10)));
    // The configuration may come after the registrations.
    colds.configure(&services(23.0), Time(20));
    assert!(colds.is_cold(1, Time(30)) && !colds.is_open(1, Time(30)));
}

/// Other entries hear of a cold target; what they hear isn't passed on.
#[rstest]
fn a_cold_target_is_reported_with_the_time_that_is_left() {
    let mut colds = Colds::default();
    colds.configure(&services(23.0), Time(0));
    colds.record(1, &service(), Remaining::Unknown, Time(1_000));
    let notices = colds.notices(Time(500), Time(2_000));
    let expected = Notice {
        target: 1,
        remaining_ms: COLD_MS - 1_000,
    };
    assert_eq!(notices, [expected]);
    let mut other = Colds::default();
    other.configure(&services(23.0), Time(0));
    other.merge(expected, &service(), Time(70_000));
    assert!(other.is_cold(1, Time(70_000)));
    assert!(other.notices(Time(0), Time(70_100)).is_empty());
}
