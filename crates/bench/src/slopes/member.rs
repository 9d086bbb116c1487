//! Slopes against the number of nodes: shard map, heartbeats, spreading of news.

use std::collections::HashMap;
use std::hint::black_box;

use coord::Map;
use coord::config::Config;
use coord::gossip;
use coord::gossip::Summary;
use coord::id::DataCentre;
use coord::id::Node;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::lease::Observer;
use coord::shard;
use coord::time::Millis;
use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::gauge;
use super::report::Measure;
use super::report::Report;
use super::sample;
use super::size;

const NODES: [usize; 4] = [41, 83, 165, 330];

/// Peers that a node tells in one round of an epidemic.
const FAN_OUT: usize = 3;

/// Objects told in one message.
const NEWS: usize = 100;

/// Seeds over which the rounds of an epidemic are averaged.
const SEEDS: u64 = 5;

/// Measures everything that grows with nodes.
pub fn measure(report: &mut Report) {
    map(report);
    plans(report);
    heartbeats(report);
    spread(report);
}

fn map(report: &mut Report) {
    let measures = [
        ("map.memory", "bytes"),
        ("map.bytes", "bytes as JSON"),
        ("map.decode.cpu", "us a read"),
    ];
    let [memory, encoded, decode] = measures.map(|(name, unit)| Measure {
        name,
        unit,
        per: "nodes, 256 shards",
    });
    report.measure(memory, &NODES, |nodes| gauge::bytes(|| full_map(nodes)).1);
    report.measure(encoded, &NODES, |nodes| json(&full_map(nodes)).len() as f64);
    report.measure(decode, &NODES, |nodes| {
        let bytes = json(&full_map(nodes));
        gauge::micros(|| serde_json::from_slice::<shard::Map>(&bytes).is_ok())
    });
}

fn plans(report: &mut Report) {
    let [round, death] = [
        ("map.round.cpu", "us a round of upkeep"),
        ("map.death.cpu", "us a death"),
    ]
    .map(|(name, unit)| Measure {
        name,
        unit,
        per: "nodes, 256 shards",
    });
    report.measure(round, &NODES, |nodes| {
        let map = full_map(nodes);
        let me = node(7);
        gauge::micros(|| {
            let recruits = shard::standby_plan(&map, &me);
            (recruits, shard::handover_plan(&map, &me))
        })
    });
    report.measure(death, &NODES, |nodes| {
        let map = full_map(nodes);
        let dead = node(3);
        gauge::micros(|| map.without_member(&dead))
    });
}

fn heartbeats(report: &mut Report) {
    let bytes = Measure {
        name: "heartbeat.bytes",
        unit: "bytes of one digest",
        per: "buckets of the configuration's digest that hold something",
    };
    report.measure(bytes, &[0, 16, 32, 64], |buckets| {
        digest(buckets).encoded_len() as f64
    });
    let cpu = Measure {
        name: "heartbeat.cpu",
        unit: "us to encode and decode one digest",
        per: "buckets of the configuration's digest that hold something",
    };
    report.measure(cpu, &[0, 16, 32, 64], |buckets| {
        let digest = digest(buckets);
        gauge::micros(|| wire::Digest::decode(black_box(digest.clone()).encode_to_vec().as_slice()))
    });
    let memory = Measure {
        name: "heartbeat.memory",
        unit: "bytes",
        per: "nodes observed",
    };
    report.measure(memory, &NODES, |nodes| {
        let observer = || Observer::new(Millis(6_000), Millis(300));
        let table =
            || -> Map<Node, Observer> { (0..nodes).map(|n| (node(n), observer())).collect() };
        gauge::bytes(table).1
    });
}

fn digest(buckets: usize) -> wire::Digest {
    let seen: HashMap<String, u64> = (0..buckets as u64)
        .map(|bucket| (bucket.to_string(), u64::MAX - bucket))
        .collect();
    wire::Digest {
        node: node(7).to_string(),
        lease_version: 1 << 28,
        map_version: 1 << 28,
        seen,
        ..wire::Digest::default()
    }
}

/// Rounds until a ticket that one node accepted is known to all, each telling a few at random.
fn spread(report: &mut Report) {
    let rounds = Measure {
        name: "spread.rounds",
        unit: "rounds, each node telling 3 peers at random",
        per: "log2 of the nodes (12, 41, 165, 330)",
    };
    let sizes = [12_usize, 41, 165, 330];
    let points = sizes.map(|nodes| crate::fit::Point {
        x: (nodes as f64).log2(),
        y: (0..SEEDS).map(|seed| epidemic(nodes, seed)).sum::<f64>() / SEEDS as f64,
    });
    report.slope(rounds, &points);
}

fn epidemic(nodes: usize, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let change = sample::change(1, sample::customer(1).into());
    let mut configs = vec![Config::default(); nodes];
    configs[0].merge(&change);
    let knows = |config: &Config| config.newest_ticket() == change.number;
    let mut rounds = 0;
    while !configs.iter().all(knows) {
        rounds += 1;
        let before = configs.clone();
        for (from, own) in before.iter().enumerate() {
            for _ in 0..FAN_OUT {
                let to = (from + rng.random_range(1..nodes)) % nodes;
                exchange(own, &before[to], &mut configs, from, to);
            }
        }
    }
    f64::from(rounds)
}

/// Both sides tell what the other lacks.
fn exchange(own: &Config, other: &Config, configs: &mut [Config], from: usize, to: usize) {
    for change in gossip::missing_changes(own, &Summary::of(other), 0, NEWS) {
        configs[to].merge(&change);
    }
    for change in gossip::missing_changes(other, &Summary::of(own), 0, NEWS) {
        configs[from].merge(&change);
    }
}

fn node(number: usize) -> Node {
    sample::name(&format!("region-1-centre-1-entry-{number:03}"))
}

fn member(number: usize) -> shard::Member {
    let centre: DataCentre = sample::name(&format!(
        "region-1-centre-{:02}",
        number % size::DATA_CENTRES as usize
    ));
    shard::Member {
        node: node(number),
        data_centre: centre,
        peers: ([127, 0, 0, 1], 4000).into(),
        callers: ([127, 0, 0, 1], 4001).into(),
        leaving: false,
    }
}

/// A map in which every shard has both places.
fn full_map(nodes: usize) -> shard::Map {
    let mut map = shard::Map::initial((0..nodes).map(member).collect());
    for shard in (0..SHARDS).map(Shard) {
        let owner = map.owner(shard).and_then(|owner| owner.primary.clone());
        let Some(primary) = owner else { continue };
        let candidates = (0..nodes).map(|n| node((n + usize::from(shard.0)) % nodes));
        let mut candidates = candidates.filter(|other| map.can_be_standby(&primary, other));
        let next = candidates
            .next()
            .and_then(|standby| map.with_standby(shard, &primary, &standby));
        map = next.unwrap_or(map);
    }
    map
}

fn json(map: &shard::Map) -> Vec<u8> {
    serde_json::to_vec(map).unwrap_or_default()
}
