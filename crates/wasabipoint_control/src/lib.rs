//! Control member: replicated state, RPC service, placement and operator API.

mod addresses;
mod allowance;
mod api;
mod context;
mod deployment;
mod directory;
mod domains;
mod engines;
mod first_start;
mod identity;
mod leader_state;
mod limits;
mod member;
mod membership;
mod metrics;
mod peer;
mod placement;
mod platform;
mod quarantine;
mod rpc;
mod server;
mod speeds;
mod state;
mod state_machine;
mod stores;
mod stream;

pub use deployment::DeploymentStore;
pub use directory::{EndpointDirectory, EndpointList};
pub use domains::{DomainStatus, DomainStore};
pub use engines::{
    CommandAnswer, EngineCommand, EngineCommander, EngineLedger, EngineOperation, EngineState,
};
pub use identity::{MemberIdentity, discard_identity, initial_member_id, resolve_identity};
pub use limits::{ColdEndpoints, EndpointKey, KnownCold};
pub use server::{ControlConfig, ControlServer, ControlStartError, PlatformIntegration};
pub use state::{
    Bucket, ClaimState, Command, CommandOutcome, ConfigBody, ConfigChange, ConfigState,
    ControlState, DeploymentRecord, EarlierEndpointChanges, EndpointChanges, FleetState,
    GrantPhase, GrantRecord, GrantRequest, LastExchange, MemberAddresses, QuotaState,
    RateAllowance, Registration, SliceRecord, StampedCommand, StreamState, VersionRecords, VmState,
};
pub use state_machine::ControlStateMachine;
pub use stores::{OperatorStores, StoreError};
pub use wasabipoint_policy::ColdMargins;
