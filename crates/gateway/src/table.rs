//! Configuration with indexes for routes and customers.

use std::sync::Arc;

use compact_str::CompactString;

use crate::Map;
use crate::config::Config;
use crate::config::CustomerLimits;
use crate::config::Route;

/// Configuration with lookup indexes.
#[derive(Debug)]
pub struct Table {
    pub config: Config,
    routes: Vec<Arc<Route>>,
    customers: Vec<Arc<CustomerLimits>>,
    /// Indexes into `routes` by host, longest path prefix first.
    routes_by_host: Map<CompactString, Vec<usize>>,
    /// Indexes into `customers` by key.
    customers_by_key: Map<CompactString, usize>,
}

impl Table {
    /// Builds the indexes of a configuration.
    pub fn new(config: Config) -> Table {
        let mut routes_by_host: Map<CompactString, Vec<usize>> = Map::default();
        for (index, route) in config.routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(index);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let customers = config.customers.iter().enumerate();
        let customers_by_key = customers
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Table {
            routes: config.routes.iter().cloned().map(Arc::new).collect(),
            customers: config.customers.iter().cloned().map(Arc::new).collect(),
            config,
            routes_by_host,
            customers_by_key,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`; a port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self
                .routes_by_host
                .get(host.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .map(|index| &self.routes[*index])
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the customer that owns `key`.
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerLimits>> {
        let index = self.customers_by_key.get(key)?;
        self.customers.get(*index)
    }
}
