//! Rules and events that a run of the model uses.

/// A rule of the product that a run leaves out, to show that the model detects its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// An added or replacing disk acknowledges records as soon as the membership object names it.
    NewDiskAcknowledgesAtOnce,
    /// A replacing disk copies any `n - t` members, not only those that it has informed.
    InformedAndCopiedApart,
    /// Disks that still join count as sources of a joining disk.
    JoinersAreSources,
    /// A retired host that restarts acknowledges records.
    RetiredHostReopens,
    /// The read quorum is `n - t`, also if this is less than `t + 1`.
    SmallReadQuorum,
    /// Disks that don't acknowledge records count among the informed ones.
    AnyInformedDiskCounts,
    /// A member is evicted without copying the records that it may have held.
    EvictedWithoutRestoring,
    /// A member is evicted in one step, so that it may acknowledge records until then.
    EvictedWithoutVacancy,
}

/// Events that a run contains besides calls, cuts, pauses and kills of processes.
#[derive(Debug, Clone, Copy)]
pub struct Events {
    /// Number of hosts that are added later.
    pub added: usize,
    /// Disks are wiped, as many at once as the tolerated losses allow.
    pub wipes: bool,
    /// Disks are often wiped while turns are in flight and calls are lost.
    pub storms: bool,
    /// Hosts retire.
    pub retirements: bool,
    /// Hosts are gone for good, and hosts evict members that don't answer. In the end, as many disks as
    /// tolerated are lost once more.
    pub removals: bool,
    /// As many disks as tolerated are also lost while a host retires.
    pub retirements_beside_losses: bool,
    /// As many disks as tolerated are also lost while a new host replaces a member that is only dark.
    pub replacements_beside_losses: bool,
    /// Updates of the membership object may take effect after their caller has given up.
    pub late_updates: bool,
    /// What a killed process has written but not synced is there at its next start.
    pub unsynced_survives_kill: bool,
    /// Hosts restart with a different address.
    pub moves: bool,
    /// Hosts are killed before all first ones are members.
    pub kills_at_first_start: bool,
    /// Hosts that are killed aren't told again that it is the first start.
    pub first_start_is_forgotten: bool,
    /// Running hosts ask others whether their disk is still a member, and join again if it isn't.
    pub place_checks: bool,
}

impl Events {
    /// Events under which today's rules hold.
    pub const ALL: Events = Events {
        added: 6,
        wipes: true,
        storms: false,
        retirements: true,
        removals: true,
        retirements_beside_losses: false,
        replacements_beside_losses: false,
        late_updates: false,
        unsynced_survives_kill: false,
        moves: false,
        kills_at_first_start: false,
        first_start_is_forgotten: true,
        place_checks: true,
    };

    /// Only calls, cuts, pauses and kills.
    pub const FEW: Events = Events {
        added: 0,
        wipes: false,
        retirements: false,
        removals: false,
        ..Events::ALL
    };
}

/// One run's configuration.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of hosts at the first start.
    pub hosts: usize,
    /// Number of disks that may be lost without losing records.
    pub losses: usize,
    pub events: Events,
    pub mutation: Option<Mutation>,
}

/// How a run fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// A committed turn is reported as absent.
    Absent(String),
    /// After all faults have ended, a host doesn't join, or turns aren't found or stored.
    Stuck(String),
    /// As [`Failure::Stuck`]; more members than the tolerated losses lack records or retire, so that each
    /// of them waits for the others for ever.
    StuckIncomplete(String),
}
