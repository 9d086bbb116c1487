//! Lease-based lock in the platform's object API.
//!
//! The holder counts its lease from before it sent the write. Others take the lock over only by a
//! conditional write on a version that stayed unrenewed for the lease and a margin. The version of
//! the write that acquired the lock is its fencing number, which increases with each holder.

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

/// Allowance for the drift of clock rates over one lease.
const CLOCK_DRIFT_MARGIN: Millis = Millis(500);

/// Settings of a lock.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the lock's object.
    pub object: String,
    /// Name of the holder, unique to this process.
    pub holder: String,
    pub duration: Millis,
    /// Extra wait after the lease before a takeover, for effects that may outlast the lease.
    pub takeover_delay: Millis,
}

/// Content of the lock's object.
#[derive(Debug, Serialize, Deserialize)]
struct Value {
    /// None if the lock is free.
    holder: Option<String>,
    /// Makes each value unique, together with `count`: after a lost reply, [`Platform::update`]
    /// recognises its own write by the value.
    writer: String,
    count: u64,
}

/// A lock that can be acquired.
#[derive(Debug)]
pub struct Lock {
    platform: Arc<Platform>,
    clock: Clock,
    settings: Settings,
    observer: Observer,
    count: u64,
}

/// An acquired lock; expires unless renewed.
#[derive(Debug)]
pub struct Guard<'a> {
    lock: &'a mut Lock,
    lease: Holder,
    fence: Version,
}

impl Lock {
    /// Creates a lock without reading its object.
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

    /// Acquires the lock if it is free or its holder's lease has expired; otherwise returns `None`.
    ///
    /// Errors: the platform is unavailable.
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

    /// Condition of the write that acquires the lock; none while another process holds it.
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
            // Free, held by this process's own earlier guard, or malformed.
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
    /// Fencing number, higher than that of any earlier holder.
    pub fn fence(&self) -> Version {
        self.fence
    }

    /// Whether the lease is still valid; check immediately before each effect.
    pub fn is_valid(&self) -> bool {
        self.lease.is_valid(self.lock.clock.now())
    }

    /// Renews the lease when due; the next call retries a failed renewal.
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

    /// Releases the lock; after a failed write it expires with its lease.
    pub async fn release(self) {
        if let Some(version) = self.lease.version() {
            let _ = self.lock.write(None, Condition::At(version)).await;
        }
    }
}
