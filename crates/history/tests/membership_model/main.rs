//! Seeded model of the history's membership in fine steps.
//!
//! Guards against 404 for a stored turn, and against a history that never serves again. Both came about
//! between two steps of a change of the membership: a host was killed, paused or cut off after the
//! membership object named its disk and before enough others knew of it, or it copied the others' records
//! while a turn was on its way to them. `interleavings` takes such a change as one step.
//!
//! Here each message to one disk, each answer, each sync and each step of a host's process is an event of
//! its own, which may be delayed, lost, or answered with the answer lost. The index, the membership, its
//! changes and its quorums are the product's; [`host`], [`place`], [`copy`], [`evict`], [`retire`], [`disk`]
//! and [`client`] mirror the product's join, place, copy, evict, retire, server and client step by step, and
//! change with them. Besides the clients, [`patient`] readers check every committed turn under every membership,
//! as late as they can.
//!
//! `MODEL_SEEDS` and `MODEL_FIRST_SEED` set the seeds of a run by hand, `MODEL_TRACE` prints the events of
//! seeds that fail.

mod client;
mod copy;
mod core;
mod disk;
mod evict;
mod faults;
mod host;
mod patient;
mod place;
mod retire;
mod rules;
mod slot;
mod world;

use std::ops::Range;

use rstest::rstest;

use crate::rules::Events;
use crate::rules::Failure;
use crate::rules::Mutation;
use crate::rules::Scenario;
use crate::world::Counts;
use crate::world::World;

const ADDED: Events = Events {
    added: 3,
    ..Events::FEW
};
const WIPED: Events = Events {
    wipes: true,
    storms: true,
    ..Events::FEW
};
/// Hosts are added and others are gone for good, as in planned replacements.
const REMOVED: Events = Events {
    removals: true,
    ..ADDED
};
const RETIRED: Events = Events {
    retirements: true,
    ..Events::FEW
};
/// Kills at the first start, after which the hosts are told again that it is the first start.
const FIRST_START: Events = Events {
    kills_at_first_start: true,
    first_start_is_forgotten: false,
    ..Events::FEW
};

fn run(scenario: Scenario, seed: u64) -> Result<Counts, Failure> {
    let mut world = World::new(scenario, seed);
    let steps = 6_000 + 800 * scenario.hosts;
    let result = world.run(steps).and_then(|()| world.calm_down());
    if result.is_err() {
        world.trace().iter().for_each(|event| eprintln!("{event}"));
    }
    result.map(|()| world.counts())
}

/// These seeds, unless a run by hand sets others.
fn seeds(default: Range<u64>) -> Range<u64> {
    let read = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let count = read("MODEL_SEEDS").unwrap_or(default.end - default.start);
    let first = read("MODEL_FIRST_SEED").unwrap_or(default.start);
    first..first + count
}

/// Runs seeds and returns the failures.
fn failures(scenario: Scenario, default: Range<u64>) -> Vec<(u64, Failure)> {
    let mut totals = Counts::default();
    let mut failures = Vec::new();
    let seeds = seeds(default);
    for seed in seeds.clone() {
        match run(scenario, seed) {
            Ok(counts) => totals.add(&counts),
            Err(failure) => failures.push((seed, failure)),
        }
    }
    println!("seeds {seeds:?}, {totals:?}, {scenario:?}: {failures:#?}");
    failures
}

/// Guards against 404 for a stored turn, and against hosts that never join, with today's rules.
#[rstest]
#[case(3, 1)]
#[case(4, 1)]
#[case(5, 2)]
#[case(8, 2)]
#[case(21, 2)]
#[case(36, 2)]
fn a_committed_turn_is_never_absent_and_nothing_is_stuck_in_calm(
    #[case] hosts: usize,
    #[case] losses: usize,
    #[values(Events::ALL, ADDED, REMOVED, WIPED, FIRST_START)] events: Events,
) {
    let scenario = Scenario {
        hosts,
        losses,
        events,
        mutation: None,
    };
    // Runs of more hosts take longer.
    let count = (240 / hosts as u64).clamp(6, 40);
    let failures = failures(scenario, 0..count);
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a model that is too coarse to detect a fault of the rules.
#[rstest]
#[case::new_disk_acknowledges_at_once(Mutation::NewDiskAcknowledgesAtOnce, 5, 2, ADDED, 0)]
#[case::informed_and_copied_apart(Mutation::InformedAndCopiedApart, 5, 2, WIPED, 0)]
#[case::joiners_are_sources(Mutation::JoinersAreSources, 5, 2, WIPED, 400)]
#[case::retired_host_reopens(Mutation::RetiredHostReopens, 4, 1, RETIRED, 2000)]
#[case::small_read_quorum(Mutation::SmallReadQuorum, 5, 2, Events::FEW, 0)]
#[case::any_informed_disk_counts(Mutation::AnyInformedDiskCounts, 3, 1, ADDED, 0)]
#[case::evicted_without_restoring(Mutation::EvictedWithoutRestoring, 3, 1, REMOVED, 0)]
#[case::evicted_without_vacancy(Mutation::EvictedWithoutVacancy, 3, 1, REMOVED, 2000)]
fn the_model_detects_a_rule_that_is_left_out(
    #[case] mutation: Mutation,
    #[case] hosts: usize,
    #[case] losses: usize,
    #[case] events: Events,
    #[case] first_seed: u64,
) {
    let scenario = Scenario {
        hosts,
        losses,
        events,
        mutation: Some(mutation),
    };
    let found = seeds(first_seed..first_seed + 2_000).find_map(|seed| match run(scenario, seed) {
        Err(Failure::Absent(turn)) => Some(format!("seed {seed}: {turn}")),
        _ => None,
    });
    println!("{mutation:?}: {found:?}");
    assert!(found.is_some(), "{mutation:?} isn't detected");
}

/// Guards against faults of the rules that the model has found; each case says how they come about in
/// `faults`.
#[rstest]
#[case::retirement_beside_lost_disks(21, 2, faults::RETIREMENT_BESIDE_LOST_DISKS, 49)]
#[case::dark_member_replaced_beside_lost_disks(5, 2, faults::DARK_MEMBER_REPLACED, 271)]
#[case::late_update_of_a_killed_retirement(4, 1, faults::LATE_LEAVE, 1599)]
#[case::late_update_of_a_replacement(3, 1, faults::LATE_REPLACEMENT, 836)]
#[case::killed_before_the_sync_and_then_without_power(3, 1, faults::UNSYNCED, 37)]
#[case::killed_at_the_first_start(5, 2, faults::KILLED_AT_FIRST_START, 2)]
#[case::answers_lost_at_the_first_start(4, 1, faults::ANSWERS_LOST_AT_FIRST_START, 1267)]
#[case::two_joining_hosts_wait_for_each_other(3, 1, faults::ADDED_AFTER_A_FAILED_REPLACEMENT, 94)]
#[case::an_added_host_waits_for_a_wiped_one(3, 1, faults::ADDED_AFTER_A_FAILED_REPLACEMENT, 76)]
#[case::joining_ends_under_an_older_membership(3, 1, ADDED, 491119)]
#[case::disks_are_lost_beside_a_vacancy(21, 2, faults::DISKS_LOST_BESIDE_A_VACANCY, 9100205)]
fn a_run_that_broke_todays_rules_passes(
    #[case] hosts: usize,
    #[case] losses: usize,
    #[case] events: Events,
    #[case] seed: u64,
) {
    let scenario = Scenario {
        hosts,
        losses,
        events,
        mutation: None,
    };
    let failures = failures(scenario, seed..seed + 1);
    assert!(failures.is_empty());
}
