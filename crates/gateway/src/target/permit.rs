//! The right to send a request to a target that limits its requests or is cold.
//!
//! It is reserved when a target is chosen and used when the request is sent, which may be later: a
//! connection is opened, or an origin is stored. What isn't sent is given back.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use coord::time::Time;
use parking_lot::Mutex;

use crate::target::departure::Incarnation;
use crate::target::directory::Candidate;
use crate::target::directory::Withdrawal;
use crate::target::limits::Limits;
use crate::target::limits::Rights;

/// Right to send one request to a target's incarnation.
pub struct Permit {
    limits: Arc<Mutex<Limits>>,
    incarnation: Incarnation,
    rights: Rights,
    /// Whether the request was sent, or refused when it was to be sent.
    used: AtomicBool,
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Permit").field(&self.incarnation).finish()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !*self.used.get_mut() {
            self.limits.lock().release(self.incarnation, self.rights);
        }
    }
}

/// A target chosen for an attempt.
#[derive(Debug)]
pub struct Choice {
    pub candidate: Candidate,
    /// None if the target was neither limited nor cold when it was chosen.
    permit: Option<Permit>,
}

impl Choice {
    /// Reserves the right to send to a chosen target; `locked` are the same limits.
    pub fn reserve(
        candidate: Candidate,
        limits: &Arc<Mutex<Limits>>,
        locked: &mut Limits,
        now: Time,
    ) -> Choice {
        let incarnation = Incarnation::of(&candidate.target);
        let rights = locked.reserve(incarnation, now);
        let permit = (!rights.is_empty()).then(|| Permit {
            limits: Arc::clone(limits),
            incarnation,
            rights,
            used: AtomicBool::new(false),
        });
        Choice { candidate, permit }
    }

    /// Charges the request, which is sent now, to the target's limit.
    ///
    /// Errors: the limit doesn't allow it; it has become lower, or known, since the choice.
    pub fn charge(&self, limits: &Mutex<Limits>, now: Time) -> Result<(), Withdrawal> {
        let incarnation = Incarnation::of(&self.candidate.target);
        let mut limits = limits.lock();
        if let Some(permit) = &self.permit
            && !permit.used.swap(true, Ordering::Relaxed)
        {
            limits.release(incarnation, permit.rights);
        }
        match limits.take(incarnation, now) {
            true => Ok(()),
            false => Err(Withdrawal::Limited),
        }
    }

    /// Gives back the charge of a request that certainly wasn't sent.
    pub fn refund(&self, limits: &Mutex<Limits>) {
        let incarnation = Incarnation::of(&self.candidate.target);
        limits.lock().refund(incarnation);
    }
}
