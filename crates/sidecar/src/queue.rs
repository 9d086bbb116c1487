//! Places at the target, given in the order of the scheduling policy.
//!
//! The target runs a bounded number of requests, so that its own queue stays empty and the order
//! is ours. A request that is suspected of crashing targets runs with no companion.

use std::sync::Arc;

use coord::Map;
use coord::id::Customer;
use coord::id::Tokens;
use parking_lot::Mutex;
use sched::policy::Policy;
use sched::queue::Job;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// The queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// What waits and runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Depth {
    pub queued: usize,
    /// Cost of what waits, and of the prompts that the target is still to process.
    pub queued_tokens: Tokens,
    pub running: usize,
    pub running_tokens: Tokens,
}

#[derive(Debug)]
struct Waiter {
    exclusive: bool,
    prefill: Tokens,
    permit: oneshot::Sender<Permit>,
}

#[derive(Debug)]
struct State {
    queue: sched::queue::Queue,
    waiters: Map<u64, Waiter>,
    /// A request due to run alone, which waits for the target to be empty.
    exclusive_pending: Option<(Job, Waiter)>,
    /// The running request that has the target to itself.
    exclusive_running: Option<u64>,
    running: Map<u64, Running>,
    next_id: u64,
}

/// A request at the target.
#[derive(Debug, Clone, Copy)]
struct Running {
    cost: Tokens,
    /// Uncached prompt, until the first token shows that it is processed.
    prefill: Tokens,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    slots: usize,
    capacity: usize,
    state: Mutex<State>,
}

/// The queue before one target.
#[derive(Debug, Clone)]
pub struct Queue(Arc<Inner>);

/// A request's place in the queue, given up when dropped.
#[derive(Debug)]
pub struct PendingRequest {
    queue: Queue,
    id: u64,
    permit: oneshot::Receiver<Permit>,
}

/// Leave to run at the target, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    queue: Queue,
    id: u64,
}

impl Permit {
    /// Notes that the target has processed the prompt.
    pub fn mark_prefilled(&self) {
        self.queue.mark_prefilled(self.id);
    }
}

impl Queue {
    /// An empty queue before a target that runs `slots` requests, with room for `limit` more.
    pub fn new(policy: &Policy, slots: usize, capacity: usize, clock: Clock) -> Queue {
        let state = State {
            queue: sched::queue::Queue::new(policy),
            waiters: Map::default(),
            exclusive_pending: None,
            exclusive_running: None,
            running: Map::default(),
            next_id: 0,
        };
        Queue(Arc::new(Inner {
            clock,
            slots,
            capacity,
            state: Mutex::new(state),
        }))
    }

    /// Takes a place; the job's id and time of arrival are set here. `prefill` is the part of its
    /// prompt that the target has to process.
    ///
    /// Errors: the queue is full.
    pub fn enqueue(
        &self,
        mut job: Job,
        prefill: Tokens,
        exclusive: bool,
    ) -> Result<PendingRequest, Full> {
        let (sender, receiver) = oneshot::channel();
        let now = self.0.clock.now();
        let mut state = self.0.state.lock();
        if state.waiters.len() >= self.0.capacity {
            return Err(Full);
        }
        state.next_id += 1;
        let id = state.next_id;
        job.id = id;
        job.arrived = now;
        let waiter = Waiter {
            exclusive,
            prefill,
            permit: sender,
        };
        state.waiters.insert(id, waiter);
        state.queue.push(job, now);
        drop(state);
        self.grant_permits();
        Ok(PendingRequest {
            queue: self.clone(),
            id,
            permit: receiver,
        })
    }

    /// Corrects a customer's charge once a request's cost is known.
    pub fn settle(&self, customer: &Customer, estimated: Tokens, actual: Tokens) {
        let mut state = self.0.state.lock();
        state.queue.settle(customer, estimated, actual);
    }

    /// What waits and runs at present.
    pub fn depth(&self) -> Depth {
        let state = self.0.state.lock();
        let exclusive = state.exclusive_pending.as_ref();
        let exclusive_cost = exclusive.map_or(0, |(job, _)| job.cost.0);
        let prefill: u64 = state.running.values().map(|run| run.prefill.0).sum();
        Depth {
            queued: state.queue.len() + usize::from(state.exclusive_pending.is_some()),
            queued_tokens: Tokens(state.queue.tokens().0 + exclusive_cost + prefill),
            running: state.running.len(),
            running_tokens: Tokens(state.running.values().map(|run| run.cost.0).sum()),
        }
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        let depth = self.depth();
        depth.queued == 0 && depth.running == 0
    }

    /// Requests that the target runs at once.
    pub fn slots(&self) -> usize {
        self.0.slots
    }

    /// Gives places to those that are due.
    fn grant_permits(&self) {
        while let Some((id, waiter)) = self.next_runnable() {
            let permit = Permit {
                queue: self.clone(),
                id,
            };
            // A waiter that has left drops the permit, which frees the place again.
            let _ = waiter.permit.send(permit);
        }
    }

    fn next_runnable(&self) -> Option<(u64, Waiter)> {
        let now = self.0.clock.now();
        let mut state = self.0.state.lock();
        if state.exclusive_running.is_some() || state.running.len() >= self.0.slots {
            return None;
        }
        let (job, waiter) = match state.exclusive_pending.take() {
            Some(pending) => pending,
            None => state.pop(now)?,
        };
        if waiter.exclusive && !state.running.is_empty() {
            state.exclusive_pending = Some((job, waiter));
            return None;
        }
        state.exclusive_running = waiter.exclusive.then_some(job.id);
        let running = Running {
            cost: job.cost,
            prefill: waiter.prefill,
        };
        state.running.insert(job.id, running);
        Some((job.id, waiter))
    }

    fn remove(&self, id: u64) {
        let mut state = self.0.state.lock();
        state.queue.remove(id);
        state.waiters.remove(&id);
        state.exclusive_pending.take_if(|(job, _)| job.id == id);
        drop(state);
        self.grant_permits();
    }

    fn mark_prefilled(&self, id: u64) {
        if let Some(running) = self.0.state.lock().running.get_mut(&id) {
            running.prefill = Tokens(0);
        }
    }

    fn release(&self, id: u64) {
        let mut state = self.0.state.lock();
        state.running.remove(&id);
        state.exclusive_running.take_if(|running| *running == id);
        drop(state);
        self.grant_permits();
    }
}

impl State {
    fn pop(&mut self, now: coord::time::Time) -> Option<(Job, Waiter)> {
        let job = self.queue.pop(now)?;
        let waiter = self.waiters.remove(&job.id)?;
        Some((job, waiter))
    }
}

impl PendingRequest {
    /// Waits for leave to run.
    pub async fn permit(&mut self) -> Permit {
        match (&mut self.permit).await {
            Ok(permit) => permit,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.queue.remove(self.id);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.release(self.id);
    }
}
