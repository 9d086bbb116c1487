//! Follows objects of one kind: lists them, then watches for changes, and lists again whenever
//! changes may have been missed.

use std::time::Duration;

use node::object::Change;
use node::object::Error;
use node::object::Kind;
use node::object::Object;
use node::object::ObjectStore;
use node::object::Revision;
use sched::retry::Backoff;
use tokio::time::Instant;

/// How long the object store holds a watch open. Each watch is a paid call, which favours long
/// ones, but a dead watch isn't noticed until this time has passed.
const WATCH_DURATION: Duration = Duration::from_secs(8);

/// Watch duration for kinds that change rarely and tolerate delay.
const LONG_WATCH_DURATION: Duration = Duration::from_secs(20);

/// Pause after a change of targets, to batch further changes: many arrive at once when a service
/// starts. Must stay within the two seconds for which a leaving target may still receive requests.
const TARGETS_BATCH_DELAY: Duration = Duration::from_millis(350);

/// Pause after a change of any other kind; a configuration must be in force within two seconds.
const CONFIG_BATCH_DELAY: Duration = Duration::from_millis(60);

/// First and longest delay before a failed call is retried, in milliseconds.
const RETRY_DELAYS_MS: (u64, u64) = (150, 1200);

/// Duration of failing calls after which the object store, not just a connection to it, counts as
/// unavailable.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(400);

/// Result of following a kind of objects.
#[derive(Debug, Clone)]
pub enum Event {
    /// All objects of the kind, at a revision.
    Listed(Vec<Object>, Revision),
    /// Changes in order, up to a revision.
    Changed(Vec<Change>, Revision),
    /// The object store stopped answering.
    Unavailable,
    /// The object store answers again.
    Available,
}

/// Calls `on_event` for each event of a kind of objects, until the future is dropped.
pub async fn run<S: ObjectStore>(objects: &S, kind: Kind, on_event: impl Fn(Kind, &Event)) {
    let mut since: Option<Revision> = None;
    let mut backoff = new_backoff();
    let mut failing_since: Option<Instant> = None;
    let mut unavailable = true;
    loop {
        let result = list_or_watch(objects, kind, since).await;
        match result {
            Ok((event, revision)) => {
                backoff = new_backoff();
                failing_since = None;
                if std::mem::replace(&mut unavailable, false) {
                    on_event(kind, &Event::Available);
                }
                on_event(kind, &event);
                since = Some(revision);
                if matches!(event, Event::Changed(changes, _) if !changes.is_empty()) {
                    tokio::time::sleep(batch_delay(kind)).await;
                }
            }
            Err(Error::Expired) => {
                log::info!(step = "follow", peer = "platform", kind:% = kind; "changes were missed: lists again");
                since = None;
            }
            Err(error) => {
                // A broken watch may have missed changes, and a new watch may take long to report
                // this.
                since = None;
                let first_failure = *failing_since.get_or_insert_with(Instant::now);
                // A call that timed out has already waited for long, so it counts at once.
                let outage =
                    error == Error::Unknown || first_failure.elapsed() >= UNAVAILABLE_AFTER;
                log::info!(step = "follow", peer = "platform", kind:% = kind; "{error}");
                if outage && !std::mem::replace(&mut unavailable, true) {
                    on_event(kind, &Event::Unavailable);
                }
                let delay = backoff.next_delay(rand::random());
                tokio::time::sleep(Duration::from_millis(delay.0)).await;
            }
        }
    }
}

fn batch_delay(kind: Kind) -> Duration {
    match kind {
        Kind::Targets => TARGETS_BATCH_DELAY,
        Kind::Config | Kind::Retirements | Kind::Members | Kind::Entries => CONFIG_BATCH_DELAY,
    }
}

fn watch_duration(kind: Kind) -> Duration {
    match kind {
        Kind::Config | Kind::Targets => WATCH_DURATION,
        Kind::Retirements | Kind::Members | Kind::Entries => LONG_WATCH_DURATION,
    }
}

fn new_backoff() -> Backoff {
    let (first, longest) = RETRY_DELAYS_MS;
    Backoff::new(coord::time::Millis(first), coord::time::Millis(longest))
}

async fn list_or_watch<S: ObjectStore>(
    objects: &S,
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
            let changes = objects.watch(kind, since, watch_duration(kind)).await?;
            let revision = changes.revision;
            Ok((Event::Changed(changes.changes, revision), revision))
        }
    }
}
