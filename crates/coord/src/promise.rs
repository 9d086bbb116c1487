//! Carrying on while the platform can't be reached.
//!
//! An owner whose lease can't be renewed goes on as long as every member of the map promises not to
//! write the map for a while. Only a member writes an owner out of the map, so as long as all
//! promises hold, nobody does. The owner counts a promise from before it asked, the member from when
//! it answered, so the owner's view ends first.
//!
//! Three gaps are closed here. A write that is still under way may land later, so its sender
//! promises nothing until it has seen the map move past it. A former process of the same member may
//! have sent such a write, so a process promises only after a map write of its own, which
//! invalidates earlier ones. A node that joined lately may be unknown to the owner, which then
//! doesn't ask it; so it writes an owner out only after it has heard that the owner knows the map
//! with it, or after [`Terms::max_extension`], up to which an owner goes on at most.
//!
//! A node's name is that of one process: one that starts again joins under another name. A member
//! that was written out and joins again counts as new.

use crate::Map;
use crate::id::Node;
use crate::id::Version;
use crate::shard::Member;
use crate::time::Millis;
use crate::time::Time;

/// What all members agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Covers the drift of clock rates over `max_extension`.
    pub margin: Millis,
    /// For how long after its last lease renewal an owner goes on at most.
    pub max_extension: Millis,
}

/// Answer to an owner that asks for a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Vote {
    /// The map won't be written from here.
    Promised,
    /// The owner's map is old.
    StaleMap(Version),
    Refused,
}

/// A member's side: what it has promised, and whether it may write the map.
#[derive(Debug, Clone)]
pub struct Voter {
    terms: Terms,
    joined: Option<Version>,
    known: Version,
    writing: Option<Version>,
    promised_until: Time,
    reached: Option<Time>,
    heard: Map<Node, Version>,
}

impl Voter {
    /// A process that hasn't joined: it promises nothing and writes nobody out.
    pub fn new(terms: Terms) -> Voter {
        Voter {
            terms,
            joined: None,
            known: Version::default(),
            writing: None,
            promised_until: Time::default(),
            reached: None,
            heard: Map::default(),
        }
    }

    /// This process's own write that made it a member stands as the map of this version.
    pub fn record_join(&mut self, version: Version) {
        self.joined.get_or_insert(version);
        self.record_map_version(version);
    }

    /// The map of this version is without this process; if it joins again, it counts as new.
    pub fn record_departure(&mut self, version: Version) {
        self.joined = self.joined.filter(|joined| *joined > version);
        self.record_map_version(version);
    }

    /// A map of this version was read, from the platform or from a peer.
    pub fn record_map_version(&mut self, version: Version) {
        self.known = self.known.max(version);
        self.writing = self.writing.filter(|base| *base >= self.known);
    }

    /// The platform has answered this member.
    ///
    /// It promises nothing for a while then, so that an owner that alone is cut off is written out.
    pub fn record_platform_contact(&mut self, now: Time) {
        self.reached = self.reached.max(Some(now));
    }

    /// A peer says that it knows the map of this version.
    pub fn record_peer_version(&mut self, node: &Node, version: Version) {
        let known = self.heard.entry(node.clone()).or_default();
        *known = version.max(*known);
    }

    /// An owner with the map of this version asks for a promise.
    pub fn vote(&mut self, node: &Node, version: Version, duration: Millis, now: Time) -> Vote {
        self.record_peer_version(node, version);
        match self.joined {
            None => Vote::Refused,
            Some(_) if version < self.known => Vote::StaleMap(self.known),
            Some(_) if self.writing.is_some() => Vote::Refused,
            Some(_) if self.reached.is_some_and(|at| now < at + duration) => Vote::Refused,
            Some(_) => {
                let until = now + duration + self.terms.margin;
                self.promised_until = self.promised_until.max(until);
                Vote::Promised
            }
        }
    }

    /// Whether the map may be written now.
    pub fn may_write(&self, now: Time) -> bool {
        self.joined.is_some() && now >= self.promised_until
    }

    /// Whether a node whose lease was fenced may be written out of the map now, by this member.
    ///
    /// To be asked before the write, not only before the fence: a fenced owner that is cut off goes
    /// on by promises, and whoever writes it out must be one whom it asks for them.
    ///
    /// `standing` is how long its lease had stood unrenewed, as [`crate::lease::Observer`] tells.
    pub fn may_remove(&self, node: &Node, standing: Millis, now: Time) -> bool {
        let known = self.heard.get(node).copied();
        let knows_me = known.is_some_and(|known| Some(known) >= self.joined);
        let limit = self
            .terms
            .max_extension
            .0
            .saturating_add(self.terms.margin.0);
        self.may_write(now) && (knows_me || standing.0 >= limit)
    }

    /// The newest write, conditional on this version, was surely refused.
    pub fn abort_write(&mut self, base: Version) {
        self.writing = self.writing.filter(|writing| *writing != base);
    }

    /// Whether a write is under way or in doubt.
    pub fn has_pending_write(&self) -> bool {
        self.writing.is_some()
    }

    /// A write that takes a fenced node out is about to be sent; false: it must not be.
    pub fn begin_removal(
        &mut self,
        node: &Node,
        standing: Millis,
        base: Version,
        now: Time,
    ) -> bool {
        self.may_remove(node, standing, now) && self.begin_write(base, now)
    }

    /// A write conditional on this version is about to be sent; false: it must not be.
    pub fn begin_write(&mut self, base: Version, now: Time) -> bool {
        let allowed = self.may_write(now) && base >= self.known;
        if allowed {
            self.writing = self.writing.max(Some(base));
        }
        allowed
    }
}

#[derive(Debug, Clone, Copy)]
struct Promise {
    version: Version,
    until: Time,
}

/// An owner's side: the promises it holds.
#[derive(Debug, Clone)]
pub struct Holder {
    terms: Terms,
    promises: Map<Node, Promise>,
}

impl Holder {
    /// Nothing promised yet.
    pub fn new(terms: Terms) -> Holder {
        Holder {
            terms,
            promises: Map::default(),
        }
    }

    /// A member promised for `duration`; it was asked at `sent` with the map of this version.
    pub fn record_promise(&mut self, node: &Node, version: Version, duration: Millis, sent: Time) {
        let until = sent + duration;
        let promise = Promise { version, until };
        let former = self.promises.insert(node.clone(), promise);
        match former {
            Some(former) if former.version > version => self.keep(node, former),
            Some(former) if former.version == version && former.until > until => {
                self.keep(node, former);
            }
            _ => (),
        }
    }

    fn keep(&mut self, node: &Node, promise: Promise) {
        self.promises.insert(node.clone(), promise);
    }

    /// Until when the owner may go on, given its map and when its last lease renewal was sent.
    pub fn valid_until(&self, members: &[Member], version: Version, renewed: Time) -> Option<Time> {
        let ends = members
            .iter()
            .map(|member| self.end_of(&member.node, version));
        let first = ends.collect::<Option<Vec<Time>>>()?.into_iter().min()?;
        Some(first.min(renewed + self.terms.max_extension))
    }

    fn end_of(&self, node: &Node, version: Version) -> Option<Time> {
        let promise = self.promises.get(node)?;
        Some(promise.until).filter(|_| promise.version == version)
    }

    /// Whether the owner may act now, its own member's promise included.
    pub fn is_valid(&self, members: &[Member], version: Version, renewed: Time, now: Time) -> bool {
        let until = self.valid_until(members, version, renewed);
        until.is_some_and(|until| now < until)
    }
}
