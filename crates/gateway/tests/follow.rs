//! Tests of following objects through broken watches, expired revisions and outages.

use std::sync::Mutex;
use std::time::Duration;

use gateway::follow::Event;
use gateway::follow::Follower;
use gateway::freshness::Freshness;
use node::object::Change;
use node::object::Changes;
use node::object::Error;
use node::object::Kind;
use node::object::Listing;
use node::object::Object;
use node::object::ObjectStore;
use node::object::Revision;
use rstest::rstest;
use serde_json::Value;

/// Age of the knowledge at which the store is asked again; longer than these tests' answers take.
const AGE_LIMIT: Duration = Duration::from_secs(100);

/// Scripted answer of the object store.
#[derive(Debug)]
enum Answer {
    List(Result<u64, Error>),
    Watch(Result<u64, Error>),
    /// A watch whose wait ends at this revision without changes.
    Unchanged(u64),
    /// A watch that is never answered.
    Lost,
}

/// Object store that gives its answers in order and then no more, and records the calls.
#[derive(Debug)]
struct ScriptedStore {
    answers: Mutex<Vec<Answer>>,
    calls: Mutex<Vec<String>>,
}

fn object(revision: u64) -> Object {
    Object {
        name: "main".to_owned(),
        revision: Revision(revision),
        spec: Value::Null,
        status: Value::Null,
    }
}

impl ScriptedStore {
    fn new(mut answers: Vec<Answer>) -> ScriptedStore {
        answers.reverse();
        ScriptedStore {
            answers: Mutex::new(answers),
            calls: Mutex::default(),
        }
    }

    fn next_answer(&self, call: String) -> Option<Answer> {
        self.calls.lock().expect("lock").push(call);
        self.answers.lock().expect("lock").pop()
    }
}

impl ObjectStore for ScriptedStore {
    async fn get(&self, _: Kind, _: &str) -> Result<Option<Object>, Error> {
        Ok(None)
    }

    async fn list(&self, _: Kind) -> Result<Listing, Error> {
        match self.next_answer("list".to_owned()) {
            Some(Answer::List(result)) => result.map(|revision| Listing {
                objects: vec![object(revision)],
                revision: Revision(revision),
            }),
            Some(answer) => panic!("{answer:?} was expected"),
            None => std::future::pending().await,
        }
    }

    async fn watch(&self, _: Kind, since: Revision, _: Duration) -> Result<Changes, Error> {
        match self.next_answer(format!("watch {since}")) {
            Some(Answer::Watch(result)) => result.map(|revision| Changes {
                changes: vec![Change::Put(object(revision))],
                revision: Revision(revision),
            }),
            Some(Answer::Unchanged(revision)) => Ok(Changes {
                changes: Vec::new(),
                revision: Revision(revision),
            }),
            Some(Answer::List(_)) => panic!("a listing was expected"),
            Some(Answer::Lost) | None => std::future::pending().await,
        }
    }

    async fn create(&self, _: Kind, _: &str, _: Value) -> Result<(), Error> {
        Ok(())
    }

    async fn update(&self, _: Kind, _: &str, _: Revision, _: Value) -> Result<(), Error> {
        Ok(())
    }

    async fn set_status(&self, _: Kind, _: &str, _: Value) -> Result<(), Error> {
        Ok(())
    }
}

async fn run(store: &ScriptedStore) -> Vec<String> {
    run_with(store, AGE_LIMIT).await
}

async fn run_with(store: &ScriptedStore, age_limit: Duration) -> Vec<String> {
    let events = Mutex::new(Vec::new());
    let freshness = Freshness::default();
    let follower = Follower {
        objects: store,
        kind: Kind::Config,
        freshness: &freshness,
        age_limit: || age_limit,
        random: || 0.5,
    };
    let following = follower.run(|_, event| {
        events.lock().expect("lock").push(match event {
            Event::Listed(_, revision) => format!("listed {revision}"),
            Event::Changed(_, revision) => format!("changed {revision}"),
            Event::Unchanged(_) => return,
            Event::Unavailable => "lost".to_owned(),
            Event::Available => "regained".to_owned(),
        });
    });
    let _ = tokio::time::timeout(Duration::from_secs(60), following).await;
    events.into_inner().expect("lock")
}

fn calls(store: &ScriptedStore) -> Vec<String> {
    store.calls.lock().expect("lock").clone()
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn watches_continue_from_the_revision_of_the_listing() {
    let store = ScriptedStore::new(vec![
        Answer::List(Ok(5)),
        Answer::Watch(Ok(6)),
        Answer::Watch(Ok(9)),
    ]);
    let events = run(&store).await;
    assert_eq!(events, ["regained", "listed 5", "changed 6", "changed 9"]);
    assert_eq!(calls(&store), ["list", "watch 5", "watch 6", "watch 9"]);
}

#[rstest]
#[case(Error::Expired)]
#[case(Error::Unavailable("turned away".to_owned()))]
#[case(Error::ConnectionLost("reset".to_owned()))]
#[tokio::test(start_paused = true)]
async fn a_failed_watch_is_followed_by_a_new_listing(#[case] error: Error) {
    let store = ScriptedStore::new(vec![
        Answer::List(Ok(5)),
        Answer::Watch(Err(error)),
        Answer::List(Ok(8)),
    ]);
    let events = run(&store).await;
    assert_eq!(events, ["regained", "listed 5", "listed 8"]);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_short_failure_is_not_reported_as_an_outage_and_a_long_one_is_reported_once() {
    let away = || Err(Error::Unavailable("turned away".to_owned()));
    let mut answers = vec![Answer::List(Ok(5)), Answer::Watch(away())];
    answers.extend((0..12).map(|_| Answer::List(away())));
    answers.push(Answer::List(Ok(7)));
    let store = ScriptedStore::new(answers);
    let events = run(&store).await;
    assert_eq!(
        events,
        ["regained", "listed 5", "lost", "regained", "listed 7"]
    );
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn calls_to_an_unavailable_store_are_retried_with_growing_delays() {
    let away = || Err(Error::Unavailable("turned away".to_owned()));
    let store = ScriptedStore::new((0..500).map(|_| Answer::List(away())).collect());
    run(&store).await;
    let call_count = calls(&store).len();
    // The outage lasts a minute; the delay grows to at most 1.2 s, and is half of that on average.
    assert!((40..160).contains(&call_count), "{call_count}");
}

/// Guards against a watch that the store never received: it looks like one that waits, and its process
/// hears of no change until it times out.
#[rstest]
#[tokio::test(start_paused = true)]
async fn changes_that_a_lost_watch_does_not_bring_are_asked_for_at_the_age_limit() {
    let store = ScriptedStore::new(vec![
        Answer::List(Ok(5)),
        Answer::Lost,
        Answer::Unchanged(6),
        Answer::Watch(Ok(8)),
        Answer::Watch(Ok(9)),
    ]);
    let events = run_with(&store, Duration::from_millis(600)).await;
    assert_eq!(events, ["regained", "listed 5", "changed 8", "changed 9"]);
    let expected = ["list", "watch 5", "watch 5", "watch 5", "watch 8"];
    assert_eq!(calls(&store)[..5], expected);
}

/// Guards against changes that the store left out for a moment before it lost its history: the next
/// watch begins before the answer without changes.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_watch_after_an_answer_without_changes_overlaps_with_it() {
    let store = ScriptedStore::new(vec![
        Answer::List(Ok(5)),
        Answer::Unchanged(7),
        Answer::Unchanged(9),
        Answer::Unchanged(12),
        Answer::Watch(Ok(13)),
    ]);
    run(&store).await;
    let expected = ["list", "watch 5", "watch 5", "watch 7", "watch 9"];
    assert_eq!(calls(&store)[..5], expected);
}
