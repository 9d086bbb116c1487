//! A customer's rate over all entries, without an owner.
//!
//! Each entry holds a bucket of the whole rate, takes its own requests from it at once and those of
//! the others as they report them. An entry that falls silent is taken to use an even share of the
//! rate, and one that hears nobody keeps to that share itself. What is admitted too much is thus
//! bounded by the time until a report is missed.
//!
//! A program needs all its requests. So that an entry doesn't begin programs which its customer's
//! rate can't finish, a first turn is charged with a whole program's requests in a second bucket.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Burst;
use crate::id::Rate;
use crate::time::Millis;
use crate::time::Time;

/// Time without a report after which an entry is taken to use its share.
pub const SILENCE_TIMEOUT: Millis = Millis(450);

/// Fewest requests that a bucket holds, so that small customers aren't turned away by rounding.
const SMALLEST_BURST: f64 = 4.0;

/// Deepest debt that others' reports leave, in seconds of rate.
const DEBT_LIMIT_S: f64 = 1.0;

/// What a request is to its program.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Charge {
    /// Any request of a program under way, or of none.
    Request,
    /// A program's first turn; a whole program takes about this many requests.
    FirstTurn(f64),
}

/// Answer to taking one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    Granted,
    /// Time until it is worth asking again.
    Wait(Millis),
}

/// What an entry has admitted for a customer since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Total {
    pub requests: u64,
    /// Requests that first turns were charged with.
    pub started: f64,
}

/// Another entry, as one customer's quota sees it.
#[derive(Debug, Clone, Copy)]
struct Peer {
    name: u64,
    incarnation: u64,
    seen: Total,
}

/// Which entries there are, and which of them are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Entries, this one included.
    pub entries: usize,
    /// Entries that are silent.
    pub silent: usize,
}

/// A customer's bucket on one entry.
#[derive(Debug, Clone)]
pub struct Quota {
    rate: f64,
    burst: f64,
    at: Time,
    /// Requests held for any use.
    requests: f64,
    /// Requests held for programs that begin.
    programs: f64,
    own: Total,
    peers: Vec<Peer>,
}

impl Quota {
    /// A bucket that starts with this entry's share of the burst.
    pub fn new(rate: Rate, burst: Burst, fleet: Fleet, now: Time) -> Quota {
        let burst = f64::from(burst.0).max(SMALLEST_BURST);
        let share = burst / fleet.entries.max(1) as f64;
        Quota {
            rate: rate.per_second(),
            burst,
            at: now,
            requests: share,
            programs: share,
            own: Total::default(),
            peers: Vec::new(),
        }
    }

    /// Changes the limits; what the bucket holds never grows by it.
    pub fn set_limits(&mut self, rate: Rate, burst: Burst, fleet: Fleet, now: Time) {
        self.refill(fleet, now);
        self.rate = rate.per_second();
        self.burst = f64::from(burst.0).max(SMALLEST_BURST);
        self.cap();
    }

    /// Takes one request.
    pub fn take(&mut self, charge: Charge, fleet: Fleet, now: Time) -> Take {
        self.refill(fleet, now);
        let flow = self.flow(fleet);
        if self.requests < 1.0 {
            return Take::Wait(wait(1.0 - self.requests, flow));
        }
        match charge {
            Charge::Request => {}
            Charge::FirstTurn(_) if self.programs < 1.0 => {
                return Take::Wait(wait(1.0 - self.programs, flow));
            }
            Charge::FirstTurn(cost) => {
                self.programs -= cost;
                self.own.started += cost;
            }
        }
        self.requests -= 1.0;
        self.own.requests += 1;
        Take::Granted
    }

    /// Whether a request would be turned away now.
    pub fn is_exhausted(&mut self, fleet: Fleet, now: Time) -> bool {
        self.refill(fleet, now);
        self.requests < 1.0
    }

    /// What this entry has admitted, for the others.
    pub fn total(&self) -> Total {
        self.own
    }

    /// Takes another entry's report; its counts begin anew with each incarnation. `silent` is how
    /// long it was taken to use its share in place of reports.
    pub fn merge_report(
        &mut self,
        peer: u64,
        incarnation: u64,
        total: Total,
        silent: Millis,
        fleet: Fleet,
        now: Time,
    ) {
        self.refill(fleet, now);
        let position = self.peers.iter().position(|known| known.name == peer);
        let Some(position) = position else {
            // What it admitted before is not of this entry's bucket.
            self.peers.push(Peer {
                name: peer,
                incarnation,
                seen: total,
            });
            return;
        };
        let known = &mut self.peers[position];
        if known.incarnation != incarnation {
            known.incarnation = incarnation;
            known.seen = Total::default();
        }
        let assumed = self.rate / fleet.entries.max(1) as f64 * silent.0 as f64 / 1000.0;
        let requests = total.requests.saturating_sub(known.seen.requests) as f64;
        let started = (total.started - known.seen.started).max(0.0);
        known.seen = Total {
            requests: known.seen.requests.max(total.requests),
            started: known.seen.started.max(total.started),
        };
        let floor = -self.rate * DEBT_LIMIT_S;
        self.requests = (self.requests - (requests - assumed).max(0.0)).max(floor);
        self.programs = (self.programs - (started - assumed).max(0.0)).max(floor);
    }

    /// Requests a second that flow to this entry and those it hears of.
    fn flow(&self, fleet: Fleet) -> f64 {
        let silent = fleet.silent.min(fleet.entries.saturating_sub(1));
        self.rate * (1.0 - silent as f64 / fleet.entries.max(1) as f64)
    }

    fn refill(&mut self, fleet: Fleet, now: Time) {
        let flow = self.flow(fleet) * now.since(self.at).0 as f64 / 1000.0;
        self.at = self.at.max(now);
        self.requests += flow;
        self.programs += flow;
        self.cap();
    }

    fn cap(&mut self) {
        self.requests = self.requests.min(self.burst);
        self.programs = self.programs.min(self.burst);
    }
}

fn wait(missing: f64, flow: f64) -> Millis {
    match flow > 0.0 {
        true => Millis((missing / flow * 1000.0).ceil() as u64),
        false => Millis(u64::MAX),
    }
}
