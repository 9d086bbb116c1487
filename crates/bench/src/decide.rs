//! Time of a call's decisions with many calls queued.

use std::hint::black_box;
use std::time::Instant;

use coord::id::Tokens;
use coord::time::Time;
use gumdrop::Options;
use sched::policy::Policy;
use sched::queue::Job;
use sched::queue::Queue;
use sched::route;
use sched::route::Candidate;
use sched::route::Demand;
use sched::route::Sent;
use serde::Serialize;

/// Calls decided on.
const CALLS: u64 = 200_000;

/// Arguments of `bench decide`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(no_short, help = "calls that wait", default = "10000")]
    queued: u64,
    #[options(no_short, help = "customers", default = "1000")]
    customers: u64,
    #[options(no_short, help = "targets to choose from", default = "20")]
    targets: u64,
}

#[derive(Debug, Serialize)]
struct Line {
    queued: u64,
    customers: u64,
    targets: u64,
    route_micros: f64,
    queue_micros: f64,
}

/// Measures and prints one JSON line.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let line = Line {
        queued: args.queued,
        customers: args.customers,
        targets: args.targets,
        route_micros: route_micros(args),
        queue_micros: queue_micros(args),
    };
    println!("{}", serde_json::to_string(&line)?);
    Ok(true)
}

/// One push, one pop and one settlement.
fn queue_micros(args: &Args) -> f64 {
    let mut queue = Queue::new(&Policy::default());
    (0..args.queued).for_each(|id| queue.push(job(args, id), Time(id)));
    let begun = Instant::now();
    for id in args.queued..args.queued + CALLS {
        queue.push(job(args, id), Time(id));
        if let Some(job) = queue.pop(Time(id)) {
            queue.settle(&job.customer, job.cost, Tokens(job.cost.0 / 2));
        }
    }
    per_call(begun)
}

fn route_micros(args: &Args) -> f64 {
    let candidates: Vec<Candidate> = (0..args.targets).map(candidate).collect();
    let policy = Policy::default();
    let begun = Instant::now();
    for turn in 0..CALLS {
        let input = Tokens(1_000 + turn % 30_000);
        let need = Demand {
            sequence: turn,
            affinity: turn,
            input,
            output: Tokens(200),
            transfer_rate: 25_000,
        };
        black_box(route::place(&policy, black_box(&candidates), &need));
    }
    per_call(begun)
}

fn per_call(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1e6 / CALLS as f64
}

/// Scatters small numbers without a generator.
fn scattered(id: u64, below: u64) -> u64 {
    (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) % below.max(1)
}

fn job(args: &Args, id: u64) -> Job {
    let customer = format!("c{}", scattered(id, args.customers));
    Job {
        id,
        customer: customer.parse().expect("made-up names are valid"),
        weight: 1 + scattered(id, 4) as u32,
        program: None,
        attained: Tokens(scattered(id, 100_000)),
        cost: Tokens(100 + scattered(id, 20_000)),
        warm: id.is_multiple_of(2),
        arrived: Time(id),
    }
}

fn candidate(number: u64) -> Candidate {
    Candidate {
        target: format!("t{number}")
            .parse()
            .expect("made-up names are valid"),
        draining: false,
        running: scattered(number, 16) as u32,
        queued: scattered(number, 5) as u32,
        slots: 16,
        queued_tokens: Tokens(scattered(number, 50_000)),
        running_tokens: Tokens(scattered(number, 50_000)),
        prefill_rate: 8_000,
        decode_rate: 50,
        sent_since: Sent::default(),
        cached: Tokens(scattered(number, 20_000)),
        same_data_centre: number.is_multiple_of(3),
    }
}
