//! Faults in a seeded order: never two owners of a shard, nothing acknowledged is lost.

mod member_common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coord::id::SHARDS;
use coord::id::Shard;
use entry::member::Member;
use fakes::platform::Faults;
use fakes::platform::Platform;
use member_common::LEASE;
use member_common::Node;
use member_common::down;
use member_common::open_all;
use member_common::platform;
use member_common::programs_of;
use member_common::settled;
use member_common::until;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::sleep;

/// Faults in one run.
const STEPS: usize = 8;

/// Looks for a shard over which two nodes have authority at one moment, until told to stop.
fn watch(members: Vec<Arc<Member>>, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            for shard in (0..SHARDS).map(Shard) {
                for (first, second) in pairs(&members) {
                    assert!(
                        !both_own(first, second, shard),
                        "two owners of shard {shard}"
                    );
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    })
}

fn pairs(members: &[Arc<Member>]) -> impl Iterator<Item = (&Member, &Member)> {
    let all = move |first: usize| {
        members[first + 1..]
            .iter()
            .map(move |m| (&*members[first], &**m))
    };
    (0..members.len()).flat_map(all)
}

fn both_own(first: &Member, second: &Member, shard: Shard) -> bool {
    let Some(before) = first.authority(shard) else {
        return false;
    };
    let other = second.authority(shard).is_some();
    let after = first
        .authority(shard)
        .is_some_and(|after| after.epoch == before.epoch);
    other && after
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_paused_owner_wakes_up_without_authority() {
    let platform = platform().await;
    let mut a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    settled(&[&a, &b]).await;
    let programs = programs_of(&a, "p", 20);
    open_all(&a, &programs).await;
    let stop = Arc::new(AtomicBool::new(false));
    let members = vec![Arc::clone(&a.member), Arc::clone(&b.member)];
    let watching = watch(members, Arc::clone(&stop));
    a.pause(Duration::from_millis(4 * LEASE));
    until("a takeover", || {
        programs.iter().all(|program| b.holds(program))
    })
    .await;
    assert!(
        programs
            .iter()
            .all(|program| a.open(&format!("{program}x")).is_err())
    );
    settled(&[&a, &b]).await;
    stop.store(true, Ordering::Relaxed);
    watching.join().unwrap();
    assert!(
        programs
            .iter()
            .all(|program| a.holds(program) || b.holds(program))
    );
}

fn inflict(random: &mut StdRng, platform: &Platform, nodes: &mut [Node]) {
    let count = nodes.len();
    let node = &mut nodes[random.random_range(0..count)];
    let length = random.random_range(LEASE / 3..2 * LEASE);
    let faults = match random.random_range(0..6) {
        0 => down(),
        1 => Faults {
            lose_replies: 5,
            ..Faults::default()
        },
        2 => Faults {
            stale_reads_ms: length,
            ..Faults::default()
        },
        3 => Faults {
            slow_ms: random.random_range(20..LEASE / 6),
            ..Faults::default()
        },
        _ => {
            node.pause(Duration::from_millis(length));
            Faults::default()
        }
    };
    platform.set_faults(faults);
}

/// Opens programs wherever they belong; those whose records stand in two places are returned.
async fn open_some(nodes: &[Node], names: &[String]) -> Vec<String> {
    let mut acknowledged = Vec::new();
    for name in names {
        let mut running = nodes.iter().filter(|node| !node.is_paused());
        let durable = running.find_map(|node| node.open(name).ok());
        let Some(durable) = durable else { continue };
        if durable.wait().await.is_ok() {
            acknowledged.push(name.clone());
        }
    }
    acknowledged
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faults_in_any_order_lose_nothing_acknowledged(#[values(1, 2, 3)] seed: u64) {
    eprintln!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let platform = platform().await;
    let mut nodes = Vec::new();
    for (name, data_centre) in [("a", "dc-1"), ("b", "dc-2"), ("c", "dc-3")] {
        nodes.push(Node::start(&platform, name, data_centre).await);
    }
    settled(&nodes.iter().collect::<Vec<_>>()).await;
    let stop = Arc::new(AtomicBool::new(false));
    let members = nodes.iter().map(|node| Arc::clone(&node.member)).collect();
    let watching = watch(members, Arc::clone(&stop));
    let mut acknowledged = Vec::new();
    for step in 0..STEPS {
        inflict(&mut random, &platform, &mut nodes);
        for round in 0..10 {
            let names: Vec<String> = (0..10)
                .map(|number| format!("p-{step}-{round}-{number}"))
                .collect();
            acknowledged.extend(open_some(&nodes, &names).await);
            sleep(Duration::from_millis(LEASE / 10)).await;
        }
    }
    platform.set_faults(Faults::default());
    settled(&nodes.iter().collect::<Vec<_>>()).await;
    stop.store(true, Ordering::Relaxed);
    watching.join().unwrap();
    assert!(!acknowledged.is_empty());
    let lost: Vec<&String> = acknowledged
        .iter()
        .filter(|name| !nodes.iter().any(|node| node.holds(name)))
        .collect();
    assert!(lost.is_empty(), "of {} lost: {lost:?}", acknowledged.len());
}
