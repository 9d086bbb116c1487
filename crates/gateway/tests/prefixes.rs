//! Shared prompt prefixes on engines, as entries report them to each other.

use coord::time::Time;
use gateway::target::prefix::Prefixes;
use rstest::rstest;

#[rstest]
fn a_reported_use_is_known_but_not_reported_again() {
    let mut prefixes = Prefixes::default();
    prefixes.merge_use(1, 7, Time(1_000));
    assert!(prefixes.is_cached(1, 7, Time(1_500)));
    assert!(prefixes.own_uses(Time(0)).is_empty());
}

#[rstest]
fn uses_by_turns_of_this_entry_are_reported_for_a_while() {
    let mut prefixes = Prefixes::default();
    prefixes.record_use(1, 7, Time(1_000));
    prefixes.record_use(2, 7, Time(3_000));
    assert_eq!(prefixes.own_uses(Time(2_000)), [(2, 7)]);
    prefixes.record_use(1, 7, Time(3_100));
    assert_eq!(prefixes.own_uses(Time(2_000)).len(), 2);
}
