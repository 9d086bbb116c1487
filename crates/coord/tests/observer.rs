//! The order of observers is the same on all nodes, spreads the work over the members, and delays
//! only observers after the first group.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use coord::id::Node;
use coord::observer;
use coord::observer::OBSERVERS_PER_GROUP;
use coord::shard::Member;
use coord::time::Millis;
use rstest::rstest;

const UNIT: Millis = Millis(3_000);

fn node(number: usize) -> Node {
    format!("node-{number}").parse().expect("valid name")
}

/// Members spread evenly over the data centres.
fn members(nodes: usize, centres: usize) -> Vec<Member> {
    let member = |number: usize| Member {
        node: node(number),
        data_centre: format!("centre-{}", number % centres)
            .parse()
            .expect("valid name"),
        peers: ([127, 0, 0, 1], 4000).into(),
        callers: ([127, 0, 0, 1], 4001).into(),
        leaving: false,
    };
    (0..nodes).map(member).collect()
}

#[rstest]
#[case(2, 1)]
#[case(3, 3)]
#[case(66, 3)]
#[case(330, 13)]
fn every_other_member_has_one_position_in_the_observer_order(
    #[case] nodes: usize,
    #[case] centres: usize,
) {
    let members = members(nodes, centres);
    let observed = node(nodes / 2);
    let ranks = members
        .iter()
        .filter_map(|m| observer::rank(&members, &m.node, &observed));
    let ranks: BTreeSet<usize> = ranks.collect();
    assert_eq!(ranks, (0..nodes - 1).collect());
    assert_eq!(observer::rank(&members, &observed, &observed), None);
}

#[test]
fn the_observer_order_is_independent_of_the_list_order() {
    let mut listed = members(66, 3);
    let before: Vec<_> = (0..66)
        .map(|n| observer::rank(&listed, &node(n), &node(9)))
        .collect();
    listed.reverse();
    let after: Vec<_> = (0..66)
        .map(|n| observer::rank(&listed, &node(n), &node(9)))
        .collect();
    assert_eq!(before, after);
}

#[rstest]
#[case(66, 3)]
#[case(330, 13)]
fn the_first_observers_are_in_different_data_centres(#[case] nodes: usize, #[case] centres: usize) {
    let members = members(nodes, centres);
    for observed in (0..nodes).step_by(29) {
        let first = members.iter().filter(|member| {
            let rank = observer::rank(&members, &member.node, &node(observed));
            rank.is_some_and(|rank| rank < OBSERVERS_PER_GROUP)
        });
        let data_centres: BTreeSet<_> = first.map(|member| member.data_centre.clone()).collect();
        assert_eq!(
            data_centres.len(),
            OBSERVERS_PER_GROUP,
            "observers of {observed}"
        );
    }
}

#[test]
fn observations_are_spread_over_all_members() {
    let members = members(39, 13);
    let mut load: BTreeMap<usize, usize> = BTreeMap::new();
    for observed in 0..39 {
        for observer_number in 0..39 {
            let rank = observer::rank(&members, &node(observer_number), &node(observed));
            if rank.is_some_and(|rank| rank < OBSERVERS_PER_GROUP) {
                *load.entry(observer_number).or_default() += 1;
            }
        }
    }
    assert_eq!(load.values().sum::<usize>(), 39 * OBSERVERS_PER_GROUP);
    assert!(load.values().all(|count| *count <= 4 * OBSERVERS_PER_GROUP));
}

#[test]
fn the_first_group_acts_at_once_and_later_groups_after_doubling_delays() {
    let members = members(330, 13);
    let observed = node(5);
    let mut delays: Vec<(usize, Millis)> = (0..330)
        .filter(|observer_number| *observer_number != 5)
        .map(|observer_number| {
            let rank = observer::rank(&members, &node(observer_number), &observed);
            let delay = observer::delay(&members, &node(observer_number), &observed, UNIT);
            (rank.expect("another member"), delay)
        })
        .collect();
    delays.sort();
    let at = |rank: usize| delays[rank].1;
    assert!((0..OBSERVERS_PER_GROUP).all(|rank| at(rank) == Millis(0)));
    assert_eq!(at(OBSERVERS_PER_GROUP), UNIT);
    assert_eq!(at(2 * OBSERVERS_PER_GROUP), Millis(3 * UNIT.0));
    assert_eq!(at(328), Millis(1023 * UNIT.0));
}

#[test]
fn in_a_fleet_of_four_nodes_no_observer_is_delayed() {
    let members = members(4, 3);
    for observer_number in 0..4 {
        for observed in (0..4).filter(|observed| *observed != observer_number) {
            let delay = observer::delay(&members, &node(observer_number), &node(observed), UNIT);
            assert_eq!(delay, Millis(0));
        }
    }
}

#[test]
fn a_node_that_isnt_a_member_has_the_longest_delay() {
    let members = members(12, 3);
    let non_member: Node = "stranger".parse().expect("valid name");
    let delay = observer::delay(&members, &non_member, &node(1), UNIT);
    let longest = (0..12).filter(|observer_number| *observer_number != 1);
    let longest = longest
        .map(|observer_number| observer::delay(&members, &node(observer_number), &node(1), UNIT))
        .max();
    assert!(Some(delay) >= longest);
}
