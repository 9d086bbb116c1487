//! One entry's table before many targets of known load.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Map;
use coord::Set;
use coord::config;
use coord::config::Change;
use coord::config::Config;
use coord::config::Name;
use coord::config::Object;
use coord::id;
use coord::id::DataCentre;
use coord::id::Ticket;
use coord::id::Tokens;
use coord::shard;
use entry::place::Question;
use entry::place::Service;
use entry::place::Table;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sched::policy::Policy;
use wire::Load;

/// How often an entry looks for targets to ask.
pub const TICK: Duration = Duration::from_millis(200);
const DATA_CENTRES: usize = 13;
const SLOTS: u32 = 32;
/// Calls that wait at the most loaded target.
const QUEUED: u32 = 1000;

pub struct Fleet {
    pub table: Table,
    pub config: Arc<Config>,
    pub members: shard::Map,
    pub policy: Policy,
    pub now: Instant,
    pub service: Service,
    near: DataCentre,
    loads: Map<id::Target, u32>,
    random: StdRng,
}

impl Fleet {
    pub fn new(count: usize, seed: u64) -> Fleet {
        let mut random = StdRng::seed_from_u64(seed);
        let loads = (0..count).map(|number| (target(number), random.random_range(0..QUEUED)));
        let loads: Map<id::Target, u32> = loads.collect();
        Fleet {
            table: Table::new(&data_centre(0), seed),
            config: config(count, 1),
            members: members(330),
            policy: Policy::default(),
            now: Instant::now(),
            service: Service::Model(model(0)),
            near: data_centre(0),
            loads,
            random,
        }
    }

    pub fn question<'a>(&'a self, barred: &'a Set<id::Target>) -> Question<'a> {
        Question {
            config: &self.config,
            policy: &self.policy,
            service: &self.service,
            input: Tokens(100),
            output: Tokens(100),
            affinity: 1,
            cached: None,
            barred,
        }
    }

    pub fn target(&self, number: usize) -> id::Target {
        target(number)
    }

    /// Sets a target's true load and reports it.
    pub fn set_load(&mut self, target: &id::Target, queued: u32) {
        self.loads.insert(target.clone(), queued);
        self.table.report(target, load(queued), self.now);
    }

    /// Decisions of one moment; each target's load comes along with its answer.
    pub fn decide(&self, count: usize) {
        for _ in 0..count {
            let barred = Set::default();
            let question = self.question(&barred);
            let choice = self.table.choose(&question, |_| false, self.now);
            let target = choice.expect("a choice").target.id;
            self.table.sent(&target, Tokens(200), self.now);
            self.report(&target);
        }
    }

    /// Asks whom the table wants asked.
    pub fn ask(&self) -> Vec<id::Target> {
        let me = &self.members.members[0].node;
        let due = self.table.due(&self.config, &self.members, me, self.now);
        for listed in &due {
            self.report(&listed.target.id);
            self.table.told(listed);
        }
        due.iter().map(|listed| listed.target.id.clone()).collect()
    }

    pub fn probe(&self) -> usize {
        self.ask().len()
    }

    /// Asks, and goes on to the next tick; how many were asked.
    pub fn step(&mut self) -> usize {
        let asked = self.probe();
        self.now += TICK;
        asked
    }

    /// Decides and asks for some time.
    pub fn warm_up(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.decide(1);
            self.step();
        }
    }

    /// Some targets' loads change.
    pub fn drift(&mut self, count: usize) {
        for _ in 0..count {
            let target = target(self.random.random_range(0..self.loads.len()));
            self.loads
                .insert(target, self.random.random_range(0..QUEUED));
        }
    }

    /// Serves models of this number, each at its share of the targets.
    pub fn share(&mut self, models: usize) {
        let all: Vec<id::Model> = (0..models).map(model).collect();
        let count = self.loads.len();
        let set = (0..count).map(|number| {
            let serves = vec![all[number / DATA_CENTRES % models].clone()];
            Object::Target(config::Target {
                models: serves,
                ..described(number)
            })
        });
        self.config = merged(&Config::default(), set.collect(), Vec::new(), 1);
    }

    /// Goes on with this model.
    pub fn serve(&mut self, number: usize) {
        self.service = Service::Model(model(number));
    }

    /// Share of the near targets of the service that are less loaded than this one.
    pub fn less_loaded(&self, chosen: &id::Target) -> f64 {
        let Service::Model(model) = &self.service else {
            return 1.0;
        };
        let near = self.config.targets();
        let near = near.filter(|target| target.models.contains(model));
        let near = near.filter(|target| target.data_centre == self.near);
        let near: Vec<u32> = near.map(|target| self.loads[&target.id]).collect();
        let less = near.iter().filter(|load| **load < self.loads[chosen]);
        less.count() as f64 / near.len() as f64
    }

    fn report(&self, target: &id::Target) {
        let served = self.config.target(target).expect("a known target");
        let load = Load {
            models: served.models.iter().map(ToString::to_string).collect(),
            ..load(self.loads[target])
        };
        self.table.report(target, load, self.now);
    }
}

pub fn load(queued: u32) -> Load {
    Load {
        queued,
        slots: SLOTS,
        queued_tokens: u64::from(queued) * 1000,
        models: vec![model(0).to_string()],
        ..Load::default()
    }
}

pub fn members(count: usize) -> shard::Map {
    let address = ([127, 0, 0, 1], 1).into();
    let members = (0..count).map(|number| shard::Member {
        node: name(&format!("entry-{number}")),
        data_centre: data_centre(number),
        peers: address,
        callers: address,
        leaving: false,
    });
    shard::Map {
        members: members.collect(),
        ..shard::Map::default()
    }
}

pub fn config(count: usize, ticket: u64) -> Arc<Config> {
    changed(&Config::default(), count, ticket)
}

/// All targets changed by one ticket.
pub fn changed(config: &Config, count: usize, ticket: u64) -> Arc<Config> {
    let set = (0..count).map(|number| Object::Target(described(number)));
    merged(config, set.collect(), Vec::new(), ticket)
}

/// One target changed.
pub fn touched(config: &Config, target: &id::Target, ticket: u64) -> Arc<Config> {
    let target = config.target(target).expect("a known target").clone();
    merged(config, vec![Object::Target(target)], Vec::new(), ticket)
}

/// Some targets removed.
pub fn without(config: &Config, removed: &Set<id::Target>, ticket: u64) -> Arc<Config> {
    let remove = removed.iter().cloned().map(Name::Target);
    merged(config, Vec::new(), remove.collect(), ticket)
}

fn merged(config: &Config, set: Vec<Object>, remove: Vec<Name>, ticket: u64) -> Arc<Config> {
    let mut config = config.clone();
    let number = Ticket(ticket);
    config.merge(&Change {
        number,
        set,
        remove,
    });
    Arc::new(config)
}

fn described(number: usize) -> config::Target {
    config::Target {
        id: target(number),
        data_centre: data_centre(number),
        sidecar: ([127, 0, 0, 1], 1).into(),
        leaving: false,
        models: vec![model(0)],
    }
}

fn target(number: usize) -> id::Target {
    name(&format!("target-{number}"))
}

fn model(number: usize) -> id::Model {
    name(&format!("model-{number}"))
}

pub fn data_centre(number: usize) -> DataCentre {
    name(&format!("dc-{}", number % DATA_CENTRES))
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("a sound name: {text}"))
}
