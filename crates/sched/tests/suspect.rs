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

/// A record that isn't refused yet expires after a minute, one that was refused after two.
#[rstest]
#[case::not_refused(CRASH_LIMIT - 1, 61_000)]
#[case::refused(CRASH_LIMIT, 121_000)]
fn a_request_isn_t_refused_after_a_minute_and_its_record_expires(
    #[case] crashes: usize,
    #[case] expired: u64,
) {
    let mut suspects = Suspects::default();
    for crash in 0..crashes as u64 {
        suspects.record_crash(7, crash, Time(0));
    }
    assert!(!suspects.is_refused(7, Time(61_000)));
    suspects.expire(Time(expired));
    assert!(suspects.is_empty());
}

/// Guards against an entry that starts later and sends a refused request to three targets more: crashes were
/// sent for a short time only.
#[rstest]
fn an_entry_that_starts_later_learns_all_crashes() {
    let (mut entry, mut started) = (Suspects::default(), Suspects::default());
    for crash in 0..CRASH_LIMIT as u64 {
        entry.record_crash(7, crash, Time(0));
    }
    let now = Time(10_000);
    assert!(entry.recent_crashes(now).is_empty());
    for (fingerprint, crash) in entry.next_crashes(now) {
        started.record_crash(fingerprint, crash, now);
    }
    assert!(started.is_refused(7, now));
}

/// Guards against messages that grow with the number of records, and against records that none contains.
#[rstest]
fn all_crashes_are_sent_in_messages_of_limited_size_refused_requests_first() {
    const REQUESTS: u64 = 3_000;
    let (mut entry, mut started) = (Suspects::default(), Suspects::default());
    for request in 0..REQUESTS {
        let crashes = if request == REQUESTS - 1 { 3 } else { 1 };
        (0..crashes).for_each(|crash| entry.record_crash(request, crash, Time(0)));
    }
    let now = Time(10_000);
    for message in 0..7 {
        let crashes = entry.next_crashes(now);
        assert!(crashes.len() <= 512);
        for (fingerprint, crash) in crashes {
            started.record_crash(fingerprint, crash, now);
        }
        assert!(started.is_refused(REQUESTS - 1, now), "message {message}");
    }
    assert_eq!(started.recent_crashes(now).len(), REQUESTS as usize + 2);
}

/// Guards against a refused request that crashes three targets more each time that its refusal ends.
#[rstest]
fn a_request_that_crashes_a_target_after_its_refusal_is_refused_again_for_longer() {
    let mut suspects = Suspects::default();
    for crash in 0..CRASH_LIMIT as u64 {
        suspects.record_crash(7, crash, Time(0));
    }
    assert!(!suspects.is_refused(7, Time(60_000)));
    suspects.expire(Time(60_000));
    suspects.record_crash(7, 3, Time(60_000));
    assert!(suspects.is_refused(7, Time(60_000 + 119_000)));
    assert!(!suspects.is_refused(7, Time(60_000 + 120_000)));
}

/// Guards against other suspects that push out a request that is refused, or keep a new one from being refused.
#[rstest]
fn many_suspects_neither_push_out_a_refused_request_nor_keep_another_from_it() {
    let mut suspects = Suspects::default();
    (0..3).for_each(|crash| suspects.record_crash(1, crash, Time(0)));
    for request in 2..5_000 {
        suspects.record_crash(request, 0, Time(1));
    }
    (0..3).for_each(|crash| suspects.record_crash(6_000, crash, Time(2)));
    assert!(suspects.is_refused(1, Time(3)));
    assert!(suspects.is_refused(6_000, Time(3)));
}
