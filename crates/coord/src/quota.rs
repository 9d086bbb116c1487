//! A customer's rate limit over all entries, without an owner.
//!
//! Each entry has a bucket that refills at the whole rate. It subtracts its own requests at once
//! and those of the other entries as they report them. An entry that stops reporting is assumed to
//! use an even share of the rate, and an entry that receives no reports limits itself to that
//! share. The number of requests admitted in excess is thus bounded by the time until a missing
//! report is detected.
//!
//! A program needs all its requests. So that an entry doesn't start programs that the customer's
//! rate can't finish, a first turn is charged with a whole program's requests in a second bucket.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Burst;
use crate::id::Rate;
use crate::time::Millis;
use crate::time::Time;

/// Time without a report after which an entry is assumed to use its share.
pub const SILENCE_TIMEOUT: Millis = Millis(450);

/// Smallest capacity of a bucket; prevents rounding from refusing requests of small customers.
const MIN_BURST: f64 = 4.0;

/// Largest debt that other entries' reports can leave, in seconds of rate.
const MAX_DEBT_S: f64 = 1.0;

/// What a request is charged with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Charge {
    /// One request: a later one of a program, or one outside any program.
    Request,
    /// A program's first turn, with the number of requests expected for a whole program.
    FirstTurn(f64),
}

/// Result of taking one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    Granted,
    /// Time after which the request is worth retrying.
    Wait(Millis),
}

/// Requests that an entry has admitted for a customer since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Total {
    pub requests: u64,
    /// Requests charged for first turns.
    pub started: f64,
}

/// Newest report of another entry.
#[derive(Debug, Clone, Copy)]
struct Peer {
    id: u64,
    incarnation: u64,
    reported: Total,
}

/// Numbers of all entries and of silent ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Entries, this one included.
    pub entries: usize,
    /// Entries that have stopped reporting.
    pub silent: usize,
}

/// A customer's bucket on one entry.
#[derive(Debug, Clone)]
pub struct Quota {
    rate: f64,
    burst: f64,
    refilled_at: Time,
    /// Number of requests that can be taken for any use.
    request_balance: f64,
    /// Number of requests that first turns can be charged with.
    program_balance: f64,
    admitted: Total,
    peers: Vec<Peer>,
}

impl Quota {
    /// Returns a bucket that starts with this entry's share of the burst.
    pub fn new(rate: Rate, burst: Burst, fleet: Fleet, now: Time) -> Quota {
        let burst = f64::from(burst.0).max(MIN_BURST);
        let share = burst / fleet.entries.max(1) as f64;
        Quota {
            rate: rate.per_second(),
            burst,
            refilled_at: now,
            request_balance: share,
            program_balance: share,
            admitted: Total::default(),
            peers: Vec::new(),
        }
    }

    /// Changes the limits; the number of available requests never increases.
    pub fn set_limits(&mut self, rate: Rate, burst: Burst, fleet: Fleet, now: Time) {
        self.refill(fleet, now);
        self.rate = rate.per_second();
        self.burst = f64::from(burst.0).max(MIN_BURST);
        self.cap();
    }

    /// Takes one request.
    pub fn take(&mut self, charge: Charge, fleet: Fleet, now: Time) -> Take {
        self.refill(fleet, now);
        let refill_rate = self.refill_rate(fleet);
        if self.request_balance < 1.0 {
            return Take::Wait(wait_time(1.0 - self.request_balance, refill_rate));
        }
        match charge {
            Charge::Request => {}
            Charge::FirstTurn(_) if self.program_balance < 1.0 => {
                return Take::Wait(wait_time(1.0 - self.program_balance, refill_rate));
            }
            Charge::FirstTurn(cost) => {
                self.program_balance -= cost;
                self.admitted.started += cost;
            }
        }
        self.request_balance -= 1.0;
        self.admitted.requests += 1;
        Take::Granted
    }

    /// Whether a request would be refused now.
    pub fn is_exhausted(&mut self, fleet: Fleet, now: Time) -> bool {
        self.refill(fleet, now);
        self.request_balance < 1.0
    }

    /// Returns the total that this entry reports to the others.
    pub fn total(&self) -> Total {
        self.admitted
    }

    /// Subtracts what another entry reports to have admitted since its last report. Its counts
    /// start at zero in each incarnation. `silent` is the time for which it was assumed to use its
    /// share.
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
        let position = self.peers.iter().position(|known| known.id == peer);
        let Some(position) = position else {
            // Requests admitted before the first report were never part of this bucket.
            self.peers.push(Peer {
                id: peer,
                incarnation,
                reported: total,
            });
            return;
        };
        let known = &mut self.peers[position];
        if known.incarnation != incarnation {
            known.incarnation = incarnation;
            known.reported = Total::default();
        }
        let assumed = self.rate / fleet.entries.max(1) as f64 * silent.0 as f64 / 1000.0;
        let requests = total.requests.saturating_sub(known.reported.requests) as f64;
        let started = (total.started - known.reported.started).max(0.0);
        known.reported = Total {
            requests: known.reported.requests.max(total.requests),
            started: known.reported.started.max(total.started),
        };
        let floor = -self.rate * MAX_DEBT_S;
        self.request_balance = (self.request_balance - (requests - assumed).max(0.0)).max(floor);
        self.program_balance = (self.program_balance - (started - assumed).max(0.0)).max(floor);
    }

    /// Refill in requests per second: the shares of this entry and of all that report.
    fn refill_rate(&self, fleet: Fleet) -> f64 {
        let silent = fleet.silent.min(fleet.entries.saturating_sub(1));
        self.rate * (1.0 - silent as f64 / fleet.entries.max(1) as f64)
    }

    fn refill(&mut self, fleet: Fleet, now: Time) {
        let refill = self.refill_rate(fleet) * now.since(self.refilled_at).0 as f64 / 1000.0;
        self.refilled_at = self.refilled_at.max(now);
        self.request_balance += refill;
        self.program_balance += refill;
        self.cap();
    }

    fn cap(&mut self) {
        self.request_balance = self.request_balance.min(self.burst);
        self.program_balance = self.program_balance.min(self.burst);
    }
}

fn wait_time(missing: f64, refill_rate: f64) -> Millis {
    match refill_rate > 0.0 {
        true => Millis((missing / refill_rate * 1000.0).ceil() as u64),
        false => Millis(u64::MAX),
    }
}
