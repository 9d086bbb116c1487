//! Changes and plans of the shard map: epochs never decrease, few shards move, and primary and
//! standby are in different data centres.

mod common;

use std::collections::HashSet;

use common::name;
use coord::id::Node;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::shard::Map;
use coord::shard::Member;
use coord::shard::handover_plan;
use coord::shard::standby_plan;
use proptest::prelude::*;

fn member(number: usize, centres: usize) -> Member {
    let address = ([127, 0, 0, 1], 1000 + number as u16).into();
    Member {
        node: node(number),
        data_centre: name(&format!("dc-{}", number % centres)),
        peers: address,
        callers: address,
        leaving: false,
    }
}

fn node(number: usize) -> Node {
    name(&format!("n{number}"))
}

fn initial_map(nodes: usize, centres: usize) -> Map {
    Map::initial((0..nodes).map(|number| member(number, centres)).collect())
}

/// Carries out the plans of all primaries until they are empty.
fn settle(mut map: Map) -> Map {
    for _ in 0..20 {
        let before = map.clone();
        for primary in map.members.clone() {
            for (shard, standby) in standby_plan(&map, &primary.node) {
                let next = map.with_standby(shard, &primary.node, &standby);
                map = next.unwrap_or(map);
            }
            for shard in handover_plan(&map, &primary.node) {
                map = map.hand_over(shard, &primary.node).expect("has a standby");
            }
        }
        if map == before {
            break;
        }
    }
    map
}

#[derive(Debug, Clone)]
enum Event {
    Join(usize),
    Die(usize),
    Leave(usize),
    Settle,
    DropStandby(u16),
    Recover(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0usize..6).prop_map(Event::Join),
        2 => (0usize..6).prop_map(Event::Die),
        1 => (0usize..6).prop_map(Event::Leave),
        3 => Just(Event::Settle),
        2 => (0u16..SHARDS).prop_map(Event::DropStandby),
        2 => (0u16..SHARDS).prop_map(Event::Recover),
    ]
}

fn apply(map: &Map, event: &Event, centres: usize) -> Map {
    let of_primary = |shard: u16, change: fn(&Map, Shard, &Node) -> Option<Map>| {
        let primary = map.owner(Shard(shard))?.primary.clone()?;
        change(map, Shard(shard), &primary)
    };
    match event {
        Event::Join(number) => map.with_member(member(*number, centres)),
        Event::Die(number) => map.without_member(&node(*number)),
        Event::Leave(number) => map.with_leaving(&node(*number)),
        Event::Settle => settle(map.clone()),
        Event::DropStandby(s) => of_primary(*s, Map::without_standby).unwrap_or(map.clone()),
        Event::Recover(s) => of_primary(*s, Map::with_recovered).unwrap_or(map.clone()),
    }
}

fn check(before: &Map, after: &Map, event: &Event) {
    let nodes: HashSet<&Node> = after.members.iter().map(|member| &member.node).collect();
    for (old, new) in before.shards.iter().zip(&after.shards) {
        assert!(new.epoch >= old.epoch, "the epoch decreased");
        assert!(
            new.primary == old.primary || new.epoch > old.epoch,
            "the primary changed without a new epoch"
        );
        assert!(new.primary.is_none() || new.primary != new.standby);
        assert!(
            [&new.primary, &new.standby]
                .into_iter()
                .flatten()
                .all(|n| nodes.contains(n))
        );
        assert!(new.primary.is_some() || after.active_members().next().is_none());
        let kept_or_from_standby = new.primary == old.primary || new.primary == old.standby;
        let settled = matches!(event, Event::Settle);
        assert!(
            kept_or_from_standby || settled || new.lost || old.primary.is_none(),
            "the new primary has no copy of the shard"
        );
        assert!(
            !old.lost || new.lost || matches!(event, Event::Recover(_)),
            "the loss was cleared without a recovery"
        );
    }
}

/// Whether each pair spans two data centres, if the active members are in two.
fn pairs_span_data_centres(map: &Map) -> bool {
    let centre = |node: &Node| &map.member(node).expect("a member").data_centre;
    let centres: HashSet<_> = map
        .active_members()
        .map(|member| &member.data_centre)
        .collect();
    let pairs = map
        .shards
        .iter()
        .filter_map(|owner| Some((owner.primary.as_ref()?, owner.standby.as_ref()?)));
    let mut pairs = pairs.map(|(primary, standby)| centre(primary) != centre(standby));
    centres.len() < 2 || pairs.all(|spans| spans)
}

proptest! {
    #![proptest_config(common::seeded(200))]

    #[test]
    fn every_change_keeps_epochs_data_centres_and_copies_valid(
        centres in 1usize..4,
        events in prop::collection::vec(event(), 1..25),
    ) {
        let mut map = initial_map(3, centres);
        for event in &events {
            let next = apply(&map, event, centres);
            check(&map, &next, event);
            map = next;
        }
        let settled = settle(map);
        let alone = settled.active_members().count() < 2;
        prop_assert!(alone || pairs_span_data_centres(&settled));
        prop_assert!(alone || settled.shards.iter().all(|o| o.standby.is_some() || o.lost));
    }
}

#[test]
fn a_join_moves_only_the_new_nodes_share() {
    let before = settle(initial_map(3, 3));
    let after = settle(before.with_member(member(4, 5)));
    let pairs = before.shards.iter().zip(&after.shards);
    let moved = pairs
        .filter(|(old, new)| old.primary != new.primary)
        .count();
    let held = |number| after.shard_counts(&node(number)).primary;
    assert_eq!([0, 1, 2, 4].map(held), [64, 64, 64, 64]);
    assert_eq!(moved, 64);
    assert_eq!(after, settle(after.clone()));
}

#[test]
fn a_removed_nodes_shards_move_to_their_standbys_and_no_others_move() {
    let before = settle(initial_map(3, 3));
    let after = before.without_member(&node(1));
    for (old, new) in before.shards.iter().zip(&after.shards) {
        match old.primary == Some(node(1)) {
            true => assert_eq!((&new.primary, new.lost), (&old.standby, false)),
            false => assert_eq!((&new.primary, new.epoch), (&old.primary, old.epoch)),
        }
    }
}

#[test]
fn a_standby_in_the_primarys_data_centre_is_refused_while_there_is_another() {
    let primary = node(0);
    let map = initial_map(4, 2);
    let shard = map.shards_with_primary(&primary)[0];
    assert_eq!(map.with_standby(shard, &primary, &node(2)), None);
    assert_eq!(map.with_standby(shard, &primary, &primary), None);
    assert!(map.with_standby(shard, &primary, &node(1)).is_some());
    let map = map.with_leaving(&node(1)).with_leaving(&node(3));
    assert!(map.with_standby(shard, &primary, &node(2)).is_some());
}

#[test]
fn a_leaving_node_hands_over_all_shards_and_receives_none() {
    let map = settle(settle(initial_map(3, 3)).with_leaving(&node(0)));
    assert_eq!(map.shard_counts(&node(0)), Default::default());
    assert!(
        map.shards
            .iter()
            .all(|owner| !owner.lost && owner.standby.is_some())
    );
}

#[test]
fn a_shard_whose_pair_was_removed_is_lost_until_its_primary_has_recovered() {
    let map = settle(initial_map(2, 2))
        .without_member(&node(0))
        .without_member(&node(1));
    let map = map.with_member(member(2, 2)).with_member(member(3, 2));
    assert!(
        map.shards
            .iter()
            .all(|owner| owner.lost && owner.primary == Some(node(2)))
    );
    assert_eq!(map.with_standby(Shard(0), &node(2), &node(3)), None);
    let map = map.with_recovered(Shard(0), &node(2)).unwrap();
    assert!(map.with_standby(Shard(0), &node(2), &node(3)).is_some());
}
