//! Replay of a trace for one setup or for all side by side.

use std::path::Path;
use std::path::PathBuf;
use std::thread;

use coord::time::Millis;
use coord::time::Time;
use eyre::eyre;
use gumdrop::Options;
use sched::policy::Choice;
use sched::policy::Order;
use sched::policy::Policy;

use crate::drive;
use crate::drive::Setup;
use crate::load::Scaled;
use crate::rate::Mode;
use crate::score;
use crate::score::Score;
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

/// Arguments of `bench replay`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "trace")]
    trace: PathBuf,
    #[options(no_short, help = "run all setups of the comparison")]
    compare: bool,
    #[options(meta = "NAME", help = "setup, `full` by default")]
    policy: Option<String>,
    #[options(no_short, help = "seed; 0 replays as recorded", default = "0")]
    seed: u64,
    #[options(
        no_short,
        help = "number of seeds to run, from the given one",
        default = "1"
    )]
    seeds: u64,
    #[options(
        no_short,
        help = "share of the fleet's capacity without caches",
        default = "0.9"
    )]
    load: f64,
    #[options(
        no_short,
        meta = "0..1",
        help = "worst-served customer or program latency first"
    )]
    emphasis: Option<f64>,
    #[options(
        no_short,
        meta = "MS",
        help = "waiting that offsets a thousand tokens served"
    )]
    ageing: Option<u64>,
    #[options(no_short, meta = "MS", help = "head start of a call with a warm cache")]
    warm_bonus: Option<u64>,
    #[options(
        no_short,
        meta = "MS",
        help = "waiting that counts as a thousand tokens of share"
    )]
    share: Option<u64>,
}

impl Args {
    fn adjust(&self, policy: &mut Policy) {
        policy.emphasis = self.emphasis.unwrap_or(policy.emphasis);
        policy.ageing = self.ageing.map_or(policy.ageing, Millis);
        policy.warm_bonus = self.warm_bonus.map_or(policy.warm_bonus, Millis);
        policy.share = self.share.map_or(policy.share, Millis);
    }
}

/// Replays and prints one JSON line a run.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let names: Vec<&str> = match (args.compare, args.policy.as_deref()) {
        (true, _) => COMPARED.to_vec(),
        (false, name) => vec![name.unwrap_or("full")],
    };
    let trace = Trace::read(&args.trace)?;
    let mut setups = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        for name in &names {
            let mut setup = setup(name, &trace, args.load, seed)?;
            args.adjust(&mut setup.policy);
            setups.push(setup);
        }
    }
    for score in scores(&trace, &setups) {
        println!("{}", serde_json::to_string(&score)?);
    }
    Ok(true)
}

/// Replays all setups, a few at a time.
pub fn scores(trace: &Trace, setups: &[Setup]) -> Vec<Score> {
    let threads = thread::available_parallelism().map_or(1, |count| count.get().div_ceil(3));
    let part = setups.len().div_ceil(threads).max(1);
    let replay = |setup: &Setup| score::score(trace, setup, &drive::run(trace, setup));
    thread::scope(|scope| {
        let parts = setups.chunks(part);
        let parts: Vec<_> = parts
            .map(|part| scope.spawn(move || part.iter().map(replay).collect::<Vec<_>>()))
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().expect("a replay ends"))
            .collect()
    })
}

/// A setup by name.
pub fn setup(name: &str, trace: &Trace, load: f64, seed: u64) -> eyre::Result<Setup> {
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

/// Reads lines that `run` printed.
pub fn read(path: &Path) -> eyre::Result<Vec<Score>> {
    let text = std::fs::read_to_string(path)?;
    text.lines()
        .map(|line| Ok(serde_json::from_str(line)?))
        .collect()
}
