//! A customer never gets more than its rate and burst, across any number of failovers.

mod common;

use common::name;
use coord::bucket::Block;
use coord::bucket::Bucket;
use coord::bucket::Take;
use coord::id::Burst;
use coord::id::Customer;
use coord::id::Rate;
use coord::record::Record;
use coord::replica::Replica;
use coord::time::Millis;
use coord::time::Time;
use proptest::prelude::*;

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).unwrap()
}

fn record(block: Block) -> Record {
    Record::Level {
        customer: name("ana"),
        spent: block.level,
        size: block.size,
        available: block.available,
        at_ms: 0,
    }
}

#[derive(Debug, Clone)]
enum Event {
    Advance(u64),
    Take(u32),
    /// The standby has stored the record, but its reply hasn't reached the primary.
    DelayReply,
    Reply,
    Tick,
    FailOver,
    LoseState,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1u64..200).prop_map(Event::Advance),
        1 => (1000u64..5000).prop_map(Event::Advance),
        8 => (1u32..30).prop_map(Event::Take),
        3 => Just(Event::DelayReply),
        1 => Just(Event::Reply),
        3 => Just(Event::Tick),
        1 => Just(Event::FailOver),
        1 => Just(Event::LoseState),
    ]
}

/// A primary's bucket, its standby's copy, and the times of all grants.
struct Pair {
    rate: Rate,
    burst: Burst,
    clock: u64,
    /// Offset of the primary's and the standby's clock from the simulated time, in ms.
    skew: u64,
    primary: Bucket,
    standby: Replica,
    grants: Vec<u64>,
    /// Levels whose confirmation is in flight.
    delayed: Vec<u64>,
}

impl Pair {
    fn new(rate: Rate, burst: Burst) -> Pair {
        Pair {
            rate,
            burst,
            clock: 0,
            skew: 0,
            primary: Bucket::new(rate, burst, u64::from(burst.0), Time(0)),
            standby: Replica::default(),
            grants: Vec::new(),
            delayed: Vec::new(),
        }
    }

    fn customer() -> Customer {
        name("ana")
    }

    fn take(&mut self) {
        let now = Time(self.clock + self.skew);
        match self.primary.take(now) {
            Take::Granted => self.grants.push(self.clock),
            Take::Wait(_) => (),
            Take::NeedsBlock(level) => {
                self.standby.apply(&record(self.primary.block(level)));
                self.primary.confirm(level);
                self.take();
            }
        }
    }

    fn delay_reply(&mut self) {
        if let Take::NeedsBlock(level) = self.primary.take(Time(self.clock + self.skew)) {
            self.standby.apply(&record(self.primary.block(level + 20)));
            self.delayed.push(level + 20);
        }
    }

    /// Makes the standby the primary, and copies its state to a new standby.
    fn fail_over(&mut self) {
        let now = Time(self.clock + self.skew);
        self.delayed.clear();
        self.primary = self
            .standby
            .bucket(&Pair::customer(), self.rate, self.burst, now);
        let bytes = self.standby.encode().unwrap();
        self.standby = Replica::decode(&bytes, Default::default()).unwrap();
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Advance(ms) => self.clock += ms,
            Event::Take(count) => (0..count).for_each(|_| self.take()),
            Event::DelayReply => self.delay_reply(),
            Event::Reply => self
                .delayed
                .drain(..)
                .for_each(|level| self.primary.confirm(level)),
            Event::Tick => self.standby.tick(Time(self.clock + self.skew)),
            Event::FailOver => self.fail_over(),
            Event::LoseState => {
                self.standby = Replica::default();
                self.standby.mark_lost(0);
                self.skew += 5000;
                self.fail_over();
            }
        }
    }

    fn overshoot(&self) -> Option<(u64, u64)> {
        let burst = f64::from(self.burst.0);
        let grants = || self.grants.iter().enumerate();
        let allowed =
            |from: u64, to: u64| burst + self.rate.per_second() * (to - from) as f64 / 1000.0;
        let pairs = grants()
            .flat_map(|(i, from)| grants().skip(i).map(move |(j, to)| (j - i + 1, *from, *to)));
        let mut over = pairs.filter(|(count, from, to)| *count as f64 > allowed(*from, *to) + 1e-6);
        over.next().map(|(_, from, to)| (from, to))
    }
}

proptest! {
    #![proptest_config(common::seeded(1000))]

    #[test]
    fn no_window_admits_more_than_the_burst_and_the_rate(
        per_second in prop_oneof![0.5f64..5.0, 5.0f64..200.0],
        burst in 1u32..60,
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut pair = Pair::new(rate(per_second), Burst(burst));
        for event in events {
            pair.apply(event);
        }
        prop_assert_eq!(pair.overshoot(), None);
    }

    #[test]
    fn a_steady_customer_within_its_rate_never_waits(
        per_second in 1u64..100,
        burst in 1u32..20,
        requests in 1u64..200,
    ) {
        let mut pair = Pair::new(rate(per_second as f64), Burst(burst));
        for _ in 0..requests {
            pair.take();
            pair.clock += 1000u64.div_ceil(per_second);
        }
        prop_assert_eq!(pair.grants.len() as u64, requests);
    }

    #[test]
    fn a_change_of_limits_never_adds_available_requests(
        changes in prop::collection::vec((0.0f64..100.0, 0u32..50), 1..20),
        start in 0u64..20,
    ) {
        let mut bucket = Bucket::new(rate(10.0), Burst(20), start, Time(0));
        let mut held = bucket.held();
        for (per_second, burst) in changes {
            bucket.set_limits(rate(per_second), Burst(burst), Time(0));
            prop_assert!(bucket.held() <= held);
            held = bucket.held();
        }
    }
}

#[test]
fn a_failover_loses_at_most_one_block() {
    let mut pair = Pair::new(rate(100.0), Burst(80));
    (0..5).for_each(|_| pair.take());
    pair.standby.tick(Time(0));
    pair.clock = 10_000;
    pair.fail_over();
    let block = 10;
    assert_eq!(pair.primary.held(), 80 - block);
}

#[test]
fn a_bucket_without_a_record_starts_empty_after_a_loss_and_full_otherwise() {
    let mut replica = Replica::default();
    let bucket = |replica: &Replica| replica.bucket(&name("ana"), rate(10.0), Burst(5), Time(9));
    assert_eq!(bucket(&replica).held(), 5);
    replica.apply(&record(Block {
        level: 1,
        size: 1,
        available: 5,
    }));
    assert_eq!(bucket(&replica).held(), 4);
    replica.mark_lost(1);
    assert_eq!(bucket(&replica).held(), 0);
}

#[test]
fn two_cautious_buckets_together_admit_at_most_one_buckets_limits() {
    let mut grants = Vec::new();
    let mut pair = [0, 1].map(|_| Bucket::new(rate(10.0), Burst(8), 8, Time(0)));
    for bucket in &mut pair {
        bucket.set_cautious(true, Time(0));
        bucket.confirm(1000);
    }
    for at in (0..10_000).step_by(7) {
        for bucket in &mut pair {
            while bucket.take(Time(at)) == Take::Granted {
                grants.push(at);
            }
        }
    }
    assert!(grants.len() <= 8 + 100, "{}", grants.len());
    assert!(grants.len() >= 100);
}

#[test]
fn a_refused_request_returns_the_time_until_it_is_within_the_rate() {
    let mut bucket = Bucket::new(rate(4.0), Burst(1), 0, Time(0));
    assert_eq!(bucket.take(Time(0)), Take::Wait(Millis(250)));
    assert_eq!(bucket.wait_time(2, Time(100)), Millis(650));
    bucket.confirm(10);
    assert_eq!(bucket.take(Time(249)), Take::Wait(Millis(1)));
    assert_eq!(bucket.take(Time(250)), Take::Granted);
    bucket.set_limits(rate(0.0), Burst(1), Time(250));
    assert_eq!(bucket.take(Time(251)), Take::Wait(Millis(u64::MAX)));
}
