//! Extends an owner's authority while the platform is unreachable.
//!
//! An owner that can't renew its lease stays valid as long as every member of the shard map has
//! promised not to write the map for a fixed duration. Only a member can remove an owner from the
//! map, so no member removes it while all promises hold. The owner counts a promise from before it
//! sent the request and the member from when it replied, so the owner's deadline passes first.
//!
//! Three cases need extra rules:
//!
//! - A map write in flight may still be applied later, so a member refuses promises until it has
//!   seen a map version newer than the one its write is conditional on.
//! - A former process of the same member may have sent such a write. A process therefore promises
//!   only after its own map write, which invalidates all earlier ones.
//! - An owner doesn't request promises from a node that joined after the owner's map version. Such
//!   a node removes an owner only once the owner has reported a map version that includes the node,
//!   or after [`Terms::max_extension`], the longest time that an owner stays valid on promises.
//!
//! A node name identifies one process: a restarted process joins under a new name. A member that
//! was removed and joins again counts as new.

use crate::Map;
use crate::id::Node;
use crate::id::Version;
use crate::shard::Member;
use crate::time::Millis;
use crate::time::Time;

/// Timing bounds; all members must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Allowance for clocks that run at different rates, over `max_extension`.
    pub margin: Millis,
    /// Longest time after its last lease renewal that an owner stays valid.
    pub max_extension: Millis,
}

/// Reply to an owner's request for a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Vote {
    /// This member sends no map write for the requested duration plus [`Terms::margin`].
    Promised,
    /// The owner's map is older than this version.
    StaleMap(Version),
    Refused,
}

/// Member side: grants promises and decides whether this member may write the map.
#[derive(Debug, Clone)]
pub struct Voter {
    terms: Terms,
    /// Map version of the write by which this process joined.
    join_version: Option<Version>,
    /// Newest map version seen.
    map_version: Version,
    /// Base version of the write that is in flight or whose result is unknown.
    pending_write: Option<Version>,
    /// End of the longest promise granted, margin included.
    promised_until: Time,
    /// Time of the last reply from the platform.
    last_contact: Option<Time>,
    /// Newest map version that each peer reported.
    peer_versions: Map<Node, Version>,
}

impl Voter {
    /// Creates the state of a process that hasn't joined; it grants no promise and writes no map.
    pub fn new(terms: Terms) -> Voter {
        Voter {
            terms,
            join_version: None,
            map_version: Version::default(),
            pending_write: None,
            promised_until: Time::default(),
            last_contact: None,
            peer_versions: Map::default(),
        }
    }

    /// Records that this process joined by its own map write, which became this version.
    pub fn record_join(&mut self, version: Version) {
        self.join_version.get_or_insert(version);
        self.record_map_version(version);
    }

    /// Records that the map of this version doesn't contain this process.
    ///
    /// If the process joins again, it counts as new.
    pub fn record_departure(&mut self, version: Version) {
        self.join_version = self.join_version.filter(|joined| *joined > version);
        self.record_map_version(version);
    }

    /// Records the version of a map read from the platform or received from a peer.
    pub fn record_map_version(&mut self, version: Version) {
        self.map_version = self.map_version.max(version);
        self.pending_write = self.pending_write.filter(|base| *base >= self.map_version);
    }

    /// Records a reply from the platform.
    ///
    /// For as long after it as a requested promise would last, this member refuses the promise, so
    /// that an owner that is the only one cut off from the platform is removed from the map.
    pub fn record_platform_contact(&mut self, now: Time) {
        self.last_contact = self.last_contact.max(Some(now));
    }

    /// Records the map version that a peer reported.
    pub fn record_peer_version(&mut self, node: &Node, version: Version) {
        let newest = self.peer_versions.entry(node.clone()).or_default();
        *newest = version.max(*newest);
    }

    /// Decides on an owner's request for a promise of `duration`.
    ///
    /// `version` is the owner's map version.
    pub fn vote(&mut self, node: &Node, version: Version, duration: Millis, now: Time) -> Vote {
        self.record_peer_version(node, version);
        match self.join_version {
            None => Vote::Refused,
            Some(_) if version < self.map_version => Vote::StaleMap(self.map_version),
            Some(_) if self.pending_write.is_some() => Vote::Refused,
            Some(_) if self.last_contact.is_some_and(|at| now < at + duration) => Vote::Refused,
            Some(_) => {
                let until = now + duration + self.terms.margin;
                self.promised_until = self.promised_until.max(until);
                Vote::Promised
            }
        }
    }

    /// Whether this member may write the map now.
    pub fn may_write(&self, now: Time) -> bool {
        self.join_version.is_some() && now >= self.promised_until
    }

    /// Whether this member may remove a node whose lease is fenced from the map now.
    ///
    /// Check before the write, not only before the fence: a fenced owner that is cut off stays
    /// valid on promises, so only a member from which it requests promises may remove it.
    ///
    /// `unrenewed` is the time since the lease was last seen renewed, from
    /// [`crate::lease::Observer`].
    pub fn may_remove(&self, node: &Node, unrenewed: Millis, now: Time) -> bool {
        let peer_version = self.peer_versions.get(node).copied();
        let map_includes_self =
            peer_version.is_some_and(|version| Some(version) >= self.join_version);
        let limit = self
            .terms
            .max_extension
            .0
            .saturating_add(self.terms.margin.0);
        self.may_write(now) && (map_includes_self || unrenewed.0 >= limit)
    }

    /// Clears the pending write that is conditional on this version; call only if it was certainly
    /// refused.
    pub fn abort_write(&mut self, base: Version) {
        self.pending_write = self.pending_write.filter(|pending| *pending != base);
    }

    /// Whether a map write is in flight or its result is unknown.
    pub fn has_pending_write(&self) -> bool {
        self.pending_write.is_some()
    }

    /// Registers a map write that removes a fenced node, before it is sent.
    ///
    /// Returns false if the write must not be sent.
    pub fn begin_removal(
        &mut self,
        node: &Node,
        unrenewed: Millis,
        base: Version,
        now: Time,
    ) -> bool {
        self.may_remove(node, unrenewed, now) && self.begin_write(base, now)
    }

    /// Registers a map write conditional on this version, before it is sent.
    ///
    /// Returns false if the write must not be sent.
    pub fn begin_write(&mut self, base: Version, now: Time) -> bool {
        let allowed = self.may_write(now) && base >= self.map_version;
        if allowed {
            self.pending_write = self.pending_write.max(Some(base));
        }
        allowed
    }
}

#[derive(Debug, Clone, Copy)]
struct Promise {
    version: Version,
    until: Time,
}

/// Owner side: the promises received from members.
#[derive(Debug, Clone)]
pub struct Holder {
    terms: Terms,
    promises: Map<Node, Promise>,
}

impl Holder {
    /// Creates a holder without promises.
    pub fn new(terms: Terms) -> Holder {
        Holder {
            terms,
            promises: Map::default(),
        }
    }

    /// Records a member's promise for `duration`, requested at `sent` with the map of this version.
    pub fn record_promise(&mut self, node: &Node, version: Version, duration: Millis, sent: Time) {
        let until = sent + duration;
        let promise = Promise { version, until };
        let former = self.promises.insert(node.clone(), promise);
        match former {
            Some(former) if former.version > version => self.restore(node, former),
            Some(former) if former.version == version && former.until > until => {
                self.restore(node, former);
            }
            _ => (),
        }
    }

    fn restore(&mut self, node: &Node, promise: Promise) {
        self.promises.insert(node.clone(), promise);
    }

    /// Time until which the owner may act, or `None` if a member's promise for this map version is
    /// missing; `renewed` is when the last confirmed lease renewal was sent.
    pub fn valid_until(&self, members: &[Member], version: Version, renewed: Time) -> Option<Time> {
        let ends = members
            .iter()
            .map(|member| self.promise_end(&member.node, version));
        let first = ends.collect::<Option<Vec<Time>>>()?.into_iter().min()?;
        Some(first.min(renewed + self.terms.max_extension))
    }

    fn promise_end(&self, node: &Node, version: Version) -> Option<Time> {
        let promise = self.promises.get(node)?;
        Some(promise.until).filter(|_| promise.version == version)
    }

    /// Whether the owner may act now; its own promise as a member is required too.
    pub fn is_valid(&self, members: &[Member], version: Version, renewed: Time, now: Time) -> bool {
        let until = self.valid_until(members, version, renewed);
        until.is_some_and(|until| now < until)
    }
}
