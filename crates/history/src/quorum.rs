//! Asking several disks at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use node::link;
use node::link::Link;
use parking_lot::RwLock;
use tokio::time::Instant;

use crate::Map;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Head;
use crate::record::Disk;
use crate::relay;

/// Time for one answer before a host is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before a host that wasn't reached is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Time after which one more of the hosts that were spared at first is asked; some syncs long.
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// The disks that count and how they are reached.
#[derive(Debug, Clone, Default)]
pub struct View {
    pub membership: Membership,
    links: Map<Disk, Link>,
}

impl View {
    /// The straight connection to a disk's host.
    pub fn link(&self, disk: Disk) -> Option<Link> {
        self.links.get(&disk).cloned()
    }
}

/// The newest view.
#[derive(Debug, Default)]
pub struct Views {
    current: RwLock<Arc<View>>,
    /// An entry through which hosts are called, while straight connections fail.
    relay: RwLock<Option<Link>>,
}

/// Which connections a question may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Straight ones only.
    Direct,
    /// Through a relay, if there is one.
    Any,
}

/// What disks are asked.
#[derive(Debug, Clone)]
pub struct Round<'a> {
    pub order: &'a [Disk],
    /// Disks that are asked at once; others only if these are slow.
    pub first: usize,
    pub body: Bytes,
    pub route: Route,
    pub deadline: Instant,
}

impl Views {
    /// The newest view.
    pub fn get(&self) -> Arc<View> {
        Arc::clone(&self.current.read())
    }

    /// Calls hosts through another entry from now on, or straight again.
    pub fn set_relay(&self, address: Option<SocketAddr>) {
        let mut relay = self.relay.write();
        if relay.as_ref().map(Link::address) != address {
            *relay = address.map(Link::new);
        }
    }

    /// Where the relay in use listens.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        self.relay.read().as_ref().map(Link::address)
    }

    /// Takes a membership, unless a newer one is known; says whether it was newer.
    pub fn learn(&self, membership: Membership) -> bool {
        let mut current = self.current.write();
        if membership.epoch <= current.membership.epoch {
            return false;
        }
        let reached: Map<_, _> = current
            .links
            .values()
            .map(|link| (link.address(), link.clone()))
            .collect();
        let links = membership.members.iter().map(|member| {
            let known = reached.get(&member.address).cloned();
            let link = known.unwrap_or_else(|| Link::new(member.address));
            (member.disk, link)
        });
        let links = links.collect();
        log::info!(
            step = "learn membership", peer = "history", epoch:% = membership.epoch,
            disks = membership.members.len();
            "newer membership"
        );
        *current = Arc::new(View { membership, links });
        true
    }
}

/// What an answer means for the question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// More answers are needed.
    Wait,
    /// The question is answered.
    Done,
}

/// How asking ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// A newer membership was learned: ask again under it.
    Stale,
    /// Time is up, or nobody is left to ask.
    Incomplete,
}

/// Asks disks in the order given, the first of them at once and the rest after a delay or a
/// failure, until `each` has seen enough answers.
pub async fn ask(
    views: &Views,
    view: &View,
    round: &Round<'_>,
    mut each: impl FnMut(Disk, Answer) -> Progress,
) -> Outcome {
    let epoch = view.membership.epoch;
    let relay = match round.route {
        Route::Direct => None,
        Route::Any => views.relay.read().clone(),
    };
    let mut waiting = round.order.iter().filter_map(|disk| {
        let peer = match &relay {
            Some(relay) => Peer::Relay(relay.clone()),
            None => Peer::Host(view.link(*disk)?),
        };
        let head = Head { disk: *disk, epoch };
        let frame = message::frame(head, &round.body);
        Some(call(*disk, peer, frame, round.deadline))
    });
    let mut asked = FuturesUnordered::new();
    asked.extend(waiting.by_ref().take(round.first));
    let mut hedge = Instant::now() + HEDGE_DELAY;
    loop {
        let answer = tokio::select! {
            answer = asked.next() => answer,
            () = tokio::time::sleep_until(hedge) => {
                hedge += HEDGE_DELAY;
                asked.extend(waiting.by_ref().take(1));
                continue;
            }
        };
        match answer {
            None => return Outcome::Incomplete,
            Some((_, Some(Answer::Stale(membership)))) => {
                views.learn(membership);
                return Outcome::Stale;
            }
            Some((disk, Some(answer @ (Answer::OtherDisk | Answer::Closed)))) => {
                log::debug!(step = "ask history", peer:% = disk; "{answer:?}");
                asked.extend(waiting.by_ref().take(1));
            }
            Some((disk, Some(answer))) => {
                if each(disk, answer) == Progress::Done {
                    return Outcome::Done;
                }
                if asked.is_empty() {
                    asked.extend(waiting.by_ref().take(1));
                }
            }
            Some((_, None)) => asked.extend(waiting.by_ref().take(1)),
        }
    }
}

/// Who gets a call for a disk.
enum Peer {
    Host(Link),
    Relay(Link),
}

impl Peer {
    async fn call(&self, frame: Bytes, timeout: Duration) -> Result<Bytes, link::Error> {
        match self {
            Peer::Host(host) => host.call(frame, timeout).await,
            Peer::Relay(entry) => relay::call(entry, frame, timeout).await,
        }
    }
}

/// Asks one disk until it answers or time is up.
async fn call(disk: Disk, peer: Peer, frame: Bytes, deadline: Instant) -> (Disk, Option<Answer>) {
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (disk, None);
        }
        let answer = peer.call(frame.clone(), left.min(ANSWER_TIMEOUT)).await;
        match answer.map(|frame| message::read_answer(&frame)) {
            Ok(Ok(answer)) => return (disk, Some(answer)),
            Ok(Err(error)) => {
                log::warn!(step = "read answer", peer:% = disk; "{error}");
                return (disk, None);
            }
            Err(link::Error::Unreachable | link::Error::Lost) => {
                tokio::time::sleep(RETRY_PAUSE.min(left)).await;
            }
        }
    }
}
