//! Quarantine of requests that crash targets.

use coord::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sched::quarantine::Quarantine;
use sched::quarantine::Verdict;

const NOW: Time = Time(0);

#[test]
fn a_fingerprint_in_flight_alone_at_a_crash_is_quarantined() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
    assert_eq!(quarantine.check(8, NOW), Verdict::Allowed);
}

#[test]
fn a_fingerprint_common_to_two_crashes_is_quarantined_and_the_others_are_suspects() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7, 1, 2], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Suspect);
    quarantine.record_crash(&[7, 3], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
    for other in [1, 2, 3] {
        assert_eq!(quarantine.check(other, NOW), Verdict::Suspect);
    }
}

#[test]
fn two_crashes_of_the_same_set_count_as_two() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7, 1], NOW);
    quarantine.record_crash(&[1, 7], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
}

#[test]
fn completion_clears_a_suspect_until_its_next_crash() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7, 1], NOW);
    quarantine.record_completion(1);
    assert_eq!(quarantine.check(1, NOW), Verdict::Allowed);
    quarantine.record_crash(&[8, 1], NOW);
    assert_eq!(quarantine.check(1, NOW), Verdict::Suspect);
}

#[test]
fn a_suspect_that_crashes_alone_clears_the_others_of_its_earlier_crash() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7, 1, 2], NOW);
    quarantine.record_crash(&[7], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
    assert_eq!(quarantine.check(1, NOW), Verdict::Allowed);
    assert_eq!(quarantine.check(2, NOW), Verdict::Allowed);
}

#[test]
fn one_crash_reported_to_two_processes_counts_once() {
    let mut first = Quarantine::new();
    let mut second = Quarantine::new();
    first.record_crash(&[7, 1], NOW);
    second.record_crash(&[1, 7], NOW);
    second.merge(&first.digest(NOW), NOW);
    assert_eq!(second.check(1, NOW), Verdict::Suspect);
}

#[test]
fn a_crash_recorded_again_with_the_same_id_counts_once() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash_with_id(5, &[7, 1], NOW);
    quarantine.record_crash_with_id(5, &[7, 1], NOW);
    assert_eq!(quarantine.check(1, NOW), Verdict::Suspect);
    quarantine.record_crash_with_id(6, &[7, 1], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
}

#[test]
fn crashes_recorded_by_two_processes_add_up_after_a_merge() {
    let mut first = Quarantine::new();
    let mut second = Quarantine::new();
    first.record_crash(&[7, 1], NOW);
    second.record_crash(&[7, 2], NOW);
    first.merge(&second.digest(NOW), NOW);
    assert_eq!(first.check(7, NOW), Verdict::Quarantined);
    assert_eq!(first.check(1, NOW), Verdict::Suspect);
}

#[test]
fn entries_expire_although_processes_keep_exchanging_them() {
    let mut first = Quarantine::new();
    let mut second = Quarantine::new();
    first.record_crash(&[7], NOW);
    let mut now = NOW;
    for _ in 0..10_000 {
        now = Time(now.0 + 100);
        second.merge(&first.digest(now), now);
        first.merge(&second.digest(now), now);
    }
    assert_eq!(first.check(7, now), Verdict::Allowed);
    assert_eq!(second.check(7, now), Verdict::Allowed);
    assert!(first.is_empty() && second.is_empty());
}

#[test]
fn the_number_of_stored_fingerprints_is_bounded() {
    let mut quarantine = Quarantine::new();
    for fingerprint in 0..20_000 {
        quarantine.record_crash(&[fingerprint], Time(fingerprint / 100));
    }
    assert!(quarantine.len() <= 4_096);
    assert_eq!(quarantine.check(19_999, Time(200)), Verdict::Quarantined);
}

fn verdicts(quarantine: &Quarantine) -> Vec<Verdict> {
    (0..6)
        .map(|fingerprint| quarantine.check(fingerprint, NOW))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Merging is commutative, idempotent and associative.
    #[test]
    fn merges_give_the_same_state_in_any_order_grouping_and_number(
        events in prop::collection::vec((0usize..3, prop::collection::vec(0u64..6, 1..4), prop::option::of(0u64..6)), 1..12),
    ) {
        let mut processes = vec![Quarantine::new(); 3];
        for (process, set, completed) in events {
            processes[process].record_crash(&set, NOW);
            completed.into_iter().for_each(|fingerprint| processes[process].record_completion(fingerprint));
        }
        let digests: Vec<_> = processes.iter().map(|process| process.digest(NOW)).collect();
        let mut forward = processes[0].clone();
        forward.merge(&digests[1], NOW);
        forward.merge(&digests[2], NOW);
        forward.merge(&digests[1], NOW);
        let mut grouped = processes[2].clone();
        grouped.merge(&digests[1], NOW);
        let mut backward = processes[0].clone();
        backward.merge(&grouped.digest(NOW), NOW);
        prop_assert_eq!(verdicts(&forward), verdicts(&backward));
        prop_assert_eq!(forward.digest(NOW), backward.digest(NOW));
    }
}
