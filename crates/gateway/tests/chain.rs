//! Turns that an entry keeps in memory.

use bytes::Bytes;
use gateway::serve::chain::Cache;
use gateway::serve::chain::Found;
use history::record::Turn;
use history::time::Timestamp;
use rstest::rstest;

fn turn(id: &str, previous: Option<&str>, size: usize) -> Turn {
    Turn {
        id: id.parse().expect("name"),
        customer: "c".parse().expect("name"),
        previous: previous.map(|id| id.parse().expect("name")),
        content: Bytes::from(vec![id.as_bytes()[0]; size]),
        expires: Timestamp(0),
    }
}

fn find(cache: &Cache, id: &str, customer: &str) -> Found {
    cache.find(&id.parse().expect("name"), &customer.parse().expect("name"))
}

#[rstest]
fn a_chain_that_is_known_whole_comes_oldest_first() {
    let mut cache = Cache::new(1_000);
    cache.insert(turn("a", None, 2));
    cache.insert(turn("b", Some("a"), 3));
    let contents = vec![Bytes::from_static(b"aa"), Bytes::from_static(b"bbb")];
    assert_eq!(find(&cache, "b", "c"), Found::Whole(contents));
}

#[rstest]
fn another_customers_turn_is_foreign() {
    let mut cache = Cache::new(1_000);
    cache.insert(turn("a", None, 2));
    assert_eq!(find(&cache, "a", "other"), Found::Foreign);
}

#[rstest]
fn the_oldest_turns_make_room_and_are_named_as_missing() {
    let mut cache = Cache::new(100);
    cache.insert(turn("a", None, 60));
    cache.insert(turn("b", Some("a"), 60));
    let known = vec![Bytes::from(vec![b'b'; 60])];
    let missing = "a".parse().expect("name");
    assert_eq!(find(&cache, "b", "c"), Found::From(missing, known));
}

#[rstest]
fn a_turn_that_is_inserted_again_counts_once() {
    let mut cache = Cache::new(100);
    for _ in 0..10 {
        cache.insert(turn("a", None, 60));
    }
    assert!(matches!(find(&cache, "a", "c"), Found::Whole(_)));
}
