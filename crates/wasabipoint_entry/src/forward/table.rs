//! Routes, keys and services of the configuration in force, arranged for look-ups.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use wasabipoint_kernel::{
    CustomerId, Deployment, ForwardCustomer, ForwardRoute, KeyDigest, ServiceName,
};

/// Look-up tables of one configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Version given by the operator.
    pub version: u64,
    /// The configuration.
    pub deployment: Box<Deployment>,
    hosts: HashMap<String, Vec<Arc<ForwardRoute>>>,
    keys: BTreeMap<KeyDigest, CustomerId>,
}

impl RouteTable {
    /// Arranges a configuration.
    pub fn new(deployment: Box<Deployment>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<ForwardRoute>>> = HashMap::new();
        for route in &deployment.routes {
            let routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keys = deployment
            .customers
            .values()
            .flat_map(|customer| customer.keys.iter().map(|key| (*key, customer.id.clone())))
            .collect();
        Self {
            version: deployment.version,
            hosts,
            keys,
            deployment,
        }
    }

    /// Returns the route with the longest prefix of the path among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<ForwardRoute>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self
            .hosts
            .get(host)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the customer that holds a key.
    pub fn customer(&self, key: &KeyDigest) -> Option<&ForwardCustomer> {
        self.deployment.customers.get(self.keys.get(key)?)
    }
}

/// Picks a service by the weights of a route; `draw` is uniform over 64 bits.
pub fn pick_service(route: &ForwardRoute, draw: u64) -> Option<&ServiceName> {
    let total: u64 = route.services.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut left = draw.checked_rem(total)?;
    for (service, weight) in &route.services {
        if left < u64::from(*weight) {
            return Some(service);
        }
        left -= u64::from(*weight);
    }
    None
}
