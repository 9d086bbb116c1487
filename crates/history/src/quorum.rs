//! Concurrent calls to several disks, with retries and hedging.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use node::link;
use node::link::Link;
use node::link::Payload;
use parking_lot::RwLock;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Map;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Header;
use crate::record::Disk;
use crate::relay;

/// Timeout for the first answer, after which the call is sent to the host again. Doubled for each further
/// one: a host whose syncs take longer would never answer in time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest of these timeouts.
pub const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(4000);

/// Delay before a call that failed is sent to the host again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Delay before a host that accepted no records is called again; doubled each time.
const CLOSED_DELAY: Duration = Duration::from_millis(100);

const MAX_CLOSED_DELAY: Duration = Duration::from_millis(1000);

/// Delay after which one more of the remaining hosts is called; a host's sync can take long.
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// A membership and the connections to its hosts.
#[derive(Debug, Clone, Default)]
pub struct View {
    pub membership: Membership,
    links: Map<Disk, Link>,
    /// When the membership was received.
    received: Option<Instant>,
}

impl View {
    /// The direct connection to a disk's host.
    pub fn link(&self, disk: Disk) -> Option<Link> {
        self.links.get(&disk).cloned()
    }

    /// Time since the membership was received; zero without one.
    pub fn age(&self) -> Duration {
        self.received
            .map_or(Duration::ZERO, |received| received.elapsed())
    }
}

/// The current view and the relay in use, shared by all calls.
#[derive(Debug, Default)]
pub struct Transport {
    view: RwLock<Arc<View>>,
    /// Entry through which hosts are called while direct connections fail.
    relay: watch::Sender<Option<Link>>,
}

/// Connections that a call may use.
#[derive(Debug, Clone)]
pub enum Route {
    /// Direct connections only.
    Direct,
    /// This relay only.
    Through(Link),
    /// The relay if one is set, else direct connections. Changes with the relay while the call lasts.
    Any,
}

/// A call to several disks.
#[derive(Debug, Clone)]
pub struct Fanout<'a> {
    /// Disks in the order in which they are called.
    pub order: &'a [Disk],
    /// Number of disks called at once; the others are called after a delay or a failure.
    pub initial: usize,
    pub body: Bytes,
    pub route: Route,
    pub on_closed: OnClosed,
    pub deadline: Instant,
}

/// What is done with a host that accepts no records now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnClosed {
    /// It isn't called again.
    Skip,
    /// It is called again until the deadline: it may be about to complete its joining.
    Retry,
}

impl Transport {
    /// The current view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read())
    }

    /// Sets the entry used as a relay; `None` switches back to direct connections. Calls in progress follow.
    pub fn set_relay(&self, relay: Option<Link>) {
        self.relay.send_if_modified(|current| {
            let address = relay.as_ref().map(Link::address);
            let is_changed = current.as_ref().map(Link::address) != address;
            if is_changed {
                *current = relay;
            }
            is_changed
        });
    }

    /// Link to the relay in use.
    pub fn relay(&self) -> Option<Link> {
        self.relay.borrow().clone()
    }

    /// Replaces the membership if `membership` has a higher epoch; returns whether it has.
    pub fn update_membership(&self, membership: Membership) -> bool {
        let mut view = self.view.write();
        if membership.epoch <= view.membership.epoch {
            return false;
        }
        let existing: Map<_, _> = view
            .links
            .values()
            .map(|link| (link.address(), link.clone()))
            .collect();
        let links = membership.members.iter().map(|member| {
            let reused = existing.get(&member.address).cloned();
            let link = reused.unwrap_or_else(|| Link::new(member.address));
            (member.disk, link)
        });
        let links = links.collect();
        log::info!(
            step = "learn membership", peer = "history", epoch:% = membership.epoch,
            disks = membership.members.len();
            "newer membership received"
        );
        *view = Arc::new(View {
            membership,
            links,
            received: Some(Instant::now()),
        });
        true
    }
}

/// Whether a call to several disks needs more answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// More answers are needed.
    Wait,
    /// Enough answers were received.
    Done,
}

/// Result of a call to several disks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// A host returned a newer membership; the call must be repeated with it.
    Stale,
    /// The deadline passed or all disks were called without enough answers.
    Incomplete,
}

/// Calls disks in the given order, the initial ones at once and the others one by one after a delay
/// or a failure, until `on_answer` returns [`Progress::Done`].
pub async fn fan_out(
    transport: &Transport,
    view: &View,
    fanout: &Fanout<'_>,
    mut on_answer: impl FnMut(Disk, Answer) -> Progress,
) -> Outcome {
    let epoch = view.membership.epoch;
    let send = |disk: Disk, delay: Duration| {
        let way = match &fanout.route {
            Route::Direct => Way::Host(view.link(disk)?),
            Route::Through(relay) => Way::Relay(relay.clone()),
            Route::Any => Way::Changing {
                host: view.link(disk)?,
                relay: transport.relay.subscribe(),
            },
        };
        let header = Header { disk, epoch };
        let frame = message::shared_frame(header, fanout.body.clone());
        Some(call(disk, way, frame, fanout.deadline, delay))
    };
    let order = fanout.order.iter();
    let mut remaining = order.filter_map(|disk| send(*disk, Duration::ZERO)).fuse();
    let mut in_flight = FuturesUnordered::new();
    in_flight.extend(remaining.by_ref().take(fanout.initial));
    let mut closed_delays: Map<Disk, Duration> = Map::default();
    let mut hedge_at = Instant::now() + HEDGE_DELAY;
    let mut hedges = true;
    loop {
        let answer = tokio::select! {
            answer = in_flight.next() => answer,
            () = tokio::time::sleep_until(hedge_at), if hedges => {
                hedge_at += HEDGE_DELAY;
                let next = remaining.next();
                hedges = next.is_some();
                in_flight.extend(next);
                continue;
            }
        };
        match answer {
            None => return Outcome::Incomplete,
            Some((_, Some(Answer::Stale(membership)))) if membership.epoch > epoch => {
                transport.update_membership(membership);
                return Outcome::Stale;
            }
            Some((
                disk,
                Some(answer @ (Answer::OtherDisk | Answer::Closed | Answer::Stale(_))),
            )) => {
                log::debug!(
                    step = "ask history", peer:% = disk;
                    "host can't handle the call: {answer:?}"
                );
                in_flight.extend(remaining.next());
                if answer == Answer::Closed && fanout.on_closed == OnClosed::Retry {
                    let delay = closed_delays.entry(disk).or_insert(CLOSED_DELAY);
                    in_flight.extend(send(disk, *delay));
                    *delay = (*delay * 2).min(MAX_CLOSED_DELAY);
                }
            }
            Some((disk, Some(answer))) => {
                if on_answer(disk, answer) == Progress::Done {
                    return Outcome::Done;
                }
                if in_flight.is_empty() {
                    in_flight.extend(remaining.next());
                }
            }
            Some((_, None)) => in_flight.extend(remaining.next()),
        }
    }
}

/// Way in which calls reach a host.
enum Way {
    Host(Link),
    Relay(Link),
    /// Through the relay while there is one.
    Changing {
        host: Link,
        relay: watch::Receiver<Option<Link>>,
    },
}

impl Way {
    /// Calls the host; returns `None` as soon as the way to it has changed.
    async fn call(
        &mut self,
        frame: Payload,
        timeout: Duration,
    ) -> Option<Result<Bytes, link::Error>> {
        match self {
            Way::Host(host) => Some(host.call(frame, timeout).await),
            Way::Relay(relay) => Some(relay::call(relay, frame, timeout).await),
            Way::Changing { host, relay } => {
                let current = relay.borrow_and_update().clone();
                let calling = async {
                    match &current {
                        Some(relay) => relay::call(relay, frame, timeout).await,
                        None => host.call(frame, timeout).await,
                    }
                };
                tokio::select! {
                    biased;
                    answer = calling => Some(answer),
                    Ok(()) = relay.changed() => None,
                }
            }
        }
    }
}

/// Calls one disk after a delay, until it answers or the deadline passes. The call is sent again at once when
/// the way to the host changes: the former one may stay silent.
async fn call(
    disk: Disk,
    mut way: Way,
    frame: Payload,
    deadline: Instant,
    delay: Duration,
) -> (Disk, Option<Answer>) {
    let mut delay = delay;
    let mut timeout = ANSWER_TIMEOUT;
    loop {
        if !delay.is_zero() {
            tokio::time::sleep_until(deadline.min(Instant::now() + delay)).await;
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return (disk, None);
        }
        let sent = Instant::now();
        let Some(answer) = way.call(frame.clone(), remaining.min(timeout)).await else {
            (delay, timeout) = (Duration::ZERO, ANSWER_TIMEOUT);
            continue;
        };
        match answer.map(|frame| message::read_answer(&frame)) {
            Ok(Ok(answer)) => return (disk, Some(answer)),
            Ok(Err(error)) => {
                log::warn!(step = "read answer", peer:% = disk; "invalid answer: {error}");
                return (disk, None);
            }
            Err(link::Error::Lost) if sent.elapsed() >= timeout => {
                timeout = (timeout * 2).min(MAX_ANSWER_TIMEOUT);
            }
            Err(link::Error::Unreachable | link::Error::Lost) => {}
        }
        delay = RETRY_DELAY;
    }
}
