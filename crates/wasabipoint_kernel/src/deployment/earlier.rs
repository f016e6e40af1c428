//! Layout of complete configurations in the logs and snapshots of releases without cold limits and
//! home regions.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    CallerLimits, Deployment, EngineSpec, ForwardCustomer, ForwardRoute, ForwardService, RateUnit,
    RunPolicy,
};
use crate::plain_data;
use crate::{CustomerId, KeyDigest, RouteName, ServiceName};

plain_data! {
    data
    /// A complete configuration as earlier releases encode it.
    pub struct EarlierDeployment {
        version: u64,
        routes: Vec<EarlierRoute>,
        services: BTreeMap<ServiceName, EarlierService>,
        customers: BTreeMap<CustomerId, EarlierCustomer>,
        limits: CallerLimits,
    }
}

plain_data! {
    data
    struct EarlierRoute {
        name: RouteName,
        host: String,
        path_prefix: String,
        run_policy: RunPolicy,
        timeout_ms: u64,
        latency_objective_ms: u64,
        max_gap_ms: u64,
        priority: u8,
        services: Vec<(ServiceName, u32)>,
        max_attempts: u32,
        is_public: bool,
        is_cacheable: bool,
    }
}

plain_data! {
    data
    struct EarlierService {
        name: ServiceName,
        max_connections: u32,
        engine: Option<EngineSpec>,
    }
}

plain_data! {
    data
    struct EarlierCustomer {
        id: CustomerId,
        keys: Vec<KeyDigest>,
        priority: Option<u8>,
        unit: RateUnit,
        rate_per_s: Option<u64>,
        burst: u64,
        default_cost: u64,
    }
}

impl From<EarlierDeployment> for Deployment {
    fn from(earlier: EarlierDeployment) -> Self {
        let services = earlier.services.into_iter();
        let customers = earlier.customers.into_iter();
        Self {
            version: earlier.version,
            routes: earlier.routes.into_iter().map(ForwardRoute::from).collect(),
            services: services
                .map(|(name, service)| (name, service.into()))
                .collect(),
            customers: customers
                .map(|(id, customer)| (id, customer.into()))
                .collect(),
            limits: earlier.limits,
        }
    }
}

impl From<EarlierRoute> for ForwardRoute {
    fn from(earlier: EarlierRoute) -> Self {
        Self {
            name: earlier.name,
            host: earlier.host,
            path_prefix: earlier.path_prefix,
            run_policy: earlier.run_policy,
            timeout_ms: earlier.timeout_ms,
            latency_objective_ms: earlier.latency_objective_ms,
            max_gap_ms: earlier.max_gap_ms,
            priority: earlier.priority,
            services: earlier.services,
            max_attempts: earlier.max_attempts,
            is_public: earlier.is_public,
            is_cacheable: earlier.is_cacheable,
            home_regions: BTreeSet::new(),
        }
    }
}

impl From<EarlierService> for ForwardService {
    fn from(earlier: EarlierService) -> Self {
        Self {
            name: earlier.name,
            max_connections: earlier.max_connections,
            engine: earlier.engine,
            cold_limit: None,
        }
    }
}

impl From<EarlierCustomer> for ForwardCustomer {
    fn from(earlier: EarlierCustomer) -> Self {
        Self {
            id: earlier.id,
            keys: earlier.keys,
            priority: earlier.priority,
            unit: earlier.unit,
            rate_per_s: earlier.rate_per_s,
            burst: earlier.burst,
            default_cost: earlier.default_cost,
            home_regions: BTreeSet::new(),
        }
    }
}
