//! Rate limits of all customers on this entry, based on [`coord::quota`].

use std::time::Duration;

use coord::id::Customer;
use coord::quota::Balance;
use coord::quota::Charge;
use coord::quota::Entry;
use coord::quota::Fleet;
use coord::quota::Quota;
use coord::quota::Take;
use coord::quota::Total;
use coord::quota::Usage;
use coord::time::Millis;
use coord::time::Time;
use coord::usage::Message;

use crate::Map;
use crate::Set;
use crate::config::CustomerLimits;

/// Maximum retry time returned to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Initial estimate of the requests per program.
const INITIAL_PROGRAM_REQUESTS: f64 = 9.0;

/// Weight of one program in the moving average of requests per program.
const PROGRAM_WEIGHT: f64 = 0.02;

/// Range to which the observed requests per program are clamped.
const PROGRAM_REQUESTS_RANGE: (f64, f64) = (1.0, 60.0);

/// A customer is over its rate; holds the time after which to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exceeded(pub Duration);

/// Token bucket of a customer and the retry slots of its refused programs.
#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Rate in requests per second, and burst.
    limits: (f64, u32),
    /// When a request was last admitted, or when the bucket was created.
    last_admitted: Time,
    /// Time at which the last refused program may retry.
    last_slot: Time,
    /// Time at which the last refused request of a program under way may retry.
    last_request_slot: Time,
}

/// Part of the allowed excess over a rate that programs under way may use; the rest covers requests
/// that entries admit before they learn of each other's.
const ALLOWANCE_SHARE: f64 = 0.5;

/// Token buckets of all customers.
#[derive(Debug)]
pub struct Quotas {
    customers: Map<Customer, Bucket>,
    /// Requests beyond each customer's balance that programs under way may take.
    allowance: f64,
    /// Moving average of requests per first turn, the first turn included.
    program_requests: f64,
    /// Requests since the last first turn.
    since_first_turn: f64,
}

impl Default for Quotas {
    fn default() -> Quotas {
        Quotas {
            customers: Map::default(),
            allowance: 0.0,
            program_requests: INITIAL_PROGRAM_REQUESTS,
            since_first_turn: 0.0,
        }
    }
}

impl Quotas {
    /// Creates buckets for rates that may be exceeded by some requests within a few seconds.
    pub fn new(allowed_excess: f64) -> Quotas {
        Quotas {
            allowance: allowed_excess * ALLOWANCE_SHARE,
            ..Quotas::default()
        }
    }

    /// Creates the buckets of new customers, so that they fill before the first request comes, and
    /// removes those of former ones.
    pub fn configure(&mut self, customers: &[CustomerLimits], fleet: Fleet, now: Time) {
        for limits in customers {
            self.bucket(limits, fleet, now);
        }
        let limited = customers.iter().filter(|limits| limits.rate.is_some());
        let limited: Set<&Customer> = limited.map(|limits| &limits.name).collect();
        self.customers.retain(|name, _| limited.contains(name));
    }

    /// Lowers all buckets to this entry's share of the bursts, once it knows how many entries there are.
    pub fn lower_to_shares(&mut self, fleet: Fleet, now: Time) {
        for bucket in self.customers.values_mut() {
            bucket.quota.lower_to_share(fleet, now);
        }
    }

    /// Admits a request and charges it to its customer's rate; returns the time for which the request
    /// must wait before it is sent. A first turn doesn't wait, and is also charged with the expected
    /// requests of its whole program; others wait for at most `patience`.
    ///
    /// Errors: the request exceeds the rate.
    pub fn admit(
        &mut self,
        limits: &CustomerLimits,
        first_turn: bool,
        patience: Duration,
        fleet: Fleet,
        now: Time,
    ) -> Result<Duration, Exceeded> {
        let charge = match first_turn {
            true => Charge::FirstTurn(self.program_requests),
            false => Charge::Request,
        };
        let Some(bucket) = self.bucket(limits, fleet, now) else {
            self.count_request(first_turn);
            return Ok(Duration::ZERO);
        };
        let taken = bucket.quota.take(charge, millis(patience), fleet, now);
        let delay = match (taken, charge) {
            (Take::Granted, _) => Millis(0),
            (Take::GrantedAfter(delay), _) => delay,
            (Take::Wait(wait), Charge::Request) => {
                return Err(Exceeded(bucket.reserve_request_slot(wait, now)));
            }
            (Take::Wait(wait), Charge::FirstTurn(cost)) => {
                return Err(Exceeded(bucket.reserve_program_slot(wait, cost, now)));
            }
        };
        bucket.last_admitted = now;
        self.count_request(first_turn);
        Ok(Duration::from_millis(delay.0))
    }

    /// Checks whether a request would have to wait longer than `patience`, without charging it.
    ///
    /// Errors: it would.
    pub fn check(
        &mut self,
        limits: &CustomerLimits,
        patience: Duration,
        fleet: Fleet,
        now: Time,
    ) -> Result<(), Exceeded> {
        let Some(bucket) = self.bucket(limits, fleet, now) else {
            return Ok(());
        };
        match bucket.quota.request_wait(millis(patience), fleet, now) {
            Some(wait) => Err(Exceeded(bucket.reserve_request_slot(wait, now))),
            None => Ok(()),
        }
    }

    /// Merges another entry's totals of admitted requests; `silent_time` is how long that entry
    /// counted as silent before the report.
    pub fn merge_report(
        &mut self,
        peer: (u64, u64),
        totals: &[(Customer, Total)],
        silent_time: Millis,
        fleet: Fleet,
        now: Time,
    ) {
        let (peer, incarnation) = peer;
        for (customer, total) in totals {
            if let Some(bucket) = self.customers.get_mut(customer) {
                let quota = &mut bucket.quota;
                quota.merge_report(peer, incarnation, *total, silent_time, fleet, now);
            }
        }
    }

    /// Merges what an entry that serves the same customers, or keeps their totals, has sent.
    pub fn merge_message(&mut self, message: &Message, me: u64, fleet: Fleet, now: Time) {
        let usages = message.own.iter().chain(&message.forwarded);
        for (customer, usage) in usages.filter(|(_, usage)| usage.entry.id != me) {
            if let Some(bucket) = self.customers.get_mut(customer) {
                bucket.quota.merge_usage(usage, fleet, now);
            }
        }
        for (customer, balance) in &message.balances {
            if let Some(bucket) = self.customers.get_mut(customer) {
                bucket.quota.lower(*balance, fleet, now);
            }
        }
    }

    /// Usage of a customer on this entry, and what its bucket holds.
    pub fn usage(
        &mut self,
        customer: &Customer,
        me: Entry,
        fleet: Fleet,
        now: Time,
    ) -> Option<(Usage, Balance)> {
        let quota = &mut self.customers.get_mut(customer)?.quota;
        let usage = Usage {
            entry: me,
            earlier: quota.earlier(),
            total: quota.total(),
        };
        Some((usage, quota.balance(fleet, now)))
    }

    /// Totals of customers for which requests were admitted since a time.
    pub fn totals(&self, since: Time) -> Vec<(Customer, Total)> {
        let buckets = self.customers.iter();
        buckets
            .filter(|(_, bucket)| bucket.last_admitted >= since)
            .map(|(customer, bucket)| (customer.clone(), bucket.quota.total()))
            .collect()
    }

    /// The bucket of a customer, or `None` if its rate is unlimited.
    fn bucket(&mut self, limits: &CustomerLimits, fleet: Fleet, now: Time) -> Option<&mut Bucket> {
        let rate = limits.rate?;
        let new_limits = (rate.per_second(), limits.burst.0);
        let allowance = self.allowance;
        let bucket = self.customers.entry(limits.name.clone());
        let bucket = bucket.or_insert_with(|| Bucket {
            quota: Quota::new(rate, limits.burst, fleet, now).with_allowance(allowance),
            limits: new_limits,
            last_admitted: now,
            last_slot: now,
            last_request_slot: now,
        });
        if bucket.limits != new_limits {
            bucket.limits = new_limits;
            bucket.quota.set_limits(rate, limits.burst, fleet, now);
        }
        Some(bucket)
    }

    /// Counts a request; a first turn updates the average of requests per program.
    fn count_request(&mut self, first_turn: bool) {
        self.since_first_turn += 1.0;
        if first_turn {
            let (min, max) = PROGRAM_REQUESTS_RANGE;
            let observed = self.since_first_turn.clamp(min, max);
            self.program_requests += PROGRAM_WEIGHT * (observed - self.program_requests);
            self.since_first_turn = 0.0;
        }
    }
}

impl Bucket {
    /// Reserves a retry slot for a refused program, after the slots of those refused before but at
    /// most [`MAX_RETRY_AFTER`] from now; returns the time until the slot.
    fn reserve_program_slot(&mut self, wait: Millis, cost: f64, now: Time) -> Duration {
        let slot = next_slot(self.last_slot, wait, self.slot_length(cost), now);
        self.last_slot = slot;
        retry_after(slot.since(now))
    }

    /// The same for a refused request of a program under way.
    fn reserve_request_slot(&mut self, wait: Millis, now: Time) -> Duration {
        let slot = next_slot(self.last_request_slot, wait, self.slot_length(1.0), now);
        self.last_request_slot = slot;
        retry_after(slot.since(now))
    }

    /// Time in which the rate allows this many requests.
    fn slot_length(&self, requests: f64) -> Millis {
        let (rate, _) = self.limits;
        Millis((requests / rate.max(f64::MIN_POSITIVE) * 1000.0) as u64)
    }
}

/// The earliest slot after a wait that doesn't overlap the slot before.
fn next_slot(previous: Time, wait: Millis, length: Millis, now: Time) -> Time {
    let latest = now + Millis(MAX_RETRY_AFTER.as_millis() as u64);
    (now + wait).max(previous + length).min(latest)
}

fn retry_after(wait: Millis) -> Duration {
    Duration::from_millis(wait.0).min(MAX_RETRY_AFTER)
}

fn millis(duration: Duration) -> Millis {
    Millis(duration.as_millis() as u64)
}
