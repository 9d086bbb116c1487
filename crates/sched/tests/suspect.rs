//! Refusal of requests that crash their targets, and only of those.

use coord::time::Time;
use rstest::rstest;
use sched::suspect::CRASH_LIMIT;
use sched::suspect::Suspects;

#[rstest]
fn a_request_is_refused_after_the_third_target_it_crashed() {
    let mut suspects = Suspects::default();
    for crash in 0..CRASH_LIMIT as u64 {
        assert!(!suspects.is_refused(7, Time(crash)));
        suspects.record_crash(7, crash, Time(crash));
    }
    assert!(suspects.is_refused(7, Time(10)));
    assert!(!suspects.is_refused(8, Time(10)));
}

#[rstest]
fn a_request_answered_after_each_crash_is_not_refused() {
    let mut suspects = Suspects::default();
    for crash in 0..10 {
        suspects.record_crash(7, crash, Time(crash));
        suspects.record_answer(7);
    }
    assert!(!suspects.is_refused(7, Time(20)));
}

#[rstest]
fn a_crash_recorded_repeatedly_counts_once() {
    let mut suspects = Suspects::default();
    for _ in 0..10 {
        suspects.record_crash(7, 1, Time(0));
    }
    assert!(!suspects.is_refused(7, Time(1)));
}

#[rstest]
fn entries_that_exchange_crashes_refuse_a_request_that_crashed_one_target_at_each() {
    let mut entries: Vec<Suspects> = (0..3).map(|_| Suspects::default()).collect();
    for (crash, entry) in entries.iter_mut().enumerate() {
        entry.record_crash(7, crash as u64, Time(100));
    }
    let exchanged: Vec<(u64, u64)> = entries
        .iter()
        .flat_map(|entry| entry.recent_crashes(Time(200)))
        .collect();
    for entry in &mut entries {
        for (fingerprint, crash) in &exchanged {
            entry.record_crash(*fingerprint, *crash, Time(300));
        }
        assert!(entry.is_refused(7, Time(300)));
    }
}

#[rstest]
fn a_crash_expires_after_a_minute() {
    let mut suspects = Suspects::default();
    for crash in 0..CRASH_LIMIT as u64 {
        suspects.record_crash(7, crash, Time(0));
    }
    assert!(!suspects.is_refused(7, Time(61_000)));
    suspects.expire(Time(61_000));
    assert!(suspects.is_empty());
}
