//! Leases on platform objects, renewed by conditional update.
//!
//! A holder counts its lease from before the renewal was sent, an observer from when it first saw
//! the renewed version. A renewal is sent before it can be seen, so the holder's view ends first,
//! however long messages took. The observer still has to fence: a conditional write of "revoked" at
//! just the version it saw expire. If it succeeds, no renewal landed in between and none that is
//! under way can land later; if it fails, the holder has renewed.

use crate::id::Version;
use crate::time::Millis;
use crate::time::Time;

/// A lease is renewed this many times in its duration.
const RENEWALS: u64 = 3;

/// One node's own lease.
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
    /// A lease not yet taken; `margin` covers the drift of clock rates over one duration.
    pub fn new(duration: Millis, margin: Millis) -> Holder {
        Holder {
            duration,
            margin,
            current: None,
            lost: false,
        }
    }

    /// Whether it is time to renew.
    pub fn is_renewal_due(&self, now: Time) -> bool {
        let interval = Millis(self.duration.0 / RENEWALS);
        match self.current {
            Some(renewal) => now >= renewal.sent + interval,
            None => true,
        }
    }

    /// A renewal sent at `sent` stands in the platform as `version`.
    ///
    /// Confirmations may come late and crossed. One that was lost is made up for by reading the
    /// object: if it still names this holder, `sent` is when the lost renewal was sent.
    pub fn record_renewal(&mut self, sent: Time, version: Version) {
        let newest = self.current.map(|renewal| renewal.version);
        if newest < Some(version) {
            self.current = Some(Renewal { sent, version });
        }
    }

    /// The platform's object was revoked or names another holder; final for this lease.
    pub fn mark_lost(&mut self) {
        self.lost = true;
    }

    /// Whether the lease was lost for good.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Whether the holder may act now; check immediately before each effect.
    pub fn is_valid(&self, now: Time) -> bool {
        !self.lost && now + self.margin < self.expires_at()
    }

    /// End of the lease, before the margin is taken off.
    pub fn expires_at(&self) -> Time {
        match self.current {
            Some(renewal) => renewal.sent + self.duration,
            None => Time::default(),
        }
    }

    /// Version of the newest confirmed renewal, to which the next one is conditional.
    pub fn version(&self) -> Option<Version> {
        self.current.map(|renewal| renewal.version)
    }
}

/// Another node's lease as seen from here.
#[derive(Debug, Clone)]
pub struct Observer {
    duration: Millis,
    margin: Millis,
    seen: Option<Sighting>,
}

#[derive(Debug, Clone, Copy)]
struct Sighting {
    at: Time,
    version: Version,
}

impl Observer {
    /// A lease not yet seen.
    pub fn new(duration: Millis, margin: Millis) -> Observer {
        Observer {
            duration,
            margin,
            seen: None,
        }
    }

    /// A read that began before `now` showed this version.
    pub fn record_version(&mut self, version: Version, now: Time) {
        let newest = self.seen.map(|seen| seen.version);
        if newest < Some(version) {
            self.seen = Some(Sighting { at: now, version });
        }
    }

    /// The version to fence at, once it has stood for a whole lease.
    pub fn expired_version(&self, now: Time) -> Option<Version> {
        self.seen
            .filter(|seen| now >= seen.at + self.duration + self.margin)
            .map(|seen| seen.version)
    }

    /// How long the newest version has stood unrenewed.
    pub fn unrenewed_for(&self, now: Time) -> Option<Millis> {
        self.seen.map(|seen| now.since(seen.at))
    }
}
