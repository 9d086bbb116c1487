//! Setups that a trace is replayed with: the policy, the baselines and single changes to it.

use coord::time::Time;
use eyre::eyre;
use sched::policy::Choice;
use sched::policy::Order;
use sched::policy::Policy;

use crate::load::Scaled;
use crate::rate::Mode;
use crate::trace::Trace;

/// Setups of a comparison.
pub const COMPARED: [&str; 9] = [
    "rr-fifo",
    "ll-fifo",
    "affinity-fifo",
    "fair",
    "full",
    "full-calm",
    "full-split",
    "full-gossip",
    "full-owner-killed",
];

/// Prefill handed to an engine ahead where it is bounded, in microseconds.
const WINDOW: u64 = 250_000;

/// Calls handed to an engine beyond its slots, where a plain bounded queue is asked for.
const BOUNDED_QUEUE: u32 = 64;

/// Rate of cache transfers where they are asked for, in tokens a second.
const TRANSFER_RATE: u64 = 25_000;

/// What a run varies.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Name in the output.
    pub name: String,
    /// Policy.
    pub policy: Policy,
    /// Who keeps the rate.
    pub mode: Mode,
    /// Whether caches are released when their program ends.
    pub release: bool,
    /// Calls handed to a target beyond its slots.
    pub spare: u32,
    /// Prefill handed to an engine ahead, in microseconds; none: as much as it has slots for.
    pub window: Option<u64>,
    /// Whether load reports count prefill that engines have yet to do.
    pub reports_prefill: bool,
    /// Rate at which engines transfer caches, in tokens a second; 0: not at all.
    pub transfer_rate: u64,
    /// Whether the flood is sent.
    pub flood: bool,
    /// Share of the fleet's capacity without caches that the trace offers.
    pub load: f64,
    /// 0 replays as recorded; others permute the arrivals of each customer.
    pub seed: u64,
}

/// A setup by name.
pub fn named(name: &str, trace: &Trace, load: f64, seed: u64) -> eyre::Result<Setup> {
    let killed = Scaled::to(trace, load).at(trace.head.length / 2) / 1_000;
    let plain = |order, choice| Setup {
        release: false,
        ..full(
            name,
            Policy {
                order,
                choice,
                ..Policy::default()
            },
            load,
            seed,
        )
    };
    let full = full(name, Policy::default(), load, seed);
    Ok(match name {
        "rr-fifo" => plain(Order::Fifo, Choice::RoundRobin),
        "ll-fifo" => plain(Order::Fifo, Choice::LeastLoaded),
        "affinity-fifo" => plain(Order::Fifo, Choice::Affinity),
        "fair" => plain(Order::Fair, Choice::LeastLoaded),
        "full" => full,
        "full-calm" => Setup {
            flood: false,
            ..full
        },
        "ll-fifo-calm" => Setup {
            flood: false,
            ..plain(Order::Fifo, Choice::LeastLoaded)
        },
        "full-split" => Setup {
            mode: Mode::Split,
            ..full
        },
        "full-gossip" => Setup {
            mode: Mode::Gossip,
            ..full
        },
        "full-owner-killed" => Setup {
            mode: Mode::OwnerKilled(Time(killed)),
            ..full
        },
        "full-window" => Setup {
            window: Some(WINDOW),
            ..full
        },
        "full-bounded" => Setup {
            spare: BOUNDED_QUEUE,
            ..full
        },
        "full-fifo" => with(full, |policy| policy.order = Order::Fifo),
        "full-fair" => with(full, |policy| policy.order = Order::Fair),
        "full-kept" => Setup {
            release: false,
            ..full
        },
        "full-blind" => Setup {
            reports_prefill: false,
            ..full
        },
        "full-transfer" => Setup {
            transfer_rate: TRANSFER_RATE,
            ..full
        },
        name => return Err(eyre!("no setup is named {name}")),
    })
}

fn full(name: &str, policy: Policy, load: f64, seed: u64) -> Setup {
    Setup {
        name: name.to_string(),
        policy,
        mode: Mode::Owner,
        release: true,
        spare: 0,
        window: None,
        reports_prefill: true,
        transfer_rate: 0,
        flood: true,
        load,
        seed,
    }
}

fn with(mut setup: Setup, change: impl Fn(&mut Policy)) -> Setup {
    change(&mut setup.policy);
    setup
}
