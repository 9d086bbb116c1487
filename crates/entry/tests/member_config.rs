//! Leases and configuration: lost replies, fences, racing tickets, outages, stale reads.

mod member_common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Ticket;
use entry::tickets;
use entry::tickets::Verdict;
use fakes::platform::Faults;
use member_common::LEASE;
use member_common::Node;
use member_common::OUTAGE;
use member_common::down;
use member_common::open_all;
use member_common::platform;
use member_common::programs_of;
use member_common::rate;
use member_common::settled;
use member_common::ticket;
use member_common::until;
use node::platform::Condition;
use node::platform::Platform as Client;
use rstest::rstest;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_ticket_is_in_force_everywhere() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    until("leases", || a.member.fresh() && b.member.fresh()).await;
    assert_eq!(
        tickets::put(&a.member, ticket(1, "x", 1.0)).await,
        Verdict::Accepted
    );
    until("the ticket at both", || {
        rate(&a, "x") == Some(1.0) && rate(&b, "x") == Some(1.0)
    })
    .await;
    assert_eq!(
        tickets::put(&b.member, ticket(1, "x", 1.0)).await,
        Verdict::Accepted
    );
    assert_eq!(
        tickets::put(&b.member, ticket(1, "x", 2.0)).await,
        Verdict::Conflict
    );
    assert_eq!(
        tickets::put(&b.member, ticket(3, "x", 3.0)).await,
        Verdict::Accepted
    );
    assert_eq!(
        tickets::put(&a.member, ticket(2, "x", 2.0)).await,
        Verdict::Superseded
    );
    until("the newer one", || {
        rate(&a, "x") == Some(3.0) && rate(&b, "x") == Some(3.0)
    })
    .await;
    let found = tickets::get(&b.member, Ticket(1)).await.unwrap();
    assert_eq!(found, Some(ticket(1, "x", 1.0)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_ticket_whose_reply_is_lost_is_accepted_once() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    until("a lease", || a.member.fresh()).await;
    platform.set_faults(Faults {
        lose_replies: 1,
        lose_prefix: "ticket/".to_owned(),
        ..Faults::default()
    });
    assert_eq!(
        tickets::put(&a.member, ticket(1, "x", 1.0)).await,
        Verdict::Accepted
    );
    assert_eq!(platform.stats().lost, 1);
    assert_eq!(rate(&a, "x"), Some(1.0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_racing_tickets_with_one_number_one_wins() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    until("leases", || a.member.fresh() && b.member.fresh()).await;
    for number in 1..20 {
        let (first, second) = tokio::join!(
            tickets::put(&a.member, ticket(number, "x", 1.0)),
            tickets::put(&b.member, ticket(number, "x", 2.0)),
        );
        let verdicts = [first, second];
        assert!(verdicts.contains(&Verdict::Accepted), "{verdicts:?}");
        assert!(verdicts.contains(&Verdict::Conflict), "{verdicts:?}");
    }
    until("the same rate", || rate(&a, "x") == rate(&b, "x")).await;
}

#[rstest]
#[case::renewal("lease/a", 3)]
#[case::shard_map("shard-map", 2)]
#[case::log("log/", 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_replies_cost_no_authority(#[case] prefix: &str, #[case] count: u32) {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    settled(&[&a, &b]).await;
    let node = a.member.node();
    platform.set_faults(Faults {
        lose_replies: count,
        lose_prefix: prefix.to_owned(),
        ..Faults::default()
    });
    let c = Node::start(&platform, "c", "dc-3").await;
    until("lost replies", || platform.stats().lost == u64::from(count)).await;
    settled(&[&a, &b, &c]).await;
    assert_eq!(a.member.node(), node);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fenced_node_loses_its_shards_and_joins_afresh() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    settled(&[&a, &b]).await;
    let programs = programs_of(&a, "p", 20);
    open_all(&a, &programs).await;
    let old = a.member.node();
    let fence = format!("{{\"node\":\"{old}\",\"counter\":0,\"revoked\":true}}");
    let client = Client::new(
        &format!("http://{}", platform.address()),
        member_common::PATIENCE,
    );
    client
        .put(&format!("lease/{old}"), Bytes::from(fence), Condition::Any)
        .await
        .unwrap();
    until("a fresh name", || a.member.node() != old).await;
    until("the old name out of the map", || {
        b.member.map().member(&old).is_none()
    })
    .await;
    settled(&[&a, &b]).await;
    assert!(
        programs
            .iter()
            .all(|program| a.holds(program) || b.holds(program))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn members_go_on_by_promises_while_the_platform_is_down() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    settled(&[&a, &b]).await;
    platform.set_faults(down());
    let rounds = 8;
    for round in 0..rounds {
        sleep(Duration::from_millis(LEASE / 2)).await;
        until("authority", || a.member.fresh() && !a.led().is_empty()).await;
        open_all(&a, &programs_of(&a, &format!("p{round}"), 5)).await;
    }
    assert_eq!(
        tickets::put(&a.member, ticket(1, "x", 1.0)).await,
        Verdict::NotAccepted
    );
    platform.set_faults(Faults::default());
    settled(&[&a, &b]).await;
    assert_eq!(
        tickets::put(&a.member, ticket(1, "x", 1.0)).await,
        Verdict::Accepted
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn without_platform_and_peer_nobody_acts() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let mut b = Node::start(&platform, "b", "dc-2").await;
    settled(&[&a, &b]).await;
    platform.set_faults(down());
    b.kill();
    until("no authority", || a.led().is_empty()).await;
    assert!(a.open("p-1").is_err());
    platform.set_faults(Faults::default());
    until("authority over all shards", || {
        a.led().len() == usize::from(coord::id::SHARDS)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_that_starts_in_an_outage_learns_the_newest_configuration() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    until("a lease", || a.member.fresh()).await;
    assert_eq!(
        tickets::put(&a.member, ticket(1, "x", 1.0)).await,
        Verdict::Accepted
    );
    assert_eq!(
        tickets::put(&a.member, ticket(2, "x", 2.0)).await,
        Verdict::Accepted
    );
    platform.set_faults(down());
    let b = Node::start_with(&platform, "b", "dc-2", OUTAGE, &[a.address()]).await;
    until("the configuration", || rate(&b, "x") == Some(2.0)).await;
    assert!(!b.member.fresh());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stale_reads_revert_nothing() {
    let platform = platform().await;
    let a = Node::start(&platform, "a", "dc-1").await;
    let b = Node::start(&platform, "b", "dc-2").await;
    settled(&[&a, &b]).await;
    for number in 1..10 {
        let change = ticket(number, "x", number as f64);
        assert_eq!(tickets::put(&a.member, change).await, Verdict::Accepted);
    }
    let seen = Arc::clone(&a.member.map());
    platform.set_faults(Faults {
        stale_reads_ms: 3_000,
        ..Faults::default()
    });
    let changes = a.member.changes();
    for _ in 0..100 {
        sleep(Duration::from_millis(10)).await;
        assert_eq!(rate(&a, "x"), Some(9.0));
        assert!(a.member.map().version >= seen.version);
        assert!(*changes.borrow() >= Ticket(9));
    }
    platform.set_faults(Faults::default());
    settled(&[&a, &b]).await;
    assert_eq!(rate(&b, "x"), Some(9.0));
}
