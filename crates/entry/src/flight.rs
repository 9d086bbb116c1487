//! Calls in progress at this owner, counted by shard, and news of their outcomes.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coord::Set;
use coord::id::Attempt;
use coord::id::SHARDS;
use coord::id::Shard;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Longest wait before a waiting call looks again by itself.
const LOOK: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Slot {
    calls: AtomicUsize,
    news: Notify,
}

/// Calls in progress, by shard.
#[derive(Debug, Clone)]
pub struct Flight {
    slots: Arc<[Slot]>,
    own: Arc<Mutex<Set<Attempt>>>,
}

/// An attempt of this process, until dropped.
#[derive(Debug)]
pub struct Own {
    flight: Flight,
    attempt: Attempt,
}

impl Drop for Own {
    fn drop(&mut self) {
        self.flight.own.lock().remove(&self.attempt);
    }
}

/// A call in progress, until dropped.
#[derive(Debug)]
pub struct Guard {
    flight: Flight,
    shard: Shard,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let slot = self.flight.slot(self.shard);
        slot.calls.fetch_sub(1, Ordering::Relaxed);
        slot.news.notify_waiters();
    }
}

impl Default for Flight {
    fn default() -> Flight {
        let slots = (0..SHARDS).map(|_| Slot::default());
        Flight {
            slots: slots.collect(),
            own: Arc::default(),
        }
    }
}

impl Flight {
    /// Counts a call.
    pub fn enter(&self, shard: Shard) -> Guard {
        self.slot(shard).calls.fetch_add(1, Ordering::Relaxed);
        Guard {
            flight: self.clone(),
            shard,
        }
    }

    /// Claims an attempt for a call of this process.
    pub fn claim(&self, attempt: &Attempt) -> Own {
        self.own.lock().insert(attempt.clone());
        Own {
            flight: self.clone(),
            attempt: attempt.clone(),
        }
    }

    /// Whether a call of this process follows an attempt.
    pub fn is_own(&self, attempt: &Attempt) -> bool {
        self.own.lock().contains(attempt)
    }

    /// Calls in progress in one shard.
    pub fn calls(&self, shard: Shard) -> usize {
        self.slot(shard).calls.load(Ordering::Relaxed)
    }

    /// Calls in progress in all shards.
    pub fn total(&self) -> usize {
        let calls = self.slots.iter().map(|slot| &slot.calls);
        calls.map(|calls| calls.load(Ordering::Relaxed)).sum()
    }

    /// Wakes the calls that wait in a shard.
    pub fn settled(&self, shard: Shard) {
        self.slot(shard).news.notify_waiters();
    }

    /// Resolves at the shard's next news, or a little later without any. News counts from the call
    /// of this function on, so take it before looking at the state.
    pub fn news(&self, shard: Shard) -> impl Future<Output = ()> + '_ {
        let notified = self.slot(shard).news.notified();
        async move {
            let _ = tokio::time::timeout(LOOK, notified).await;
        }
    }

    fn slot(&self, shard: Shard) -> &Slot {
        &self.slots[usize::from(shard.0) % self.slots.len()]
    }
}
