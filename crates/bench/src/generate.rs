//! Seeded generator of traces.

use std::path::PathBuf;

use coord::id::Customer;
use eyre::eyre;
use gumdrop::Options;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::trace::Account;
use crate::trace::CALL_LIMIT;
use crate::trace::Flood;
use crate::trace::Head;
use crate::trace::IDLE_LIMIT_MS;
use crate::trace::Outcome;
use crate::trace::Program;
use crate::trace::Step;
use crate::trace::Trace;
use crate::trace::calls;

/// Length of a trace, in milliseconds.
const LENGTH: u64 = 1_500_000;

/// Share of programs that loop, and of those whose tool hangs.
const FAULTY: f64 = 0.01;

/// Most turns of a sound program.
const TURN_LIMIT: usize = 40;

/// Turns of a looping program beyond the bound on calls.
const TURNS_BEYOND: usize = 8;

/// Rate over the mean of calls, least rate, and burst over the rate.
const RATE_HEADROOM: f64 = 2.0;
const RATE_LEAST: f64 = 2.0;
const BURST_SECONDS: f64 = 5.0;
const BURST_LEAST: f64 = 10.0;

/// Arguments of `bench trace`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "deployment: wallpaper-office or trakcija")]
    deployment: String,
    #[options(help = "seed", default = "1")]
    seed: u64,
    #[options(help = "file to write", required, meta = "FILE")]
    output: PathBuf,
}

/// Generates a trace into a file.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let name = &args.deployment;
    let profile = profile(name).ok_or_else(|| eyre!("no deployment is named {name}"))?;
    trace(&profile, args.seed).write(&args.output)?;
    Ok(true)
}

/// What a deployment's programs look like.
#[derive(Debug, Clone)]
pub struct Profile {
    name: &'static str,
    entries: u32,
    engines: u32,
    services: u32,
    hop: u64,
    programs_a_second: f64,
    conversations: f64,
    agents: f64,
    /// Name, share of programs, weight.
    customers: [(&'static str, f64, u32); 8],
    flood: &'static str,
}

/// The deployments' profiles by name.
pub fn profile(name: &str) -> Option<Profile> {
    match name {
        "wallpaper-office" => Some(Profile {
            name: "wallpaper-office",
            entries: 3,
            engines: 10,
            services: 5,
            hop: 1_000,
            programs_a_second: 0.7,
            conversations: 0.6,
            agents: 0.10,
            customers: [
                ("rauhfaser", 0.34, 4),
                ("tapetenwerk-isar", 0.25, 4),
                ("farbmuehle", 0.17, 3),
                ("druckerei-lech", 0.10, 2),
                ("werkstatt-aign", 0.05, 1),
                ("werkstatt-huber", 0.04, 1),
                ("werkstatt-lang", 0.03, 1),
                ("werkstatt-reiter", 0.02, 1),
            ],
            flood: "druckerei-lech",
        }),
        "trakcija" => Some(Profile {
            name: "trakcija",
            entries: 4,
            engines: 20,
            services: 10,
            hop: 1_500,
            programs_a_second: 1.2,
            conversations: 0.3,
            agents: 0.20,
            customers: [
                ("avtocesta-zahod", 0.36, 4),
                ("avtocesta-vzhod", 0.27, 4),
                ("avtocesta-sever", 0.15, 3),
                ("obcina-kranj", 0.09, 2),
                ("obcina-celje", 0.05, 1),
                ("obcina-ptuj", 0.04, 1),
                ("obcina-piran", 0.02, 1),
                ("obcina-bled", 0.02, 1),
            ],
            flood: "obcina-kranj",
        }),
        _ => None,
    }
}

/// Generates a trace.
pub fn trace(profile: &Profile, seed: u64) -> Trace {
    let mut random = StdRng::seed_from_u64(seed);
    let mut programs: Vec<Program> = Vec::new();
    for customer in 0..profile.customers.len() {
        let share = profile.customers[customer].1;
        arrivals(&mut random, share * profile.programs_a_second, 0, LENGTH)
            .into_iter()
            .map(|at| program(&mut random, profile, customer, at))
            .for_each(|program| programs.push(program));
    }
    let customers: Vec<Account> = (0..profile.customers.len())
        .map(|customer| account(&mut random, profile, &programs, customer))
        .collect();
    let flooding = profile
        .customers
        .iter()
        .position(|one| one.0 == profile.flood);
    let flooding = flooding.expect("the profile names its own customer");
    let flood = Flood {
        customer: customers[flooding].name.clone(),
        from: LENGTH * 2 / 5,
        to: LENGTH * 3 / 5,
        factor: 5.0,
    };
    let usual = profile.customers[flooding].1 * profile.programs_a_second;
    let extra = usual * (flood.factor * RATE_HEADROOM - 1.0);
    for at in arrivals(&mut random, extra, flood.from, flood.to) {
        let program = program(&mut random, profile, flooding, at);
        programs.push(Program {
            flood: true,
            ..program
        });
    }
    programs.sort_by_key(|program| program.at);
    let head = Head {
        deployment: profile.name.to_string(),
        seed,
        length: LENGTH,
        entries: profile.entries,
        engines: profile.engines,
        services: profile.services,
        hop: profile.hop,
        customers,
        flood,
    };
    Trace { head, programs }
}

fn account(random: &mut StdRng, profile: &Profile, programs: &[Program], at: usize) -> Account {
    let (name, _, weight) = profile.customers[at];
    let own = programs.iter().filter(|program| program.customer == at);
    let total: usize = own
        .map(|program| calls(&program.steps).min(CALL_LIMIT))
        .sum();
    let mean = total as f64 / (LENGTH as f64 / 1_000.0);
    let rate = ((mean * RATE_HEADROOM * 100.0).ceil() / 100.0).max(RATE_LEAST);
    let name: Customer = name.parse().expect("names in profiles are valid");
    Account {
        name,
        weight,
        rate,
        burst: (rate * BURST_SECONDS).max(BURST_LEAST) as u32,
        prompt: random.random_range(1_000..3_000),
    }
}

/// Poisson arrivals.
fn arrivals(random: &mut StdRng, a_second: f64, from: u64, to: u64) -> Vec<u64> {
    let mut at = from as f64;
    let mut found = Vec::new();
    loop {
        at += exponential(random) / a_second * 1_000.0;
        if at >= to as f64 {
            return found;
        }
        found.push(at as u64);
    }
}

fn program(random: &mut StdRng, profile: &Profile, customer: usize, at: u64) -> Program {
    let kind: f64 = random.random();
    let (outcome, steps) = match random.random_bool(profile.conversations) {
        _ if kind < FAULTY => (Outcome::Looped, looping(random)),
        talk if kind < 2.0 * FAULTY => (Outcome::Idle, hanging(random, profile, talk)),
        true => (Outcome::Finished, conversation(random)),
        false => (Outcome::Finished, report(random, profile)),
    };
    Program {
        at,
        customer,
        flood: false,
        outcome,
        steps,
    }
}

/// Short turns with a person's pauses between them.
fn conversation(random: &mut StdRng) -> Vec<Step> {
    let turns = lognormal(random, 6.0, 0.6, 2, 30);
    let turn = |random: &mut StdRng| Step {
        input: lognormal(random, 250.0, 1.0, 20, 8_000),
        output: lognormal(random, 220.0, 0.7, 20, 2_000),
        pause: lognormal(random, 12_000.0, 0.7, 1_000, 50_000),
        service: false,
        agents: Vec::new(),
    };
    let mut steps: Vec<Step> = (0..turns).map(|_| turn(random)).collect();
    finish(&mut steps);
    steps
}

/// Tool calls that read much, with sub-agents at times.
fn report(random: &mut StdRng, profile: &Profile) -> Vec<Step> {
    let turns = lognormal(random, 9.0, 0.8, 2, TURN_LIMIT as u32);
    let mut steps: Vec<Step> = (0..turns).map(|_| tool_turn(random)).collect();
    if random.random_bool(profile.agents) {
        let at = random.random_range(0..steps.len());
        let agents = random.random_range(2..5);
        steps[at].agents = (0..agents).map(|_| agent(random)).collect();
        while calls(&steps) > CALL_LIMIT {
            steps[at].agents.pop();
        }
    }
    finish(&mut steps);
    steps
}

fn agent(random: &mut StdRng) -> Vec<Step> {
    let turns = lognormal(random, 4.0, 0.5, 2, 12);
    let mut steps: Vec<Step> = (0..turns).map(|_| tool_turn(random)).collect();
    finish(&mut steps);
    steps
}

fn tool_turn(random: &mut StdRng) -> Step {
    Step {
        input: lognormal(random, 900.0, 1.2, 50, 20_000),
        output: lognormal(random, 180.0, 0.9, 10, 3_000),
        pause: lognormal(random, 1_500.0, 1.0, 50, 30_000),
        service: random.random_bool(0.4),
        agents: Vec::new(),
    }
}

/// The same turn far beyond the bound on calls.
fn looping(random: &mut StdRng) -> Vec<Step> {
    vec![tool_turn(random); CALL_LIMIT + TURNS_BEYOND]
}

/// A sound program of which one tool never answers.
fn hanging(random: &mut StdRng, profile: &Profile, talk: bool) -> Vec<Step> {
    let mut steps = match talk {
        true => conversation(random),
        false => report(random, profile),
    };
    let at = random.random_range(0..steps.len() - 1);
    steps[at].pause = 10 * IDLE_LIMIT_MS;
    steps[at].service = false;
    steps
}

fn finish(steps: &mut [Step]) {
    if let Some(last) = steps.last_mut() {
        last.pause = 0;
        last.service = false;
    }
}

fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

fn lognormal(random: &mut StdRng, median: f64, sigma: f64, least: u32, most: u32) -> u32 {
    let (one, two): (f64, f64) = (random.random(), random.random());
    let normal = (-2.0 * (1.0 - one).ln()).sqrt() * (std::f64::consts::TAU * two).cos();
    let value = median * (sigma * normal).exp();
    (value as u32).clamp(least, most)
}
