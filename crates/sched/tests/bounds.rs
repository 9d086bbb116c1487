//! Limits on retries, backoff and credits.

use coord::id::Node;
use coord::time::Millis;
use coord::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sched::credit::Grant;
use sched::credit::Pool;
use sched::retry::Backoff;
use sched::retry::Budget;

fn node(name: &str) -> Node {
    name.parse().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_stay_within_a_tenth_of_the_first_attempts(steps in prop::collection::vec(any::<bool>(), 0..3_000)) {
        let mut budget = Budget::new();
        let (mut requests, mut retries) = (0u32, 0u32);
        for first in steps {
            match first {
                true => {
                    budget.record_request();
                    requests += 1;
                }
                false => retries += u32::from(budget.try_spend()),
            }
            prop_assert!(retries * 10 <= requests);
        }
    }

    #[test]
    fn a_delay_stays_within_the_doubling_maximum(random in prop::collection::vec(0.0f64..1.0, 1..80)) {
        let mut backoff = Backoff::new(Millis(50), Millis(2_000));
        for (attempt, random) in random.into_iter().enumerate() {
            let max_delay = (50u64 << attempt.min(20)).min(2_000);
            prop_assert!(backoff.next_delay(random) <= Millis(max_delay));
        }
    }

    #[test]
    fn granted_credits_and_running_calls_never_exceed_the_limit_of_the_target(steps in prop::collection::vec((0u8..4, 0u8..3, 0u32..12), 1..200)) {
        let mut pool = Pool::new(4, 2, Millis(50));
        let mut running = 0u32;
        for (step, (kind, entry, calls)) in steps.into_iter().enumerate() {
            let node = node(&format!("n{entry}"));
            match kind {
                0 => pool.set_demand(&node, calls),
                1 => drop(pool.grant(Time(step as u64 * 10))),
                2 => running += u32::from(pool.consume(&node)),
                _ if running > 0 => {
                    pool.release();
                    running -= 1;
                }
                _ => pool.remove(&node),
            }
            prop_assert!(running <= 6);
            prop_assert!(pool.free() + running <= 6);
        }
    }
}

#[test]
fn credits_are_granted_round_robin() {
    let mut pool = Pool::new(4, 0, Millis(1_000));
    pool.set_demand(&node("a"), 100);
    pool.set_demand(&node("b"), 2);
    let grants = pool.grant(Time(0));
    let expected = ["a", "b"].map(|name| Grant {
        node: node(name),
        credits: 2,
    });
    assert_eq!(grants, expected);
    assert!(pool.grant(Time(0)).is_empty());
}

#[test]
fn unused_credits_return_to_the_pool_after_their_lifetime() {
    let mut pool = Pool::new(2, 0, Millis(100));
    pool.set_demand(&node("a"), 2);
    assert_eq!(pool.grant(Time(0)).len(), 1);
    pool.set_demand(&node("b"), 1);
    assert!(pool.grant(Time(99)).is_empty());
    assert_eq!(
        pool.grant(Time(100)),
        [Grant {
            node: node("b"),
            credits: 1
        }]
    );
    assert!(!pool.consume(&node("a")));
    assert!(pool.consume(&node("b")));
}
