//! Ledger of attempts under seeded schedules: at most one start, and none after a fence.

use coord::Map;
use coord::id::Attempt;
use coord::id::Epoch;
use coord::id::Shard;
use coord::time::Millis;
use coord::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use sidecar::ledger::AttemptRef;
use sidecar::ledger::Authority;
use sidecar::ledger::Cancelled;
use sidecar::ledger::Denied;
use sidecar::ledger::Ledger;
use sidecar::ledger::MAX_ATTEMPTS;
use sidecar::ledger::MAX_CLOCK_SKEW;
use sidecar::ledger::MIN_RETENTION;
use sidecar::ledger::RETENTION;

fn authority(epoch: u64) -> Authority {
    Authority {
        shard: Shard(1),
        epoch: Epoch(epoch),
    }
}

fn attempt(name: usize) -> Attempt {
    format!("a{name}").parse().unwrap()
}

fn attempt_ref(attempt: &Attempt, created: Time) -> AttemptRef<'_> {
    AttemptRef {
        attempt,
        created: Some(created),
    }
}

/// Starts of one attempt, whether a cancel has fenced it, and its creation time.
#[derive(Debug, Default, Clone, Copy)]
struct History {
    starts: u32,
    fenced: bool,
    created: Option<Time>,
}

/// Guards against a second start or a revoked fence after an eviction: clock steps of up to a minute
/// make entries expire during the schedule.
#[rstest]
fn attempt_starts_at_most_once_and_never_after_a_fence(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ledger = Ledger::default();
    let mut histories: Map<usize, History> = Map::default();
    let mut now = Time(0);
    let mut epoch = 1;
    for step in 0..20_000 {
        now = now + Millis(rng.random_range(0..60_000));
        epoch += u64::from(rng.random_ratio(1, 500));
        // Some messages come from a superseded owner.
        let sent = authority(epoch - u64::from(epoch > 1 && rng.random_ratio(1, 5)));
        // One of the nine latest attempts; every 40 steps a new one joins them.
        let name = step / 40 - rng.random_range(0..=(step / 40).min(8));
        let attempt = attempt(name);
        let history = histories.entry(name).or_default();
        let created = *history.created.get_or_insert(now);
        match rng.random_range(0..5) {
            0 => drop(ledger.admit(attempt_ref(&attempt, created), sent, now)),
            1 => {
                let started = ledger.start(&attempt, sent);
                assert!(!(started && history.fenced), "seed {seed} step {step}");
                history.starts += u32::from(started);
            }
            2 => ledger.record_end(&attempt, now),
            3 => {
                let cancelled =
                    ledger.cancel(attempt_ref(&attempt, created), sent, Millis(1_000), now);
                let fenced = cancelled == Cancelled::Fenced;
                assert!(!(fenced && history.starts > 0), "seed {seed} step {step}");
                history.fenced |= fenced;
            }
            _ => ledger.sweep(now),
        }
        assert!(history.starts <= 1, "seed {seed} step {step}");
    }
    assert!(histories.values().any(|history| history.starts == 1));
    assert!(histories.values().any(|history| history.fenced));
}

#[test]
fn evicted_attempt_is_neither_fenced_nor_started() {
    let mut ledger = Ledger::default();
    let (old, young) = (attempt(1), attempt(2));
    let created = Time(1_000);
    ledger
        .admit(attempt_ref(&old, created), authority(1), created)
        .unwrap();
    assert!(ledger.start(&old, authority(1)));
    ledger.record_end(&old, created);
    let now = created + RETENTION;
    ledger.sweep(now);
    assert!(ledger.is_empty());
    let old = attempt_ref(&old, created);
    let cancelled = ledger.cancel(old, authority(1), Millis(0), now);
    assert_eq!(cancelled, Cancelled::Done);
    assert_eq!(ledger.admit(old, authority(1), now), Err(Denied::Duplicate));
    let young = attempt_ref(&young, now);
    assert_eq!(ledger.admit(young, authority(1), now), Ok(()));
}

#[test]
fn ledger_above_its_threshold_shortens_retention_and_never_fences_an_evicted_attempt() {
    let mut ledger = Ledger::default();
    let mut now = Time(0);
    let step = Millis(MIN_RETENTION.0 * 4 / MAX_ATTEMPTS as u64 + 1);
    for name in 0..MAX_ATTEMPTS {
        let attempt = attempt(name);
        ledger
            .admit(attempt_ref(&attempt, now), authority(1), now)
            .unwrap();
        assert!(ledger.start(&attempt, authority(1)));
        ledger.record_end(&attempt, now);
        now = now + step;
    }
    ledger.sweep(now);
    assert!(ledger.len() <= MAX_ATTEMPTS / 2);
    let (first, last) = (attempt(0), attempt(MAX_ATTEMPTS - 1));
    let first = ledger.cancel(attempt_ref(&first, Time(0)), authority(1), Millis(0), now);
    assert_eq!(first, Cancelled::Done);
    let last = ledger.cancel(attempt_ref(&last, now), authority(1), Millis(0), now);
    assert_eq!(last, Cancelled::Done);
    let fresh = attempt(MAX_ATTEMPTS);
    assert!(now.since(Time(0)) > MAX_CLOCK_SKEW);
    assert_eq!(
        ledger.cancel(attempt_ref(&fresh, now), authority(1), Millis(0), now),
        Cancelled::Fenced
    );
}

#[test]
fn full_ledger_rejects_new_attempts_and_tombstones() {
    let mut ledger = Ledger::default();
    let now = Time(0);
    for name in 0..MAX_ATTEMPTS {
        let attempt = attempt(name);
        ledger
            .admit(attempt_ref(&attempt, now), authority(1), now)
            .unwrap();
    }
    let excess = attempt(MAX_ATTEMPTS);
    let excess = attempt_ref(&excess, now);
    assert_eq!(ledger.admit(excess, authority(1), now), Err(Denied::Full));
    let cancelled = ledger.cancel(excess, authority(1), Millis(0), now);
    assert_eq!(cancelled, Cancelled::Full);
}

#[test]
fn creation_time_is_read_from_the_uuid_in_an_attempts_name() {
    let name = uuid::Uuid::now_v7().simple().to_string();
    let attempt: Attempt = format!("{name}:incarnation").parse().unwrap();
    let now = Time(1_000_000);
    let created = sidecar::age::creation_time(&attempt, now).unwrap();
    assert!(now.since(created) < Millis(60_000));
    assert_eq!(
        sidecar::age::creation_time(&"a1".parse().unwrap(), now),
        None
    );
}
