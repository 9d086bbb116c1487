//! Events of the runs in which earlier rules failed. Without the checks of hosts' places, which came later
//! and add messages, a seed plays the run in which the fault was found.

use crate::rules::Events;

/// A retiring host stores that it joins, is killed, and joins again only after it has copied `n - t`
/// complete members. With `t` disks lost meanwhile there are too few, and the lost disks' hosts lack the
/// retiring one too: all of them wait for ever, though all records are there.
pub const RETIREMENT_BESIDE_LOST_DISKS: Events = Events {
    place_checks: false,
    removals: false,
    retirements_beside_losses: true,
    ..Events::ALL
};

/// A new host replaces a member that is only dark, by an update that takes effect while `t` disks are
/// lost. As above, `t + 1` hosts wait for each other.
pub const DARK_MEMBER_REPLACED: Events = Events {
    place_checks: false,
    removals: false,
    replacements_beside_losses: true,
    ..Events::ALL
};

/// The update by which a retiring host leaves takes effect after the host was killed and has joined again:
/// it acknowledges turns as a member, and isn't one.
pub const LATE_LEAVE: Events = Events {
    place_checks: false,
    removals: false,
    late_updates: true,
    retirements: true,
    ..Events::FEW
};

/// The update by which a host replaces a dark member takes effect after the host has given up, found the
/// member again and stored that it doesn't join, in order to be added: it counts for absent turns without
/// having copied them.
pub const LATE_REPLACEMENT: Events = Events {
    place_checks: false,
    removals: false,
    late_updates: true,
    added: 3,
    ..Events::FEW
};

/// A process is killed after it has written a record and before it has synced it. The next start reads the
/// record and takes it as stored: it acknowledges it when it is sent again, and doesn't copy it. A power loss
/// then removes it.
pub const UNSYNCED: Events = Events {
    place_checks: false,
    removals: false,
    unsynced_survives_kill: true,
    wipes: true,
    ..Events::FEW
};

/// Hosts are killed after the membership object names their disks and before they have stored it, and are
/// started without being told of the first start: no disk acknowledges records, so none can be informed.
pub const KILLED_AT_FIRST_START: Events = Events {
    place_checks: false,
    removals: false,
    kills_at_first_start: true,
    added: 0,
    wipes: false,
    retirements: false,
    ..Events::ALL
};

/// The answers to the first hosts' updates are lost, so that these hosts go on when the object names more
/// than `2t + 1` disks: as above without any kill.
pub const ANSWERS_LOST_AT_FIRST_START: Events = Events {
    place_checks: false,
    removals: false,
    late_updates: true,
    ..Events::FEW
};

/// An added host once tried to replace a dark member, is killed before it stores that it doesn't join, and
/// takes itself for a replacement: it and the host of a lost disk wait for each other.
pub const ADDED_AFTER_A_FAILED_REPLACEMENT: Events = Events {
    place_checks: false,
    removals: false,
    ..Events::ALL
};

/// A member is only killed and begins to be evicted; as many disks as tolerated are lost before its vacancy takes
/// effect. Had it to copy others to replace the vacancy, it and the lost disks' hosts would wait for one more than
/// are left.
pub const DISKS_LOST_BESIDE_A_VACANCY: Events = Events::ALL;
