//! Choice of a call's target.

use coord::id::Tokens;
use rstest::rstest;
use sched::policy::Choice;
use sched::policy::Policy;
use sched::route;
use sched::route::Candidate;
use sched::route::Demand;
use sched::route::Placement;
use sched::route::Sent;

fn candidate(name: &str) -> Candidate {
    Candidate {
        target: name.parse().unwrap(),
        draining: false,
        running: 0,
        queued: 0,
        slots: 8,
        queued_tokens: Tokens(0),
        running_tokens: Tokens(0),
        prefill_rate: 8_000,
        decode_rate: 50,
        sent_since: Sent::default(),
        cached: Tokens(0),
        same_data_centre: true,
    }
}

fn three_candidates() -> Vec<Candidate> {
    vec![candidate("m1"), candidate("m2"), candidate("m3")]
}

fn policy(choice: Choice) -> Policy {
    Policy {
        choice,
        ..Policy::default()
    }
}

fn demand() -> Demand {
    Demand {
        input: Tokens(16_000),
        output: Tokens(200),
        ..Demand::default()
    }
}

#[test]
fn round_robin_chooses_each_target_in_turn_and_skips_draining_ones() {
    let mut candidates = three_candidates();
    candidates[1].draining = true;
    let policy = policy(Choice::RoundRobin);
    let chosen = |sequence| {
        route::choose(
            &policy,
            &candidates,
            &Demand {
                sequence,
                ..demand()
            },
        )
    };
    assert_eq!(
        (0..4).map(chosen).collect::<Vec<_>>(),
        [Some(0), Some(2), Some(0), Some(2)]
    );
}

#[test]
fn least_loaded_counts_calls_sent_since_the_load_report() {
    let mut candidates = three_candidates();
    candidates[0].running = 3;
    candidates[1].sent_since = Sent {
        calls: 4,
        cost: Tokens(1),
    };
    candidates[2].running = 2;
    candidates[2].queued = 3;
    assert_eq!(
        route::choose(&policy(Choice::LeastLoaded), &candidates, &demand()),
        Some(0)
    );
}

#[test]
fn affinity_moves_only_the_programs_of_a_draining_target() {
    let policy = policy(Choice::Affinity);
    let all_available = three_candidates();
    let mut one_draining = three_candidates();
    one_draining[2].draining = true;
    for affinity in 0..200 {
        let demand = Demand {
            affinity,
            ..demand()
        };
        let before = route::choose(&policy, &all_available, &demand).unwrap();
        let after = route::choose(&policy, &one_draining, &demand).unwrap();
        assert!(before == after || before == 2);
    }
}

#[test]
fn a_program_stays_with_its_cache_when_the_wait_there_is_short() {
    let mut candidates = three_candidates();
    candidates[1].cached = Tokens(15_000);
    candidates[1].queued_tokens = Tokens(4_000);
    assert_eq!(
        route::choose(&Policy::default(), &candidates, &demand()),
        Some(1)
    );
}

/// Recomputing 15,000 tokens costs 15,000 tokens of prefill and evictions worth twice as many.
#[rstest]
#[case(44_500, true)]
#[case(45_500, false)]
fn a_program_leaves_its_cache_only_if_waiting_costs_more_than_recomputing_and_eviction(
    #[case] queued: u64,
    #[case] stays: bool,
) {
    let mut candidates = three_candidates();
    candidates[1].cached = Tokens(15_000);
    candidates[1].queued_tokens = Tokens(queued);
    let chosen = route::choose(&Policy::default(), &candidates, &demand());
    assert_eq!(chosen == Some(1), stays);
}

#[test]
fn a_cache_is_transferred_if_that_costs_less_than_waiting_and_recomputing() {
    let mut candidates = three_candidates();
    candidates[1].cached = Tokens(15_000);
    candidates[1].queued_tokens = Tokens(40_000);
    let demand = Demand {
        transfer_rate: 100_000,
        ..demand()
    };
    let placement = route::place(&Policy::default(), &candidates, &demand);
    assert_eq!(
        placement,
        Some(Placement {
            index: 0,
            transfer_from: Some(1)
        })
    );
}

#[test]
fn calls_sent_since_the_load_report_spread_a_burst_over_the_targets() {
    let mut candidates = three_candidates();
    let mut counts = [0; 3];
    for _ in 0..30 {
        let chosen = route::choose(&Policy::default(), &candidates, &demand()).unwrap();
        counts[chosen] += 1;
        candidates[chosen].sent_since.calls += 1;
        candidates[chosen].sent_since.cost.0 += 17_600;
    }
    assert_eq!(counts, [10, 10, 10]);
}

#[rstest]
#[case(Choice::RoundRobin)]
#[case(Choice::LeastLoaded)]
#[case(Choice::Affinity)]
#[case(Choice::Completion)]
fn draining_targets_are_never_chosen(#[case] choice: Choice) {
    let mut candidates = three_candidates();
    candidates
        .iter_mut()
        .for_each(|candidate| candidate.draining = true);
    assert_eq!(route::choose(&policy(choice), &candidates, &demand()), None);
    assert_eq!(route::choose(&policy(choice), &[], &demand()), None);
    candidates[2].draining = false;
    assert_eq!(
        route::choose(&policy(choice), &candidates, &demand()),
        Some(2)
    );
}

#[test]
fn a_target_that_reports_no_rates_is_usable() {
    let without_rates = Candidate {
        slots: 0,
        prefill_rate: 0,
        decode_rate: 0,
        ..candidate("m1")
    };
    assert_eq!(
        route::choose(&Policy::default(), &[without_rates], &demand()),
        Some(0)
    );
}

#[test]
fn calls_of_unknown_length_are_spread_evenly_over_plain_services() {
    let without_rates = |name| Candidate {
        prefill_rate: 0,
        decode_rate: 0,
        ..candidate(name)
    };
    let mut candidates = vec![
        without_rates("s1"),
        without_rates("s2"),
        without_rates("s3"),
    ];
    for _ in 0..60 {
        let chosen = route::choose(&Policy::default(), &candidates, &Demand::default()).unwrap();
        candidates[chosen].running += 1;
    }
    assert!(
        candidates.iter().all(|candidate| candidate.running == 20),
        "{candidates:?}"
    );
}
