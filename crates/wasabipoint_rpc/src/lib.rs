//! Messages between processes: the tarpc services of control members and the frame format of
//! response streams from agents to entry processes.

mod agent;
mod client;
mod entry;
mod fleet;
mod frame;
mod limit;
mod prompt;
mod service;
mod speed;
mod stream;

pub use agent::{
    AgentDirective, AgentReport, CheckpointTier, EndpointKind, FencingMode, Grant, ReplicaReport,
    ReplicaState,
};
pub use client::{CallContext, ControlClient, ControlError, context_with_timeout};
pub use entry::{
    ClaimHolder, ClaimOutcome, ClaimRequest, ColdEstimate, EntryDirective, EntryReport,
    ModelDemand, QuotaDemand, QuotaExchange, QuotaGrants, QuotaItem, QuotaReply, QuotaRequest,
    QuotaSlice, QuotaTicket, QuotaVerdict, QuotaWait, SliceSettlement,
};
pub use fleet::{
    EarlierEndpointView, EndpointView, FleetChange, FleetUpdate, FleetView, KeyRecord, WatchReply,
    WatchRequest,
};
pub use frame::{
    CacheEvent, DispatchRequest, FrameDecoder, FrameError, FramePayload, LoadReport, Outcome,
    OutcomeRequest, StoredResponse, StreamFrame, decode_message, encode_frame, encode_message,
};
pub use limit::{ColdDirective, ColdReport, LimitDirective, LimitReport};
pub use prompt::{
    AnsweredPart, EngineFailure, MAX_PARTS_PER_PROMPT, MAX_PROMPTS_PER_FAILURE,
    MAX_REPORTED_FAILURES, ProbeGrant, PromptDirective, PromptReport, QuarantineCause,
    QuarantinedPart, RefusedPart,
};
pub use service::{
    AdapterReply, AdapterRequest, ControlRefusal, ControlRpc, ControlRpcClient, JoinReply,
    JoinRequest, MAX_RPC_FRAME_BYTES, PeerBatch, PeerRpc, PeerRpcClient, connect_control,
    connect_peer, listen_rpc,
};
pub use speed::{SpeedDirective, SpeedReport};
pub use stream::{MAX_STREAMS_PER_CALL, StreamOrigin, StreamQuery, StreamRecord};
