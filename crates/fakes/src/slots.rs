//! Places in a batch, given to the highest priority first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct State {
    free: u32,
    next: u64,
    waiting: BTreeMap<(Reverse<i64>, u64), oneshot::Sender<Slot>>,
}

/// A batch with a fixed number of places.
#[derive(Debug, Clone)]
pub struct Slots(Arc<Mutex<State>>);

/// One place, given back when dropped.
#[derive(Debug)]
pub struct Slot(Slots);

impl Slots {
    /// A batch of so many places.
    pub fn new(slots: u32) -> Slots {
        let state = State {
            free: slots,
            ..State::default()
        };
        Slots(Arc::new(Mutex::new(state)))
    }

    /// Waits for a place.
    pub async fn take(&self, priority: i64) -> Slot {
        match self.ask(priority) {
            Ok(slot) => slot,
            Err(waiter) => match waiter.await {
                Ok(slot) => slot,
                Err(_) => std::future::pending().await,
            },
        }
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        let state = self.0.lock();
        let live = state.waiting.values().filter(|waiter| !waiter.is_closed());
        live.count()
    }

    fn ask(&self, priority: i64) -> Result<Slot, oneshot::Receiver<Slot>> {
        let mut state = self.0.lock();
        if state.free > 0 {
            state.free -= 1;
            return Ok(Slot(self.clone()));
        }
        let (waiter, receiver) = oneshot::channel();
        let place = (Reverse(priority), state.next);
        state.next += 1;
        state.waiting.insert(place, waiter);
        Err(receiver)
    }

    fn give_back(&self) {
        let mut state = self.0.lock();
        let Some((_, waiter)) = state.waiting.pop_first() else {
            state.free += 1;
            return;
        };
        drop(state);
        // A waiter that has left drops the place, which passes it on.
        let _ = waiter.send(Slot(self.clone()));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.give_back();
    }
}
