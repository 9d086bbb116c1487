//! A disk's records in memory: turns and charges by name, and the order in which they came.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Customer;
use coord::id::Request;
use coord::id::fingerprint;

use crate::Map;
use crate::Set;
use crate::membership::Membership;
use crate::message::Position;
use crate::record::Account;
use crate::record::Charge;
use crate::record::Entry;
use crate::record::Record;
use crate::record::State;
use crate::record::Turn;
use crate::segment::Number;
use crate::time::CLOCK_SLACK;
use crate::time::Timestamp;

/// Turns before one are kept as long as it, to within this; less often is cheaper.
const EXTENSION_STEP: Duration = Duration::from_secs(5);

/// Fingerprints in one page of a digest.
const PAGE: usize = 20_000;

#[derive(Debug)]
struct Kept {
    customer: Customer,
    previous: Option<Request>,
    content: Bytes,
    expires: Timestamp,
    /// Until when all turns before this one are kept at least.
    chain_expires: Timestamp,
    file: Number,
}

#[derive(Debug, Default)]
struct Budget {
    /// In the order in which they came.
    charges: Vec<Entry>,
    expires: Timestamp,
}

#[derive(Debug, Clone)]
enum Key {
    Turn(Request),
    Charge(Account, Request),
}

/// Records of one disk.
#[derive(Debug, Default)]
pub struct Index {
    turns: Map<Request, Kept>,
    budgets: Map<Account, Budget>,
    /// Keys and fingerprints of records, in the order in which they came.
    order: VecDeque<(u64, Key)>,
    /// Position of the first key in `order`.
    first: u64,
    /// End of retention of what each file holds.
    files: BTreeMap<Number, Timestamp>,
    /// The newest membership that this disk was told of.
    pub membership: Membership,
    /// Whether this disk still copies what it missed before it counted.
    pub joining: bool,
    /// Bytes of turns' content.
    pub bytes: usize,
}

impl Index {
    /// Adds a record that stands in `file`; says whether it changed anything.
    pub fn insert(&mut self, record: Record, file: Number) -> bool {
        match record {
            Record::Turn(turn) => self.insert_turn(turn, file),
            Record::Charge(charge) => self.insert_charge(charge, file),
            Record::Membership(membership) => {
                let newer = membership.epoch > self.membership.epoch;
                if newer {
                    self.membership = membership;
                }
                newer
            }
            Record::Joining(joining) => std::mem::replace(&mut self.joining, joining) != joining,
        }
    }

    fn insert_turn(&mut self, turn: Turn, file: Number) -> bool {
        if self.turns.contains_key(&turn.id) {
            return false;
        }
        self.keep_file(file, turn.expires);
        let chain_expires = self.extend(turn.previous.clone(), turn.expires);
        self.bytes += turn.content.len();
        let name = turn_fingerprint(&turn.id);
        self.order.push_back((name, Key::Turn(turn.id.clone())));
        let kept = Kept {
            customer: turn.customer,
            previous: turn.previous,
            // A slice would keep the whole buffer that it was read into.
            content: Bytes::copy_from_slice(&turn.content),
            expires: turn.expires,
            chain_expires,
            file,
        };
        self.turns.insert(turn.id, kept);
        true
    }

    fn insert_charge(&mut self, charge: Charge, file: Number) -> bool {
        self.keep_file(file, charge.expires);
        let budget = self.budgets.entry(charge.account.clone()).or_default();
        budget.expires = budget.expires.max(charge.expires);
        let known = budget
            .charges
            .iter_mut()
            .find(|entry| entry.turn == charge.turn);
        let changed = match known {
            Some(entry) => {
                let merged = entry.state.merge(charge.state);
                std::mem::replace(&mut entry.state, merged) != merged
            }
            None => {
                budget.charges.push(Entry {
                    turn: charge.turn.clone(),
                    state: charge.state,
                    target: charge.target,
                });
                true
            }
        };
        if changed {
            let name = charge_fingerprint(&charge.account, &charge.turn, charge.state);
            self.order
                .push_back((name, Key::Charge(charge.account, charge.turn)));
        }
        changed
    }

    /// Keeps a turn and those before it until a time, or nearly; returns until when.
    fn extend(&mut self, mut turn: Option<Request>, expires: Timestamp) -> Timestamp {
        while let Some(id) = turn {
            let Some(kept) = self.turns.get_mut(&id) else {
                return expires;
            };
            let certain = kept.chain_expires.min(kept.expires);
            if certain.after(EXTENSION_STEP) >= expires {
                return certain;
            }
            kept.expires = kept.expires.max(expires);
            kept.chain_expires = expires;
            let file = kept.file;
            turn = kept.previous.clone();
            self.keep_file(file, expires);
        }
        expires
    }

    fn keep_file(&mut self, file: Number, expires: Timestamp) {
        let kept = self.files.entry(file).or_default();
        *kept = (*kept).max(expires);
    }

    /// Charges of an account.
    pub fn charges(&self, account: &Account) -> Vec<Entry> {
        let budget = self.budgets.get(account);
        budget.map_or_else(Vec::new, |budget| budget.charges.clone())
    }

    /// A turn and those before it, as far as they are here.
    pub fn chain(&self, id: &Request) -> Vec<Turn> {
        let mut chain = Vec::new();
        let mut next = Some(id);
        while let Some((id, kept)) = next.and_then(|id| self.turns.get_key_value(id)) {
            chain.push(kept.turn(id));
            next = kept.previous.as_ref();
        }
        chain
    }

    /// Fingerprints of records from a position on, the position after them, and whether these were
    /// all.
    pub fn digest(&self, from: Position) -> (Vec<u64>, Position, bool) {
        let start = from.0.max(self.first);
        let skip = (start - self.first) as usize;
        let rest = self.order.iter().skip(skip).take(PAGE);
        // What was pruned before the first position is told as missing, so that places match.
        let pruned = (start - from.0).min(PAGE as u64) as usize;
        let mut fingerprints = vec![0; if from.0 < self.first { pruned } else { 0 }];
        if fingerprints.len() == PAGE {
            return (fingerprints, Position(from.0 + PAGE as u64), false);
        }
        let known = rest.map(|(name, _)| *name);
        fingerprints.extend(known);
        let next = from.0 + fingerprints.len() as u64;
        let end = next >= self.first + self.order.len() as u64;
        (fingerprints, Position(next), end)
    }

    /// The record at a position, if it is still there.
    pub fn at(&self, position: Position) -> Option<Record> {
        let place = position.0.checked_sub(self.first)?;
        let (_, key) = self.order.get(place as usize)?;
        self.find(key)
    }

    /// Fingerprints of all records.
    pub fn fingerprints(&self) -> Set<u64> {
        self.order.iter().map(|(name, _)| *name).collect()
    }

    fn find(&self, key: &Key) -> Option<Record> {
        match key {
            Key::Turn(id) => self.turns.get(id).map(|kept| Record::Turn(kept.turn(id))),
            Key::Charge(account, turn) => {
                let budget = self.budgets.get(account)?;
                let found = budget.charges.iter().find(|entry| entry.turn == *turn)?;
                Some(Record::Charge(Charge {
                    account: account.clone(),
                    turn: turn.clone(),
                    state: found.state,
                    target: found.target,
                    expires: budget.expires,
                }))
            }
        }
    }

    /// Forgets what has expired; returns files that hold nothing else.
    pub fn expire(&mut self, now: Timestamp, current: Number) -> Vec<Number> {
        let ended = |expires: Timestamp| expires.after(CLOCK_SLACK) <= now;
        let mut freed = 0;
        self.turns.retain(|_, kept| {
            let keep = !ended(kept.expires);
            freed += if keep { 0 } else { kept.content.len() };
            keep
        });
        self.bytes -= freed;
        self.budgets.retain(|_, budget| !ended(budget.expires));
        while self
            .order
            .front()
            .is_some_and(|(_, key)| self.find(key).is_none())
        {
            self.order.pop_front();
            self.first += 1;
        }
        let files = self.files.iter();
        let old: Vec<Number> = files
            .filter(|(number, expires)| **number < current && ended(**expires))
            .map(|(number, _)| *number)
            .collect();
        for number in &old {
            self.files.remove(number);
        }
        old
    }

    /// Turns and accounts known.
    pub fn len(&self) -> (usize, usize) {
        (self.turns.len(), self.budgets.len())
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == (0, 0)
    }
}

impl Kept {
    fn turn(&self, id: &Request) -> Turn {
        Turn {
            id: id.clone(),
            customer: self.customer.clone(),
            previous: self.previous.clone(),
            content: self.content.clone(),
            expires: self.expires,
        }
    }
}

fn turn_fingerprint(id: &Request) -> u64 {
    fingerprint(&[b"turn", id.as_str().as_bytes()]).max(1)
}

fn charge_fingerprint(account: &Account, turn: &Request, state: State) -> u64 {
    let kind: &[u8] = match state {
        State::Reserved(_) => b"reserved",
        State::Settled(_) => b"settled",
    };
    let parts = [
        kind,
        account.customer.as_str().as_bytes(),
        account.program.as_str().as_bytes(),
        turn.as_str().as_bytes(),
        &state.tokens().to_be_bytes(),
    ];
    fingerprint(&parts).max(1)
}
