//! Keeps retries to a tenth of the calls.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// What one retry costs; a call earns one.
const COST: i64 = 10;

/// Most that is saved up.
const CAP: i64 = 20 * COST;

/// Retries that may still be made.
#[derive(Debug)]
pub struct Budget {
    saved: AtomicI64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            saved: AtomicI64::new(CAP),
        }
    }
}

impl Budget {
    /// Counts a call.
    pub fn earn(&self) {
        let add = |saved: i64| Some((saved + 1).min(CAP));
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes a retry; false: none left.
    pub fn spend(&self) -> bool {
        let take = |saved: i64| (saved >= COST).then_some(saved - COST);
        self.saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
