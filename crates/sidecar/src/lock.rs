//! A lock in the platform's object API, held under a lease.
//!
//! The holder counts its lease from before it asked; others take the lock over only by a
//! conditional write at a version that they have seen unrenewed for a whole lease and more. The
//! version of the write that took the lock is its fencing number: it only ever rises.

use std::sync::Arc;

use bytes::Bytes;
use coord::id::Version;
use coord::lease::Holder;
use coord::lease::Observer;
use coord::time::Millis;
use coord::time::Time;
use node::platform::Condition;
use node::platform::Error;
use node::platform::Object;
use node::platform::Platform;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Clock;

/// Covers the drift of clock rates over one lease.
const CLOCK_DRIFT_MARGIN: Millis = Millis(500);

/// How a lock is held.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Object of the lock.
    pub object: String,
    /// Who asks, unique to this process.
    pub holder: String,
    pub duration: Millis,
    /// Added to the lease before it is taken over: effects that may outlast it.
    pub takeover_delay: Millis,
}

#[derive(Debug, Serialize, Deserialize)]
struct Value {
    /// None: free.
    holder: Option<String>,
    /// Makes each write differ from all others.
    writer: String,
    count: u64,
}

/// A lock that may be taken.
#[derive(Debug)]
pub struct Lock {
    platform: Arc<Platform>,
    clock: Clock,
    settings: Settings,
    observer: Observer,
    count: u64,
}

/// A lock that was taken; it lapses by itself unless renewed.
#[derive(Debug)]
pub struct Guard<'a> {
    lock: &'a mut Lock,
    lease: Holder,
    fence: Version,
}

impl Lock {
    /// A lock that hasn't been seen yet.
    pub fn new(platform: Arc<Platform>, clock: Clock, settings: Settings) -> Lock {
        let margin = Millis(CLOCK_DRIFT_MARGIN.0 + settings.takeover_delay.0);
        Lock {
            observer: Observer::new(settings.duration, margin),
            platform,
            clock,
            settings,
            count: 0,
        }
    }

    /// Takes the lock, if it is free or its holder's lease has run out.
    ///
    /// Errors: the platform is away.
    pub async fn acquire(&mut self) -> Result<Option<Guard<'_>>, Error> {
        let now = self.clock.now();
        let object = self.platform.get(&self.settings.object).await?;
        let Some(condition) = self.condition(object.as_ref(), now) else {
            return Ok(None);
        };
        let sent = self.clock.now();
        let holder = Some(self.settings.holder.clone());
        match self.write(holder, condition).await {
            Ok(version) => Ok(Some(self.guard(sent, version))),
            Err(Error::Conflict { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// The write that would take the lock at present; none while another holds it.
    fn condition(&mut self, object: Option<&Object>, now: Time) -> Option<Condition> {
        let Some(object) = object else {
            return Some(Condition::Absent);
        };
        let holder = serde_json::from_slice::<Value>(&object.value).map(|value| value.holder);
        match holder {
            Ok(Some(holder)) if holder != self.settings.holder => {
                self.observer.record_version(object.version, now);
                self.observer.expired_version(now).map(Condition::At)
            }
            _ => Some(Condition::At(object.version)),
        }
    }

    fn guard(&mut self, sent: Time, version: Version) -> Guard<'_> {
        let mut lease = Holder::new(self.settings.duration, CLOCK_DRIFT_MARGIN);
        lease.record_renewal(sent, version);
        Guard {
            lock: self,
            lease,
            fence: version,
        }
    }

    async fn write(
        &mut self,
        holder: Option<String>,
        condition: Condition,
    ) -> Result<Version, Error> {
        self.count += 1;
        let value = Value {
            holder,
            writer: self.settings.holder.clone(),
            count: self.count,
        };
        let value = serde_json::to_vec(&value);
        let value = value.map_err(|error| Error::Malformed(error.to_string()))?;
        let value = Bytes::from(value);
        self.platform
            .update(&self.settings.object, value, condition)
            .await
    }
}

impl Guard<'_> {
    /// The fencing number, higher than that of any earlier holder.
    pub fn fence(&self) -> Version {
        self.fence
    }

    /// Whether the lock is held now; check immediately before each effect.
    pub fn is_valid(&self) -> bool {
        self.lease.is_valid(self.lock.clock.now())
    }

    /// Renews the lease when it is due; what fails is tried again next time.
    pub async fn renew(&mut self) {
        let now = self.lock.clock.now();
        let Some(version) = self.lease.version() else {
            return;
        };
        if !self.lease.is_renewal_due(now) || self.lease.is_lost() {
            return;
        }
        let holder = Some(self.lock.settings.holder.clone());
        match self.lock.write(holder, Condition::At(version)).await {
            Ok(renewed) => self.lease.record_renewal(now, renewed),
            Err(Error::Conflict { .. }) => self.lease.mark_lost(),
            Err(_) => {}
        }
    }

    /// Frees the lock; a failure leaves it to lapse.
    pub async fn release(self) {
        if let Some(version) = self.lease.version() {
            let _ = self.lock.write(None, Condition::At(version)).await;
        }
    }
}
