//! At most one node acts for a shard, whichever nodes are cut off from the platform.

#[path = "../common/mod.rs"]
mod common;
mod world;

use common::name;
use coord::id::Node;
use coord::id::Version;
use coord::promise::Holder;
use coord::promise::Vote;
use coord::promise::Voter;
use coord::time::Millis;
use coord::time::Time;
use world::PROMISE_DURATION;
use world::TERMS;
use world::World;

const SCHEDULES: usize = 300;
const STEPS: usize = 300;

#[test]
fn at_most_one_node_acts_for_a_shard() {
    let (mut with_extension, mut with_removal) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed as u64);
        for _ in 0..STEPS {
            world.step();
            world.check();
        }
        with_extension += usize::from(world.extended > 0);
        with_removal += usize::from(world.removed > 0);
    }
    let half = SCHEDULES / 2;
    assert!(
        with_extension > half && with_removal > half,
        "{with_extension} extensions and {with_removal} removals in {SCHEDULES} schedules"
    );
}

#[test]
fn an_owner_stays_valid_while_all_members_promise_up_to_the_maximum_extension() {
    let members = World::new(0).map.members;
    let mut holder = Holder::new(TERMS);
    let version = Version(7);
    let valid = |holder: &Holder, now| holder.is_valid(&members, version, Time(0), Time(now));
    for member in members.iter().skip(1) {
        holder.record_promise(&member.node, version, PROMISE_DURATION, Time(100));
    }
    assert!(!valid(&holder, 150));
    holder.record_promise(&members[0].node, Version(6), PROMISE_DURATION, Time(100));
    assert!(!valid(&holder, 150));
    holder.record_promise(&members[0].node, version, PROMISE_DURATION, Time(120));
    holder.record_promise(&members[0].node, Version(6), PROMISE_DURATION, Time(90));
    assert!(valid(&holder, 299) && !valid(&holder, 300));
    for member in &members {
        holder.record_promise(&member.node, version, PROMISE_DURATION, Time(1400));
    }
    assert!(valid(&holder, 1499) && !valid(&holder, 1500));
}

#[test]
fn a_process_that_has_not_joined_or_has_a_write_in_flight_refuses_promises() {
    let owner: Node = name("n1");
    let mut voter = Voter::new(TERMS);
    let vote = |voter: &mut Voter, version, at| {
        voter.vote(&owner, Version(version), PROMISE_DURATION, Time(at))
    };
    assert_eq!(vote(&mut voter, 3, 200), Vote::Refused);
    voter.record_join(Version(3));
    assert!(voter.begin_write(Version(3), Time(0)));
    assert_eq!(vote(&mut voter, 3, 200), Vote::Refused);
    voter.record_map_version(Version(4));
    voter.record_platform_contact(Time(0));
    assert_eq!(vote(&mut voter, 4, 199), Vote::Refused);
    assert_eq!(vote(&mut voter, 3, 200), Vote::StaleMap(Version(4)));
    assert_eq!(vote(&mut voter, 4, 200), Vote::Promised);
    assert!(!voter.begin_write(Version(4), Time(419)));
    assert!(voter.begin_write(Version(4), Time(420)));
    voter.record_departure(Version(5));
    assert!(!voter.may_write(Time(900)));
    assert_eq!(vote(&mut voter, 5, 200), Vote::Refused);
}

#[test]
fn a_new_member_removes_only_an_owner_whose_map_includes_it_or_whose_extension_is_over() {
    let owner: Node = name("n1");
    let mut voter = Voter::new(TERMS);
    voter.record_join(Version(3));
    voter.record_peer_version(&owner, Version(2));
    let may_remove =
        |voter: &Voter, unrenewed| voter.may_remove(&owner, Millis(unrenewed), Time(0));
    assert!(!may_remove(&voter, 1519));
    assert!(may_remove(&voter, 1520));
    voter.record_peer_version(&owner, Version(3));
    assert!(may_remove(&voter, 0));
}
