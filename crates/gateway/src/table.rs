//! A configuration arranged for looking things up.

use std::sync::Arc;

use compact_str::CompactString;

use crate::Map;
use crate::config::Config;
use crate::config::CustomerLimits;
use crate::config::Route;

/// A configuration and its indexes.
#[derive(Debug)]
pub struct Table {
    pub config: Config,
    routes: Vec<Arc<Route>>,
    customers: Vec<Arc<CustomerLimits>>,
    /// Routes of a host, longest prefix first.
    hosts: Map<CompactString, Vec<usize>>,
    keys: Map<CompactString, usize>,
}

impl Table {
    /// Arranges a configuration.
    pub fn new(config: Config) -> Table {
        let mut hosts: Map<CompactString, Vec<usize>> = Map::default();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let customers = config.customers.iter().enumerate();
        let keys = customers
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Table {
            routes: config.routes.iter().cloned().map(Arc::new).collect(),
            customers: config.customers.iter().cloned().map(Arc::new).collect(),
            config,
            hosts,
            keys,
        }
    }

    /// The route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .map(|index| &self.routes[*index])
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// The customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerLimits>> {
        let index = self.keys.get(key)?;
        self.customers.get(*index)
    }
}
