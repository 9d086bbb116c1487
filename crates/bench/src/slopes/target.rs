//! Slopes against the number of targets, and of a sidecar's own parts.

use coord::Map;
use coord::id;
use coord::id::Tokens;
use coord::time::Time;
use prost::Message;
use sched::policy::Policy;
use sched::quarantine::Quarantine;
use sched::queue::Job;
use sched::queue::Queue;
use sched::route;
use sched::route::Candidate;
use sched::route::Demand;
use sched::route::Sent;
use wire::Load;

use super::gauge;
use super::report::Measure;
use super::report::Report;
use super::sample;

const TARGETS: [usize; 4] = [812, 1_625, 3_250, 6_500];

/// Measures everything that grows with targets.
pub fn measure(report: &mut Report) {
    loads(report);
    choice(report);
    queue(report);
    quarantine(report);
}

fn loads(report: &mut Report) {
    let [memory, update, bytes] = [
        ("load.memory", "bytes"),
        ("load.update.cpu", "us a report, decoded and taken in"),
        ("load.bytes", "bytes of one report of each"),
    ]
    .map(|(name, unit)| Measure {
        name,
        unit,
        per: "targets",
    });
    report.measure(memory, &TARGETS, |count| gauge::bytes(|| table(count)).1);
    report.measure(bytes, &TARGETS, |count| {
        table(count)
            .values()
            .map(Message::encoded_len)
            .sum::<usize>() as f64
    });
    report.measure(update, &TARGETS, |count| {
        let mut table = table(count);
        let names: Vec<id::Target> = (0..count).map(sample::target_id).collect();
        let report = load(3).encode_to_vec();
        let mut turn = 0;
        gauge::micros(|| {
            turn += 1;
            let load = Load::decode(report.as_slice()).unwrap_or_default();
            table.insert(names[turn % count].clone(), load)
        })
    });
}

fn load(number: usize) -> Load {
    Load {
        target: sample::target_id(number).to_string(),
        incarnation: "0190a5c2-7b3e-7cc3-98c4-dc0c0398abcd".to_owned(),
        running: 30,
        queued: 4,
        slots: 32,
        queued_tokens: 40_000,
        running_tokens: 90_000,
        models: vec![format!("model-{:02}", number % 26)],
        cache_used: 900_000,
        cache_size: 1_000_000,
        prefill_rate: 8_000,
        decode_rate: 40,
        age_ms: 20,
        ..Load::default()
    }
}

fn table(count: usize) -> Map<id::Target, Load> {
    let entries = (0..count).map(|number| (sample::target_id(number), load(number)));
    entries.collect()
}

fn choice(report: &mut Report) {
    let cpu = Measure {
        name: "route.cpu",
        unit: "us a choice",
        per: "targets of the model",
    };
    report.measure(cpu, &[32, 64, 125, 250, 500], |count| {
        let candidates: Vec<Candidate> = (0..count).map(candidate).collect();
        let need = Demand {
            sequence: 1,
            affinity: 7,
            input: Tokens(10_000),
            output: Tokens(250),
            transfer_rate: 0,
        };
        let policy = Policy::default();
        gauge::micros(|| route::choose(&policy, &candidates, &need))
    });
}

fn candidate(number: usize) -> Candidate {
    Candidate {
        target: sample::target_id(number),
        draining: false,
        running: 30,
        queued: number as u32 % 7,
        slots: 32,
        queued_tokens: Tokens(40_000),
        running_tokens: Tokens(90_000),
        prefill_rate: 8_000,
        decode_rate: 40,
        sent_since: Sent::default(),
        cached: Tokens(0),
        same_data_centre: true,
    }
}

fn queue(report: &mut Report) {
    let [cpu, memory] = [
        ("queue.cpu", "us a call, queued, taken and settled"),
        ("queue.memory", "bytes"),
    ]
    .map(|(name, unit)| Measure {
        name,
        unit,
        per: "calls that wait",
    });
    let sizes = [50, 100, 200, 400];
    report.measure(cpu, &sizes, |waiting| {
        let mut queue = filled(waiting);
        let mut turn = waiting as u64;
        gauge::micros(|| {
            turn += 1;
            let now = Time(turn * 10);
            queue.push(job(turn, now), now);
            let popped = queue.pop(now);
            if let Some(job) = &popped {
                queue.settle(&job.customer, job.cost, Tokens(job.cost.0 + 10));
            }
            popped
        })
    });
    report.measure(memory, &sizes, |waiting| gauge::bytes(|| filled(waiting)).1);
}

fn filled(waiting: usize) -> Queue {
    let mut queue = Queue::new(&Policy::default());
    let jobs = (0..waiting as u64).map(|number| job(number, Time(number)));
    jobs.for_each(|job| queue.push(job, Time(0)));
    queue
}

fn job(number: u64, arrived: Time) -> Job {
    Job {
        id: number,
        customer: sample::customer_id(number as usize % 500),
        weight: 1,
        program: Some(sample::name("0190a5c2-7b3e-7cc3-98c4-dc0c0398abcd")),
        attained: Tokens(number * 7 % 5_000),
        cost: Tokens(2_000),
        warm: number.is_multiple_of(2),
        arrived,
    }
}

fn quarantine(report: &mut Report) {
    let [memory, entries] = [
        ("quarantine.memory", "bytes"),
        ("quarantine.bytes", "bytes as told to others"),
    ]
    .map(|(name, unit)| Measure {
        name,
        unit,
        per: "fingerprints",
    });
    let sizes = [256, 1_024, 4_096];
    let build = |count: usize| {
        let mut quarantine = Quarantine::new();
        (0..count as u64).for_each(|number| quarantine.record_crash(&[number], Time(1)));
        quarantine
    };
    report.measure(memory, &sizes, |count| gauge::bytes(|| build(count)).1);
    report.measure(entries, &sizes, |count| {
        let digest = build(count).digest(Time(1));
        postcard::to_allocvec(&digest).map_or(0.0, |bytes| bytes.len() as f64)
    });
}
