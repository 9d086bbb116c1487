//! Queue of the calls that wait for one target.
//!
//! Between customers: weighted fair queueing on served tokens. A customer's virtual finish time
//! grows by estimated cost over weight when a call leaves the queue; [`Queue::settle`] corrects the
//! estimate. A customer that was idle starts at the queue's virtual time, so that idle time earns
//! no credit.
//!
//! Within a customer: least attained service first. Waiting time offsets attained service, which
//! makes a call's rank constant: ranks aren't recomputed while calls wait. The policy's emphasis
//! blends the rank of a customer's first call into the choice between customers.

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

/// Rank units per millisecond: the resolution of the integer ranks.
const RANK_UNITS_PER_MS: f64 = 1024.0;

/// Number of tokens to which the times [`Policy::ageing`] and [`Policy::share`] refer.
const TOKENS_PER_SETTING: f64 = 1000.0;

/// Number of customers at which idle ones are evicted.
const CUSTOMER_LIMIT: usize = 1024;

/// A waiting call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Identifies the call within the queue.
    pub id: u64,
    /// Customer to whom the call is charged.
    pub customer: Customer,
    /// Weight of the customer in fair queueing; values under 1 count as 1.
    pub weight: u32,
    /// Program that the call belongs to, if any.
    pub program: Option<Program>,
    /// Cost of the service that the program has received so far.
    pub attained: Tokens,
    /// Expected cost of the call.
    pub cost: Tokens,
    /// Whether the program's cache is on the target.
    pub warm: bool,
    /// Time of the call's arrival.
    pub arrived: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    value: i64,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    /// Index in `Queue::flows`.
    flow: usize,
    rank: Rank,
}

#[derive(Debug)]
struct Flow {
    customer: Customer,
    weight: u32,
    /// Virtual finish time: tokens charged divided by the weight.
    virtual_finish: f64,
    /// Key in `Queue::backlogged`; the lowest is served first.
    score: i64,
    jobs: BTreeMap<Rank, Job>,
}

/// Calls that wait for one target.
#[derive(Debug)]
pub struct Queue {
    policy: Policy,
    flows: Vec<Option<Flow>>,
    /// Indices of the empty elements of `flows`.
    vacant: Vec<usize>,
    flow_by_customer: Map<Customer, usize>,
    /// Score and index of each flow with waiting calls.
    backlogged: BTreeSet<(i64, usize)>,
    /// Positions of the waiting calls by id.
    positions: Map<u64, Position>,
    virtual_time: f64,
    sequence: u64,
    /// Expected cost of all waiting calls.
    tokens: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(policy: &Policy) -> Queue {
        Queue {
            policy: policy.clone(),
            flows: Vec::new(),
            vacant: Vec::new(),
            flow_by_customer: Map::default(),
            backlogged: BTreeSet::new(),
            positions: Map::default(),
            virtual_time: 0.0,
            sequence: 0,
            tokens: 0,
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of customers, including idle ones that haven't been evicted; at most 1
    /// with [`Order::Fifo`].
    pub fn customers(&self) -> usize {
        self.flow_by_customer.len()
    }

    /// Returns the expected cost of all waiting calls.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.tokens)
    }

    /// Adds a call or replaces the one with the same id.
    pub fn push(&mut self, job: Job, now: Time) {
        self.remove(job.id);
        self.sequence += 1;
        let rank = Rank {
            value: self.rank(&job, now),
            sequence: self.sequence,
        };
        let index = self.flow_index(&job.customer);
        self.tokens += job.cost.0;
        self.positions
            .insert(job.id, Position { flow: index, rank });
        let virtual_time = self.virtual_time;
        if let Some(flow) = self.flows[index].as_mut() {
            flow.weight = job.weight.max(1);
            if flow.jobs.is_empty() {
                flow.virtual_finish = flow.virtual_finish.max(virtual_time);
            }
            flow.jobs.insert(rank, job);
        }
        self.update_score(index);
    }

    /// Removes and returns the call to run next.
    pub fn pop(&mut self, _now: Time) -> Option<Job> {
        let (_, index) = *self.backlogged.first()?;
        let flow = self.flows[index].as_mut()?;
        let (_, job) = flow.jobs.pop_first()?;
        let virtual_start = flow.virtual_finish;
        flow.virtual_finish += job.cost.0 as f64 / f64::from(flow.weight);
        self.positions.remove(&job.id);
        self.tokens -= job.cost.0;
        self.update_score(index);
        self.advance_virtual_time(virtual_start);
        Some(job)
    }

    /// Removes a waiting call.
    pub fn remove(&mut self, id: u64) -> Option<Job> {
        let position = self.positions.remove(&id)?;
        let flow = self.flows[position.flow].as_mut()?;
        let job = flow.jobs.remove(&position.rank)?;
        self.tokens -= job.cost.0;
        self.update_score(position.flow);
        Some(job)
    }

    /// Corrects a customer's charge when the actual cost of a call is known.
    pub fn settle(&mut self, customer: &Customer, estimated: Tokens, actual: Tokens) {
        let index = match self.flow_by_customer.get(customer) {
            Some(index) => *index,
            None if actual > estimated => self.flow_index(customer),
            None => return,
        };
        let error = actual.0 as f64 - estimated.0 as f64;
        if let Some(flow) = self.flows[index].as_mut() {
            flow.virtual_finish += error / f64::from(flow.weight);
        }
        self.update_score(index);
    }

    fn rank(&self, job: &Job, now: Time) -> i64 {
        let Millis(ageing) = self.policy.ageing;
        let Millis(bonus) = self.policy.warm_bonus;
        let arrived = job.arrived.0.min(now.0) as f64;
        let value = match (self.policy.order, job.warm) {
            (Order::Fifo | Order::Fair, _) => arrived,
            (Order::Full, true) => arrived + attained_delay_ms(job, ageing) - bonus as f64,
            (Order::Full, false) => arrived + attained_delay_ms(job, ageing),
        };
        (value * RANK_UNITS_PER_MS) as i64
    }

    /// Returns the index of a customer's flow, which is created if missing. `Order::Fifo` keeps all
    /// calls in one flow.
    fn flow_index(&mut self, customer: &Customer) -> usize {
        if let Some(index) = self.fifo_flow() {
            return index;
        }
        if let Some(index) = self.flow_by_customer.get(customer) {
            return *index;
        }
        if self.flow_by_customer.len() >= CUSTOMER_LIMIT {
            self.evict_idle();
        }
        let flow = Flow {
            customer: customer.clone(),
            weight: 1,
            virtual_finish: self.virtual_time,
            score: 0,
            jobs: BTreeMap::new(),
        };
        let index = self.vacant.pop().unwrap_or(self.flows.len());
        match index < self.flows.len() {
            true => self.flows[index] = Some(flow),
            false => self.flows.push(Some(flow)),
        }
        self.flow_by_customer.insert(customer.clone(), index);
        index
    }

    fn fifo_flow(&self) -> Option<usize> {
        match self.policy.order {
            Order::Fifo if !self.flows.is_empty() => Some(0),
            _ => None,
        }
    }

    /// Evicts idle customers with the lowest virtual finish times, up to half of `CUSTOMER_LIMIT`.
    fn evict_idle(&mut self) {
        let idle = |(index, flow): (usize, &Option<Flow>)| {
            let flow = flow.as_ref().filter(|flow| flow.jobs.is_empty())?;
            Some((index, flow.virtual_finish))
        };
        let mut candidates: Vec<(usize, f64)> =
            self.flows.iter().enumerate().filter_map(idle).collect();
        candidates.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        for (index, _) in candidates.into_iter().take(CUSTOMER_LIMIT / 2) {
            if let Some(flow) = self.flows[index].take() {
                self.flow_by_customer.remove(&flow.customer);
                self.vacant.push(index);
            }
        }
    }

    /// Recomputes a flow's score; removes the flow from the backlogged ones if no call waits.
    fn update_score(&mut self, index: usize) {
        let Some(flow) = self.flows[index].as_mut() else {
            return;
        };
        self.backlogged.remove(&(flow.score, index));
        let Some((rank, _)) = flow.jobs.first_key_value() else {
            return;
        };
        let Millis(share) = self.policy.share;
        let emphasis = self.policy.emphasis();
        let fair_rank = flow.virtual_finish * share as f64 / TOKENS_PER_SETTING * RANK_UNITS_PER_MS;
        flow.score = match self.policy.order {
            Order::Fifo => rank.value,
            Order::Fair => fair_rank as i64,
            Order::Full => (fair_rank * (1.0 - emphasis) + rank.value as f64 * emphasis) as i64,
        };
        self.backlogged.insert((flow.score, index));
    }

    /// Advances the virtual time to the virtual start of the call just removed; it never decreases.
    fn advance_virtual_time(&mut self, virtual_start: f64) {
        self.virtual_time = self.virtual_time.max(virtual_start);
    }
}

/// Returns the delay of a call's rank due to attained service, in milliseconds.
fn attained_delay_ms(job: &Job, ageing: u64) -> f64 {
    job.attained.0 as f64 * ageing as f64 / TOKENS_PER_SETTING
}
