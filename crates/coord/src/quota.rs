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

/// Smallest initial balance, so that an entry which joins many others doesn't refuse a customer's
/// first request.
const MIN_INITIAL_BALANCE: f64 = 1.0;

/// Time between two notes of the total that [`Quota::earlier`] returns.
const EARLIER_INTERVAL: Millis = Millis(500);

/// Largest debt that other entries' reports can leave, in seconds of rate, besides what requests wait
/// for.
const MAX_DEBT_S: f64 = 1.0;

/// Longest time for which a request may wait until it is available.
pub const MAX_PATIENCE: Millis = Millis(500);

/// Number of entries up to which requests may wait. More entries learn later of each other's requests,
/// and what waits at all of them would add up beyond the allowed excess.
const PATIENT_ENTRIES: usize = 8;

/// Share of the burst, or of a second's rate if that is less, that first turns leave to programs under
/// way.
const UNDER_WAY_RESERVE: f64 = 0.2;

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
    /// The request is taken but must not be sent before this time has passed.
    GrantedAfter(Millis),
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

/// Requests that a bucket holds; negative if it is in debt.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Balance {
    /// For any use.
    pub requests: f64,
    /// For charges of first turns.
    pub programs: f64,
}

impl Total {
    /// The larger of both numbers of each kind.
    fn max(self, other: Total) -> Total {
        Total {
            requests: self.requests.max(other.requests),
            started: self.started.max(other.started),
        }
    }
}

/// An entry and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub id: u64,
    pub incarnation: u64,
}

/// Requests that an entry has admitted for a customer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    pub entry: Entry,
    /// Total of up to a second ago; entries that learn of this one only now don't charge it.
    pub earlier: Total,
    pub total: Total,
}

impl Usage {
    /// The same usage for an entry whose balance accounts for it already.
    pub(crate) fn without_recent(self) -> Usage {
        Usage {
            earlier: self.total,
            ..self
        }
    }
}

/// Newest report of another entry.
#[derive(Debug, Clone, Copy)]
struct Peer {
    id: u64,
    incarnation: u64,
    /// Incarnation before this one, whose late reports are ignored.
    former: Option<u64>,
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
    /// Number of requests beyond the balance that programs under way may take.
    allowance: f64,
    admitted: Total,
    /// Total at the last two ends of [`EARLIER_INTERVAL`], the older one first.
    noted: [Total; 2],
    noted_at: Time,
    peers: Vec<Peer>,
}

impl Quota {
    /// Returns a bucket that starts with this entry's share of the burst, at least one request.
    pub fn new(rate: Rate, burst: Burst, fleet: Fleet, now: Time) -> Quota {
        let burst = f64::from(burst.0).max(MIN_BURST);
        let share = initial_balance(burst, fleet);
        Quota {
            rate: rate.per_second(),
            burst,
            refilled_at: now,
            request_balance: share,
            program_balance: share,
            allowance: 0.0,
            admitted: Total::default(),
            noted: [Total::default(); 2],
            noted_at: now,
            peers: Vec::new(),
        }
    }

    /// Lets programs under way take this many requests beyond the balance, so that they needn't fail
    /// where a customer's rate is small; they are regained before the next program begins.
    pub fn with_allowance(mut self, requests: f64) -> Quota {
        self.allowance = requests;
        self
    }

    /// Changes the limits; the number of available requests never increases.
    pub fn set_limits(&mut self, rate: Rate, burst: Burst, fleet: Fleet, now: Time) {
        self.refill(fleet, now);
        self.rate = rate.per_second();
        self.burst = f64::from(burst.0).max(MIN_BURST);
        self.cap(fleet);
    }

    /// Takes one request. A request of a program under way may be taken before it is available, if it
    /// becomes available within `patience`; requests that wait thus do so one after the other.
    pub fn take(&mut self, charge: Charge, patience: Millis, fleet: Fleet, now: Time) -> Take {
        self.refill(fleet, now);
        self.note_total(now);
        let refill_rate = self.refill_rate(fleet);
        let allowance = match charge {
            Charge::Request => self.usable_allowance(fleet),
            Charge::FirstTurn(_) => -self.burst.min(self.rate) * UNDER_WAY_RESERVE,
        };
        let available = self.request_balance + allowance;
        let wait = match available < 1.0 {
            true => wait_time(1.0 - available, refill_rate),
            false => Millis(0),
        };
        match charge {
            Charge::Request if wait > patience.min(max_patience(fleet)) => {
                return Take::Wait(wait);
            }
            Charge::Request => {}
            Charge::FirstTurn(_) if wait > Millis(0) => return Take::Wait(wait),
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
        match wait {
            Millis(0) => Take::Granted,
            wait => Take::GrantedAfter(wait),
        }
    }

    /// Time after which a request of a program under way would be granted; `None` if it would be now, or
    /// after a wait of at most `patience`.
    pub fn request_wait(&mut self, patience: Millis, fleet: Fleet, now: Time) -> Option<Millis> {
        self.refill(fleet, now);
        let missing = 1.0 - self.request_balance - self.usable_allowance(fleet);
        let wait = (missing > 0.0).then(|| wait_time(missing, self.refill_rate(fleet)));
        wait.filter(|wait| *wait > patience.min(max_patience(fleet)))
    }

    /// Returns the total that this entry reports to the others.
    pub fn total(&self) -> Total {
        self.admitted
    }

    /// Returns what the bucket holds now.
    pub fn balance(&mut self, fleet: Fleet, now: Time) -> Balance {
        self.refill(fleet, now);
        Balance {
            requests: self.request_balance,
            programs: self.program_balance,
        }
    }

    /// Lowers what the bucket holds to the balance of an entry that knows the customer's usage better.
    pub fn lower(&mut self, balance: Balance, fleet: Fleet, now: Time) {
        self.refill(fleet, now);
        self.request_balance = self.request_balance.min(balance.requests);
        self.program_balance = self.program_balance.min(balance.programs);
    }

    /// Lowers what the bucket holds to this entry's share of the burst, with which a bucket begins.
    pub fn lower_to_share(&mut self, fleet: Fleet, now: Time) {
        let share = initial_balance(self.burst, fleet);
        let balance = Balance {
            requests: share,
            programs: share,
        };
        self.lower(balance, fleet, now);
    }

    /// Returns this entry's total of up to a second ago, for entries that hear of this one only now.
    pub fn earlier(&self) -> Total {
        self.noted[0]
    }

    fn note_total(&mut self, now: Time) {
        let elapsed = now.since(self.noted_at);
        if elapsed < EARLIER_INTERVAL {
            return;
        }
        let idle = elapsed.0 >= 2 * EARLIER_INTERVAL.0;
        let older = if idle { self.admitted } else { self.noted[1] };
        self.noted = [older, self.admitted];
        self.noted_at = now;
    }

    /// Subtracts what another entry has admitted since its last report, but nothing that it admitted
    /// before its earlier total.
    pub fn merge_usage(&mut self, usage: &Usage, fleet: Fleet, now: Time) {
        let entry = usage.entry;
        match self.peers.iter_mut().find(|known| known.id == entry.id) {
            Some(known) if known.incarnation == entry.incarnation => {
                known.reported = known.reported.max(usage.earlier);
            }
            Some(_) => {}
            None => self.peers.push(Peer {
                id: entry.id,
                incarnation: entry.incarnation,
                former: None,
                reported: usage.earlier,
            }),
        }
        let silent = Millis(0);
        self.merge_report(entry.id, entry.incarnation, usage.total, silent, fleet, now);
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
                former: None,
                reported: total,
            });
            return;
        };
        let known = &mut self.peers[position];
        if known.former == Some(incarnation) {
            return;
        }
        if known.incarnation != incarnation {
            known.former = Some(known.incarnation);
            known.incarnation = incarnation;
            known.reported = Total::default();
        }
        let assumed = self.rate / fleet.entries.max(1) as f64 * silent.0 as f64 / 1000.0;
        let requests = total.requests.saturating_sub(known.reported.requests) as f64;
        let started = (total.started - known.reported.started).max(0.0);
        known.reported = known.reported.max(total);
        let floor = -self.rate * (MAX_DEBT_S + MAX_PATIENCE.0 as f64 / 1000.0) - self.allowance;
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
        self.cap(fleet);
    }

    /// The allowance; none while all others are silent, as each entry would use the whole of it.
    fn usable_allowance(&self, fleet: Fleet) -> f64 {
        match is_cut_off(fleet) {
            true => 0.0,
            false => self.allowance,
        }
    }

    /// Limits the balances to the burst, or to this entry's share of it while all others are silent.
    fn cap(&mut self, fleet: Fleet) {
        let burst = match is_cut_off(fleet) {
            true => (self.burst / fleet.entries as f64).max(MIN_BURST),
            false => self.burst,
        };
        self.request_balance = self.request_balance.min(burst);
        self.program_balance = self.program_balance.min(burst);
    }
}

/// What a bucket holds at first: this entry's share of the burst, at least one request.
fn initial_balance(burst: f64, fleet: Fleet) -> f64 {
    (burst / fleet.entries.max(1) as f64).max(MIN_INITIAL_BALANCE)
}

/// Longest time for which a request may wait among this many entries.
fn max_patience(fleet: Fleet) -> Millis {
    match fleet.entries <= PATIENT_ENTRIES {
        true => MAX_PATIENCE,
        false => Millis(0),
    }
}

/// Whether all other entries are silent.
fn is_cut_off(fleet: Fleet) -> bool {
    fleet.entries > 1 && fleet.silent + 1 >= fleet.entries
}

fn wait_time(missing: f64, refill_rate: f64) -> Millis {
    match refill_rate > 0.0 {
        true => Millis((missing / refill_rate * 1000.0).ceil() as u64),
        false => Millis(u64::MAX),
    }
}
