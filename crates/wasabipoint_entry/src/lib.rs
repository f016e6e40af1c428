//! The entry process: HTTP API for callers, authentication, admission control, fair queueing,
//! routing, retries and response streaming.

mod access;
mod api;
mod calls;
mod claim;
mod completion;
mod config;
mod credentials;
mod decisions;
mod drain;
mod endpoints;
mod entry;
mod estimate;
mod events;
mod executor;
mod fair_queue;
mod fleet;
mod forward;
mod frames;
mod link;
mod metrics;
mod prefix_index;
mod quota;
mod quota_ledger;
mod relay;
mod report;
mod retry;
mod scheduler;

pub use api::EntryHandler;
pub use config::EntryConfig;
pub use entry::Entry;
pub use fair_queue::FairQueue;
pub use forward::{
    ColdChange, Endpoints, EventSplitter, ForwardBody, ForwardConfig, ForwardDialect,
    ForwardMetadata, Forwarder, HomeRegions, NotResumed, Regions, ReportedLoad, RequestLimit,
    RequestMetadata, Responder, ResponseMetadata, RetryBudget, RouteTable, SelectedEndpoint,
    SelectedWork, SelectionCriteria, StreamAborted, WorkCharge, pick_service,
};
pub use link::{AgentError, AgentLink, ControlLink, HttpAgentLink, ResponseChunks, RpcControlLink};
pub use prefix_index::{PrefixIndex, hash_prompt};
pub use quota_ledger::{QuotaLedger, ReservedTokens, TokenDemand, TokenRequestResult};
pub use wasabipoint_policy::{AnnouncedPause, Announcement};
