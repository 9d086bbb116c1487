//! Choice of targets.

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

fn three() -> Vec<Candidate> {
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
fn round_robin_takes_each_in_turn_and_skips_leaving_ones() {
    let mut candidates = three();
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
fn least_loaded_counts_what_was_sent_since_the_report() {
    let mut candidates = three();
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
fn affinity_moves_only_programs_of_the_target_that_left() {
    let policy = policy(Choice::Affinity);
    let all = three();
    let mut fewer = three();
    fewer[2].draining = true;
    for affinity in 0..200 {
        let demand = Demand {
            affinity,
            ..demand()
        };
        let before = route::choose(&policy, &all, &demand).unwrap();
        let after = route::choose(&policy, &fewer, &demand).unwrap();
        assert!(before == after || before == 2);
    }
}

#[test]
fn program_stays_with_its_cache_for_a_short_wait() {
    let mut candidates = three();
    candidates[1].cached = Tokens(15_000);
    candidates[1].queued_tokens = Tokens(4_000);
    assert_eq!(
        route::choose(&Policy::default(), &candidates, &demand()),
        Some(1)
    );
}

/// Computing 15,000 tokens takes 15,000 of prefill and drops others' caches worth twice that.
#[rstest]
#[case(44_500, true)]
#[case(45_500, false)]
fn program_leaves_its_cache_just_when_waiting_costs_more_than_computing_and_eviction(
    #[case] queued: u64,
    #[case] stays: bool,
) {
    let mut candidates = three();
    candidates[1].cached = Tokens(15_000);
    candidates[1].queued_tokens = Tokens(queued);
    let chosen = route::choose(&Policy::default(), &candidates, &demand());
    assert_eq!(chosen == Some(1), stays);
}

#[test]
fn cache_is_transferred_when_that_beats_waiting_and_computing() {
    let mut candidates = three();
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
fn own_sends_since_the_report_spread_a_burst() {
    let mut candidates = three();
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
fn leaving_targets_get_nothing(#[case] choice: Choice) {
    let mut candidates = three();
    candidates.iter_mut().for_each(|one| one.draining = true);
    assert_eq!(route::choose(&policy(choice), &candidates, &demand()), None);
    assert_eq!(route::choose(&policy(choice), &[], &demand()), None);
    candidates[2].draining = false;
    assert_eq!(
        route::choose(&policy(choice), &candidates, &demand()),
        Some(2)
    );
}

#[test]
fn target_that_reports_no_rates_is_still_usable() {
    let blank = Candidate {
        slots: 0,
        prefill_rate: 0,
        decode_rate: 0,
        ..candidate("m1")
    };
    assert_eq!(
        route::choose(&Policy::default(), &[blank], &demand()),
        Some(0)
    );
}

#[test]
fn plain_services_without_a_known_length_are_used_evenly() {
    let blank = |name| Candidate {
        prefill_rate: 0,
        decode_rate: 0,
        ..candidate(name)
    };
    let mut candidates = vec![blank("s1"), blank("s2"), blank("s3")];
    for _ in 0..60 {
        let chosen = route::choose(&Policy::default(), &candidates, &Demand::default()).unwrap();
        candidates[chosen].running += 1;
    }
    assert!(
        candidates.iter().all(|one| one.running == 20),
        "{candidates:?}"
    );
}
