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
    alone: bool,
    prefill: Tokens,
    granted: oneshot::Sender<Permit>,
}

#[derive(Debug)]
struct State {
    queue: sched::queue::Queue,
    waiters: Map<u64, Waiter>,
    /// A request due to run alone, which waits for the target to be empty.
    held: Option<(Job, Waiter)>,
    /// The running request that has the target to itself.
    alone: Option<u64>,
    running: Map<u64, Running>,
    next: u64,
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
    limit: usize,
    state: Mutex<State>,
}

/// The queue before one target.
#[derive(Debug, Clone)]
pub struct Queue(Arc<Inner>);

/// A request's place in the queue, given up when dropped.
#[derive(Debug)]
pub struct Place {
    queue: Queue,
    id: u64,
    granted: oneshot::Receiver<Permit>,
}

/// Leave to run at the target, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    queue: Queue,
    id: u64,
}

impl Permit {
    /// Notes that the target has processed the prompt.
    pub fn prefilled(&self) {
        self.queue.prefilled(self.id);
    }
}

impl Queue {
    /// An empty queue before a target that runs `slots` requests, with room for `limit` more.
    pub fn new(policy: &Policy, slots: usize, limit: usize, clock: Clock) -> Queue {
        let state = State {
            queue: sched::queue::Queue::new(policy),
            waiters: Map::default(),
            held: None,
            alone: None,
            running: Map::default(),
            next: 0,
        };
        Queue(Arc::new(Inner {
            clock,
            slots,
            limit,
            state: Mutex::new(state),
        }))
    }

    /// Takes a place; the job's id and time of arrival are set here. `prefill` is the part of its
    /// prompt that the target has to process.
    ///
    /// Errors: the queue is full.
    pub fn enter(&self, mut job: Job, prefill: Tokens, alone: bool) -> Result<Place, Full> {
        let (sender, granted) = oneshot::channel();
        let now = self.0.clock.now();
        let mut state = self.0.state.lock();
        if state.waiters.len() >= self.0.limit {
            return Err(Full);
        }
        state.next += 1;
        let id = state.next;
        job.id = id;
        job.arrived = now;
        let waiter = Waiter {
            alone,
            prefill,
            granted: sender,
        };
        state.waiters.insert(id, waiter);
        state.queue.push(job, now);
        drop(state);
        self.pump();
        Ok(Place {
            queue: self.clone(),
            id,
            granted,
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
        let held = state.held.as_ref().map_or(0, |(job, _)| job.cost.0);
        let prefill: u64 = state.running.values().map(|run| run.prefill.0).sum();
        Depth {
            queued: state.queue.len() + usize::from(state.held.is_some()),
            queued_tokens: Tokens(state.queue.tokens().0 + held + prefill),
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
    fn pump(&self) {
        while let Some((id, waiter)) = self.due() {
            let permit = Permit {
                queue: self.clone(),
                id,
            };
            // A waiter that has left drops the permit, which frees the place again.
            let _ = waiter.granted.send(permit);
        }
    }

    fn due(&self) -> Option<(u64, Waiter)> {
        let now = self.0.clock.now();
        let mut state = self.0.state.lock();
        if state.alone.is_some() || state.running.len() >= self.0.slots {
            return None;
        }
        let (job, waiter) = match state.held.take() {
            Some(held) => held,
            None => state.pop(now)?,
        };
        if waiter.alone && !state.running.is_empty() {
            state.held = Some((job, waiter));
            return None;
        }
        state.alone = waiter.alone.then_some(job.id);
        let running = Running {
            cost: job.cost,
            prefill: waiter.prefill,
        };
        state.running.insert(job.id, running);
        Some((job.id, waiter))
    }

    fn leave(&self, id: u64) {
        let mut state = self.0.state.lock();
        state.queue.remove(id);
        state.waiters.remove(&id);
        state.held.take_if(|(job, _)| job.id == id);
        drop(state);
        self.pump();
    }

    fn prefilled(&self, id: u64) {
        if let Some(running) = self.0.state.lock().running.get_mut(&id) {
            running.prefill = Tokens(0);
        }
    }

    fn finish(&self, id: u64) {
        let mut state = self.0.state.lock();
        state.running.remove(&id);
        state.alone.take_if(|alone| *alone == id);
        drop(state);
        self.pump();
    }
}

impl State {
    fn pop(&mut self, now: coord::time::Time) -> Option<(Job, Waiter)> {
        let job = self.queue.pop(now)?;
        let waiter = self.waiters.remove(&job.id)?;
        Some((job, waiter))
    }
}

impl Place {
    /// Waits for leave to run.
    pub async fn granted(&mut self) -> Permit {
        match (&mut self.granted).await {
            Ok(permit) => permit,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queue.leave(self.id);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.finish(self.id);
    }
}
