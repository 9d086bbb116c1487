//! Queues requests to the target and lets them run in the order of the scheduling policy.
//!
//! The number of requests at the target is bounded, so that its own queue stays empty and this
//! queue determines the order. A request suspected of crashing targets runs exclusively: no other
//! request runs at the same time.

use std::sync::Arc;

use coord::Map;
use coord::id::Customer;
use coord::id::Tokens;
use parking_lot::Mutex;
use sched::policy::Policy;
use sched::queue::Job;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Error: the queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Number and cost of queued and running requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Depth {
    pub queued: usize,
    /// Cost of queued requests, and of running requests' prompts not processed yet.
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
    /// An exclusive request first in line, waiting until nothing runs at the target.
    exclusive_pending: Option<(Job, Waiter)>,
    /// Id of the exclusive request that runs.
    exclusive_running: Option<u64>,
    running: Map<u64, Running>,
    next_id: u64,
}

/// A request at the target.
#[derive(Debug, Clone, Copy)]
struct Running {
    cost: Tokens,
    /// Uncached part of the prompt; 0 once the first token shows that the prompt is processed.
    prefill: Tokens,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    slots: usize,
    capacity: usize,
    state: Mutex<State>,
}

/// Queue of one target.
#[derive(Debug, Clone)]
pub struct Queue(Arc<Inner>);

/// A queued request; dropping it removes the request from the queue.
#[derive(Debug)]
pub struct PendingRequest {
    queue: Queue,
    id: u64,
    permit: oneshot::Receiver<Permit>,
}

/// Permit to run at the target; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    queue: Queue,
    id: u64,
}

impl Permit {
    /// Records that the target has processed the prompt.
    pub fn mark_prefilled(&self) {
        self.queue.mark_prefilled(self.id);
    }
}

impl Queue {
    /// Creates a queue that runs up to `slots` requests and holds up to `capacity` waiting ones.
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

    /// Adds a job and sets its id and time of arrival. `prefill` is the part of its prompt that the
    /// target has to process.
    ///
    /// Errors: the queue is full.
    pub fn enqueue(
        &self,
        mut job: Job,
        prefill: Tokens,
        exclusive: bool,
    ) -> Result<PendingRequest, Full> {
        let (sender, permit) = oneshot::channel();
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
            permit,
        })
    }

    /// Replaces a request's estimated cost by the actual one in the customer's charge.
    pub fn settle(&self, customer: &Customer, estimated: Tokens, actual: Tokens) {
        let mut state = self.0.state.lock();
        state.queue.settle(customer, estimated, actual);
    }

    /// Current number and cost of queued and running requests.
    pub fn depth(&self) -> Depth {
        let state = self.0.state.lock();
        let exclusive_cost = state
            .exclusive_pending
            .as_ref()
            .map_or(0, |(job, _)| job.cost.0);
        let prefill: u64 = state.running.values().map(|run| run.prefill.0).sum();
        Depth {
            queued: state.queue.len() + usize::from(state.exclusive_pending.is_some()),
            queued_tokens: Tokens(state.queue.tokens().0 + exclusive_cost + prefill),
            running: state.running.len(),
            running_tokens: Tokens(state.running.values().map(|run| run.cost.0).sum()),
        }
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        let depth = self.depth();
        depth.queued == 0 && depth.running == 0
    }

    /// Number of requests that the target may run at once.
    pub fn slots(&self) -> usize {
        self.0.slots
    }

    /// Grants permits while slots are free and requests are queued.
    fn grant_permits(&self) {
        while let Some((id, waiter)) = self.next_runnable() {
            let permit = Permit {
                queue: self.clone(),
                id,
            };
            // If the request is gone, the unsent permit is dropped, which frees the slot again.
            let _ = waiter.permit.send(permit);
        }
    }

    /// Removes the next request from the queue and marks it as running, if a slot is free.
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
    /// Waits for the permit to run; never completes if the request left the queue without one.
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
