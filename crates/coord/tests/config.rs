//! Tickets merge in any order and never revert an object; nodes that exchange changes hold the same
//! configuration; keys match only their own secret; short-lived reports expire.

mod common;

use common::name;
use common::seeded;
use coord::config::Change;
use coord::config::Config;
use coord::config::Customer;
use coord::config::Name;
use coord::config::Object;
use coord::gossip::ExpiringSet;
use coord::gossip::Summary;
use coord::gossip::missing_changes;
use coord::id::Burst;
use coord::id::Rate;
use coord::id::Ticket;
use coord::key;
use coord::ticket::Verdict;
use coord::ticket::evaluate;
use coord::time::Millis;
use coord::time::Time;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn customer(number: u8, burst: u32) -> Object {
    Object::Customer(Customer {
        id: name(&format!("c{number}")),
        rate: Rate::try_from(1.0).unwrap(),
        burst: Burst(burst),
        weight: 1,
    })
}

fn change(number: u64, set: &[u8], remove: &[u8]) -> Change {
    let removed_name = |number: &u8| Name::Customer(name(&format!("c{number}")));
    Change {
        number: Ticket(number),
        set: set.iter().map(|c| customer(*c, number as u32)).collect(),
        remove: remove.iter().map(removed_name).collect(),
    }
}

/// Changes with distinct ticket numbers.
fn changes() -> impl Strategy<Value = Vec<Change>> {
    let objects = || prop::collection::btree_set(0u8..6, 0..4);
    prop::collection::vec((objects(), objects()), 1..8).prop_map(|parts| {
        let numbered = parts.into_iter().zip(1..);
        let changes = numbered.map(|((set, remove), number)| {
            let removed: Vec<u8> = remove.difference(&set).copied().collect();
            change(number, &set.into_iter().collect::<Vec<u8>>(), &removed)
        });
        changes.collect()
    })
}

fn merge_all(changes: &[Change]) -> Config {
    let mut config = Config::default();
    changes.iter().for_each(|change| drop(config.merge(change)));
    config
}

proptest! {
    #![proptest_config(seeded(300))]

    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        changes in changes(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let mut shuffled: Vec<Change> = order.iter().map(|i| i.get(&changes).clone()).collect();
        shuffled.extend(changes.iter().rev().cloned());
        prop_assert_eq!(merge_all(&shuffled), merge_all(&changes));
    }

    #[test]
    fn no_object_reverts_to_a_lower_ticket(
        changes in changes(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..20),
    ) {
        let mut config = Config::default();
        for index in order {
            let before = config.clone();
            config.merge(index.get(&changes));
            for (name, revision) in before.revisions() {
                prop_assert!(config.revision(name).unwrap().ticket >= revision.ticket);
            }
        }
    }

    #[test]
    fn two_nodes_that_exchange_missing_changes_hold_the_same_configuration(
        changes in changes(),
        split in any::<prop::sample::Index>(),
        limit in 1usize..4,
    ) {
        let (left, right) = changes.split_at(split.index(changes.len()));
        let (mut left, mut right) = (merge_all(left), merge_all(right));
        for round in 0..40 {
            let (of_left, of_right) = (Summary::of(&left), Summary::of(&right));
            let to_right =
                missing_changes(&left, &Summary::from_pairs(of_right.pairs()), round, limit);
            let to_left = missing_changes(&right, &of_left, round, limit);
            to_right.iter().for_each(|change| drop(right.merge(change)));
            to_left.iter().for_each(|change| drop(left.merge(change)));
        }
        prop_assert_eq!(&left, &right);
        prop_assert_eq!(left, merge_all(&changes));
    }
}

#[test]
fn a_ticket_is_checked_against_the_newest_revisions_of_its_objects() {
    let config = merge_all(&[change(5, &[1, 2], &[3]), change(7, &[1], &[])]);
    let verdict = |change: Change| evaluate(&config, &change);
    assert_eq!(verdict(change(8, &[1], &[])), Verdict::Accepted);
    assert_eq!(verdict(change(6, &[1, 4], &[])), Verdict::Accepted);
    assert_eq!(verdict(change(6, &[1], &[])), Verdict::Superseded);
    assert_eq!(verdict(change(5, &[1, 2], &[3])), Verdict::Accepted);
    assert_eq!(verdict(change(5, &[2], &[3])), Verdict::Accepted);
    assert_eq!(verdict(change(5, &[2, 3], &[])), Verdict::Conflict);
    assert_eq!(verdict(change(7, &[4], &[])), Verdict::Conflict);
    assert_eq!(verdict(change(9, &[1], &[1])), Verdict::Conflict);
}

#[test]
fn a_key_matches_only_its_own_name_and_secret_and_is_never_printed() {
    let mut rng = StdRng::seed_from_u64(1);
    let (presented, stored) = key::generate(name("k.1"), name("ana"), &mut rng);
    let (other, _) = key::generate(name("k.1"), name("ana"), &mut rng);
    let secret = presented.rsplit('.').next().unwrap();
    assert!(key::verify(&presented, &stored));
    for wrong in [
        &other,
        secret,
        "",
        "tk.",
        "tk.k.1.",
        &presented.replace("k.1", "k.2"),
    ] {
        assert!(!key::verify(wrong, &stored), "{wrong}");
    }
    let credential = key::Credential::parse(&presented).unwrap();
    assert!(!format!("{credential:?} {stored:?}").contains(secret));
}

#[test]
fn short_lived_reports_expire_although_nodes_relay_them_back_and_forth() {
    let mut nodes = [0, 1].map(|_| ExpiringSet::new(Millis(8000), 2));
    assert!(nodes[0].record_report("bad", Millis(0), Time(0)));
    for round in 0..20u64 {
        let (from, to) = ((round % 2) as usize, (round + 1) as usize % 2);
        let sent = Time(round * 500);
        let reports: Vec<_> = nodes[from]
            .reports(sent)
            .map(|(k, age)| (*k, age))
            .collect();
        for (key, age) in reports {
            nodes[to].record_report(key, age, sent + Millis(400));
        }
    }
    assert!(nodes[0].contains(&"bad", Time(7999)));
    assert!(nodes.iter().all(|node| !node.contains(&"bad", Time(9000))));
    assert!(nodes[0].record_report("bad", Millis(0), Time(9000)));
    nodes[0].record_report("worse", Millis(0), Time(9000));
    assert!(!nodes[0].record_report("third", Millis(0), Time(9000)));
}
