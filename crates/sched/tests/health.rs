//! Health of a target as estimated from its answers.

use coord::time::Time;
use rstest::rstest;
use sched::health::Health;
use sched::health::median_event_interval;

#[rstest]
fn a_target_that_fails_some_requests_is_detected_although_others_succeed() {
    let mut health = Health::default();
    for number in 0..40 {
        health.record_result(number % 5 < 2, Time(number * 50));
    }
    let share = health.failing_share(Time(2_000));
    assert!((0.2..0.6).contains(&share), "{share}");
}

#[rstest]
fn one_failure_among_many_answers_leaves_the_failure_share_under_a_hundredth() {
    let mut health = Health::default();
    health.record_result(true, Time(0));
    (1..20).for_each(|number| health.record_result(false, Time(number * 10)));
    assert!(health.failing_share(Time(200)) < 0.01);
}

#[rstest]
fn the_failure_share_of_a_target_without_requests_decays_within_seconds() {
    let mut health = Health::default();
    (0..50).for_each(|_| health.record_result(true, Time(0)));
    assert!(health.failing_share(Time(0)) > 0.95);
    assert!(health.failing_share(Time(8_000)) < 0.05);
}

#[rstest]
fn a_slow_target_is_distinguished_from_one_with_a_larger_batch() {
    let mut slow = Health::default();
    slow.record_event_interval(4_000.0);
    let mut busy = Health::default();
    busy.record_event_interval(1_300.0);
    assert_eq!(busy.slowness(1_000.0), 1.0);
    assert!((3.9..4.1).contains(&slow.slowness(1_000.0)));
    assert_eq!(slow.slowness(0.0), 1.0);
    assert_eq!(Health::default().slowness(1_000.0), 1.0);
}

#[rstest]
fn the_median_event_interval_is_that_of_most_targets() {
    assert_eq!(median_event_interval([1.0, 4.0, 1.2].into_iter()), 1.2);
    assert_eq!(median_event_interval(std::iter::empty()), 0.0);
}
