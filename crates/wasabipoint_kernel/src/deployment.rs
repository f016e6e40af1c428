//! The complete configuration of a forwarding deployment: routes, services, customers and limits.

mod earlier;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::plain_data;
use crate::{CustomerId, KeyDigest, ModelName, NormalHost, Region, RouteName, ServiceName};

pub use earlier::EarlierDeployment;

plain_data! {
    copy
    /// Whether a request may be executed more than once.
    pub enum RunPolicy {
        /// The request is idempotent and may be retried after any failure.
        Idempotent,
        /// The request is executed at most once. A caller that sends it again makes a new request.
        AtMostOnce,
        /// The response is an event stream that cannot be resumed; the request is executed at most
        /// once.
        Stream,
        /// The response is an event stream that another endpoint may continue.
        ResumableStream,
    }
}

impl RunPolicy {
    /// Returns whether a request may be retried after it may have been executed.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

plain_data! {
    data
    /// A route, which forwards requests with a matching host and path to its services.
    pub struct ForwardRoute {
        /// Name of the route.
        pub name: RouteName,
        /// Host that the route matches.
        pub host: String,
        /// Path prefix that the route matches.
        pub path_prefix: String,
        /// Whether a request may be executed more than once.
        pub run_policy: RunPolicy,
        /// Maximum time that a caller waits, in milliseconds.
        pub timeout_ms: u64,
        /// Latency objective up to the first byte or event, in milliseconds.
        pub latency_objective_ms: u64,
        /// Longest gap between events at which a stream is still on time, in milliseconds; 0 for no
        /// limit.
        pub max_gap_ms: u64,
        /// Priority of the route; 0 is the highest.
        pub priority: u8,
        /// Services with their traffic weights.
        pub services: Vec<(ServiceName, u32)>,
        /// Maximum number of executions of one request, over all endpoints.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub is_public: bool,
        /// Whether requests identify prompt parts that endpoints cache.
        pub is_cacheable: bool,
        /// Regions whose endpoints may serve the route; empty for all.
        pub home_regions: BTreeSet<Region>,
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
        /// Load time from the weight store in milliseconds.
        pub store_load_ms: u64,
        /// Load time from the endpoint's disk in milliseconds.
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
        /// Maximum number of concurrent requests of an engine.
        pub slots: u32,
        /// Number of tokens that an engine's KV cache holds.
        pub cache_tokens: u64,
        /// Memory for model weights and adapters in MB.
        pub weights_mb: u64,
        /// Maximum number of adapters loaded at an engine.
        pub max_adapters: u32,
        /// Number of loads per 1000 seconds that the weight store allows over all engines.
        pub store_loads_per_1000_s: u64,
        /// Models by name.
        pub models: BTreeMap<ModelName, EngineModel>,
    }
}

plain_data! {
    copy
    /// What an endpoint tolerates while it is cold, which it is for some time after its start.
    pub struct ColdLimit {
        /// Time after the start of an endpoint for which it is cold, in milliseconds.
        pub start_ms: u64,
        /// Requests per 1000 seconds that a cold endpoint tolerates from all entry processes
        /// together.
        pub requests_per_1000_s: u64,
    }
}

plain_data! {
    data
    /// A service: a set of interchangeable endpoints.
    pub struct ForwardService {
        /// Name of the service.
        pub name: ServiceName,
        /// Maximum number of connections to one endpoint from all clients together.
        pub max_connections: u32,
        /// Limits of the engines; `None` for a service without model engines.
        pub engine: Option<EngineSpec>,
        /// Limit of cold endpoints; `None` if they tolerate as many requests as others.
        pub cold_limit: Option<ColdLimit>,
    }
}

plain_data! {
    copy
    /// The unit of a customer's rate.
    pub enum RateUnit {
        /// The rate counts requests.
        Requests,
        /// The rate counts prompt and completion tokens.
        Tokens,
    }
}

plain_data! {
    data
    /// A customer with its keys and rate limit.
    pub struct ForwardCustomer {
        /// Name of the customer.
        pub id: CustomerId,
        /// Keyed digests of its keys.
        pub keys: Vec<KeyDigest>,
        /// Priority that overrides the route's; 0 is the highest.
        pub priority: Option<u8>,
        /// The unit of rate and burst.
        pub unit: RateUnit,
        /// Units per second over all entry processes; `None` means no limit.
        pub rate_per_s: Option<u64>,
        /// Maximum number of units that may be used at once after an idle period.
        pub burst: u64,
        /// Units charged for a request that does not state its token count.
        pub default_cost: u64,
        /// Regions whose endpoints may serve the customer; empty for all.
        pub home_regions: BTreeSet<Region>,
    }
}

plain_data! {
    copy
    /// Limits on requests and connections of callers.
    pub struct CallerLimits {
        /// Maximum size of a request head in bytes.
        pub head_bytes: u64,
        /// Maximum size of a request body in bytes.
        pub body_bytes: u64,
        /// Maximum time to receive a request head, in milliseconds.
        pub head_timeout_ms: u64,
        /// Maximum idle time of a caller's connection, in milliseconds.
        pub idle_timeout_ms: u64,
    }
}

plain_data! {
    data
    /// A complete configuration with the operator's version number.
    pub struct Deployment {
        /// Version assigned by the operator; the highest one is in effect.
        pub version: u64,
        /// Routes in no particular order.
        pub routes: Vec<ForwardRoute>,
        /// Services by name.
        pub services: BTreeMap<ServiceName, ForwardService>,
        /// Customers by name.
        pub customers: BTreeMap<CustomerId, ForwardCustomer>,
        /// Limits on requests and connections of callers.
        pub limits: CallerLimits,
    }
}

/// Why a configuration is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeploymentError {
    /// The document cannot be decoded.
    Unreadable(String),
    /// A route refers to a service that is not configured.
    UnknownService {
        /// Name of the route.
        route: RouteName,
        /// Name of the unknown service.
        service: ServiceName,
    },
    /// Two routes have the same host and path prefix.
    DuplicateMatch {
        /// Name of the second of the two routes.
        route: RouteName,
    },
    /// The weights of a route add up to zero.
    ZeroWeight {
        /// Name of the route.
        route: RouteName,
    },
    /// A route has a timeout of zero.
    ZeroTimeout {
        /// Name of the route.
        route: RouteName,
    },
    /// A home region of a route or customer has no name.
    EmptyRegion {
        /// Kind and name of what names the region.
        owner: String,
    },
    /// Two customers share a key.
    DuplicateKey {
        /// Name of the second of the two customers.
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
            Self::EmptyRegion { owner } => {
                write!(
                    f,
                    "{owner}: expected home regions with a name, found an empty one"
                )
            }
            Self::DuplicateKey { customer } => {
                write!(f, "customer {customer}: a key belongs to another customer")
            }
        }
    }
}

impl std::error::Error for DeploymentError {}

impl Deployment {
    /// Checks the constraints that the types do not enforce.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<(), DeploymentError> {
        let mut matches_seen = BTreeSet::new();
        for route in &self.routes {
            self.validate_route(route)?;
            if !matches_seen.insert((NormalHost::new(&route.host), &route.path_prefix)) {
                return Err(DeploymentError::DuplicateMatch {
                    route: route.name.clone(),
                });
            }
        }
        let mut keys = BTreeMap::new();
        for customer in self.customers.values() {
            validate_regions(&customer.home_regions, "customer", customer.id.as_str())?;
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
        validate_regions(&route.home_regions, "route", route.name.as_str())?;
        if route.timeout_ms == 0 {
            return Err(DeploymentError::ZeroTimeout {
                route: route.name.clone(),
            });
        }
        Ok(())
    }
}

/// Refuses an empty region name: it would match no endpoint.
fn validate_regions(
    regions: &BTreeSet<Region>,
    kind: &str,
    name: &str,
) -> Result<(), DeploymentError> {
    if regions
        .iter()
        .any(|region| region.as_str().trim().is_empty())
    {
        return Err(DeploymentError::EmptyRegion {
            owner: format!("{kind} {name}"),
        });
    }
    Ok(())
}
