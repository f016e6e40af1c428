//! The sidecar beside an endpoint and the only path to it: fencing, memory ledger, execution
//! ledger, adapters, dispatch of requests, drain and reports to control.

mod adapters;
mod agent;
mod cache_log;
mod config;
mod control;
mod dispatch;
mod endpoint;
mod exchange;
mod execution_ledger;
mod frame_sink;
mod http_endpoint;
mod http_service;
mod memory_ledger;
mod meters;
mod plan;
mod reconcile;
mod response_check;
mod slots;
mod state;

pub use agent::Agent;
pub use cache_log::{CacheLog, CacheUpdate};
pub use config::AgentConfig;
pub use control::{ControlLink, RpcControlLink};
pub use endpoint::{
    AdapterCommand, CacheEventPage, CommandError, Endpoint, EndpointError, EndpointRequest,
    EndpointResponse, EngineModel, EngineSnapshot, ModelCommand, ResponsePieces,
};
pub use execution_ledger::{Admission, ExecutionBounds, ExecutionLedger};
pub use http_endpoint::HttpEndpoint;
pub use http_service::AgentService;
pub use memory_ledger::{Holding, HoldingState, MemoryLedger, MemoryShort};
pub use plan::{LoadFailure, PlanInput, Replica, Step, plan_step};
pub use response_check::{CheckError, EventStreamCheck, check_whole_response};
