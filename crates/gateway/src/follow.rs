//! Follows objects of one kind: a listing, then changes as they come, and a new listing whenever
//! changes were missed.

use std::time::Duration;

use node::object::Change;
use node::object::Error;
use node::object::Kind;
use node::object::Object;
use node::object::Objects;
use node::object::Revision;
use sched::retry::Backoff;
use tokio::time::Instant;

/// How long the object store holds a watch: each one is paid for, but a dead one isn't noticed.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// How long it holds a watch for what is rare and can wait.
const LONG_WATCH_TIME: Duration = Duration::from_secs(20);

/// Pause after a change of targets, in which further changes gather: many come at once when a
/// service starts, and a leaving target may get work for two seconds.
const TARGETS_PAUSE: Duration = Duration::from_millis(350);

/// Pause after a change of the configuration, which must be in force within two seconds.
const CONFIG_PAUSE: Duration = Duration::from_millis(60);

/// First and longest pause before a failed call is made again.
const PAUSE_MS: (u64, u64) = (150, 1200);

/// Failing for this long means that the object store was away, not only a connection to it.
const AWAY: Duration = Duration::from_millis(400);

/// What was learned.
#[derive(Debug, Clone)]
pub enum Event {
    /// All objects of the kind.
    Listed(Vec<Object>, Revision),
    /// Changes, in order.
    Changed(Vec<Change>, Revision),
    /// The object store doesn't answer.
    Unavailable,
    /// The object store answers again.
    Available,
}

/// Follows a kind of objects until the task is dropped.
pub async fn run<O: Objects>(objects: &O, kind: Kind, on_event: impl Fn(Kind, &Event)) {
    let mut since: Option<Revision> = None;
    let mut delay = new_delay();
    let mut failing: Option<Instant> = None;
    let mut lost = true;
    loop {
        let result = step(objects, kind, since).await;
        match result {
            Ok((event, revision)) => {
                delay = new_delay();
                failing = None;
                if std::mem::replace(&mut lost, false) {
                    on_event(kind, &Event::Available);
                }
                on_event(kind, &event);
                since = Some(revision);
                if matches!(event, Event::Changed(changes, _) if !changes.is_empty()) {
                    tokio::time::sleep(pause_after_change(kind)).await;
                }
            }
            Err(Error::Expired) => {
                log::info!(step = "follow", peer = "platform", kind:% = kind; "changes were missed: lists again");
                since = None;
            }
            Err(error) => {
                // A watch that was cut may have missed changes, and one opened in its place may
                // wait for long before it says so.
                since = None;
                let first = *failing.get_or_insert_with(Instant::now);
                // A call that timed out has been without an answer for long.
                let silent = error == Error::Unknown || first.elapsed() >= AWAY;
                log::info!(step = "follow", peer = "platform", kind:% = kind; "{error}");
                if silent && !std::mem::replace(&mut lost, true) {
                    on_event(kind, &Event::Unavailable);
                }
                let pause = delay.next_delay(rand::random());
                tokio::time::sleep(Duration::from_millis(pause.0)).await;
            }
        }
    }
}

fn pause_after_change(kind: Kind) -> Duration {
    match kind {
        Kind::Targets => TARGETS_PAUSE,
        Kind::Config | Kind::Retirements | Kind::Members | Kind::Entries => CONFIG_PAUSE,
    }
}

fn watch_time(kind: Kind) -> Duration {
    match kind {
        Kind::Config | Kind::Targets => WATCH_TIME,
        Kind::Retirements | Kind::Members | Kind::Entries => LONG_WATCH_TIME,
    }
}

fn new_delay() -> Backoff {
    let (first, longest) = PAUSE_MS;
    Backoff::new(coord::time::Millis(first), coord::time::Millis(longest))
}

async fn step<O: Objects>(
    objects: &O,
    kind: Kind,
    since: Option<Revision>,
) -> Result<(Event, Revision), Error> {
    match since {
        None => {
            let listing = objects.list(kind).await?;
            let revision = listing.revision;
            Ok((Event::Listed(listing.objects, revision), revision))
        }
        Some(since) => {
            let changes = objects.watch(kind, since, watch_time(kind)).await?;
            let revision = changes.revision;
            Ok((Event::Changed(changes.changes, revision), revision))
        }
    }
}
