//! Requests that crash targets.

use coord::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sched::quarantine::Quarantine;
use sched::quarantine::Verdict;

const NOW: Time = Time(0);

#[test]
fn fingerprint_alone_at_a_crash_is_quarantined() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
    assert_eq!(quarantine.check(8, NOW), Verdict::Allowed);
}

#[test]
fn fingerprint_common_to_two_crashes_is_quarantined_and_companions_are_suspects() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7, 1, 2], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Suspect);
    quarantine.record_crash(&[7, 3], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
    for innocent in [1, 2, 3] {
        assert_eq!(quarantine.check(innocent, NOW), Verdict::Suspect);
    }
}

#[test]
fn same_set_at_two_crashes_is_quarantined() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7, 1], NOW);
    quarantine.record_crash(&[1, 7], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
}

#[test]
fn completion_clears_an_innocent_companion() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7, 1], NOW);
    quarantine.record_completion(1);
    assert_eq!(quarantine.check(1, NOW), Verdict::Allowed);
    quarantine.record_crash(&[8, 1], NOW);
    assert_eq!(quarantine.check(1, NOW), Verdict::Suspect);
}

#[test]
fn suspect_that_crashes_alone_clears_its_companions() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(&[7, 1, 2], NOW);
    quarantine.record_crash(&[7], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
    assert_eq!(quarantine.check(1, NOW), Verdict::Allowed);
    assert_eq!(quarantine.check(2, NOW), Verdict::Allowed);
}

#[test]
fn one_crash_told_to_two_processes_counts_once() {
    let mut first = Quarantine::new();
    let mut second = Quarantine::new();
    first.record_crash(&[7, 1], NOW);
    second.record_crash(&[1, 7], NOW);
    second.merge(&first.digest(NOW), NOW);
    assert_eq!(second.check(1, NOW), Verdict::Suspect);
}

#[test]
fn crash_told_again_under_its_name_counts_once() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash_with_id(5, &[7, 1], NOW);
    quarantine.record_crash_with_id(5, &[7, 1], NOW);
    assert_eq!(quarantine.check(1, NOW), Verdict::Suspect);
    quarantine.record_crash_with_id(6, &[7, 1], NOW);
    assert_eq!(quarantine.check(7, NOW), Verdict::Quarantined);
}

#[test]
fn crashes_seen_by_two_processes_add_up() {
    let mut first = Quarantine::new();
    let mut second = Quarantine::new();
    first.record_crash(&[7, 1], NOW);
    second.record_crash(&[7, 2], NOW);
    first.merge(&second.digest(NOW), NOW);
    assert_eq!(first.check(7, NOW), Verdict::Quarantined);
    assert_eq!(first.check(1, NOW), Verdict::Suspect);
}

#[test]
fn entries_expire_and_gossip_does_not_revive_them() {
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
fn memory_is_bounded() {
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

    /// Order, repetition and grouping of merges make no difference.
    #[test]
    fn merge_is_a_join(
        events in prop::collection::vec((0usize..3, prop::collection::vec(0u64..6, 1..4), prop::option::of(0u64..6)), 1..12),
    ) {
        let mut parts = vec![Quarantine::new(); 3];
        for (part, set, done) in events {
            parts[part].record_crash(&set, NOW);
            done.into_iter().for_each(|fingerprint| parts[part].record_completion(fingerprint));
        }
        let digests: Vec<_> = parts.iter().map(|part| part.digest(NOW)).collect();
        let mut forward = parts[0].clone();
        forward.merge(&digests[1], NOW);
        forward.merge(&digests[2], NOW);
        forward.merge(&digests[1], NOW);
        let mut grouped = parts[2].clone();
        grouped.merge(&digests[1], NOW);
        let mut backward = parts[0].clone();
        backward.merge(&grouped.digest(NOW), NOW);
        prop_assert_eq!(verdicts(&forward), verdicts(&backward));
        prop_assert_eq!(forward.digest(NOW), backward.digest(NOW));
    }
}
