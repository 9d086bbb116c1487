//! Membership of the history: the disks that form quorums.
//!
//! The membership is one object of the platform, replaced by conditional updates. Its epoch
//! increases with each change. A disk that has received an epoch rejects calls with older epochs;
//! `t` is the number of disks that may be lost without losing records. Two rules make a change safe
//! for clients that still use an older membership:
//!
//! - A new disk acknowledges records only after `t + 1` other disks that acknowledge records have
//!   received a membership with it. Any `n - t` disks of an older membership include one of these,
//!   so a reader with that membership can't take a record on the new disk for absent.
//! - A disk that replaces another one copies the records of `n - t` others, after each of them has
//!   received the new membership and while none of them still copies itself. A record that the
//!   replaced disk acknowledged has `t` more copies, of which `t - 1` at most are elsewhere.
//!
//! Until then, a replacing disk isn't counted for absent records. An added disk is: the read quorum
//! grows by one, which offsets its answer.
//!
//! A member that is gone for good is evicted, as it would use up a tolerated loss for ever:
//!
//! - A vacancy takes its place: a disk that no host serves, so that it neither acknowledges records nor
//!   counts for absent ones. Once `n - t` members have received that membership, no record can be
//!   committed with the evicted disk any more. If its eviction isn't completed, another host completes it.
//! - These `n - t` members, which hold all their records, hold each record that the evicted disk
//!   acknowledged: the record has `t` more copies, of which `t - 1` at most are elsewhere. Each of their
//!   records that fewer than `t + 1` members hold is copied to more of them.
//! - The vacancy is removed. Each committed record has `t + 1` copies without it.
//!
//! Until then, a disk that was only out of reach takes its place back by an update that fails once the
//! vacancy is removed. It is as if it hadn't answered in the meantime: no quorum counted the vacancy, so any
//! quorum is one of the membership before the eviction as well. It mustn't copy others first: as many disks as
//! tolerated may have been lost meanwhile, and all of them would wait for one more.
//!
//! Only a membership with more than `2t + 1` disks is reduced in this way.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::record::Disk;
use crate::record::Host;

/// Version of the membership, incremented with each change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Display::fmt(&self.0, f)
    }
}

/// A member disk and the host that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub disk: Disk,
    pub host: Host,
    pub address: SocketAddr,
}

/// The member disks at one epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    pub epoch: Epoch,
    pub members: Vec<Member>,
}

/// Membership change that makes a disk a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The disk is already a member.
    None,
    /// The disk is a member whose host name or address has changed.
    Move,
    /// The disk is added without copying records.
    Add,
    /// A vacancy has taken the disk's place, and gives it back.
    Return,
    /// The disk replaces the given member, after it has copied the records of the others.
    Replace(Disk),
}

impl Membership {
    /// The member with this disk.
    pub fn find(&self, disk: Disk) -> Option<&Member> {
        self.members.iter().find(|member| member.disk == disk)
    }

    /// Number of disks that must sync a record before it is committed.
    pub fn write_quorum(&self, tolerated_losses: usize) -> usize {
        tolerated_losses + 1
    }

    /// Number of disks that must report a record as absent before it counts as absent. Shares a disk
    /// with any write quorum also while there are fewer disks than the tolerated losses require.
    pub fn read_quorum(&self, tolerated_losses: usize) -> usize {
        self.copy_quorum(tolerated_losses).max(tolerated_losses + 1)
    }

    /// Number of other disks that must have received a membership with a new disk before the new disk
    /// acknowledges records. With fewer than `2t + 1` disks, all but `t` suffice, as a read quorum is
    /// larger than what is left.
    pub fn inform_quorum(&self, tolerated_losses: usize) -> usize {
        let reachable = self.copy_quorum(tolerated_losses).max(1);
        reachable.min(tolerated_losses + 1)
    }

    /// Whether more disks are members than the tolerated losses require.
    pub fn has_spare(&self, tolerated_losses: usize) -> bool {
        self.members.len() > 2 * tolerated_losses + 1
    }

    /// The members that follow a disk in the list, after whose last member the first follows.
    pub fn followers(&self, disk: Disk, count: usize) -> Vec<Member> {
        let Some(at) = self.members.iter().position(|member| member.disk == disk) else {
            return Vec::new();
        };
        let others = self.members.iter().cycle().skip(at + 1);
        let others = others.take(count.min(self.members.len() - 1));
        others.cloned().collect()
    }

    /// Number of disks whose records a disk copies before it has replaced another one.
    pub fn copy_quorum(&self, tolerated_losses: usize) -> usize {
        self.members.len().saturating_sub(tolerated_losses)
    }

    /// Whether all changes were additions.
    pub fn only_grew(&self) -> bool {
        self.epoch.0 == self.members.len() as u64
    }

    /// Whether a disk is among the first `2t + 1` that were ever added, in a membership that only grew.
    /// Any two write quorums of these share a disk, so they acknowledge records without informing
    /// others; the disks that are added first have nobody to inform.
    pub fn is_founder(&self, disk: Disk, tolerated_losses: usize) -> bool {
        let mut founders = self.members.iter().take(2 * tolerated_losses + 1);
        self.only_grew() && founders.any(|member| member.disk == disk)
    }

    /// The change that makes `me` a member. `unreachable` lists members that don't answer;
    /// `first_start` is set when the whole system starts for the first time.
    pub fn change_for(&self, me: &Member, unreachable: &[Disk], first_start: bool) -> Change {
        let same_host = self.members.iter().find(|member| member.host == me.host);
        let unreachable_member = self
            .members
            .iter()
            .find(|member| unreachable.contains(&member.disk));
        match self.find(me.disk) {
            Some(member) if member == me => Change::None,
            Some(_) => Change::Move,
            None if self.find(me.disk.vacancy()).is_some() => Change::Return,
            None if first_start => Change::Add,
            None => match same_host.or(unreachable_member) {
                Some(old) => Change::Replace(old.disk),
                None => Change::Add,
            },
        }
    }

    /// The next membership, with `me` added and `replaced` removed.
    pub fn with_member(&self, me: Member, replaced: Option<Disk>) -> Membership {
        let mut next = self.without(me.disk);
        next.members.retain(|member| Some(member.disk) != replaced);
        next.members.push(me);
        next
    }

    /// The next membership, in which a vacancy has taken a member's place. It bears the name and the
    /// address of the member's host, which takes the place back or replaces the vacancy with an empty disk.
    pub fn with_vacancy(&self, evicted: Disk) -> Membership {
        let mut next = self.clone();
        next.epoch = Epoch(self.epoch.0 + 1);
        for member in &mut next.members {
            if member.disk == evicted {
                member.disk = evicted.vacancy();
            }
        }
        next
    }

    /// The next membership, with a disk removed.
    pub fn without(&self, disk: Disk) -> Membership {
        let members = self.members.iter();
        let members = members.filter(|member| member.disk != disk);
        Membership {
            epoch: Epoch(self.epoch.0 + 1),
            members: members.cloned().collect(),
        }
    }
}
