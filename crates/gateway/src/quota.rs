//! Rates of all customers on this entry; the decisions are [`coord::quota`]'s.

use std::time::Duration;

use coord::id::Customer;
use coord::quota::Charge;
use coord::quota::Fleet;
use coord::quota::Quota;
use coord::quota::Take;
use coord::quota::Total;
use coord::time::Millis;
use coord::time::Time;

use crate::Map;
use crate::config::CustomerLimits;

/// Longest time to come back that is told.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Requests of a program, before any has been seen to its end.
const PROGRAM_REQUESTS: f64 = 9.0;

/// Weight of one program in the mean number of requests.
const PROGRAM_WEIGHT: f64 = 0.02;

/// Fewest and most requests that a program is taken to need.
const PROGRAM_RANGE: (f64, f64) = (1.0, 60.0);

/// A customer is over its rate; this is when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exceeded(pub Duration);

/// A customer's bucket, and when it last admitted something.
#[derive(Debug)]
struct Entry {
    quota: Quota,
    limits: (f64, u32),
    changed: Time,
    /// Until when the rate is promised to programs that were told to come back.
    promised: Time,
}

/// Buckets of all customers.
#[derive(Debug)]
pub struct Quotas {
    customers: Map<Customer, Entry>,
    /// Mean number of requests that follow a first turn, itself included.
    program_requests: f64,
    /// Requests since the last first turn.
    following: f64,
}

impl Default for Quotas {
    fn default() -> Quotas {
        Quotas {
            customers: Map::default(),
            program_requests: PROGRAM_REQUESTS,
            following: 0.0,
        }
    }
}

impl Quotas {
    /// Takes a request from its customer's rate.
    ///
    /// Errors: the rate doesn't hold it.
    pub fn admit(
        &mut self,
        limits: &CustomerLimits,
        first: bool,
        fleet: Fleet,
        now: Time,
    ) -> Result<(), Exceeded> {
        let usage = match first {
            true => Charge::FirstTurn(self.program_requests),
            false => Charge::Request,
        };
        let Some(entry) = self.entry(limits, fleet, now) else {
            self.count(first);
            return Ok(());
        };
        match (entry.quota.take(usage, fleet, now), usage) {
            (Take::Granted, _) => {
                entry.changed = now;
                self.count(first);
                Ok(())
            }
            (Take::Wait(wait), Charge::Request) => Err(Exceeded(pause(wait))),
            (Take::Wait(wait), Charge::FirstTurn(cost)) => {
                Err(Exceeded(entry.promise(wait, cost, now)))
            }
        }
    }

    /// Refuses a request that its customer's rate surely doesn't hold.
    ///
    /// Errors: the rate is used up.
    pub fn check(
        &mut self,
        limits: &CustomerLimits,
        fleet: Fleet,
        now: Time,
    ) -> Result<(), Exceeded> {
        let per_request = limits.rate.map_or(0.0, |rate| 1000.0 / rate.per_second());
        let entry = self.entry(limits, fleet, now);
        match entry.is_some_and(|entry| entry.quota.is_exhausted(fleet, now)) {
            true => Err(Exceeded(pause(Millis(per_request as u64)))),
            false => Ok(()),
        }
    }

    /// Takes another entry's report of what it has admitted.
    pub fn merge_report(
        &mut self,
        peer: (u64, u64),
        totals: &[(Customer, Total)],
        silent: Millis,
        fleet: Fleet,
        now: Time,
    ) {
        let (peer, incarnation) = peer;
        for (customer, total) in totals {
            if let Some(entry) = self.customers.get_mut(customer) {
                let quota = &mut entry.quota;
                quota.merge_report(peer, incarnation, *total, silent, fleet, now);
            }
        }
    }

    /// What was admitted for customers that had requests since a time.
    pub fn totals(&self, since: Time) -> Vec<(Customer, Total)> {
        let entries = self.customers.iter();
        entries
            .filter(|(_, entry)| entry.changed >= since)
            .map(|(customer, entry)| (customer.clone(), entry.quota.total()))
            .collect()
    }

    /// The bucket of a customer; none if its rate is unlimited.
    fn entry(&mut self, limits: &CustomerLimits, fleet: Fleet, now: Time) -> Option<&mut Entry> {
        let rate = limits.rate?;
        let key = (rate.per_second(), limits.burst.0);
        let entry = self.customers.entry(limits.name.clone());
        let entry = entry.or_insert_with(|| Entry {
            quota: Quota::new(rate, limits.burst, fleet, now),
            limits: key,
            changed: now,
            promised: now,
        });
        if entry.limits != key {
            entry.limits = key;
            entry.quota.set_limits(rate, limits.burst, fleet, now);
        }
        Some(entry)
    }

    /// Learns how many requests a program takes.
    fn count(&mut self, first: bool) {
        self.following += 1.0;
        if first {
            let (fewest, most) = PROGRAM_RANGE;
            let seen = self.following.clamp(fewest, most);
            self.program_requests += PROGRAM_WEIGHT * (seen - self.program_requests);
            self.following = 0.0;
        }
    }
}

impl Entry {
    /// When a program that was turned away should come back: behind those that were told before.
    fn promise(&mut self, wait: Millis, cost: f64, now: Time) -> Duration {
        let (rate, _) = self.limits;
        let each = Millis((cost / rate.max(f64::MIN_POSITIVE) * 1000.0) as u64);
        let earliest = now + wait;
        let behind = self.promised + each;
        let latest = now + Millis(LONGEST_WAIT.as_millis() as u64);
        let slot = earliest.max(behind).min(latest);
        self.promised = slot;
        pause(slot.since(now))
    }
}

fn pause(wait: Millis) -> Duration {
    Duration::from_millis(wait.0).min(LONGEST_WAIT)
}
