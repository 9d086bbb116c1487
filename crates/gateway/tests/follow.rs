//! Following objects through cuts, losses of history and outages.

use std::sync::Mutex;
use std::time::Duration;

use gateway::follow;
use gateway::follow::Event;
use node::object::Change;
use node::object::Changes;
use node::object::Error;
use node::object::Kind;
use node::object::Listing;
use node::object::Object;
use node::object::Objects;
use node::object::Revision;
use rstest::rstest;
use serde_json::Value;

/// Answers that the store gives, in order; then it is silent.
#[derive(Debug)]
enum Answer {
    List(Result<u64, Error>),
    Watch(Result<u64, Error>),
}

#[derive(Debug)]
struct Script {
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

impl Script {
    fn new(mut answers: Vec<Answer>) -> Script {
        answers.reverse();
        Script {
            answers: Mutex::new(answers),
            calls: Mutex::default(),
        }
    }

    fn next(&self, call: String) -> Option<Answer> {
        self.calls.lock().expect("lock").push(call);
        self.answers.lock().expect("lock").pop()
    }
}

impl Objects for Script {
    async fn get(&self, _: Kind, _: &str) -> Result<Option<Object>, Error> {
        Ok(None)
    }

    async fn list(&self, _: Kind) -> Result<Listing, Error> {
        match self.next("list".to_owned()) {
            Some(Answer::List(result)) => result.map(|revision| Listing {
                objects: vec![object(revision)],
                revision: Revision(revision),
            }),
            Some(Answer::Watch(_)) => panic!("a watch was expected"),
            None => std::future::pending().await,
        }
    }

    async fn watch(&self, _: Kind, since: Revision, _: Duration) -> Result<Changes, Error> {
        match self.next(format!("watch {since}")) {
            Some(Answer::Watch(result)) => result.map(|revision| Changes {
                changes: vec![Change::Put(object(revision))],
                revision: Revision(revision),
            }),
            Some(Answer::List(_)) => panic!("a listing was expected"),
            None => std::future::pending().await,
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

async fn run(script: &Script) -> Vec<String> {
    let heard = Mutex::new(Vec::new());
    let following = follow::run(script, Kind::Config, |_, event| {
        heard.lock().expect("lock").push(match event {
            Event::Listed(_, revision) => format!("listed {revision}"),
            Event::Changed(_, revision) => format!("changed {revision}"),
            Event::Unavailable => "lost".to_owned(),
            Event::Available => "regained".to_owned(),
        });
    });
    let _ = tokio::time::timeout(Duration::from_secs(60), following).await;
    heard.into_inner().expect("lock")
}

fn calls(script: &Script) -> Vec<String> {
    script.calls.lock().expect("lock").clone()
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn changes_are_followed_from_the_listing_on() {
    let script = Script::new(vec![
        Answer::List(Ok(5)),
        Answer::Watch(Ok(6)),
        Answer::Watch(Ok(9)),
    ]);
    let heard = run(&script).await;
    assert_eq!(heard, ["regained", "listed 5", "changed 6", "changed 9"]);
    assert_eq!(calls(&script), ["list", "watch 5", "watch 6", "watch 9"]);
}

#[rstest]
#[case(Error::Expired)]
#[case(Error::Away("turned away".to_owned()))]
#[case(Error::Cut("reset".to_owned()))]
#[tokio::test(start_paused = true)]
async fn a_watch_that_ended_in_any_other_way_is_followed_by_a_listing(#[case] error: Error) {
    let script = Script::new(vec![
        Answer::List(Ok(5)),
        Answer::Watch(Err(error)),
        Answer::List(Ok(8)),
    ]);
    let heard = run(&script).await;
    assert_eq!(heard, ["regained", "listed 5", "listed 8"]);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_short_failure_is_no_outage_and_a_long_one_is_told_once() {
    let away = || Err(Error::Away("turned away".to_owned()));
    let mut answers = vec![Answer::List(Ok(5)), Answer::Watch(away())];
    answers.extend((0..12).map(|_| Answer::List(away())));
    answers.push(Answer::List(Ok(7)));
    let script = Script::new(answers);
    let heard = run(&script).await;
    assert_eq!(
        heard,
        ["regained", "listed 5", "lost", "regained", "listed 7"]
    );
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_store_that_stays_away_is_asked_less_and_less() {
    let away = || Err(Error::Away("turned away".to_owned()));
    let script = Script::new((0..500).map(|_| Answer::List(away())).collect());
    run(&script).await;
    let asked = calls(&script).len();
    // A minute of outage: a pause of up to 1.2 s, half of it on average.
    assert!((40..160).contains(&asked), "{asked}");
}
