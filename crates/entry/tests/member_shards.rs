//! Shards: joining, standbys, takeover, handover, recovery from the log.

mod member_common;

use coord::id::Shard;
use coord::shard::Map;
use entry::upkeep::OBJECT;
use member_common::Node;
use member_common::PATIENCE;
use member_common::down;
use member_common::open_all;
use member_common::platform;
use member_common::programs_of;
use member_common::settled;
use member_common::shared_programs;
use member_common::until;
use node::platform::Condition;
use node::platform::Platform as Client;

const PROGRAMS: usize = 40;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn members_share_the_shards_with_standbys_in_other_data_centres() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    let c = Node::start(&platform, "c", "dc-3").await;
    settled(&[&a, &b, &c]).await;
    let map = a.member.map();
    for owner in &map.shards {
        let (primary, standby) = (
            owner.primary.clone().unwrap(),
            owner.standby.clone().unwrap(),
        );
        let centre = |node| map.member(&node).unwrap().data_centre.clone();
        assert_ne!(centre(primary), centre(standby));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn takeover_keeps_all_acknowledged_records() {
    let platform = platform().await;
    let mut a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    let c = Node::start(&platform, "c", "dc-3").await;
    settled(&[&a, &b, &c]).await;
    let programs = programs_of(&a, "p", PROGRAMS);
    open_all(&a, &programs).await;
    a.kill();
    until("every program at a new primary", || {
        programs
            .iter()
            .all(|program| b.holds(program) || c.holds(program))
    })
    .await;
    settled(&[&b, &c]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_log_gives_back_records_when_both_owners_are_gone() {
    let platform = platform().await;
    let mut a = Node::start(&platform, "a", "dc-1").await;
    let mut b = Node::start(&platform, "b", "dc-2").await;
    let mut c = Node::start(&platform, "c", "dc-3").await;
    settled(&[&a, &b, &c]).await;
    let mut programs = shared_programs(&a, &b, "p", PROGRAMS);
    if programs.is_empty() {
        std::mem::swap(&mut b, &mut c);
        programs = shared_programs(&a, &b, "p", PROGRAMS);
    }
    assert!(!programs.is_empty());
    open_all(&a, &programs).await;
    until("a written log", || a.member.journal().is_idle()).await;
    a.kill();
    b.kill();
    until("every program read back", || {
        programs.iter().all(|program| c.holds(program))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_copy_that_the_map_did_not_name_is_not_taken_for_the_newest() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    settled(&[&a, &b]).await;
    let programs = programs_of(&a, "p", PROGRAMS);
    open_all(&a, &programs).await;
    until("a written log", || a.member.journal().is_idle()).await;
    let shards: Vec<Shard> = programs
        .iter()
        .map(|program| Shard::of_program(&program.parse().unwrap()))
        .collect();
    let client = Client::new(&format!("http://{}", platform.address()), PATIENCE);
    // As after the death of an owner without a standby; the other node still holds a copy.
    loop {
        let object = client.get(OBJECT).await.unwrap().unwrap();
        let mut map: Map = serde_json::from_slice(&object.value).unwrap();
        for shard in &shards {
            let owner = &mut map.shards[usize::from(shard.0)];
            owner.primary = Some(b.member.node());
            owner.standby = None;
            owner.epoch.0 += 2;
            owner.lost = true;
        }
        let value = serde_json::to_vec(&map).unwrap();
        let condition = Condition::At(object.version);
        if client.put(OBJECT, value.into(), condition).await.is_ok() {
            break;
        }
    }
    until("recovery", || {
        programs.iter().all(|program| b.holds(program))
    })
    .await;
    for shard in shards {
        let lost = b
            .member
            .shards()
            .inspect(shard, |state| state.replica.lost_ms());
        assert!(
            lost.flatten().is_some(),
            "shard {shard} was taken from a copy"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crash_of_all_is_recovered_after_the_bound_on_promises() {
    const OUTAGE: u64 = 2 * member_common::LEASE;
    let platform = platform().await;
    let mut a = Node::start_with(&platform, "a", "dc-1", OUTAGE, &[]).await;
    let mut b = Node::start_with(&platform, "b", "dc-2", OUTAGE, &[]).await;
    settled(&[&a, &b]).await;
    let programs = programs_of(&a, "p", PROGRAMS);
    open_all(&a, &programs).await;
    until("a written log", || a.member.journal().is_idle()).await;
    a.kill();
    b.kill();
    let c = Node::start_with(&platform, "c", "dc-3", OUTAGE, &[]).await;
    until("every program read back", || {
        programs.iter().all(|program| c.holds(program))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_hands_over_every_shard() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    let c = Node::start(&platform, "c", "dc-3").await;
    settled(&[&a, &b, &c]).await;
    let programs = programs_of(&a, "p", PROGRAMS);
    open_all(&a, &programs).await;
    a.member.shed(member_common::PATIENCE).await;
    a.member.depart(member_common::PATIENCE).await;
    assert!(platform.names("lease/a").is_empty());
    assert!(a.led().is_empty());
    // Both must know of the last handover: a node leads only what its own map names.
    until("the map without it at both", || {
        let (known_to_b, known_to_c) = (b.member.map(), c.member.map());
        known_to_b.members.len() == 2 && known_to_c.version == known_to_b.version
    })
    .await;
    assert!(
        programs
            .iter()
            .all(|program| b.holds(program) || c.holds(program))
    );
    let never_lost = b.member.map().shards.iter().all(|owner| !owner.lost);
    assert!(never_lost);
    settled(&[&b, &c]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn records_count_by_the_log_while_there_is_no_standby() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    until("authority", || {
        a.led().len() == usize::from(coord::id::SHARDS)
    })
    .await;
    open_all(&a, &programs_of(&a, "p", PROGRAMS)).await;
    platform.set_faults(down());
    let program = programs_of(&a, "q", 1).remove(0);
    let durable = a.open(&program);
    if let Ok(durable) = durable {
        assert!(durable.wait().await.is_err());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_dead_standby_gives_way_to_another() {
    let platform = platform().await;
    let mut a = Node::start(&platform, "a", "dc-1").await;
    let mut b = Node::start(&platform, "b", "dc-2").await;
    settled(&[&a, &b]).await;
    b.kill();
    let programs = programs_of(&a, "p", PROGRAMS);
    open_all(&a, &programs).await;
    let c = Node::start(&platform, "c", "dc-3").await;
    until("the dead member out", || {
        let map = c.member.map();
        map.members.len() == 2
            && map
                .members
                .iter()
                .all(|m| !m.node.as_str().starts_with('b'))
    })
    .await;
    settled(&[&a, &c]).await;
    a.kill();
    until("every program at the new standby", || {
        programs.iter().all(|program| c.holds(program))
    })
    .await;
}
