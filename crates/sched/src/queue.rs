//! Order of the calls that wait for one target.
//!
//! Between customers: weighted fair queueing on served tokens. Each customer has a virtual finish
//! time that grows by cost over weight as its calls leave the queue, by the estimate first and
//! corrected by [`Queue::settle`]. A customer that comes back from idling starts at the queue's
//! virtual time, so that idling earns nothing.
//!
//! Within a customer: least attained service first. Waiting offsets attained service, which makes
//! a call's rank a constant: no rank has to be recomputed while calls wait. The emphasis blends
//! the rank of a customer's first call into the choice between customers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use coord::id::Customer;
use coord::id::Program;
use coord::id::Tokens;
use coord::time::Millis;
use coord::time::Time;

use crate::Map;
use crate::policy::Order;
use crate::policy::Policy;

/// Parts of a millisecond in a rank.
const RANK_SCALE: f64 = 1024.0;

/// Tokens that the settings' times are stated for.
const TOKENS_PER_SETTING: f64 = 1000.0;

/// Customers remembered before idle ones are dropped.
const CUSTOMER_LIMIT: usize = 1024;

/// A call that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Name of the call within the queue.
    pub id: u64,
    /// Customer to whom the call is charged.
    pub customer: Customer,
    /// Share of the customer, 1 at least.
    pub weight: u32,
    /// Program that the call belongs to, if any.
    pub program: Option<Program>,
    /// Cost of what the program has been served so far.
    pub attained: Tokens,
    /// Expected cost of the call.
    pub cost: Tokens,
    /// Whether the target holds the program's cache.
    pub warm: bool,
    /// When the call came.
    pub arrived: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    value: i64,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Place {
    flow: usize,
    rank: Rank,
}

#[derive(Debug)]
struct Flow {
    customer: Customer,
    weight: u32,
    finish: f64,
    score: i64,
    jobs: BTreeMap<Rank, Job>,
}

/// Calls that wait for one target.
#[derive(Debug)]
pub struct Queue {
    policy: Policy,
    flows: Vec<Option<Flow>>,
    vacant: Vec<usize>,
    index: Map<Customer, usize>,
    active: BTreeSet<(i64, usize)>,
    places: Map<u64, Place>,
    virtual_time: f64,
    sequence: u64,
    tokens: u64,
}

impl Queue {
    /// An empty queue.
    pub fn new(policy: &Policy) -> Queue {
        Queue {
            policy: policy.clone(),
            flows: Vec::new(),
            vacant: Vec::new(),
            index: Map::default(),
            active: BTreeSet::new(),
            places: Map::default(),
            virtual_time: 0.0,
            sequence: 0,
            tokens: 0,
        }
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of customers remembered.
    pub fn customers(&self) -> usize {
        self.index.len()
    }

    /// Expected cost of all calls that wait.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.tokens)
    }

    /// Adds a call; one with the same id is replaced.
    pub fn push(&mut self, job: Job, now: Time) {
        self.remove(job.id);
        self.sequence += 1;
        let rank = Rank {
            value: self.rank(&job, now),
            sequence: self.sequence,
        };
        let slot = self.flow_of(&job.customer);
        self.tokens += job.cost.0;
        self.places.insert(job.id, Place { flow: slot, rank });
        let floor = self.virtual_time;
        if let Some(flow) = self.flows[slot].as_mut() {
            flow.weight = job.weight.max(1);
            if flow.jobs.is_empty() {
                flow.finish = flow.finish.max(floor);
            }
            flow.jobs.insert(rank, job);
        }
        self.rescore(slot);
    }

    /// Takes the call that is due.
    pub fn pop(&mut self, _now: Time) -> Option<Job> {
        let (_, slot) = *self.active.first()?;
        let flow = self.flows[slot].as_mut()?;
        let (_, job) = flow.jobs.pop_first()?;
        let start = flow.finish;
        flow.finish += job.cost.0 as f64 / f64::from(flow.weight);
        self.places.remove(&job.id);
        self.tokens -= job.cost.0;
        self.rescore(slot);
        self.advance(start);
        Some(job)
    }

    /// Takes back a call that still waits.
    pub fn remove(&mut self, id: u64) -> Option<Job> {
        let place = self.places.remove(&id)?;
        let flow = self.flows[place.flow].as_mut()?;
        let job = flow.jobs.remove(&place.rank)?;
        self.tokens -= job.cost.0;
        self.rescore(place.flow);
        Some(job)
    }

    /// Corrects a customer's charge once a call's cost is known.
    pub fn settle(&mut self, customer: &Customer, estimated: Tokens, actual: Tokens) {
        let slot = match self.index.get(customer) {
            Some(slot) => *slot,
            None if actual > estimated => self.flow_of(customer),
            None => return,
        };
        let error = actual.0 as f64 - estimated.0 as f64;
        if let Some(flow) = self.flows[slot].as_mut() {
            flow.finish += error / f64::from(flow.weight);
        }
        self.rescore(slot);
    }

    fn rank(&self, job: &Job, now: Time) -> i64 {
        let Millis(ageing) = self.policy.ageing;
        let Millis(bonus) = self.policy.warm_bonus;
        let arrived = job.arrived.0.min(now.0) as f64;
        let value = match (self.policy.order, job.warm) {
            (Order::Fifo | Order::Fair, _) => arrived,
            (Order::Full, true) => arrived + attained(job, ageing) - bonus as f64,
            (Order::Full, false) => arrived + attained(job, ageing),
        };
        (value * RANK_SCALE) as i64
    }

    /// Position of a customer's flow; Fifo keeps all calls in one.
    fn flow_of(&mut self, customer: &Customer) -> usize {
        if let Some(slot) = self.shared_flow() {
            return slot;
        }
        if let Some(slot) = self.index.get(customer) {
            return *slot;
        }
        if self.index.len() >= CUSTOMER_LIMIT {
            self.drop_idle();
        }
        let flow = Flow {
            customer: customer.clone(),
            weight: 1,
            finish: self.virtual_time,
            score: 0,
            jobs: BTreeMap::new(),
        };
        let slot = self.vacant.pop().unwrap_or(self.flows.len());
        match slot < self.flows.len() {
            true => self.flows[slot] = Some(flow),
            false => self.flows.push(Some(flow)),
        }
        self.index.insert(customer.clone(), slot);
        slot
    }

    fn shared_flow(&self) -> Option<usize> {
        match self.policy.order {
            Order::Fifo if !self.flows.is_empty() => Some(0),
            _ => None,
        }
    }

    /// Drops half of the idle customers, those that owe least first.
    fn drop_idle(&mut self) {
        let idle = |(slot, flow): (usize, &Option<Flow>)| {
            let flow = flow.as_ref().filter(|flow| flow.jobs.is_empty())?;
            Some((slot, flow.finish))
        };
        let mut found: Vec<(usize, f64)> = self.flows.iter().enumerate().filter_map(idle).collect();
        found.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        for (slot, _) in found.into_iter().take(CUSTOMER_LIMIT / 2) {
            if let Some(flow) = self.flows[slot].take() {
                self.index.remove(&flow.customer);
                self.vacant.push(slot);
            }
        }
    }

    /// Brings a flow's place among the active ones up to date.
    fn rescore(&mut self, slot: usize) {
        let Some(flow) = self.flows[slot].as_mut() else {
            return;
        };
        self.active.remove(&(flow.score, slot));
        let Some((rank, _)) = flow.jobs.first_key_value() else {
            return;
        };
        let Millis(share) = self.policy.share;
        let emphasis = self.policy.emphasis();
        let fair = flow.finish * share as f64 / TOKENS_PER_SETTING * RANK_SCALE;
        flow.score = match self.policy.order {
            Order::Fifo => rank.value,
            Order::Fair => fair as i64,
            Order::Full => (fair * (1.0 - emphasis) + rank.value as f64 * emphasis) as i64,
        };
        self.active.insert((flow.score, slot));
    }

    /// Moves the virtual time to the start of the call just served, never back.
    fn advance(&mut self, start: f64) {
        self.virtual_time = self.virtual_time.max(start);
    }
}

/// Time by which attained service sets a call back, in milliseconds.
fn attained(job: &Job, ageing: u64) -> f64 {
    job.attained.0 as f64 * ageing as f64 / TOKENS_PER_SETTING
}
