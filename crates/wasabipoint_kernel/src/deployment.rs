//! The complete configuration of a forwarding deployment: routes, services, customers and limits.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::plain_data;
use crate::{CustomerId, KeyDigest, ModelName, RouteName, ServiceName};

plain_data! {
    copy
    /// How often a request of a route may run.
    pub enum RunPolicy {
        /// The request is idempotent and may run again after any failure.
        Idempotent,
        /// The request runs at most once per attempt of its caller.
        AtMostOnce,
        /// The response is a stream of events that may not be resumed; it runs at most once.
        Stream,
        /// The response is a stream of events that another endpoint may continue.
        ResumableStream,
    }
}

impl RunPolicy {
    /// Tells whether a request may run a second time.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

plain_data! {
    data
    /// A route: requests whose host and path it matches go to its services.
    pub struct ForwardRoute {
        /// Name of the route.
        pub name: RouteName,
        /// Host that the route serves.
        pub host: String,
        /// Prefix of the paths that the route serves.
        pub path_prefix: String,
        /// How often a request may run.
        pub run_policy: RunPolicy,
        /// Longest time that a caller is kept waiting, in milliseconds.
        pub timeout_ms: u64,
        /// Latency objective up to the first byte or event, in milliseconds.
        pub objective_ms: u64,
        /// Longest pause between events that is still on time, in milliseconds.
        pub max_gap_ms: u64,
        /// Rank among routes, 0 is the most urgent.
        pub priority: u8,
        /// Services with their share of the traffic.
        pub services: Vec<(ServiceName, u32)>,
        /// Most endpoints that may run one attempt of a caller.
        pub max_attempts: u32,
        /// Whether the route needs no key.
        pub is_public: bool,
        /// Whether requests name prompt parts that endpoints cache.
        pub is_cacheable: bool,
    }
}

plain_data! {
    data
    /// A model that the engines of a service can load.
    pub struct EngineModel {
        /// Name of the model.
        pub name: ModelName,
        /// Memory of the weights in MB.
        pub weights_mb: u64,
        /// Time of a load from the store in milliseconds.
        pub store_load_ms: u64,
        /// Time of a load from the endpoint's disk in milliseconds.
        pub disk_load_ms: u64,
        /// Number of adapters of the model.
        pub adapter_count: u32,
        /// Memory of one adapter in MB.
        pub adapter_mb: u64,
    }
}

plain_data! {
    data
    /// Limits of the model engines of a service.
    pub struct EngineSpec {
        /// Requests that an engine runs at once.
        pub slots: u32,
        /// Tokens that the memory of an engine holds.
        pub cache_tokens: u64,
        /// Memory for weights and adapters in MB.
        pub weights_mb: u64,
        /// Adapters that an engine holds at once.
        pub max_adapters: u32,
        /// Loads per second that the weight store allows over all engines, in thousandths.
        pub store_loads_per_1000_s: u64,
        /// The models.
        pub models: BTreeMap<ModelName, EngineModel>,
    }
}

plain_data! {
    data
    /// A service: a set of interchangeable endpoints.
    pub struct ForwardService {
        /// Name of the service.
        pub name: ServiceName,
        /// Connections that one endpoint accepts from all callers together.
        pub max_connections: u32,
        /// Limits of the engines, for a service of model engines.
        pub engine: Option<EngineSpec>,
    }
}

plain_data! {
    copy
    /// What the rate of a customer counts.
    pub enum RateUnit {
        /// Requests.
        Requests,
        /// Tokens of prompt and completion.
        Tokens,
    }
}

plain_data! {
    data
    /// A customer with its keys and its rate.
    pub struct ForwardCustomer {
        /// Name of the customer.
        pub id: CustomerId,
        /// Keyed digests of its keys.
        pub keys: Vec<KeyDigest>,
        /// Rank that takes precedence over that of the route, 0 is the most urgent.
        pub priority: Option<u8>,
        /// What rate and burst count.
        pub unit: RateUnit,
        /// Units per second over all entry processes; `None` is no limit.
        pub rate_per_s: Option<u64>,
        /// Units that may be used at once after a pause.
        pub burst: u64,
        /// Units of a request that does not state its tokens.
        pub default_cost: u64,
    }
}

plain_data! {
    copy
    /// Bounds on what callers send.
    pub struct CallerLimits {
        /// Largest request head in bytes.
        pub max_header_bytes: u64,
        /// Largest request body in bytes.
        pub max_body_bytes: u64,
        /// Longest time for a request head in milliseconds.
        pub header_timeout_ms: u64,
        /// Longest idle time of a caller's connection in milliseconds.
        pub idle_timeout_ms: u64,
    }
}

plain_data! {
    data
    /// A complete configuration under the operator's own version.
    pub struct Deployment {
        /// Version given by the operator; the highest is in force.
        pub version: u64,
        /// Routes by no particular order.
        pub routes: Vec<ForwardRoute>,
        /// Services by name.
        pub services: BTreeMap<ServiceName, ForwardService>,
        /// Customers by name.
        pub customers: BTreeMap<CustomerId, ForwardCustomer>,
        /// Bounds on what callers send.
        pub limits: CallerLimits,
    }
}

/// Why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeploymentError {
    /// The document cannot be read in full.
    Unreadable(String),
    /// A route names a service that the configuration lacks.
    UnknownService {
        /// The route.
        route: RouteName,
        /// The unknown service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    DuplicateMatch {
        /// The route that stands second.
        route: RouteName,
    },
    /// The weights of a route add up to zero.
    ZeroWeight {
        /// The route.
        route: RouteName,
    },
    /// A route has a timeout of zero.
    ZeroTimeout {
        /// The route.
        route: RouteName,
    },
    /// Two customers share a key.
    DuplicateKey {
        /// The customer that stands second.
        customer: CustomerId,
    },
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(detail) => write!(f, "the configuration cannot be read: {detail}"),
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: service {service} is not configured")
            }
            Self::DuplicateMatch { route } => {
                write!(f, "route {route}: another route has its host and prefix")
            }
            Self::ZeroWeight { route } => {
                write!(f, "route {route}: expected weights with a sum above 0")
            }
            Self::ZeroTimeout { route } => write!(f, "route {route}: expected a timeout above 0"),
            Self::DuplicateKey { customer } => {
                write!(f, "customer {customer}: a key belongs to another customer")
            }
        }
    }
}

impl std::error::Error for DeploymentError {}

impl Deployment {
    /// Checks what the types do not express.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found.
    pub fn validate(&self) -> Result<(), DeploymentError> {
        let mut places = BTreeSet::new();
        for route in &self.routes {
            self.validate_route(route)?;
            if !places.insert((&route.host, &route.path_prefix)) {
                return Err(DeploymentError::DuplicateMatch {
                    route: route.name.clone(),
                });
            }
        }
        let mut keys = BTreeMap::new();
        for customer in self.customers.values() {
            for key in &customer.keys {
                if *keys.entry(key).or_insert(&customer.id) != &customer.id {
                    return Err(DeploymentError::DuplicateKey {
                        customer: customer.id.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    fn validate_route(&self, route: &ForwardRoute) -> Result<(), DeploymentError> {
        let unknown = route
            .services
            .iter()
            .find(|(service, _)| !self.services.contains_key(service));
        if let Some((service, _)) = unknown {
            return Err(DeploymentError::UnknownService {
                route: route.name.clone(),
                service: service.clone(),
            });
        }
        if route.services.iter().all(|(_, weight)| *weight == 0) {
            return Err(DeploymentError::ZeroWeight {
                route: route.name.clone(),
            });
        }
        if route.timeout_ms == 0 {
            return Err(DeploymentError::ZeroTimeout {
                route: route.name.clone(),
            });
        }
        Ok(())
    }

    /// Returns the route of a request: of those with its host, the one with the longest prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&ForwardRoute> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
