//! Which disks count.
//!
//! The membership is one object of the platform, replaced by conditional updates. Its epoch grows
//! with each change. A disk that was told of an epoch refuses calls under older ones, so that once
//! all but `t` disks were told, no record can count under the old membership any more.
//!
//! Adding an empty disk is always safe: its "not here" adds to the answers that are needed. Taking
//! a disk's place needs a copy of what all but `t` of the others hold, before the change and again
//! after they were told of it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::record::Disk;
use crate::record::Host;

/// Number of changes of the membership.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Display::fmt(&self.0, f)
    }
}

/// A disk that counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub disk: Disk,
    pub host: Host,
    pub address: SocketAddr,
}

/// The disks that count.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    pub epoch: Epoch,
    pub members: Vec<Member>,
}

/// What a disk has to do to count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// It counts already.
    Member,
    /// It counts under an old address or name.
    Move,
    /// It may be added as it is.
    Add,
    /// It takes this disk's place, once it holds a copy.
    Replace(Disk),
}

impl Membership {
    /// The member with this disk.
    pub fn find(&self, disk: Disk) -> Option<&Member> {
        self.members.iter().find(|member| member.disk == disk)
    }

    /// Disks that must have synced a record before it counts.
    pub fn write_quorum(&self, losses: usize) -> usize {
        losses + 1
    }

    /// Disks that must answer before something is known to be missing.
    pub fn read_quorum(&self, losses: usize) -> usize {
        self.members.len().saturating_sub(losses).max(1)
    }

    /// What `me` has to do; `unreachable` are members that don't answer, `first_start` says that
    /// the whole system starts for the first time.
    pub fn step(&self, me: &Member, unreachable: &[Disk], first_start: bool) -> Step {
        let same_host = self.members.iter().find(|member| member.host == me.host);
        let silent = self
            .members
            .iter()
            .find(|member| unreachable.contains(&member.disk));
        match self.find(me.disk) {
            Some(member) if member == me => Step::Member,
            Some(_) => Step::Move,
            None if first_start => Step::Add,
            None => match same_host.or(silent) {
                Some(old) => Step::Replace(old.disk),
                None => Step::Add,
            },
        }
    }

    /// The next membership, in which `me` counts and `replaced` no longer does.
    pub fn with(&self, me: Member, replaced: Option<Disk>) -> Membership {
        let mut next = self.without(me.disk);
        next.members.retain(|member| Some(member.disk) != replaced);
        next.members.push(me);
        next
    }

    /// The next membership, in which a disk no longer counts.
    pub fn without(&self, disk: Disk) -> Membership {
        let members = self.members.iter();
        let members = members.filter(|member| member.disk != disk);
        Membership {
            epoch: Epoch(self.epoch.0 + 1),
            members: members.cloned().collect(),
        }
    }
}
