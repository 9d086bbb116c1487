//! Slopes against the number of customers: configuration, keys, tickets, buckets.

use std::time::Duration;

use coord::Map;
use coord::bucket::Bucket;
use coord::config::Config;
use coord::gossip::Summary;
use coord::id;
use coord::id::Burst;
use coord::id::Rate;
use coord::key;
use coord::ticket;
use coord::time::Time;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::gauge;
use super::report::Measure;
use super::report::Report;
use super::sample;

const CUSTOMERS: [usize; 4] = [5_750, 11_500, 23_000, 46_000];

const TARGETS: [usize; 4] = [812, 1_625, 3_250, 6_500];

const MODELS: usize = 26;

/// Measures everything that grows with customers.
pub fn measure(report: &mut Report) {
    configuration(report);
    tickets(report);
    keys(report);
    buckets(report);
}

fn configuration(report: &mut Report) {
    let memory = Measure {
        name: "customer.config.memory",
        unit: "bytes",
        per: "customers with a key",
    };
    report.measure(memory, &CUSTOMERS, |count| {
        gauge::bytes(|| sample::config(count, 0, MODELS)).1
    });
    let memory = Measure {
        name: "target.config.memory",
        unit: "bytes",
        per: "targets",
    };
    report.measure(memory, &TARGETS, |count| {
        gauge::bytes(|| sample::config(0, count, MODELS)).1
    });
    let scan = Measure {
        name: "customer.target-scan.cpu",
        unit: "us a call",
        per: "customers with a key, beside 6500 targets",
    };
    report.measure(scan, &CUSTOMERS, |count| {
        let config = sample::config(count, TARGETS[3], MODELS);
        gauge::micros(|| serving(&config))
    });
}

/// What a choice among all targets of a model begins with.
fn serving(config: &Config) -> usize {
    let model: id::Model = sample::name("model-07");
    let targets = config.targets();
    targets
        .filter(|target| target.models.contains(&model))
        .count()
}

fn tickets(report: &mut Report) {
    let measures = [
        ("ticket.merge.cpu", "us a ticket"),
        ("ticket.copy.cpu", "us a copy"),
        ("ticket.summary.cpu", "us a summary"),
    ];
    let [merge, copy, summary] = measures.map(|(name, unit)| Measure {
        name,
        unit,
        per: "customers with a key, beside 6500 targets",
    });
    let configs: Vec<Config> = CUSTOMERS
        .iter()
        .map(|count| sample::config(*count, TARGETS[3], MODELS))
        .collect();
    let config = |size: usize| {
        let index = CUSTOMERS.iter().position(|count| *count == size);
        &configs[index.unwrap_or_default()]
    };
    report.measure(merge, &CUSTOMERS, |size| {
        let mut config = config(size).clone();
        let mut number = 10_000_000;
        gauge::micros(|| {
            number += 1;
            let change = sample::change(number, sample::customer(7).into());
            (ticket::evaluate(&config, &change), config.merge(&change))
        })
    });
    report.measure(copy, &CUSTOMERS, |size| {
        gauge::micros(|| config(size).clone())
    });
    report.measure(summary, &CUSTOMERS, |size| {
        gauge::micros(|| Summary::of(config(size)))
    });
    let bytes = Measure {
        name: "ticket.bytes",
        unit: "bytes",
        per: "objects in the ticket",
    };
    report.measure(bytes, &[2, 8, 32, 128], |objects| {
        let set = (0..objects / 2).flat_map(sample::customer).collect();
        let body = serde_json::to_vec(&sample::change(1, set));
        body.map_or(0.0, |body| body.len() as f64)
    });
}

fn keys(report: &mut Report) {
    let verify = Measure {
        name: "key.verify.cpu",
        unit: "us a request",
        per: "customers with a key",
    };
    report.measure(verify, &CUSTOMERS, |count| {
        let mut rng = StdRng::seed_from_u64(1);
        let (name, owner) = (sample::name("mine"), sample::customer_id(1));
        let (text, made) = key::generate(name, owner, &mut rng);
        let mut config = sample::config(count, 0, MODELS);
        let set = vec![coord::config::Object::Key(made)];
        config.merge(&sample::change(10_000_000, set));
        gauge::micros(|| {
            let presented = key::Credential::parse(&text);
            let known = presented.and_then(|p| config.key(&p.name).map(|key| p.matches(key)));
            assert_eq!(known, Some(true));
        })
    });
}

fn buckets(report: &mut Report) {
    let memory = Measure {
        name: "bucket.memory",
        unit: "bytes",
        per: "customers with a bucket here",
    };
    report.measure(memory, &[140, 1_400, 14_000, 46_000], |count| {
        gauge::bytes(|| table(count)).1
    });
    let take = Measure {
        name: "bucket.take.cpu",
        unit: "us a request",
        per: "customers with a bucket here",
    };
    report.measure(take, &[140, 1_400, 14_000, 46_000], |count| {
        let mut table = table(count);
        let names: Vec<id::Customer> = (0..count).map(sample::customer_id).collect();
        let mut turn = 0;
        gauge::micros(|| {
            turn += 1;
            let now = Time(Duration::from_secs(turn as u64).as_millis() as u64);
            let bucket = table.get_mut(&names[turn % count]);
            bucket.map(|bucket| bucket.take(now))
        })
    });
}

fn table(count: usize) -> Map<id::Customer, Bucket> {
    let rate = Rate::try_from(0.5).expect("a rate");
    let bucket = || Bucket::new(rate, Burst(20), 20, Time(0));
    let names = (0..count).map(sample::customer_id);
    names.map(|name| (name, bucket())).collect()
}
