//! Types and helpers shared by all wasabipoint programs: identifiers, error kinds, INI settings,
//! inventory and rules, key digests, logging, metrics and process lifecycle.

extern crate self as wasabipoint_kernel;

mod clock;
mod deployment;
mod derive;
mod domain_name;
mod error;
mod host;
mod id;
mod ini_document;
mod inventory;
mod json_entries;
mod key;
mod log;
mod metrics;
mod request_digest;
mod rules;
mod settings;
mod shutdown;

pub use clock::MonotonicClock;
pub use deployment::{
    CallerLimits, ColdLimit, Deployment, DeploymentError, EarlierDeployment, EngineModel,
    EngineSpec, ForwardCustomer, ForwardRoute, ForwardService, RateUnit, RunPolicy,
};
pub use error::{ErrorKind, ErrorProperties, Refusal, RetryAdvice, RunState};
pub use host::NormalHost;
pub use id::{
    AdapterName, ChangeId, ConfigVersion, CustomerId, EndpointId, EntryId, FailureDomain,
    FencingToken, Incarnation, KeyId, MemberId, ModelName, PromptPartId, Region, RequestId,
    RouteName, ServiceName, SoftwareVersion, VmId,
};
pub use ini_document::{IniDocument, IniEntry, IniSection, SettingError, SettingErrors};
pub use inventory::{Adapter, Customer, Inventory, InventoryChange, Model};
pub use json_entries::JsonDocument;
pub use key::{KeyDigest, KeyDigester};
pub use log::{build_logger, build_logger_to, build_stdout_logger};
pub use metrics::Metrics;
pub use request_digest::RequestDigester;
pub use rules::{
    AdmissionRules, PlacementRules, RouteAccess, RouteRule, RoutingRules, Rules, StoreRules,
};
pub use settings::{
    AGENT_SETTINGS, CLI_SETTINGS, CONTROL_SETTINGS, ENTRY_SETTINGS, SettingForm, SettingSpec,
    Settings, render_reference,
};
pub use shutdown::{reload_on_hangup, wait_for_termination};

#[doc(hidden)]
pub use serde as __serde;
