//! The history as entries see it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Request;
use tokio::time::Instant;

use crate::Map;
use crate::account;
use crate::account::Verdict;
use crate::error::Error;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Call;
use crate::quorum;
use crate::quorum::Outcome;
use crate::quorum::Progress;
use crate::quorum::Round;
use crate::quorum::Route;
use crate::quorum::View;
use crate::quorum::Views;
use crate::record::Account;
use crate::record::Charge;
use crate::record::Disk;
use crate::record::Record;
use crate::record::State;
use crate::record::Turn;
use crate::relay::Relay;
use crate::time::Timestamp;

/// Memberships that one call goes through at most.
const MEMBERSHIPS: usize = 4;

/// Access to the history.
#[derive(Debug)]
pub struct Client {
    views: Arc<Views>,
    losses: usize,
}

/// Whether a turn may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    Granted {
        /// Whether no other turn of the program is known.
        first: bool,
        /// Hash of the target of the program's newest turn.
        target: Option<u32>,
    },
    /// The budget doesn't hold the turn; this much is taken by others.
    Spent(u64),
}

/// A turn to reserve.
#[derive(Debug, Clone)]
pub struct Reservation {
    pub account: Account,
    pub turn: Request,
    /// Tokens that the turn may generate.
    pub max_tokens: u64,
    /// Tokens that all turns of the program may generate.
    pub budget: u64,
    /// Hash of the target that is to run the turn.
    pub target: u32,
    pub expires: Timestamp,
}

/// What several disks are asked.
struct Question<'a> {
    body: Bytes,
    /// Decides in which order disks are asked, alike at all entries; empty: any order.
    key: &'a [u8],
    /// Disks that are asked at once; others only if these are slow.
    first: usize,
    route: Route,
    deadline: Instant,
}

/// What an answer means for the question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Vote {
    /// One of the answers that are needed.
    Counts,
    /// No answer to the question.
    Skips,
    /// The question needs no further answer.
    Decides,
}

impl Client {
    /// A client that bears the loss of this many disks.
    pub fn new(losses: usize) -> Client {
        Client {
            views: Arc::default(),
            losses,
        }
    }

    /// Takes a membership, unless a newer one is known.
    pub fn update_membership(&self, membership: Membership) -> bool {
        self.views.learn(membership)
    }

    /// The newest membership known.
    pub fn membership(&self) -> Membership {
        self.views.get().membership.clone()
    }

    /// Reserves a turn's tokens, unless the budget doesn't hold them.
    ///
    /// Errors: too few disks answered; the reservation may stand.
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
        let mut seen = account::View::default();
        let mut call = Call::Reserve(charge);
        let mut confirmed = false;
        loop {
            self.read_account(&call, &mut seen, Route::Any, deadline)
                .await?;
            let verdict = seen.decide(
                &reservation.turn,
                reservation.max_tokens,
                reservation.budget,
                confirmed,
            );
            match verdict {
                Verdict::Granted => {
                    let first = seen.is_first(&reservation.turn);
                    let target = seen.target;
                    return Ok(Grant::Granted { first, target });
                }
                Verdict::Spent { taken } => return Ok(Grant::Spent(taken)),
                Verdict::Confirm => {
                    confirmed = true;
                    call = Call::Show(reservation.account.clone());
                }
            }
        }
    }

    async fn read_account(
        &self,
        call: &Call,
        seen: &mut account::View,
        route: Route,
        deadline: Instant,
    ) -> Result<(), Error> {
        let writes = matches!(call, Call::Reserve(_));
        let question = Question {
            body: message::encode(call),
            key: &[],
            first: usize::MAX,
            route,
            deadline,
        };
        let needed = |membership: &Membership| match writes {
            true => membership
                .write_quorum(self.losses)
                .max(membership.read_quorum(self.losses)),
            false => membership.read_quorum(self.losses),
        };
        self.ask(&question, needed, |answer| match answer {
            Answer::Account { charges, complete } => {
                seen.merge(charges);
                match complete {
                    true => Vote::Counts,
                    false => Vote::Skips,
                }
            }
            _ => Vote::Skips,
        })
        .await
    }

    /// Keeps records on enough disks that they count.
    ///
    /// Errors: too few disks answered; the records may stand.
    pub async fn append(
        &self,
        records: Vec<Record>,
        near: &Account,
        deadline: Instant,
    ) -> Result<(), Error> {
        let question = Question {
            body: message::encode(&Call::Append(records)),
            key: near.program.as_str().as_bytes(),
            first: self.losses + 1,
            route: Route::Any,
            deadline,
        };
        let needed = |membership: &Membership| membership.write_quorum(self.losses);
        self.ask(&question, needed, |answer| match answer {
            Answer::Appended => Vote::Counts,
            _ => Vote::Skips,
        })
        .await
    }

    /// Asks disks until enough answers count, under the newest membership that they know.
    async fn ask(
        &self,
        question: &Question<'_>,
        needed: impl Fn(&Membership) -> usize,
        mut vote: impl FnMut(Answer) -> Vote,
    ) -> Result<(), Error> {
        for _ in 0..MEMBERSHIPS {
            let view = self.views.get();
            let needed = needed(&view.membership);
            let order = order(&view, question.key);
            let mut counted = 0;
            let round = Round {
                order: &order,
                first: question.first,
                body: question.body.clone(),
                route: question.route,
                deadline: question.deadline,
            };
            let outcome = quorum::ask(&self.views, &view, &round, |_, answer| {
                let vote = vote(answer);
                counted += usize::from(vote == Vote::Counts);
                match vote == Vote::Decides || counted >= needed {
                    true => Progress::Done,
                    false => Progress::Wait,
                }
            })
            .await;
            match outcome {
                Outcome::Done => return Ok(()),
                Outcome::Stale => {}
                Outcome::Incomplete => return Err(incomplete(&view, counted, needed)),
            }
        }
        Err(Error::NoMembership)
    }

    /// Records how much of its reservation a turn has used.
    ///
    /// Errors: as for [`Client::append`].
    pub async fn settle(
        &self,
        reservation: &Reservation,
        tokens: u64,
        deadline: Instant,
    ) -> Result<(), Error> {
        let charge = settled_charge(reservation, tokens);
        self.append(vec![charge], &reservation.account, deadline)
            .await
    }

    /// A turn and those before it, oldest last; none if there is no such turn. The account says
    /// which disks are asked first.
    ///
    /// Errors: too few disks answered to be certain.
    pub async fn chain(
        &self,
        turn: &Request,
        near: &Account,
        deadline: Instant,
    ) -> Result<Option<Vec<Turn>>, Error> {
        let mut found: Map<Request, Turn> = Map::default();
        let mut chain = Vec::new();
        let mut next = Some(turn.clone());
        while let Some(id) = next {
            if !found.contains_key(&id) && !self.find(&id, &mut found, near, deadline).await? {
                return Ok(None);
            }
            let Some(turn) = found.remove(&id) else {
                return Ok(None);
            };
            next = turn.previous.clone();
            chain.push(turn);
        }
        Ok(Some(chain))
    }

    /// Finds a turn, and those before it that stand on the same disk; false if there is none.
    async fn find(
        &self,
        turn: &Request,
        found: &mut Map<Request, Turn>,
        near: &Account,
        deadline: Instant,
    ) -> Result<bool, Error> {
        let question = Question {
            body: message::encode(&Call::Chain(turn.clone())),
            key: near.program.as_str().as_bytes(),
            first: 1,
            route: Route::Any,
            deadline,
        };
        let needed = |membership: &Membership| membership.read_quorum(self.losses);
        let mut present = false;
        self.ask(&question, needed, |answer| match answer {
            Answer::Chain { turns, .. } if !turns.is_empty() => {
                found.extend(turns.into_iter().map(|turn| (turn.id.clone(), turn)));
                present = true;
                Vote::Decides
            }
            Answer::Chain { complete: true, .. } => Vote::Counts,
            _ => Vote::Skips,
        })
        .await?;
        Ok(present)
    }

    /// Calls hosts through the relay at another entry's address from now on, or straight again.
    pub fn set_relay(&self, address: Option<SocketAddr>) {
        self.views.set_relay(address);
    }

    /// Where the relay in use listens; none while hosts are called straight.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        self.views.relay_address()
    }

    /// A relay to the hosts that this client reaches.
    pub fn relay(&self) -> Relay {
        Relay::new(Arc::clone(&self.views))
    }

    /// Whether enough disks answer over a route that turns can run.
    pub async fn has_quorum(&self, route: Route, timeout: Duration) -> bool {
        let account = Account {
            customer: probe_name(),
            program: probe_name(),
        };
        let mut seen = account::View::default();
        let deadline = Instant::now() + timeout;
        self.read_account(&Call::Show(account), &mut seen, route, deadline)
            .await
            .is_ok()
    }
}

/// The record that a turn has used this many tokens.
pub fn settled_charge(reservation: &Reservation, tokens: u64) -> Record {
    Record::Charge(Charge {
        account: reservation.account.clone(),
        turn: reservation.turn.clone(),
        state: State::Settled(tokens),
        target: reservation.target,
        expires: reservation.expires,
    })
}

/// Turns' content in the order in which an engine reads it, from a chain with the oldest last.
pub fn contents_oldest_first(chain: &[Turn]) -> Vec<Bytes> {
    let oldest_first = chain.iter().rev();
    oldest_first.map(|turn| turn.content.clone()).collect()
}

fn incomplete(view: &View, answered: usize, needed: usize) -> Error {
    match view.membership.members.is_empty() {
        true => Error::NoMembership,
        false => Error::NoQuorum { answered, needed },
    }
}

/// Disks in an order that all entries share for a key.
fn order(view: &View, key: &[u8]) -> Vec<Disk> {
    let mut disks: Vec<Disk> = view
        .membership
        .members
        .iter()
        .map(|member| member.disk)
        .collect();
    if !key.is_empty() {
        disks.sort_by_cached_key(|disk| weight(*disk, key));
    }
    disks
}

fn weight(disk: Disk, key: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(key);
    hasher.write_u64(disk.0);
    hasher.finish()
}

fn probe_name<T: std::str::FromStr>() -> T {
    match "probe".parse() {
        Ok(name) => name,
        Err(_) => unreachable!("a plain word is a name"),
    }
}
