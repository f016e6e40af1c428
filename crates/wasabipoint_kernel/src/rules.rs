//! Rules set by operators: policies with their parameters and limits, and routes to plain services.

use std::collections::BTreeMap;

use crate::id::{RouteName, ServiceName};
use crate::ini_document::{IniDocument, SettingError, SettingErrors};
use crate::plain_data;
use crate::settings::{SettingForm, SettingSpec, Settings};

/// Keys of `[placement]`.
pub(crate) const PLACEMENT_KEYS: &[SettingSpec] = &[
    SettingSpec::new(
        "policy",
        SettingForm::Name,
        "Placement policy: load_on_demand, keep_loaded or demand_profile.",
    )
    .with_default("demand_profile"),
    SettingSpec::new(
        "idle_unload_ms",
        SettingForm::Integer {
            min: 1_000,
            max: 86_400_000,
        },
        "Idle time after which a replica may be unloaded, in milliseconds.",
    )
    .with_default("600000"),
    SettingSpec::new(
        "prewake_ms",
        SettingForm::Integer {
            min: 0,
            max: 86_400_000,
        },
        "Lead time before expected demand at which a model is loaded, in milliseconds.",
    )
    .with_default("300000"),
    SettingSpec::new(
        "day_ms",
        SettingForm::Integer {
            min: 1_000,
            max: 604_800_000,
        },
        "Length of the demand cycle in milliseconds.",
    )
    .with_default("86400000"),
];

/// Keys of `[store]`.
pub(crate) const STORE_KEYS: &[SettingSpec] = &[
    SettingSpec::new(
        "loads_per_s",
        SettingForm::Integer { min: 1, max: 1_000 },
        "Maximum number of model loads started per second from the weight store.",
    )
    .with_default("2"),
    SettingSpec::new(
        "loads_at_once",
        SettingForm::Integer { min: 1, max: 1_000 },
        "Number of concurrent model loads that the weight store serves at full speed.",
    )
    .with_default("4"),
    SettingSpec::new(
        "adapters_in_transit",
        SettingForm::Integer {
            min: 1,
            max: 10_000,
        },
        "Number of concurrent adapter loads, over all endpoints, that the weight store serves at full speed.",
    )
    .with_default("30"),
];

/// Keys of `[routing]`.
pub(crate) const ROUTING_KEYS: &[SettingSpec] = &[SettingSpec::new(
    "policy",
    SettingForm::Name,
    "Routing policy: least_loaded or prefix_affinity.",
)
.with_default("prefix_affinity")];

/// Keys of `[admission]`.
pub(crate) const ADMISSION_KEYS: &[SettingSpec] = &[
    SettingSpec::new(
        "deadline_ms",
        SettingForm::Integer {
            min: 100,
            max: 3_600_000,
        },
        "Deadline for the first token of completion requests, in milliseconds.",
    )
    .with_default("60000"),
    SettingSpec::new(
        "queue_requests",
        SettingForm::Integer {
            min: 1,
            max: 1_000_000,
        },
        "Maximum number of queued requests per customer at one entry process.",
    )
    .with_default("256"),
    SettingSpec::new(
        "queue_bytes",
        SettingForm::Integer {
            min: 1_024,
            max: 17_179_869_184,
        },
        "Maximum size of queued request bodies per customer at one entry process, in bytes.",
    )
    .with_default("33554432"),
];

/// Keys of `[route NAME]`.
pub(crate) const ROUTE_KEYS: &[SettingSpec] = &[
    SettingSpec::new(
        "service",
        SettingForm::Name,
        "Service that handles the requests of the route.",
    ),
    SettingSpec::new(
        "access",
        SettingForm::Choice(&["keyed", "open"]),
        "Whether requests need a key (`keyed`) or not (`open`).",
    )
    .with_default("keyed"),
    SettingSpec::new(
        "idempotent",
        SettingForm::Flag,
        "Whether calls may be retried; GET and HEAD always may.",
    ),
    SettingSpec::new(
        "deadline_ms",
        SettingForm::Integer {
            min: 100,
            max: 3_600_000,
        },
        "Deadline of a call in milliseconds.",
    )
    .with_default("10000"),
    SettingSpec::new(
        "cost_tokens",
        SettingForm::Integer {
            min: 0,
            max: 1_000_000,
        },
        "Number of tokens that a call consumes from the customer's rate.",
    )
    .with_default("1"),
];

plain_data! {
    data
    /// The placement policy and its parameters.
    pub struct PlacementRules {
        /// Name of the placement policy.
        pub policy: String,
        /// Idle time after which a replica may be unloaded, in milliseconds.
        pub idle_unload_ms: u64,
        /// Lead time before expected demand at which a model is loaded, in milliseconds.
        pub prewake_ms: u64,
        /// Length of the demand cycle in milliseconds.
        pub day_ms: u64,
    }
}

plain_data! {
    data
    /// Limits on loads from the weight store.
    pub struct StoreRules {
        /// Maximum number of model loads started per second.
        pub loads_per_s: u32,
        /// Number of concurrent model loads that are served at full speed.
        pub loads_at_once: u32,
        /// Number of concurrent adapter loads, over all endpoints, that are served at full speed.
        pub adapters_in_transit: u32,
    }
}

plain_data! {
    data
    /// The routing policy.
    pub struct RoutingRules {
        /// Name of the routing policy.
        pub policy: String,
    }
}

plain_data! {
    data
    /// Limits of admission at an entry process.
    pub struct AdmissionRules {
        /// Deadline for the first token of completion requests, in milliseconds.
        pub deadline_ms: u64,
        /// Maximum number of queued requests per customer.
        pub queue_requests: u64,
        /// Maximum size of queued request bodies per customer, in bytes.
        pub queue_bytes: u64,
    }
}

plain_data! {
    copy
    /// Who may use a route.
    pub enum RouteAccess {
        /// Callers with a key of a customer that lists the route.
        Keyed,
        /// All callers.
        Open,
    }
}

plain_data! {
    data
    /// A route to a plain service.
    pub struct RouteRule {
        /// Name of the route.
        pub name: RouteName,
        /// Service that handles its requests.
        pub service: ServiceName,
        /// Who may use it.
        pub access: RouteAccess,
        /// Whether calls may be retried.
        pub is_idempotent: bool,
        /// Deadline of a call in milliseconds.
        pub deadline_ms: u64,
        /// Number of tokens that a call consumes from the customer's rate.
        pub cost_tokens: u64,
    }
}

plain_data! {
    data
    /// The contents of a rules file.
    pub struct Rules {
        /// The placement policy and its parameters.
        pub placement: PlacementRules,
        /// Limits on loads from the weight store.
        pub store: StoreRules,
        /// The routing policy.
        pub routing: RoutingRules,
        /// Limits of admission.
        pub admission: AdmissionRules,
        /// Routes by name.
        pub routes: BTreeMap<RouteName, RouteRule>,
    }
}

impl Rules {
    /// Parses and validates a rules file.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        let document = IniDocument::parse(file, text)?;
        let mut errors = SettingErrors::new();
        let placement = Settings::resolve(&document, "placement", PLACEMENT_KEYS, &mut errors);
        let store = Settings::resolve(&document, "store", STORE_KEYS, &mut errors);
        let routing = Settings::resolve(&document, "routing", ROUTING_KEYS, &mut errors);
        let admission = Settings::resolve(&document, "admission", ADMISSION_KEYS, &mut errors);
        let routes = read_routes(&document, &mut errors);
        errors.into_result(Self {
            placement: PlacementRules {
                policy: placement.text("policy").to_owned(),
                idle_unload_ms: placement.integer("idle_unload_ms"),
                prewake_ms: placement.integer("prewake_ms"),
                day_ms: placement.integer("day_ms"),
            },
            store: StoreRules {
                loads_per_s: store.integer("loads_per_s") as u32,
                loads_at_once: store.integer("loads_at_once") as u32,
                adapters_in_transit: store.integer("adapters_in_transit") as u32,
            },
            routing: RoutingRules {
                policy: routing.text("policy").to_owned(),
            },
            admission: AdmissionRules {
                deadline_ms: admission.integer("deadline_ms"),
                queue_requests: admission.integer("queue_requests"),
                queue_bytes: admission.integer("queue_bytes"),
            },
            routes,
        })
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self::parse("defaults", "").expect("every key outside the route sections has a default")
    }
}

fn read_routes(
    document: &IniDocument,
    errors: &mut SettingErrors,
) -> BTreeMap<RouteName, RouteRule> {
    let mut routes = BTreeMap::new();
    for section in &document.sections {
        let (kind, label) = section.kind_and_label();
        if label.is_empty() && matches!(kind, "placement" | "store" | "routing" | "admission") {
            continue;
        }
        if kind != "route" || !SettingForm::Name.accepts(label) {
            errors.push(SettingError {
                file: document.file.clone(),
                line: section.line,
                key: format!("[{}]", section.name),
                value: String::new(),
                message: "expected [placement], [store], [routing], [admission] or [route NAME]"
                    .to_owned(),
            });
            continue;
        }
        let values = Settings::resolve(document, &section.name, ROUTE_KEYS, errors);
        let name = RouteName::new(label);
        routes.insert(
            name.clone(),
            RouteRule {
                name,
                service: ServiceName::new(values.text("service")),
                access: if values.text("access") == "open" {
                    RouteAccess::Open
                } else {
                    RouteAccess::Keyed
                },
                is_idempotent: values.flag("idempotent"),
                deadline_ms: values.integer("deadline_ms"),
                cost_tokens: values.integer("cost_tokens"),
            },
        );
    }
    routes
}
