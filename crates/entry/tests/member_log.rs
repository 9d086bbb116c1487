//! The log of records: large records, deposed primaries, compaction.

mod member_common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Epoch;
use coord::id::Program;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::record::Budget;
use coord::record::Record;
use coord::replica::Limits;
use coord::replica::Replica;
use entry::compaction::covered;
use entry::journal;
use entry::journal::Body;
use entry::journal::Entry;
use entry::journal::Journal;
use entry::replay::rebuild;
use member_common::Node;
use member_common::PATIENCE;
use member_common::open_all;
use member_common::platform;
use member_common::programs_of;
use member_common::until;
use node::platform::Platform as Client;
use tokio::sync::mpsc;

const SHARD: Shard = Shard(7);

fn opened(program: &str) -> Record {
    let budget = Budget {
        tokens: coord::id::Tokens(1_000),
        calls: 10,
        wall_ms: 60_000,
    };
    Record::Opened {
        program: program.parse().unwrap(),
        customer: "customer".parse().unwrap(),
        budget,
        at_ms: 1,
    }
}

fn bytes(record: &Record) -> Bytes {
    Bytes::from(postcard::to_stdvec(record).unwrap())
}

fn records(epoch: u64, first: u64, programs: &[&str]) -> Entry {
    let records = programs
        .iter()
        .map(|program| bytes(&opened(program)))
        .collect();
    Entry {
        shard: SHARD,
        epoch: Epoch(epoch),
        first,
        body: Body::Records(records),
    }
}

fn checkpoint(epoch: u64, first: u64, programs: &[&str]) -> Entry {
    let mut replica = Replica::new(Limits::default());
    programs
        .iter()
        .for_each(|program| replica.apply(&opened(program)));
    let bytes = Bytes::from(replica.encode().unwrap());
    let body = Body::Checkpoint {
        part: 0,
        parts: 1,
        bytes,
    };
    Entry {
        shard: SHARD,
        epoch: Epoch(epoch),
        first,
        body,
    }
}

fn names(replica: &Replica) -> Vec<String> {
    let mut names: Vec<String> = replica
        .programs()
        .map(|(name, _)| name.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn a_deposed_primarys_tail_does_not_count() {
    let entries = vec![
        checkpoint(1, 0, &[]),
        records(1, 0, &["a", "b", "never-durable", "neither"]),
        checkpoint(2, 2, &["a", "b"]),
        records(2, 2, &["c"]),
    ];
    let (replica, next) = rebuild(entries, Limits::default());
    assert_eq!(names(&replica), ["a", "b", "c"]);
    assert_eq!(next, 3);
}

#[test]
fn replay_stops_at_a_gap() {
    let entries = vec![records(1, 0, &["a"]), records(1, 2, &["c"])];
    let (replica, next) = rebuild(entries, Limits::default());
    assert_eq!(names(&replica), ["a"]);
    assert_eq!(next, 1);
}

#[test]
fn an_incomplete_checkpoint_is_passed_over() {
    let mut half = checkpoint(1, 2, &["wrong"]);
    if let Body::Checkpoint { parts, .. } = &mut half.body {
        *parts = 2;
    }
    let entries = vec![records(1, 0, &["a", "b"]), half, records(1, 2, &["c"])];
    let (replica, _) = rebuild(entries, Limits::default());
    assert_eq!(names(&replica), ["a", "b", "c"]);
}

#[test]
fn what_compaction_deletes_is_not_missed() {
    let objects = vec![
        (
            "1".to_owned(),
            vec![checkpoint(1, 0, &[]), records(1, 0, &["a"])],
        ),
        ("2".to_owned(), vec![records(1, 1, &["b"])]),
        (
            "3".to_owned(),
            vec![checkpoint(2, 2, &["a", "b"]), records(2, 2, &["c"])],
        ),
        ("4".to_owned(), vec![records(1, 2, &["tail"])]),
        ("5".to_owned(), vec![records(2, 3, &["d"])]),
    ];
    let all: Vec<Entry> = objects
        .iter()
        .flat_map(|(_, entries)| entries.clone())
        .collect();
    let gone = covered(objects.clone());
    assert_eq!(gone, ["1", "2", "4"]);
    let kept = objects.into_iter().filter(|(name, _)| !gone.contains(name));
    let kept: Vec<Entry> = kept.flat_map(|(_, entries)| entries).collect();
    let (before, after) = (
        rebuild(all, Limits::default()),
        rebuild(kept, Limits::default()),
    );
    assert_eq!(names(&before.0), names(&after.0));
    assert_eq!(before.1, after.1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_record_larger_than_an_object_is_kept_whole() {
    let platform = platform().await;
    let client = Arc::new(Client::new(
        &format!("http://{}", platform.address()),
        PATIENCE,
    ));
    let (news, _written) = mpsc::unbounded_channel();
    let journal = Arc::new(Journal::new(Arc::clone(&client), news));
    let writer = Arc::clone(&journal);
    let running = tokio::spawn(async move { writer.run(|| "a".parse().unwrap()).await });
    let program: Program = "p".parse().unwrap();
    let large = Record::Dispatched {
        call: coord::record::Call::Step(program, coord::id::Step(1)),
        attempt: "attempt".parse().unwrap(),
        sender: "a".parse().unwrap(),
        target: "target".parse().unwrap(),
        content: 1,
        input: vec![7; 3 * 1024 * 1024],
        model: None,
        reserved: coord::id::Tokens(1),
        idempotent: false,
        at_ms: 2,
    };
    let written = [opened("p"), large, opened("q")];
    let encoded: Vec<Bytes> = written.iter().map(bytes).collect();
    journal.append(SHARD, Epoch(1), 0, encoded);
    until("a written log", || journal.is_idle()).await;
    let listing = client
        .list(journal::PREFIX, coord::id::Version(0))
        .await
        .unwrap();
    let entries = listing
        .objects
        .iter()
        .flat_map(|o| journal::decode(&o.value).unwrap());
    let (replica, next) = rebuild(entries.collect(), Limits::default());
    assert_eq!(next, 3);
    assert_eq!(names(&replica), ["p", "q"]);
    assert_eq!(replica.in_flight().len(), 1);
    running.abort();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_log_stays_short_and_gives_everything_back() {
    const ROUNDS: usize = 300;
    let platform = platform().await;
    let mut a = Node::start_with(&platform, "a", "dc-1", member_common::LEASE, &[]).await;
    until("authority", || a.led().len() == usize::from(SHARDS)).await;
    let mut programs = Vec::new();
    for round in 0..ROUNDS {
        let program = programs_of(&a, &format!("p{round}"), 1);
        open_all(&a, &program).await;
        programs.extend(program);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    until("a written log", || a.member.journal().is_idle()).await;
    until("a short log", || {
        platform.names(journal::PREFIX).len() <= 257
    })
    .await;
    a.kill();
    let b = Node::start_with(&platform, "b", "dc-2", member_common::LEASE, &[]).await;
    until("every program read back", || {
        programs.iter().all(|p| b.holds(p))
    })
    .await;
}
