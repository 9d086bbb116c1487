//! Division of a target's limit among entries, and an entry's part of it.

use coord::allotment;
use coord::allotment::Allotment;
use coord::allotment::Demand;
use coord::allotment::Holder;
use coord::id::Rate;
use coord::time::Time;
use rstest::rstest;

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).expect("rate")
}

fn holders(count: u64) -> Vec<Holder> {
    let holders = (1..=count).map(|entry| Holder {
        entry: entry * 7_919,
        weight: 1.0,
    });
    holders.collect()
}

/// Requests that an allotment allows in a time, asked for every millisecond.
fn sent(allotment: &mut Allotment, from: u64, to: u64) -> usize {
    let granted = (from..to).filter(|at| allotment.take(Time(*at)));
    granted.count()
}

/// Guards against a unit that two entries hold, or none: the sum over all entries would depend on their
/// number.
#[rstest]
fn each_unit_is_held_by_one_entry(
    #[values(1, 2, 3, 19, 91)] entries: u64,
    #[values(0.0, 0.2, 1.0, 6.5, 30.0, 1e9)] limit: f64,
) {
    let holders = holders(entries);
    for target in 1..50 {
        let held = holders
            .iter()
            .map(|holder| allotment::held_units(target, rate(limit), holder.entry, &holders));
        assert_eq!(held.sum::<u32>(), allotment::units(rate(limit)));
    }
}

/// Guards against a burst that grows with the number of entries.
#[rstest]
fn all_entries_together_save_up_no_more_than_a_second_of_the_limit_and_one_request(
    #[values(1, 3, 91)] entries: u64,
    #[values(0.2, 1.0, 6.5, 200.0)] limit: f64,
) {
    let holders = holders(entries);
    let mut burst = 0;
    for holder in &holders {
        let held = allotment::held_units(1, rate(limit), holder.entry, &holders);
        let mut allotment = Allotment::new(Time(0));
        allotment.assign(rate(limit), held, Time(0));
        burst += (0..1_000).filter(|_| allotment.take(Time(100_000))).count();
    }
    assert!(burst as f64 <= limit + 1.0, "{burst}");
}

#[rstest]
fn units_are_held_in_proportion_to_demand() {
    let mut holders = holders(3);
    holders[0].weight = 8.0;
    let held = |holder: &Holder| -> u32 {
        let targets = 1..300;
        targets
            .map(|target| allotment::held_units(target, rate(4.0), holder.entry, &holders))
            .sum()
    };
    let (busy, idle) = (held(&holders[0]), held(&holders[1]));
    assert!(busy > 6 * idle && busy < 11 * idle, "{busy} and {idle}");
}

/// Guards against a division that changes for all when one entry's demand does, or one entry goes.
#[rstest]
fn only_units_of_an_entry_that_goes_move() {
    let all = holders(19);
    let fewer = &all[1..];
    for target in 1..100 {
        for holder in fewer {
            let before = allotment::held_units(target, rate(6.0), holder.entry, &all);
            let after = allotment::held_units(target, rate(6.0), holder.entry, fewer);
            assert!(after >= before);
        }
    }
}

#[rstest]
#[case(2.0, 8)]
#[case(0.5, 2)]
fn an_allotment_allows_its_limit_from_an_empty_start(#[case] limit: f64, #[case] expected: usize) {
    let mut allotment = Allotment::new(Time(0));
    let units = allotment::units(rate(limit));
    allotment.assign(rate(limit), units, Time(0));
    assert_eq!(sent(&mut allotment, 0, 4_001), expected);
}

/// Guards against a limit of zero that never ends, as no answer could show it.
#[rstest]
fn a_limit_of_zero_lets_one_request_in_four_seconds_find_out_whether_it_has_ended() {
    let mut allotment = Allotment::new(Time(0));
    allotment.assign(rate(0.0), 1, Time(0));
    assert_eq!(sent(&mut allotment, 0, 40_001), 10);
}

/// Guards against a burst of requests that were chosen one by one and waited for a connection.
#[rstest]
fn requests_that_waited_are_sent_together_no_faster_than_the_burst_allows() {
    let mut allotment = Allotment::new(Time(0));
    allotment.assign(rate(2.0), allotment::units(rate(2.0)), Time(0));
    let mut reserved = 0;
    for at in 0..20_000 {
        reserved += u32::from(allotment.reserve(Time(at)));
    }
    assert_eq!(reserved, 3, "as many as the bucket holds");
    let now = Time(20_000);
    for _ in 0..reserved {
        allotment.release();
        assert!(allotment.take(now));
    }
    assert!(!allotment.take(now));
}

#[rstest]
fn what_is_given_back_can_be_used_again_and_no_more() {
    let mut allotment = Allotment::new(Time(0));
    allotment.assign(rate(0.5), 1, Time(0));
    let now = Time(10_000);
    assert!(allotment.reserve(now));
    assert!(!allotment.reserve(now) && !allotment.take(now));
    allotment.release();
    assert!(allotment.take(now));
    allotment.refund();
    allotment.refund();
    assert!(allotment.take(now) && !allotment.take(now));
}

#[rstest]
fn a_lower_limit_leaves_no_more_than_its_burst() {
    let mut allotment = Allotment::new(Time(0));
    allotment.assign(rate(100.0), allotment::units(rate(100.0)), Time(0));
    allotment.assign(rate(1.0), allotment::units(rate(1.0)), Time(60_000));
    let burst = (0..100).filter(|_| allotment.take(Time(60_000))).count();
    assert_eq!(burst, 2);
}

#[rstest]
fn demand_is_reported_in_steps_that_don_t_go_to_and_fro() {
    let mut demand = Demand::default();
    let mut steps = Vec::new();
    for round in 0..600u64 {
        let requests = if round % 2 == 0 { 5 } else { 7 };
        (0..requests).for_each(|_| demand.record());
        steps.push(demand.update(Time((round + 1) * 100)));
    }
    let settled = &steps[100..];
    assert!(
        settled.iter().all(|step| *step == settled[0]),
        "{settled:?}"
    );
    let weight = allotment::weight(settled[0]);
    assert!((40.0..90.0).contains(&weight), "{weight}");
}
