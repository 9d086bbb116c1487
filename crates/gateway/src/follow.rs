//! Follows objects of one kind: lists them, then watches for changes, and lists again whenever
//! changes may have been missed.
//!
//! A watch that the store never received looks like one that waits. While one waits, the store is
//! therefore asked again whenever the knowledge gets too old; see [`crate::freshness`].

use std::time::Duration;

use node::object::Change;
use node::object::Changes;
use node::object::Error;
use node::object::Kind;
use node::object::Object;
use node::object::ObjectStore;
use node::object::Revision;
use sched::retry::Backoff;
use tokio::time::Instant;

use crate::freshness::Answer;
use crate::freshness::Freshness;
use crate::freshness::SETTLE_TIME;

/// How long the object store holds a watch open. Each watch is a paid call, which favours long
/// ones, but a dead watch isn't noticed until this time has passed.
const WATCH_DURATION: Duration = Duration::from_secs(8);

/// Wait of a watch that only asks whether changes were missed; zero would leave out the wait.
const CHECK_DURATION: Duration = Duration::from_millis(1);

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
    /// A check beside a waiting watch found no changes up to a revision.
    Unchanged(Revision),
    /// The object store stopped answering.
    Unavailable,
    /// The object store answers again.
    Available,
}

/// Follows one kind of objects.
#[derive(Debug)]
pub struct Follower<'a, S, L, R> {
    pub objects: &'a S,
    pub kind: Kind,
    pub freshness: &'a Freshness,
    /// Age of the knowledge at which the store is asked again.
    pub age_limit: L,
    /// Random number from 0 to 1, for the delays of retries.
    pub random: R,
}

impl<S, L, R> Follower<'_, S, L, R>
where
    S: ObjectStore,
    L: Fn() -> Duration,
    R: Fn() -> f64,
{
    /// Calls `on_event` for each event, until the future is dropped.
    pub async fn run(&self, on_event: impl Fn(Kind, &Event)) {
        let mut position: Option<Position> = None;
        let mut backoff = new_backoff();
        let mut failing_since: Option<Instant> = None;
        let mut unavailable = true;
        let kind = self.kind;
        loop {
            match self.next_answer(position, &on_event).await {
                Ok((event, revision, asked)) => {
                    self.record_answer(&event, revision);
                    backoff = new_backoff();
                    failing_since = None;
                    if std::mem::replace(&mut unavailable, false) {
                        on_event(kind, &Event::Available);
                    }
                    on_event(kind, &event);
                    self.freshness.record_check(kind, asked);
                    position = Some(Position::after(position, &event, revision));
                    if matches!(event, Event::Changed(changes, _) if !changes.is_empty()) {
                        tokio::time::sleep(batch_delay(kind)).await;
                    }
                }
                Err(Error::Expired) => {
                    log::info!(step = "follow", peer = "platform", kind:% = kind; "changes were missed: lists again");
                    position = None;
                }
                Err(error) => {
                    // A broken watch may have missed changes, and a new watch may take long to report
                    // this.
                    position = None;
                    let first_failure = *failing_since.get_or_insert_with(Instant::now);
                    // A call that timed out has already waited for long, so it counts at once.
                    let outage =
                        error == Error::Unknown || first_failure.elapsed() >= UNAVAILABLE_AFTER;
                    log::info!(step = "follow", peer = "platform", kind:% = kind; "{error}");
                    if outage && !std::mem::replace(&mut unavailable, true) {
                        on_event(kind, &Event::Unavailable);
                    }
                    let delay = backoff.next_delay((self.random)());
                    tokio::time::sleep(Duration::from_millis(delay.0)).await;
                }
            }
        }
    }

    /// Returns the next answer, its revision, and when the store was asked.
    async fn next_answer(
        &self,
        position: Option<Position>,
        on_event: &impl Fn(Kind, &Event),
    ) -> Result<(Event, Revision, Instant), Error> {
        match position {
            None => {
                let asked = Instant::now();
                let listing = self.objects.list(self.kind).await?;
                let revision = listing.revision;
                Ok((Event::Listed(listing.objects, revision), revision, asked))
            }
            Some(position) => {
                let (changes, asked) = self.watch(position.watched, on_event).await?;
                let revision = changes.revision;
                Ok((Event::Changed(changes.changes, revision), revision, asked))
            }
        }
    }

    /// Waits for changes by a long watch, and asks for them when the knowledge is too old. The long watch
    /// is dropped if that finds changes that it should have brought.
    async fn watch(
        &self,
        since: Revision,
        on_event: &impl Fn(Kind, &Event),
    ) -> Result<(Changes, Instant), Error> {
        let (objects, kind) = (self.objects, self.kind);
        let began = Instant::now();
        let watch = objects.watch(kind, since, watch_duration(kind));
        tokio::pin!(watch);
        let settled = began + SETTLE_TIME;
        loop {
            let check = async {
                tokio::time::sleep_until(settled).await;
                self.freshness.overdue(kind, &self.age_limit).await;
                let asked = Instant::now();
                let changes = objects.watch(kind, since, CHECK_DURATION).await;
                changes.map(|changes| (changes, asked))
            };
            tokio::select! {
                biased;
                changes = &mut watch => return changes.map(|changes| (changes, began)),
                changes = check => {
                    let (changes, asked) = changes?;
                    if !changes.changes.is_empty() {
                        log::info!(step = "follow", peer = "platform", kind:% = kind; "waiting watch missed changes: watches anew");
                        return Ok((changes, asked));
                    }
                    self.freshness.record_answer(kind, Answer::Unchanged, changes.revision, Instant::now());
                    on_event(kind, &Event::Unchanged(changes.revision));
                    self.freshness.record_check(kind, asked);
                }
            }
        }
    }

    /// Records an answer of the object store, and logs what it brought and how old the knowledge was.
    fn record_answer(&self, event: &Event, revision: Revision) {
        let (message, objects) = match event {
            Event::Listed(objects, _) => ("listed", objects.len()),
            Event::Changed(changes, _) => ("changed", changes.len()),
            Event::Unchanged(_) | Event::Unavailable | Event::Available => return,
        };
        let answer = summary(event, revision);
        let age = self
            .freshness
            .record_answer(self.kind, answer, revision, Instant::now());
        if objects > 0 {
            log::info!(
                step = "learn", peer = "platform", kind:% = self.kind, objects = objects,
                revision = revision.0, previous_age_ms = age.unwrap_or_default().as_millis() as u64;
                "{message}"
            );
        }
    }
}

fn batch_delay(kind: Kind) -> Duration {
    match kind {
        Kind::Targets => TARGETS_BATCH_DELAY,
        Kind::Config | Kind::Retirements | Kind::Members | Kind::Entries | Kind::Evacuations => {
            CONFIG_BATCH_DELAY
        }
    }
}

fn watch_duration(kind: Kind) -> Duration {
    match kind {
        Kind::Config | Kind::Targets => WATCH_DURATION,
        Kind::Retirements | Kind::Members | Kind::Entries | Kind::Evacuations => {
            LONG_WATCH_DURATION
        }
    }
}

fn new_backoff() -> Backoff {
    let (first, longest) = RETRY_DELAYS_MS;
    Backoff::new(coord::time::Millis(first), coord::time::Millis(longest))
}

/// Where the next watch begins.
///
/// After an answer without changes, it begins at the revision of the answer before: a store that loses
/// its history may leave out changes for a moment, and the overlap shows them.
#[derive(Debug, Clone, Copy)]
struct Position {
    watched: Revision,
    /// Revision of the newest answer.
    answered: Revision,
}

impl Position {
    fn after(position: Option<Position>, event: &Event, revision: Revision) -> Position {
        let watched = match (position, event) {
            (Some(position), Event::Changed(changes, _)) if changes.is_empty() => position.answered,
            _ => revision,
        };
        Position {
            watched,
            answered: revision,
        }
    }
}

/// What an answer brought. Deletions have no revision of their own: the answer's stands for theirs.
fn summary(event: &Event, revision: Revision) -> Answer {
    let Event::Changed(changes, _) = event else {
        return Answer::Listing;
    };
    let revisions = changes.iter().map(|change| match change {
        Change::Put(object) => object.revision,
        Change::Deleted(_) => revision,
    });
    revisions.max().map_or(Answer::Unchanged, Answer::Changes)
}
