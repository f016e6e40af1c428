//! Routing table: routes, API keys and services of the current configuration, indexed for lookup.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use wasabipoint_kernel::{
    CustomerId, Deployment, ForwardCustomer, ForwardRoute, KeyDigest, NormalHost, ServiceName,
};

/// Lookup tables of one configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Configuration version, set by the operator.
    pub version: u64,
    /// The configuration.
    pub deployment: Box<Deployment>,
    routes_by_host: HashMap<NormalHost, Vec<Arc<ForwardRoute>>>,
    customers_by_key: BTreeMap<KeyDigest, CustomerId>,
}

impl RouteTable {
    /// Builds the lookup tables of a configuration.
    pub fn new(deployment: Box<Deployment>) -> Self {
        let mut routes_by_host: HashMap<NormalHost, Vec<Arc<ForwardRoute>>> = HashMap::new();
        for route in &deployment.routes {
            let routes = routes_by_host
                .entry(NormalHost::new(&route.host))
                .or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let customers_by_key = deployment
            .customers
            .values()
            .flat_map(|customer| customer.keys.iter().map(|key| (*key, customer.id.clone())))
            .collect();
        Self {
            version: deployment.version,
            routes_by_host,
            customers_by_key,
            deployment,
        }
    }

    /// Returns the route of a host with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<ForwardRoute>> {
        let host = NormalHost::new(host);
        let routes = self
            .routes_by_host
            .get(&host)
            .or_else(|| self.routes_by_host.get(&host.without_port()))?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the customer that a key belongs to.
    pub fn customer(&self, key: &KeyDigest) -> Option<&ForwardCustomer> {
        self.deployment
            .customers
            .get(self.customers_by_key.get(key)?)
    }
}

/// Picks a service according to the weights of a route. `random` is uniformly distributed over 64
/// bits.
pub fn pick_service(route: &ForwardRoute, random: u64) -> Option<&ServiceName> {
    let total_weight: u64 = route.services.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut remaining = random.checked_rem(total_weight)?;
    for (service, weight) in &route.services {
        if remaining < u64::from(*weight) {
            return Some(service);
        }
        remaining -= u64::from(*weight);
    }
    None
}
