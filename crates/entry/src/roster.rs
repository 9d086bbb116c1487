//! Targets by the service that they are configured for, built once for each configuration, so that
//! no decision walks all targets.

use std::sync::Arc;

use coord::Map;
use coord::config;
use coord::config::Config;
use coord::config::Object;
use coord::id;
use coord::id::DataCentre;
use coord::id::Ticket;

use crate::place::Service;

/// A target of the configuration.
#[derive(Debug)]
pub struct Listed {
    pub target: config::Target,
    /// The ticket that gave its state.
    pub ticket: Ticket,
    /// Its place on the ring of targets.
    pub hash: u64,
}

/// Targets of one service.
#[derive(Debug, Default)]
pub struct Listing {
    /// In the order of the ring.
    pub all: Vec<Arc<Listed>>,
    /// Positions in the own data centre.
    pub near: Vec<usize>,
    /// All other positions.
    pub far: Vec<usize>,
    positions: Map<id::Target, usize>,
}

impl Listing {
    fn new(mut all: Vec<Arc<Listed>>, near: &DataCentre) -> Listing {
        all.sort_by(|a, b| (a.hash, &a.target.id).cmp(&(b.hash, &b.target.id)));
        all.dedup_by(|a, b| a.target.id == b.target.id);
        let is_near = |position: &usize| all[*position].target.data_centre == *near;
        let (near, far) = (0..all.len()).partition(is_near);
        let ids = all.iter().map(|listed| listed.target.id.clone());
        let positions = ids.zip(0..).collect();
        Listing {
            all,
            near,
            far,
            positions,
        }
    }

    /// Where a target stands in the ring's order.
    pub fn position(&self, target: &id::Target) -> Option<usize> {
        self.positions.get(target).copied()
    }

    /// Whether a position is in the own data centre.
    pub fn is_near(&self, position: usize) -> bool {
        self.near.binary_search(&position).is_ok()
    }

    /// All positions, from the one that follows this hash on the ring.
    pub fn from(&self, hash: u64) -> impl Iterator<Item = usize> {
        let first = self.all.partition_point(|listed| listed.hash < hash);
        (first..self.all.len()).chain(0..first)
    }
}

/// All targets of one configuration.
#[derive(Debug, Default)]
pub struct Roster {
    config: Arc<Config>,
    targets: Map<id::Target, Arc<Listed>>,
    models: Map<id::Model, Listing>,
    routes: Map<id::Route, Listing>,
}

impl Roster {
    /// Sorts the targets of a configuration by service.
    pub fn new(config: &Arc<Config>, near: &DataCentre) -> Roster {
        let targets: Map<id::Target, Arc<Listed>> = listed(config).collect();
        let mut models: Map<id::Model, Vec<Arc<Listed>>> = Map::default();
        for listed in targets.values() {
            for model in &listed.target.models {
                let serving = models.entry(model.clone()).or_default();
                serving.push(Arc::clone(listed));
            }
        }
        let models = models.into_iter();
        let models = models.map(|(model, serving)| (model, Listing::new(serving, near)));
        let routes = routes(config).map(|route| {
            let serving = route.targets.iter();
            let serving = serving.filter_map(|target| targets.get(target).cloned());
            (route.id.clone(), Listing::new(serving.collect(), near))
        });
        Roster {
            config: Arc::clone(config),
            models: models.collect(),
            routes: routes.collect(),
            targets,
        }
    }

    /// Whether it was built from this configuration.
    pub fn is_of(&self, config: &Arc<Config>) -> bool {
        Arc::ptr_eq(&self.config, config)
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The target of this name.
    pub fn get(&self, target: &id::Target) -> Option<&Arc<Listed>> {
        self.targets.get(target)
    }

    /// All targets, in no order.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Listed>> {
        self.targets.values()
    }

    /// Targets that are configured for a service.
    pub fn listing(&self, service: &Service) -> Option<&Listing> {
        match service {
            Service::Model(model) => self.models.get(model),
            Service::Route(route) => self.routes.get(route),
        }
    }
}

fn listed(config: &Config) -> impl Iterator<Item = (id::Target, Arc<Listed>)> {
    config.revisions().filter_map(|(_, entry)| {
        let Some(Object::Target(target)) = &entry.object else {
            return None;
        };
        let listed = Listed {
            target: target.clone(),
            ticket: entry.ticket,
            hash: id::fingerprint(&[target.id.as_str().as_bytes()]),
        };
        Some((target.id.clone(), Arc::new(listed)))
    })
}

fn routes(config: &Config) -> impl Iterator<Item = &config::Route> {
    config
        .revisions()
        .filter_map(|(_, entry)| match &entry.object {
            Some(Object::Route(route)) => Some(route),
            _ => None,
        })
}
