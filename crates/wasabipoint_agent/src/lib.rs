//! The sidecar of an endpoint. All requests and commands for the endpoint pass through it: it
//! fences commands, accounts for memory and executions, loads adapters, dispatches requests, drains
//! on shutdown and reports to control.

mod adapters;
mod agent;
mod cache_log;
mod config;
mod control_link;
mod dispatch;
mod endpoint;
mod exchange;
mod execution_ledger;
mod frame_sink;
mod http_endpoint;
mod http_service;
mod memory_ledger;
mod metrics;
mod plan;
mod reconcile;
mod response_check;
mod slots;
mod state;

pub use agent::Agent;
pub use cache_log::{CacheLog, CacheUpdate};
pub use config::AgentConfig;
pub use control_link::{ControlLink, RpcControlLink};
pub use endpoint::{
    AdapterCommand, CacheEventPage, CommandError, Endpoint, EndpointError, EndpointRequest,
    EndpointResponse, EngineReplica, EngineSnapshot, ModelCommand, ResponseChunks,
};
pub use execution_ledger::{Admission, ExecutionLedger, ExecutionLimits};
pub use http_endpoint::HttpEndpoint;
pub use http_service::AgentService;
pub use memory_ledger::{Allocation, AllocationState, InsufficientMemory, MemoryLedger};
pub use plan::{CommandFailure, EngineAction, PlanInput, Replica, plan_action};
pub use response_check::{CheckError, EventStreamCheck, check_response_id};
