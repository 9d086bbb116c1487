//! Client that entries use to read and write the history.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Customer;
use coord::id::Request;
use node::link::Link;
use tokio::time::Instant;

use crate::Map;
use crate::account;
use crate::account::Verdict;
use crate::error::Error;
use crate::membership::Epoch;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Call;
use crate::origin;
use crate::origin::Origin;
use crate::quorum;
use crate::quorum::Fanout;
use crate::quorum::OnClosed;
use crate::quorum::Outcome;
use crate::quorum::Progress;
use crate::quorum::Route;
use crate::quorum::Transport;
use crate::quorum::View;
use crate::record::Account;
use crate::record::Charge;
use crate::record::Disk;
use crate::record::Record;
use crate::record::State;
use crate::record::Turn;
use crate::relay::Relay;
use crate::retention;
use crate::time::Timestamp;

/// Client of the history hosts.
#[derive(Debug)]
pub struct Client {
    transport: Arc<Transport>,
    tolerated_losses: usize,
}

/// Result of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    Granted {
        /// Whether the account contains no other turn of the program.
        first: bool,
        /// Hash of the target of the program's newest turn with a target.
        target: Option<u32>,
    },
    /// The budget doesn't cover the turn; contains the tokens that other turns used or reserved.
    Spent(u64),
}

/// A turn to reserve.
#[derive(Debug, Clone)]
pub struct Reservation {
    pub account: Account,
    pub turn: Request,
    /// Maximum number of tokens that the turn generates.
    pub max_tokens: u64,
    /// Maximum number of tokens that all turns of the program generate together.
    pub budget: u64,
    /// Hash of the target chosen to run the turn.
    pub target: u32,
    pub expires: Timestamp,
    /// Origin of the turn's stream, if its caller may resume it.
    pub origin: Option<Origin>,
}

/// Disks whose answers made up a quorum, and the membership that they were asked under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quorum {
    pub epoch: Epoch,
    pub disks: Vec<Disk>,
}

impl Quorum {
    /// Disks as text, separated by spaces.
    pub fn disks_text(&self) -> String {
        let disks: Vec<String> = self.disks.iter().map(Disk::to_string).collect();
        disks.join(" ")
    }
}

/// A call to a quorum of disks.
struct Query<'a> {
    body: Bytes,
    /// Key that determines the order in which disks are called, the same at all entries; if empty,
    /// the order of the membership is used.
    placement_key: &'a [u8],
    /// Number of disks called at once; the others are called after a delay or a failure.
    initial: usize,
    route: Route,
    on_closed: OnClosed,
    deadline: Instant,
}

/// Effect of an answer on its query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Vote {
    /// The answer counts toward the quorum.
    Counted,
    /// The answer is ignored.
    Ignored,
    /// The answer ends the query without a quorum.
    Decisive,
}

impl Client {
    /// A client without a membership, for a history that tolerates the loss of this many disks.
    pub fn new(tolerated_losses: usize) -> Client {
        Client {
            transport: Arc::default(),
            tolerated_losses,
        }
    }

    /// Replaces the membership if `membership` has a higher epoch; returns whether it has.
    pub fn update_membership(&self, membership: Membership) -> bool {
        self.transport.update_membership(membership)
    }

    /// The current membership.
    pub fn membership(&self) -> Membership {
        self.transport.view().membership.clone()
    }

    /// Reserves a turn's tokens if the budget covers them.
    ///
    /// Errors: too few disks answered; the reservation may have been stored.
    pub async fn reserve(
        &self,
        reservation: &Reservation,
        deadline: Instant,
    ) -> Result<Grant, Error> {
        let charge = Charge {
            account: reservation.account.clone(),
            turn: reservation.turn.clone(),
            state: State::Reserved(reservation.max_tokens),
            target: reservation.target,
            expires: reservation.expires,
        };
        let mut snapshot = account::Snapshot::default();
        let mut call = match &reservation.origin {
            Some(origin) => Call::ReserveStream {
                charge,
                origin: origin.clone(),
            },
            None => Call::Reserve(charge),
        };
        let mut confirmed = false;
        loop {
            self.read_account(&call, &mut snapshot, Route::Any, deadline)
                .await?;
            let verdict = snapshot.decide(
                &reservation.turn,
                reservation.max_tokens,
                reservation.budget,
                confirmed,
            );
            match verdict {
                Verdict::Granted => {
                    let first = snapshot.is_first(&reservation.turn);
                    let target = snapshot.target;
                    return Ok(Grant::Granted { first, target });
                }
                Verdict::Spent { taken } => return Ok(Grant::Spent(taken)),
                Verdict::Confirm => {
                    confirmed = true;
                    call = Call::ReadAccount(reservation.account.clone());
                }
            }
        }
    }

    async fn read_account(
        &self,
        call: &Call,
        snapshot: &mut account::Snapshot,
        route: Route,
        deadline: Instant,
    ) -> Result<(), Error> {
        let writes = matches!(call, Call::Reserve(_) | Call::ReserveStream { .. });
        let query = Query {
            body: message::encode(call),
            placement_key: &[],
            initial: usize::MAX,
            route,
            on_closed: OnClosed::Skip,
            deadline,
        };
        let needed = |membership: &Membership| match writes {
            true => membership
                .write_quorum(self.tolerated_losses)
                .max(membership.read_quorum(self.tolerated_losses)),
            false => membership.read_quorum(self.tolerated_losses),
        };
        self.query(&query, needed, |answer| match answer {
            Answer::Account { charges, complete } => {
                snapshot.merge(charges);
                match complete {
                    true => Vote::Counted,
                    false => Vote::Ignored,
                }
            }
            _ => Vote::Ignored,
        })
        .await
        .map(|_| ())
    }

    /// Stores records on a write quorum, which is returned. `placement` determines which disks are
    /// called first.
    ///
    /// Errors: too few disks answered; the records may have been stored.
    pub async fn append(
        &self,
        records: Vec<Record>,
        placement: &str,
        deadline: Instant,
    ) -> Result<Quorum, Error> {
        self.store(records, placement, OnClosed::Skip, deadline)
            .await
    }

    async fn store(
        &self,
        records: Vec<Record>,
        placement: &str,
        on_closed: OnClosed,
        deadline: Instant,
    ) -> Result<Quorum, Error> {
        let query = Query {
            body: message::encode(&Call::Append(records)),
            placement_key: placement.as_bytes(),
            initial: self.tolerated_losses + 1,
            route: Route::Any,
            on_closed,
            deadline,
        };
        let needed = |membership: &Membership| membership.write_quorum(self.tolerated_losses);
        self.query(&query, needed, |answer| match answer {
            Answer::Appended => Vote::Counted,
            _ => Vote::Ignored,
        })
        .await
    }

    /// Stores a turn with other records on a write quorum, which is returned, and again those of its
    /// predecessors that would be retained too short; see [`retention`]. Hosts that accept no records now are
    /// called again until the deadline.
    ///
    /// Errors: as for [`Client::append`].
    pub async fn keep(
        &self,
        turn: Turn,
        predecessors: Vec<Turn>,
        others: Vec<Record>,
        placement: &str,
        deadline: Instant,
    ) -> Result<Quorum, Error> {
        let mut batches = retention::batches(turn, predecessors, others);
        let last = batches.pop().unwrap_or_default();
        for batch in batches {
            self.store(batch, placement, OnClosed::Retry, deadline)
                .await?;
        }
        self.store(last, placement, OnClosed::Retry, deadline).await
    }

    /// Calls disks until `needed` answers are counted or one is decisive, and returns the counted ones;
    /// repeats the call with the newer membership if a disk returns one.
    async fn query(
        &self,
        query: &Query<'_>,
        needed: impl Fn(&Membership) -> usize,
        mut vote: impl FnMut(Answer) -> Vote,
    ) -> Result<Quorum, Error> {
        // Ends at the deadline: each repetition has a newer membership.
        loop {
            let view = self.transport.view();
            let needed = needed(&view.membership);
            let order = order(&view, query.placement_key);
            let mut counted = Vec::new();
            let fanout = Fanout {
                order: &order,
                initial: query.initial,
                body: query.body.clone(),
                route: query.route.clone(),
                on_closed: query.on_closed,
                deadline: query.deadline,
            };
            let outcome = quorum::fan_out(&self.transport, &view, &fanout, |disk, answer| {
                let vote = vote(answer);
                counted.extend((vote == Vote::Counted).then_some(disk));
                match vote == Vote::Decisive || counted.len() >= needed {
                    true => Progress::Done,
                    false => Progress::Wait,
                }
            })
            .await;
            match outcome {
                Outcome::Done => {
                    let epoch = view.membership.epoch;
                    return Ok(Quorum {
                        epoch,
                        disks: counted,
                    });
                }
                Outcome::Stale => {}
                Outcome::Incomplete => return Err(incomplete(&view, counted.len(), needed)),
            }
        }
    }

    /// Stores the number of tokens that a turn has used of its reservation.
    ///
    /// Errors: as for [`Client::append`].
    pub async fn settle(
        &self,
        reservation: &Reservation,
        tokens: u64,
        deadline: Instant,
    ) -> Result<(), Error> {
        let charge = settled_charge(reservation, tokens);
        let placement = reservation.account.program.as_str();
        self.append(vec![charge], placement, deadline).await?;
        Ok(())
    }

    /// What is stored of a request's origin; `None` if certainly nothing is.
    ///
    /// Errors: fewer disks than the read quorum answered.
    pub async fn origin(
        &self,
        customer: &Customer,
        request: &Request,
        deadline: Instant,
    ) -> Result<Option<origin::State>, Error> {
        let call = Call::ReadOrigin {
            customer: customer.clone(),
            request: request.clone(),
        };
        let query = Query {
            body: message::encode(&call),
            placement_key: &[],
            initial: usize::MAX,
            route: Route::Any,
            on_closed: OnClosed::Skip,
            deadline,
        };
        let needed = |membership: &Membership| membership.read_quorum(self.tolerated_losses);
        let mut merged: Option<origin::State> = None;
        self.query(&query, needed, |answer| match answer {
            Answer::Origin { state, complete } => {
                merged = match (merged.take(), state) {
                    (Some(a), Some(b)) => Some(a.merge(b)),
                    (a, b) => a.or(b),
                };
                match complete {
                    true => Vote::Counted,
                    false => Vote::Ignored,
                }
            }
            _ => Vote::Ignored,
        })
        .await?;
        Ok(merged)
    }

    /// A turn and its predecessors, oldest last; `None` if one of them is absent. The program of
    /// `placement` determines which disks are called first.
    ///
    /// Errors: fewer disks than the read quorum answered.
    pub async fn chain(
        &self,
        turn: &Request,
        placement: &Account,
        deadline: Instant,
    ) -> Result<Option<Vec<Turn>>, Error> {
        self.admitted_chain(turn, placement, |_| true, deadline)
            .await
    }

    /// [`Client::chain`] that ends as soon as `admit` returns false for the size of the contents that were
    /// received so far, in bytes.
    ///
    /// Errors: as for [`Client::chain`], or the chain isn't admitted.
    pub async fn admitted_chain(
        &self,
        turn: &Request,
        placement: &Account,
        mut admit: impl FnMut(usize) -> bool,
        deadline: Instant,
    ) -> Result<Option<Vec<Turn>>, Error> {
        let mut found: Map<Request, Turn> = Map::default();
        let mut chain: Vec<Turn> = Vec::new();
        let mut next = Some(turn.clone());
        while let Some(id) = next {
            if !found.contains_key(&id) && !self.find(&id, &mut found, placement, deadline).await? {
                return Ok(None);
            }
            let received = chain.iter().chain(found.values());
            let bytes = received.map(|turn| turn.content.len()).sum();
            if !admit(bytes) {
                return Err(Error::NotAdmitted(bytes));
            }
            let Some(turn) = found.remove(&id) else {
                return Ok(None);
            };
            next = turn.previous.clone();
            chain.push(turn);
        }
        Ok(Some(chain))
    }

    /// Adds a turn to `found`, with those of its predecessors that the same disk has; returns whether
    /// the turn exists.
    async fn find(
        &self,
        turn: &Request,
        found: &mut Map<Request, Turn>,
        placement: &Account,
        deadline: Instant,
    ) -> Result<bool, Error> {
        let query = Query {
            body: message::encode(&Call::Chain(turn.clone())),
            placement_key: placement.program.as_str().as_bytes(),
            initial: 1,
            route: Route::Any,
            on_closed: OnClosed::Skip,
            deadline,
        };
        let needed = |membership: &Membership| membership.read_quorum(self.tolerated_losses);
        let (mut present, mut joining) = (false, 0);
        let quorum = self
            .query(&query, needed, |answer| match answer {
                Answer::Chain { turns, .. } if !turns.is_empty() => {
                    found.extend(turns.into_iter().map(|turn| (turn.id.clone(), turn)));
                    present = true;
                    Vote::Decisive
                }
                Answer::Chain { complete, .. } => {
                    joining += usize::from(!complete);
                    match complete {
                        true => Vote::Counted,
                        false => Vote::Ignored,
                    }
                }
                _ => Vote::Ignored,
            })
            .await?;
        if !present {
            let view = self.transport.view();
            log::info!(
                step = "find turn", peer = "history", request = turn.as_str(),
                epoch:% = quorum.epoch, view_ms = view.age().as_millis() as u64,
                members = view.membership.members.len(), joining = joining,
                absent = quorum.disks_text();
                "turn is absent"
            );
        }
        Ok(present)
    }

    /// Uses an entry as a relay if a read quorum answers through it within `timeout`; returns whether it does.
    pub async fn try_relay(&self, address: SocketAddr, timeout: Duration) -> bool {
        let current = self.transport.relay();
        let current = current.filter(|relay| relay.address() == address);
        let relay = current.unwrap_or_else(|| Link::new(address));
        let answers = self
            .has_quorum(Route::Through(relay.clone()), timeout)
            .await;
        if answers {
            self.transport.set_relay(Some(relay));
        }
        answers
    }

    /// Sets the entry used as a relay; `None` switches back to direct connections. Calls in progress follow.
    pub fn set_relay(&self, address: Option<SocketAddr>) {
        self.transport.set_relay(address.map(Link::new));
    }

    /// Address of the relay in use; `None` while hosts are called directly.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        self.transport.relay().as_ref().map(Link::address)
    }

    /// A relay that forwards calls of other entries over this client's direct connections.
    pub fn relay(&self) -> Relay {
        Relay::new(Arc::clone(&self.transport))
    }

    /// Whether a read quorum answers over a route within `timeout`.
    pub async fn has_quorum(&self, route: Route, timeout: Duration) -> bool {
        let mut snapshot = account::Snapshot::default();
        let deadline = Instant::now() + timeout;
        self.read_account(
            &Call::ReadAccount(Account::probe()),
            &mut snapshot,
            route,
            deadline,
        )
        .await
        .is_ok()
    }
}

/// The record that settles a reservation at this many used tokens.
pub fn settled_charge(reservation: &Reservation, tokens: u64) -> Record {
    Record::Charge(Charge {
        account: reservation.account.clone(),
        turn: reservation.turn.clone(),
        state: State::Settled(tokens),
        target: reservation.target,
        expires: reservation.expires,
    })
}

fn incomplete(view: &View, answered: usize, needed: usize) -> Error {
    match view.membership.members.is_empty() {
        true => Error::NoMembership,
        false => Error::NoQuorum { answered, needed },
    }
}

/// Member disks, sorted by rendezvous hash of the key, so that all entries use the same order for a
/// key. An empty key leaves the order of the membership.
fn order(view: &View, key: &[u8]) -> Vec<Disk> {
    let mut disks: Vec<Disk> = view
        .membership
        .members
        .iter()
        .map(|member| member.disk)
        .collect();
    if !key.is_empty() {
        disks.sort_by_cached_key(|disk| rendezvous_hash(*disk, key));
    }
    disks
}

fn rendezvous_hash(disk: Disk, key: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(key);
    hasher.write_u64(disk.0);
    hasher.finish()
}
