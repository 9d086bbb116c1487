//! Members look after each other in an order that spreads the work and survives losses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use coord::id::Node;
use coord::observer;
use coord::observer::OBSERVERS;
use coord::shard::Member;
use coord::time::Millis;
use rstest::rstest;

const UNIT: Millis = Millis(3_000);

fn node(number: usize) -> Node {
    format!("node-{number}").parse().expect("valid name")
}

/// Members over so many data centres.
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
fn every_member_has_each_other_one_in_one_place_of_its_order(
    #[case] nodes: usize,
    #[case] centres: usize,
) {
    let members = members(nodes, centres);
    let other = node(nodes / 2);
    let ranks = members
        .iter()
        .filter_map(|m| observer::rank(&members, &m.node, &other));
    let ranks: BTreeSet<usize> = ranks.collect();
    assert_eq!(ranks, (0..nodes - 1).collect());
    assert_eq!(observer::rank(&members, &other, &other), None);
}

#[test]
fn the_order_doesnt_depend_on_the_order_of_the_list() {
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
fn the_first_observers_stand_in_different_data_centres(
    #[case] nodes: usize,
    #[case] centres: usize,
) {
    let members = members(nodes, centres);
    for other in (0..nodes).step_by(29) {
        let first = members.iter().filter(|member| {
            let rank = observer::rank(&members, &member.node, &node(other));
            rank.is_some_and(|rank| rank < OBSERVERS)
        });
        let places: BTreeSet<_> = first.map(|member| member.data_centre.clone()).collect();
        assert_eq!(places.len(), OBSERVERS, "observers of {other}");
    }
}

#[test]
fn the_work_is_spread_over_all_members() {
    let members = members(39, 13);
    let mut load: BTreeMap<usize, usize> = BTreeMap::new();
    for other in 0..39 {
        for me in 0..39 {
            let rank = observer::rank(&members, &node(me), &node(other));
            if rank.is_some_and(|rank| rank < OBSERVERS) {
                *load.entry(me).or_default() += 1;
            }
        }
    }
    assert_eq!(load.values().sum::<usize>(), 39 * OBSERVERS);
    assert!(load.values().all(|count| *count <= 4 * OBSERVERS));
}

#[test]
fn the_first_observers_act_at_once_and_the_others_after_doubling_delays() {
    let members = members(330, 13);
    let other = node(5);
    let mut delays: Vec<(usize, Millis)> = (0..330)
        .filter(|me| *me != 5)
        .map(|me| {
            let rank = observer::rank(&members, &node(me), &other);
            let delay = observer::delay(&members, &node(me), &other, UNIT);
            (rank.expect("another member"), delay)
        })
        .collect();
    delays.sort();
    let at = |rank: usize| delays[rank].1;
    assert!((0..OBSERVERS).all(|rank| at(rank) == Millis(0)));
    assert_eq!(at(OBSERVERS), UNIT);
    assert_eq!(at(2 * OBSERVERS), Millis(3 * UNIT.0));
    assert_eq!(at(328), Millis(1023 * UNIT.0));
}

#[test]
fn in_the_fleets_of_today_nobody_waits() {
    let members = members(4, 3);
    for me in 0..4 {
        for other in (0..4).filter(|other| *other != me) {
            let delay = observer::delay(&members, &node(me), &node(other), UNIT);
            assert_eq!(delay, Millis(0));
        }
    }
}

#[test]
fn a_node_that_isnt_a_member_waits_longest() {
    let members = members(12, 3);
    let stranger: Node = "stranger".parse().expect("valid name");
    let delay = observer::delay(&members, &stranger, &node(1), UNIT);
    let longest = (0..12).filter(|me| *me != 1);
    let longest = longest
        .map(|me| observer::delay(&members, &node(me), &node(1), UNIT))
        .max();
    assert!(Some(delay) >= longest);
}
