//! A disk's records in memory: turns and charges by name, and the order in which they came.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use coord::id::Customer;
use coord::id::Request;

use crate::Map;
use crate::membership::Membership;
use crate::message::Position;
use crate::record::Account;
use crate::record::Charge;
use crate::record::Entry;
use crate::record::Record;
use crate::record::Turn;
use crate::segment::Number;
use crate::time::CLOCK_SLACK;
use crate::time::Wall;

/// Turns before one are kept as long as it, to within this; less often is cheaper.
const EXTENSION_STEP: Duration = Duration::from_secs(5);

/// Bytes of records in one page of a scan.
const PAGE_BYTES: usize = 512 * 1024;

#[derive(Debug)]
struct Kept {
    customer: Customer,
    previous: Option<Request>,
    content: Bytes,
    expires: Wall,
    /// Until when all turns before this one are kept at least.
    chain_expires: Wall,
    file: Number,
}

#[derive(Debug, Default)]
struct Budget {
    /// In the order in which they came.
    charges: Vec<Entry>,
    expires: Wall,
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
    order: VecDeque<Key>,
    /// Position of the first key in `order`.
    first: u64,
    /// End of retention of what each file holds.
    files: BTreeMap<Number, Wall>,
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
        self.order.push_back(Key::Turn(turn.id.clone()));
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
            self.order
                .push_back(Key::Charge(charge.account, charge.turn));
        }
        changed
    }

    /// Keeps a turn and those before it until a time, or nearly; returns until when.
    fn extend(&mut self, mut turn: Option<Request>, expires: Wall) -> Wall {
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

    fn keep_file(&mut self, file: Number, expires: Wall) {
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

    /// Records from a position on, the position after them, and whether these were all.
    pub fn page(&self, from: Position) -> (Vec<Record>, Position, bool) {
        let mut records = Vec::new();
        let mut bytes = 0;
        let start = from.0.max(self.first);
        let mut position = start;
        let skip = (start - self.first) as usize;
        for key in self.order.iter().skip(skip) {
            if bytes >= PAGE_BYTES {
                return (records, Position(position), false);
            }
            position += 1;
            if let Some(record) = self.find(key) {
                bytes += size(&record);
                records.push(record);
            }
        }
        (records, Position(position), true)
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
    pub fn expire(&mut self, now: Wall, current: Number) -> Vec<Number> {
        let ended = |expires: Wall| expires.after(CLOCK_SLACK) <= now;
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
            .is_some_and(|key| self.find(key).is_none())
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

/// Rough size of a record, in bytes.
fn size(record: &Record) -> usize {
    const SMALL: usize = 64;
    match record {
        Record::Turn(turn) => SMALL + turn.content.len(),
        _ => SMALL + size_of::<CompactString>(),
    }
}
