//! Replay of a trace for one setup or for all side by side.

use std::path::Path;
use std::path::PathBuf;
use std::thread;

use coord::time::Millis;
use gumdrop::Options;
use sched::policy::Policy;

use crate::drive;
use crate::score;
use crate::score::Score;
use crate::setup;
use crate::setup::Setup;
use crate::trace::Trace;

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
        (true, _) => setup::COMPARED.to_vec(),
        (false, name) => vec![name.unwrap_or("full")],
    };
    let trace = Trace::read(&args.trace)?;
    let mut setups = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        for name in &names {
            let mut setup = setup::named(name, &trace, args.load, seed)?;
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

/// Reads lines that `run` printed.
pub fn read(path: &Path) -> eyre::Result<Vec<Score>> {
    let text = std::fs::read_to_string(path)?;
    text.lines()
        .map(|line| Ok(serde_json::from_str(line)?))
        .collect()
}
