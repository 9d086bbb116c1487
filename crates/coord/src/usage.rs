//! Fast exchange of customers' totals between the entries that serve them.
//!
//! The reports that every entry sends to every other take longer the more entries there are, but a
//! rate holds only if entries soon learn what the others admit. The totals of a customer therefore
//! also go to a few keepers, chosen among the entries by rendezvous hashing. A keeper forwards them
//! to the entries that serve the customer. A lost message does no harm, as totals are cumulative.

use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;

use crate::Map;
use crate::Set;
use crate::id::Customer;
use crate::quota::Balance;
use crate::quota::Entry;
use crate::quota::Usage;
use crate::time::Millis;
use crate::time::Time;

/// Time between two rounds of messages.
pub const INTERVAL: Millis = Millis(100);

/// Keepers of a customer; the second one covers the time until the loss of the first is noticed.
const KEEPERS: usize = 2;

/// Largest number of further keepers while some entries don't answer: the next ones may be lost too.
const MAX_EXTRA_KEEPERS: usize = 2;

/// Records of each kind in one message: with the longest names, 20 KB.
const MESSAGE_RECORDS: usize = 64;

/// Time within which a keeper answers; after it, another one takes its place.
const ANSWER_TIMEOUT: Millis = Millis(250);

/// Time after which an entry that didn't answer may be a keeper again.
const SUSPICION: Millis = Millis(5_000);

/// Time after its last message for which an entry counts as serving a customer.
const SERVING_WINDOW: Millis = Millis(3_000);

/// Totals that an entry sends to one other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub from: Entry,
    /// Totals of the sender, of which the receiver is a keeper.
    pub own: Vec<(Customer, Usage)>,
    /// Totals of other entries, for customers that the receiver serves.
    pub forwarded: Vec<(Customer, Usage)>,
    /// Balances of customers that the receiver has begun to serve.
    pub balances: Vec<(Customer, Balance)>,
}

impl Message {
    fn new(from: Entry) -> Message {
        Message {
            from,
            own: Vec::new(),
            forwarded: Vec::new(),
            balances: Vec::new(),
        }
    }

    /// Splits a message into parts that fit into a datagram.
    fn split(self) -> impl Iterator<Item = Message> {
        let from = self.from;
        let mut parts = vec![self];
        while let Some(last) = parts.last_mut()
            && last.own.len().max(last.forwarded.len()) > MESSAGE_RECORDS
        {
            let own = last.own.split_off(last.own.len().min(MESSAGE_RECORDS));
            let forwarded = last.forwarded.len().min(MESSAGE_RECORDS);
            let forwarded = last.forwarded.split_off(forwarded);
            parts.push(Message {
                own,
                forwarded,
                ..Message::new(from)
            });
        }
        parts.into_iter()
    }
}

/// Usage of one entry, as a keeper knows it.
#[derive(Debug, Clone, Copy)]
struct Share {
    usage: Usage,
    /// Number of the change that brought it.
    change: u64,
    received: Time,
}

/// Entry that serves a customer.
#[derive(Debug, Clone, Copy)]
struct Serving {
    id: u64,
    last_seen: Time,
    /// Number of the last change that was forwarded to it.
    forwarded: u64,
    /// Whether it awaits an answer, with or without news.
    awaits_answer: bool,
}

/// What a keeper knows of one customer.
#[derive(Debug)]
struct Kept<A> {
    shares: Map<u64, Share>,
    serving: Map<A, Serving>,
    changes: u64,
}

impl<A> Default for Kept<A> {
    fn default() -> Kept<A> {
        Kept {
            shares: Map::default(),
            serving: Map::default(),
            changes: 0,
        }
    }
}

impl<A> Kept<A> {
    fn record(&mut self, usage: Usage, now: Time) {
        self.changes += 1;
        let share = Share {
            usage,
            change: self.changes,
            received: now,
        };
        self.shares.insert(usage.entry.id, share);
    }
}

/// Messages that an entry has to send: totals to keepers, and as a keeper to others. `A` is the
/// address of an entry.
#[derive(Debug)]
pub struct Exchange<A> {
    /// Customers for which requests were admitted since the last round.
    changed: Set<Customer>,
    kept: Map<Customer, Kept<A>>,
    /// Kept customers with changes that weren't forwarded.
    pending: Set<Customer>,
    /// Keepers that haven't answered yet, and when they were first sent a message.
    unanswered: Map<A, Time>,
    /// Entries that didn't answer in time, and when that was noticed.
    suspected: Map<A, Time>,
}

impl<A> Default for Exchange<A> {
    fn default() -> Exchange<A> {
        Exchange {
            changed: Set::default(),
            kept: Map::default(),
            pending: Set::default(),
            unanswered: Map::default(),
            suspected: Map::default(),
        }
    }
}

impl<A: Copy + Eq + Hash> Exchange<A> {
    /// Records that this entry admitted a request.
    pub fn record_admission(&mut self, customer: &Customer) {
        if !self.changed.contains(customer) {
            self.changed.insert(customer.clone());
        }
    }

    /// Records the totals of a message that were sent to this entry as a keeper, and that its sender
    /// answers.
    pub fn receive(&mut self, from: A, message: &Message, now: Time) {
        self.unanswered.remove(&from);
        self.suspected.remove(&from);
        for (customer, usage) in &message.own {
            let kept = self.kept.entry(customer.clone()).or_default();
            kept.record(*usage, now);
            let entry = Serving {
                id: message.from.id,
                last_seen: now,
                forwarded: 0,
                awaits_answer: true,
            };
            let entry = kept.serving.entry(from).or_insert(entry);
            entry.last_seen = now;
            entry.awaits_answer = true;
            self.pending.insert(customer.clone());
        }
    }

    /// Returns the messages of one round. `own` is this entry's address, and `entries` are those of all
    /// entries that can be keepers, `own` included. `local` returns this entry's usage and balance of
    /// a customer.
    pub fn round(
        &mut self,
        me: Entry,
        own: A,
        entries: &[A],
        mut local: impl FnMut(&Customer) -> Option<(Usage, Balance)>,
        now: Time,
    ) -> Vec<(A, Message)> {
        let mut messages: Map<A, Message> = Map::default();
        self.suspect_silent_keepers(now);
        let trusted = entries.iter().copied();
        let trusted: Vec<A> = trusted
            .filter(|entry| !self.suspected.contains_key(entry))
            .collect();
        let count = KEEPERS + self.suspected.len().min(MAX_EXTRA_KEEPERS);
        for customer in std::mem::take(&mut self.changed) {
            let Some((usage, _)) = local(&customer) else {
                continue;
            };
            for keeper in keepers(&customer, &trusted, count) {
                if keeper == own {
                    let kept = self.kept.entry(customer.clone()).or_default();
                    kept.record(usage, now);
                    self.pending.insert(customer.clone());
                } else {
                    let message = messages.entry(keeper);
                    let message = message.or_insert_with(|| Message::new(me));
                    message.own.push((customer.clone(), usage));
                    self.unanswered.entry(keeper).or_insert(now);
                }
            }
        }
        self.forward(me, &mut messages, local, now);
        let messages = messages.into_iter();
        messages
            .flat_map(|(address, message)| message.split().map(move |part| (address, part)))
            .collect()
    }

    fn suspect_silent_keepers(&mut self, now: Time) {
        let suspected = &mut self.suspected;
        suspected.retain(|_, since| now.since(*since) < SUSPICION);
        self.unanswered.retain(|keeper, since| {
            let in_time = now.since(*since) <= ANSWER_TIMEOUT;
            if !in_time {
                suspected.insert(*keeper, now);
            }
            in_time
        });
    }

    fn forward(
        &mut self,
        me: Entry,
        messages: &mut Map<A, Message>,
        mut local: impl FnMut(&Customer) -> Option<(Usage, Balance)>,
        now: Time,
    ) {
        for customer in std::mem::take(&mut self.pending) {
            let Some(kept) = self.kept.get_mut(&customer) else {
                continue;
            };
            kept.serving
                .retain(|_, entry| now.since(entry.last_seen) < SERVING_WINDOW);
            for (address, entry) in &mut kept.serving {
                let begins = entry.forwarded == 0;
                let news = kept.shares.values().filter(|share| {
                    share.change > entry.forwarded && share.usage.entry.id != entry.id
                });
                let news = news.map(|share| match begins {
                    true => (customer.clone(), share.usage.without_recent()),
                    false => (customer.clone(), share.usage),
                });
                let news: Vec<(Customer, Usage)> = news.collect();
                entry.forwarded = kept.changes;
                let awaits_answer = std::mem::take(&mut entry.awaits_answer);
                if news.is_empty() && !awaits_answer {
                    continue;
                }
                let message = messages.entry(*address);
                let message = message.or_insert_with(|| Message::new(me));
                message.forwarded.extend(news);
                if begins && let Some((_, balance)) = local(&customer) {
                    message.balances.push((customer.clone(), balance));
                }
            }
        }
    }

    /// Forgets usage that is too old to be forwarded.
    pub fn expire(&mut self, now: Time) {
        self.kept.retain(|_, kept| {
            kept.shares
                .retain(|_, share| now.since(share.received) < SERVING_WINDOW);
            !kept.shares.is_empty()
        });
    }
}

/// The `count` entries that keep a customer's totals: those with the highest rendezvous weights.
fn keepers<A: Copy + Hash>(customer: &Customer, entries: &[A], count: usize) -> Vec<A> {
    let mut weighted: Vec<(u64, A)> = entries
        .iter()
        .map(|entry| (weight(customer, entry), *entry))
        .collect();
    let count = count.min(weighted.len());
    if count < weighted.len() {
        weighted.select_nth_unstable_by_key(count, |(weight, _)| std::cmp::Reverse(*weight));
    }
    weighted[..count].iter().map(|(_, entry)| *entry).collect()
}

fn weight<A: Hash>(customer: &Customer, entry: &A) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    entry.hash(&mut hasher);
    customer.hash(&mut hasher);
    hasher.finish()
}
