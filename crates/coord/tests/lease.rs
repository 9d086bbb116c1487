//! A lease's holder never acts after it was fenced, whatever the network delays, reorders or loses.

mod common;

use coord::id::Version;
use coord::lease::Holder;
use coord::lease::Observer;
use coord::time::Millis;
use coord::time::Time;
use proptest::prelude::*;

const DURATION: Millis = Millis(1000);
const MARGIN: Millis = Millis(50);

#[derive(Debug, Clone)]
enum Event {
    Advance(u64),
    Renew,
    Land(usize),
    LoseRequest(usize),
    Confirm(usize),
    LoseReply(usize),
    HolderReads,
    ObserverReads,
    Fence,
    FenceLands,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1u64..400).prop_map(Event::Advance),
        3 => Just(Event::Renew),
        3 => (0usize..4).prop_map(Event::Land),
        1 => (0usize..4).prop_map(Event::LoseRequest),
        3 => (0usize..4).prop_map(Event::Confirm),
        1 => (0usize..4).prop_map(Event::LoseReply),
        1 => Just(Event::HolderReads),
        3 => Just(Event::ObserverReads),
        2 => Just(Event::Fence),
        2 => Just(Event::FenceLands),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Value {
    HeldSince(Time),
    Revoked,
}

/// The versioned lease object, and all requests and replies in flight.
struct World {
    clock: u64,
    object: (Version, Value),
    requests: Vec<(Time, Version)>,
    replies: Vec<(Time, Version)>,
    fences: Vec<Version>,
    holder: Holder,
    observer: Observer,
    /// Thousandths by which the holder's clock runs slow and the observer's runs fast.
    drift: u64,
}

impl World {
    fn new(drift: u64) -> World {
        let mut holder = Holder::new(DURATION, MARGIN);
        holder.record_renewal(Time(0), Version(1));
        World {
            clock: 0,
            object: (Version(1), Value::HeldSince(Time(0))),
            requests: Vec::new(),
            replies: Vec::new(),
            fences: Vec::new(),
            holder,
            observer: Observer::new(DURATION, MARGIN),
            drift,
        }
    }

    fn holder_time(&self) -> Time {
        Time(self.clock * (1000 - self.drift) / 1000)
    }

    fn observer_time(&self) -> Time {
        Time(self.clock * (1000 + self.drift) / 1000)
    }

    fn write(&mut self, base: Version, value: Value) -> Option<Version> {
        let next = Version(base.0 + 1);
        let applies = self.object.0 == base && self.object.1 != Value::Revoked;
        applies.then(|| self.object = (next, value)).map(|()| next)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Advance(ms) => self.clock += ms,
            Event::Renew => {
                let base = self.holder.version().unwrap();
                self.requests.push((self.holder_time(), base));
            }
            Event::Land(i) if i < self.requests.len() => {
                let (sent, base) = self.requests.remove(i);
                if let Some(version) = self.write(base, Value::HeldSince(sent)) {
                    self.replies.push((sent, version));
                }
            }
            Event::LoseRequest(i) if i < self.requests.len() => drop(self.requests.remove(i)),
            Event::Confirm(i) if i < self.replies.len() => {
                let (sent, version) = self.replies.remove(i);
                self.holder.record_renewal(sent, version);
            }
            Event::LoseReply(i) if i < self.replies.len() => drop(self.replies.remove(i)),
            Event::HolderReads => match self.object {
                (version, Value::HeldSince(sent)) => self.holder.record_renewal(sent, version),
                (_, Value::Revoked) => (),
            },
            Event::ObserverReads => self
                .observer
                .record_version(self.object.0, self.observer_time()),
            Event::Fence => self
                .fences
                .extend(self.observer.expired_version(self.observer_time())),
            Event::FenceLands => {
                if let Some(base) = self.fences.pop() {
                    self.write(base, Value::Revoked);
                }
            }
            _ => (),
        }
    }
}

proptest! {
    #![proptest_config(common::seeded(1000))]

    #[test]
    fn a_lease_is_never_valid_after_a_successful_fence(
        drift in 0u64..10,
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut world = World::new(drift);
        for event in events {
            world.apply(event);
            let fenced = world.object.1 == Value::Revoked;
            prop_assert!(!(fenced && world.holder.is_valid(world.holder_time())));
        }
    }
}

#[test]
fn a_lease_lasts_from_the_time_the_renewal_was_sent() {
    let mut holder = Holder::new(DURATION, MARGIN);
    assert!(!holder.is_valid(Time(0)));
    holder.record_renewal(Time(100), Version(1));
    assert!(holder.is_valid(Time(1049)));
    assert!(!holder.is_valid(Time(1050)));
    assert!(!holder.is_renewal_due(Time(432)));
    assert!(holder.is_renewal_due(Time(433)));
}

#[test]
fn an_older_confirmation_is_ignored_and_a_lost_lease_stays_lost() {
    let mut holder = Holder::new(DURATION, MARGIN);
    holder.record_renewal(Time(500), Version(3));
    holder.record_renewal(Time(100), Version(2));
    assert_eq!(holder.expires_at(), Time(1500));
    holder.mark_lost();
    holder.record_renewal(Time(600), Version(4));
    assert!(!holder.is_valid(Time(601)));
}

#[test]
fn an_unrenewed_version_expires_and_a_renewal_restarts_the_term() {
    let mut observer = Observer::new(DURATION, MARGIN);
    observer.record_version(Version(1), Time(0));
    observer.record_version(Version(1), Time(900));
    assert_eq!(observer.expired_version(Time(1049)), None);
    assert_eq!(observer.expired_version(Time(1050)), Some(Version(1)));
    observer.record_version(Version(2), Time(1050));
    assert_eq!(observer.expired_version(Time(2000)), None);
}
