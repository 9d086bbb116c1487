//! In-memory index of a disk's records: turns and origins by request, charges by account, and the
//! order of arrival.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry::Occupied;
use std::collections::hash_map::Entry::Vacant;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Customer;
use coord::id::Request;

use crate::Map;
use crate::Set;
use crate::content;
use crate::content::Content;
use crate::content::Found;
use crate::content::Memory;
use crate::content::Place;
use crate::fingerprint;
use crate::membership::Membership;
use crate::message::Position;
use crate::origin;
use crate::origin::Origin;
use crate::record::Account;
use crate::record::Charge;
use crate::record::Entry;
use crate::record::Record;
use crate::record::Turn;
use crate::segment::Number;
use crate::time::CLOCK_SLACK;
use crate::time::Timestamp;

/// Slack by which a chain's earlier turns may expire before its newest one; it saves rewriting the
/// expiry of the whole chain for each new turn.
const EXTENSION_SLACK: Duration = Duration::from_secs(5);

/// Size of the contents from which on a chain is returned in parts, in bytes; with one more turn, it
/// fits into one answer.
const CHAIN_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of fingerprints in one page of a digest.
const DIGEST_PAGE: usize = 20_000;

#[derive(Debug)]
struct StoredTurn {
    customer: Customer,
    previous: Option<Request>,
    content: Content,
    /// Earliest expiry with which this disk received the turn.
    own_expires: Timestamp,
    /// Expiry, extended by the turns that continue this one.
    expires: Timestamp,
    /// Lower bound of the expiry of this turn's predecessors.
    chain_expires: Timestamp,
    file: Number,
}

/// Charges of one account and their common expiry.
#[derive(Debug, Default)]
struct Budget {
    /// In order of arrival.
    charges: Vec<Entry>,
    expires: Timestamp,
    /// Log files with the records of the account.
    files: Vec<Number>,
}

#[derive(Debug)]
struct StoredOrigin {
    state: origin::State,
    expires: Timestamp,
    /// Log files with the records of the origin.
    files: Vec<Number>,
}

/// Identifies a record in the index.
#[derive(Debug, Clone)]
enum Key {
    Turn(Request),
    Charge(Account, Request),
    Origin(Customer, Request),
}

/// Index of one disk's records.
#[derive(Debug, Default)]
pub struct Index {
    turns: Map<Request, StoredTurn>,
    /// Until when turns that this disk lacks must be retained: turns that it has continue them.
    awaited: Map<Request, Timestamp>,
    budgets: Map<Account, Budget>,
    origins: Map<(Customer, Request), StoredOrigin>,
    /// Fingerprints and keys of records, in order of arrival.
    arrival_order: VecDeque<(u64, Key)>,
    /// Position of the first key in `arrival_order`.
    first: u64,
    /// Latest expiry of the records in each log file.
    files: BTreeMap<Number, Timestamp>,
    /// The newest membership that this disk has received.
    pub membership: Membership,
    /// Whether this disk still copies records that were committed before it became a member.
    pub joining: bool,
    /// Total size of the turns' content, in bytes.
    pub content_bytes: usize,
    memory: Memory,
}

impl Index {
    /// Adds a record that is stored in `file`; returns whether it changed the index.
    pub fn insert(&mut self, record: Record, file: Number) -> bool {
        self.insert_entry(record, file, None)
    }

    /// [`Index::insert`] of a record whose place in `file` is known, so that the content of a turn can
    /// be read from there.
    pub fn insert_entry(
        &mut self,
        record: Record,
        file: Number,
        entry: Option<content::Entry>,
    ) -> bool {
        match record {
            Record::Turn(turn) => self.insert_turn(turn, file, entry),
            Record::Charge(charge) => self.insert_charge(charge, file),
            Record::Origin(origin) => self.insert_origin(origin, file),
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

    fn insert_turn(&mut self, turn: Turn, file: Number, entry: Option<content::Entry>) -> bool {
        if let Some(stored) = self.turns.get_mut(&turn.id) {
            stored.own_expires = stored.own_expires.min(turn.expires);
            let known = stored.expires;
            if turn.expires <= known {
                return false;
            }
            self.retain_file(file, turn.expires);
            // The expiry of the turn itself is promised; the slack is for predecessors, which aren't sent.
            self.extend_chain(Some(turn.id.clone()), turn.expires, Duration::ZERO);
            let stored = self.turns.get(&turn.id);
            return stored.is_some_and(|stored| stored.expires > known);
        }
        // A disk that copies may receive a turn after those that continue it.
        let (expires, slack) = match self.awaited.remove(&turn.id) {
            Some(awaited) => (turn.expires.max(awaited), Duration::ZERO),
            None => (turn.expires, EXTENSION_SLACK),
        };
        self.retain_file(file, expires);
        let chain_expires = self.extend_chain(turn.previous.clone(), expires, slack);
        self.content_bytes += turn.content.len();
        self.memory.add(&turn.id, turn.content.len(), entry);
        let fingerprint = fingerprint::of_turn(&turn.id);
        self.arrival_order
            .push_back((fingerprint, Key::Turn(turn.id.clone())));
        let stored = StoredTurn {
            customer: turn.customer,
            previous: turn.previous,
            // A slice would keep the whole receive buffer allocated.
            content: Content::Memory(Bytes::copy_from_slice(&turn.content)),
            own_expires: turn.expires,
            expires,
            chain_expires,
            file,
        };
        self.turns.insert(turn.id, stored);
        true
    }

    fn insert_charge(&mut self, charge: Charge, file: Number) -> bool {
        let budget = self.budgets.entry(charge.account.clone()).or_default();
        let extended = charge.expires > budget.expires;
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
        // A known charge is written again if it extends the account, as the log must retain it as long.
        if changed || extended {
            retain_files(&mut self.files, &mut budget.files, file, budget.expires);
        }
        if changed {
            let fingerprint = fingerprint::of_charge(&charge.account, &charge.turn, charge.state);
            self.arrival_order
                .push_back((fingerprint, Key::Charge(charge.account, charge.turn)));
        }
        changed || extended
    }

    fn insert_origin(&mut self, origin: Origin, file: Number) -> bool {
        let key = (origin.customer, origin.request);
        let (stored, changed) = match self.origins.entry(key.clone()) {
            Occupied(known) => {
                let stored = known.into_mut();
                let merged = stored.state.clone().merge(origin.state);
                let changed = merged != stored.state;
                stored.state = merged;
                (stored, changed)
            }
            Vacant(vacant) => {
                let stored = vacant.insert(StoredOrigin {
                    state: origin.state,
                    expires: origin.expires,
                    files: Vec::new(),
                });
                (stored, true)
            }
        };
        let extended = origin.expires > stored.expires;
        stored.expires = stored.expires.max(origin.expires);
        if changed || extended {
            retain_files(&mut self.files, &mut stored.files, file, stored.expires);
        }
        if changed {
            let fingerprint = fingerprint::of_origin(&key.0, &key.1, &stored.state);
            self.arrival_order
                .push_back((fingerprint, Key::Origin(key.0, key.1)));
        }
        changed || extended
    }

    /// Extends the expiry of a turn and its predecessors to `expires`, less `slack` at most; returns
    /// the expiry that holds for all of them. The first one that this disk lacks is extended when it
    /// arrives.
    fn extend_chain(
        &mut self,
        turn: Option<Request>,
        expires: Timestamp,
        slack: Duration,
    ) -> Timestamp {
        let mut guaranteed = expires;
        let mut extended = Vec::new();
        let mut next = turn;
        while let Some(id) = next {
            let Some(stored) = self.turns.get_mut(&id) else {
                let awaited = self.awaited.entry(id).or_default();
                *awaited = (*awaited).max(expires);
                break;
            };
            let known = stored.chain_expires.min(stored.expires);
            if known.after(slack) >= expires {
                guaranteed = known;
                break;
            }
            stored.expires = stored.expires.max(expires);
            let file = stored.file;
            next = stored.previous.clone();
            self.retain_file(file, expires);
            extended.push(id);
        }
        // With `expires` instead, the slack would add up over the turns that follow.
        for id in extended {
            if let Some(stored) = self.turns.get_mut(&id) {
                stored.chain_expires = guaranteed.min(expires);
            }
        }
        guaranteed
    }

    /// Adds a log file, so that it is removed even if it has no records that expire.
    pub fn add_file(&mut self, file: Number) {
        self.retain_file(file, Timestamp::default());
    }

    /// Keeps a log file until `expires` at least.
    fn retain_file(&mut self, file: Number, expires: Timestamp) {
        retain(&mut self.files, file, expires);
    }

    /// Charges of an account, in order of arrival.
    pub fn charges(&self, account: &Account) -> Vec<Entry> {
        let budget = self.budgets.get(account);
        budget.map_or_else(Vec::new, |budget| budget.charges.clone())
    }

    /// What is stored of a request's origin.
    pub fn origin(&self, customer: &Customer, request: &Request) -> Option<origin::State> {
        let key = (customer.clone(), request.clone());
        self.origins.get(&key).map(|stored| stored.state.clone())
    }

    /// Removes the oldest contents from memory while they exceed `limit` bytes, as far as the
    /// submissions up to `written` are in the log.
    pub fn release_memory(&mut self, limit: usize, written: u64) {
        while let Some((turn, place)) = self.memory.next_excess(limit, written) {
            if let Some(stored) = self.turns.get_mut(&turn) {
                self.memory.bytes -= stored.content.memory_bytes();
                let bytes = stored.content.bytes();
                stored.content = Content::Log { place, bytes };
            }
        }
    }

    /// Size of the contents in memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory.bytes
    }

    /// A turn and its predecessors, newest first, up to the first one that this disk lacks or that is
    /// beyond [`CHAIN_BYTES`], from which on the caller asks again. Each has its own expiry: a later
    /// one may hold on this disk only, if the turn that extended it was stored on too few disks.
    pub fn find_chain(&self, id: &Request) -> Vec<Found> {
        let mut chain = Vec::new();
        let mut next = Some(id);
        let mut bytes = 0;
        while let Some((id, stored)) = next.and_then(|id| self.turns.get_key_value(id)) {
            bytes += stored.content.bytes();
            let mut turn = stored.turn(id);
            turn.expires = stored.own_expires;
            chain.push(Found {
                record: Record::Turn(turn),
                place: stored.place(),
            });
            next = match bytes < CHAIN_BYTES {
                true => stored.previous.as_ref(),
                false => None,
            };
        }
        chain
    }

    /// [`Index::find_chain`] for an index whose contents are all in memory.
    pub fn chain(&self, id: &Request) -> Vec<Turn> {
        let found = self.find_chain(id).into_iter();
        let turns = found.filter_map(|found| found.record.into_turn());
        turns.collect()
    }

    /// One page of fingerprints from a position on, the position after the page, and whether it is
    /// the last page. Records that have expired have the fingerprint 0.
    pub fn digest(&self, from: Position) -> (Vec<u64>, Position, bool) {
        let start = from.0.max(self.first);
        let skip = (start - self.first) as usize;
        let page = self.arrival_order.iter().skip(skip).take(DIGEST_PAGE);
        // Zeros stand for pruned records, so that offsets in the page still match positions.
        let pruned = (start - from.0).min(DIGEST_PAGE as u64) as usize;
        let mut fingerprints = vec![0; if from.0 < self.first { pruned } else { 0 }];
        if fingerprints.len() == DIGEST_PAGE {
            return (fingerprints, Position(from.0 + DIGEST_PAGE as u64), false);
        }
        fingerprints.extend(page.map(|(fingerprint, key)| match self.contains(key) {
            true => *fingerprint,
            false => 0,
        }));
        let next = from.0 + fingerprints.len() as u64;
        let end = next >= self.first + self.arrival_order.len() as u64;
        (fingerprints, Position(next), end)
    }

    /// The record at a position, unless it has expired.
    pub fn find_record(&self, position: Position) -> Option<Found> {
        let offset = position.0.checked_sub(self.first)?;
        let (_, key) = self.arrival_order.get(offset as usize)?;
        let place = match key {
            Key::Turn(id) => self.turns.get(id).and_then(StoredTurn::place),
            Key::Charge(..) | Key::Origin(..) => None,
        };
        let record = self.find(key)?;
        Some(Found { record, place })
    }

    /// [`Index::find_record`] for an index whose contents are all in memory.
    pub fn record_at(&self, position: Position) -> Option<Record> {
        self.find_record(position).map(|found| found.record)
    }

    /// Fingerprints of all records.
    pub fn fingerprints(&self) -> Set<u64> {
        let present = self.arrival_order.iter();
        present
            .filter(|(_, key)| self.contains(key))
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    fn contains(&self, key: &Key) -> bool {
        match key {
            Key::Turn(id) => self.turns.contains_key(id),
            Key::Charge(account, turn) => {
                let budget = self.budgets.get(account);
                budget.is_some_and(|budget| budget.charges.iter().any(|entry| entry.turn == *turn))
            }
            Key::Origin(customer, request) => {
                let key = (customer.clone(), request.clone());
                self.origins.contains_key(&key)
            }
        }
    }

    fn find(&self, key: &Key) -> Option<Record> {
        match key {
            Key::Turn(id) => self
                .turns
                .get(id)
                .map(|stored| Record::Turn(stored.turn(id))),
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
            Key::Origin(customer, request) => {
                let stored = self.origins.get(&(customer.clone(), request.clone()))?;
                Some(Record::Origin(Origin {
                    customer: customer.clone(),
                    request: request.clone(),
                    state: stored.state.clone(),
                    expires: stored.expires,
                }))
            }
        }
    }

    /// Removes expired records; returns files before `current` that contain only expired records.
    pub fn expire(&mut self, now: Timestamp, current: Number) -> Vec<Number> {
        let expired = |expires: Timestamp| expires.after(CLOCK_SLACK) <= now;
        let (mut freed, mut freed_memory) = (0, 0);
        self.turns.retain(|_, stored| {
            let keep = !expired(stored.expires);
            if !keep {
                freed += stored.content.bytes();
                freed_memory += stored.content.memory_bytes();
            }
            keep
        });
        self.content_bytes -= freed;
        self.memory.bytes -= freed_memory;
        self.memory.forget(|turn| self.turns.contains_key(turn));
        self.awaited.retain(|_, expires| !expired(*expires));
        self.budgets.retain(|_, budget| !expired(budget.expires));
        self.origins.retain(|_, stored| !expired(stored.expires));
        while self
            .arrival_order
            .front()
            .is_some_and(|(_, key)| !self.contains(key))
        {
            self.arrival_order.pop_front();
            self.first += 1;
        }
        let files = self.files.iter();
        let expired_files: Vec<Number> = files
            .filter(|(number, expires)| **number < current && expired(**expires))
            .map(|(number, _)| *number)
            .collect();
        for number in &expired_files {
            self.files.remove(number);
        }
        expired_files
    }

    /// Number of requests with a stored origin.
    pub fn origin_count(&self) -> usize {
        self.origins.len()
    }

    /// Number of turns and of accounts.
    pub fn counts(&self) -> (usize, usize) {
        (self.turns.len(), self.budgets.len())
    }

    /// Whether there are no turns and no accounts.
    pub fn is_empty(&self) -> bool {
        self.counts() == (0, 0)
    }
}

impl StoredTurn {
    /// Place of the turn in the log, if its content isn't in memory.
    fn place(&self) -> Option<Place> {
        match self.content {
            Content::Memory(_) => None,
            Content::Log { place, .. } => Some(place),
        }
    }

    fn turn(&self, id: &Request) -> Turn {
        Turn {
            id: id.clone(),
            customer: self.customer.clone(),
            previous: self.previous.clone(),
            content: match &self.content {
                Content::Memory(content) => content.clone(),
                Content::Log { .. } => Bytes::new(),
            },
            expires: self.expires,
        }
    }
}

fn retain(files: &mut BTreeMap<Number, Timestamp>, file: Number, expires: Timestamp) {
    let latest = files.entry(file).or_default();
    *latest = (*latest).max(expires);
}

/// Adds a log file to those with records that expire together, and keeps all of them until `expires`.
fn retain_files(
    files: &mut BTreeMap<Number, Timestamp>,
    holders: &mut Vec<Number>,
    file: Number,
    expires: Timestamp,
) {
    if holders.last() != Some(&file) {
        holders.push(file);
    }
    for holder in holders {
        retain(files, *holder, expires);
    }
}
