//! Leases on platform objects, renewed by conditional update.
//!
//! A holder measures its lease from before the renewal was sent, an observer from when it first
//! read the renewed version. A renewal is sent before it can be read, so the lease ends first for
//! the holder, however long messages take. The observer must still fence: it writes "revoked"
//! conditionally on the version that expired. If the write succeeds, no renewal was applied in
//! between and none in flight can be applied later; if it fails, the holder has renewed.

use crate::id::Version;
use crate::time::Millis;
use crate::time::Time;

/// Number of renewals in the duration of a lease.
const RENEWALS_PER_DURATION: u64 = 3;

/// This process's own lease.
#[derive(Debug, Clone)]
pub struct Holder {
    duration: Millis,
    margin: Millis,
    current: Option<Renewal>,
    lost: bool,
}

#[derive(Debug, Clone, Copy)]
struct Renewal {
    sent: Time,
    version: Version,
}

impl Holder {
    /// Returns a lease before its first renewal; `margin` covers the drift of clock rates
    /// over one duration.
    pub fn new(duration: Millis, margin: Millis) -> Holder {
        Holder {
            duration,
            margin,
            current: None,
            lost: false,
        }
    }

    /// Whether the lease should be renewed now.
    pub fn is_renewal_due(&self, now: Time) -> bool {
        let interval = Millis(self.duration.0 / RENEWALS_PER_DURATION);
        match self.current {
            Some(renewal) => now >= renewal.sent + interval,
            None => true,
        }
    }

    /// Records that the platform stored a renewal, sent at `sent`, as `version`.
    ///
    /// Confirmations may arrive late and out of order. A lost one is replaced by reading the
    /// object: if it still names this holder, `sent` is the time when the unconfirmed renewal was
    /// sent.
    pub fn record_renewal(&mut self, sent: Time, version: Version) {
        let newest = self.current.map(|renewal| renewal.version);
        if newest < Some(version) {
            self.current = Some(Renewal { sent, version });
        }
    }

    /// Marks the lease as lost for good: its object was revoked or names another holder.
    pub fn mark_lost(&mut self) {
        self.lost = true;
    }

    /// Whether the lease is lost for good.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Whether the holder may act now; check immediately before each effect.
    pub fn is_valid(&self, now: Time) -> bool {
        !self.lost && now + self.margin < self.expires_at()
    }

    /// Expiry of the lease, without the margin subtracted.
    pub fn expires_at(&self) -> Time {
        match self.current {
            Some(renewal) => renewal.sent + self.duration,
            None => Time::default(),
        }
    }

    /// Version of the newest confirmed renewal, on which the next one is conditional.
    pub fn version(&self) -> Option<Version> {
        self.current.map(|renewal| renewal.version)
    }
}

/// Another process's lease, as read by this one.
#[derive(Debug, Clone)]
pub struct Observer {
    duration: Millis,
    margin: Millis,
    newest: Option<Observation>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    first_read: Time,
    version: Version,
}

impl Observer {
    /// Returns the observer of a lease that hasn't been read yet.
    pub fn new(duration: Millis, margin: Millis) -> Observer {
        Observer {
            duration,
            margin,
            newest: None,
        }
    }

    /// Records that a read that began before `now` returned this version.
    pub fn record_version(&mut self, version: Version, now: Time) {
        let newest = self.newest.map(|observation| observation.version);
        if newest < Some(version) {
            self.newest = Some(Observation {
                first_read: now,
                version,
            });
        }
    }

    /// Version to fence, once it has been unrenewed for the duration and the margin.
    pub fn expired_version(&self, now: Time) -> Option<Version> {
        self.newest
            .filter(|newest| now >= newest.first_read + self.duration + self.margin)
            .map(|newest| newest.version)
    }

    /// Time since the newest version was first read; none before the first read.
    pub fn unrenewed_for(&self, now: Time) -> Option<Millis> {
        self.newest.map(|newest| now.since(newest.first_read))
    }
}
