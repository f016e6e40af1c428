//! The tarpc services of a control member.

use std::io;
use std::net::SocketAddr;

use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use wasabipoint_kernel::{EndpointId, ErrorKind, MemberId, ModelName, plain_data};

use crate::agent::{AgentDirective, AgentReport};
use crate::entry::{
    ClaimOutcome, ClaimRequest, EntryDirective, EntryReport, QuotaExchange, QuotaGrants,
    QuotaReply, QuotaRequest,
};
use crate::fleet::{WatchReply, WatchRequest};
use crate::stream::{StreamOrigin, StreamQuery, StreamRecord};

/// Maximum size of a tarpc frame. A complete fleet view at the design size takes about 1 MB.
pub const MAX_RPC_FRAME_BYTES: usize = 8 * 1_024 * 1_024;

plain_data! {
    data
    /// A request of a process with an empty disk to become a member.
    pub struct JoinRequest {
        /// Id of the new member, which must never have been used before.
        pub member: MemberId,
        /// RPC address of the new member.
        pub rpc_address: SocketAddr,
        /// Address of its operator API.
        pub http_address: SocketAddr,
    }
}

plain_data! {
    data
    /// The members with which a joining process exchanges messages.
    pub struct JoinReply {
        /// Ids and RPC addresses.
        pub members: Vec<(MemberId, SocketAddr)>,
    }
}

plain_data! {
    data
    /// A request of an entry process to load an adapter on one of several endpoints.
    pub struct AdapterRequest {
        /// Names of model and adapter, joined by a slash.
        pub adapter: ModelName,
        /// Endpoints that have the model loaded, in order of preference.
        pub candidates: Vec<EndpointId>,
    }
}

plain_data! {
    data
    /// The response to a request for an adapter.
    pub enum AdapterReply {
        /// The adapter is loaded on this endpoint.
        Loaded(EndpointId),
        /// Every endpoint with the model is loading or unloading.
        Changing {
            /// Expected time until the first of them has finished.
            ready_in_ms: u64,
        },
    }
}

plain_data! {
    data
    /// Why a control member does not handle a call.
    pub enum ControlRefusal {
        /// Another member is the leader.
        NotLeader {
            /// RPC address of the leader, if it is known.
            leader: Option<SocketAddr>,
        },
        /// There is no quorum, or leadership was lost during the call. The call may be retried.
        Unavailable,
        /// The call is refused, and clients do not retry it.
        Refused {
            /// The kind of error.
            kind: ErrorKind,
            /// What is wrong.
            detail: String,
        },
    }
}

plain_data! {
    data
    /// Consensus messages from one member to another, each already encoded.
    pub struct PeerBatch {
        /// Name of the control cluster; a batch of another cluster is dropped.
        pub cluster: String,
        /// The sending member.
        pub from: MemberId,
        /// RPC address of the sending member, to which it receives responses.
        pub from_rpc_address: SocketAddr,
        /// The receiving member.
        pub to: MemberId,
        /// Encoded messages in the order of sending.
        pub messages: Vec<Vec<u8>>,
    }
}

/// Calls from entry, agent and joining or leaving control processes, handled by the leader. Every
/// call may be retried.
#[tarpc::service]
pub trait ControlRpc {
    /// Waits for changes to the fleet view and confirms that the view is current.
    async fn watch(request: WatchRequest) -> Result<WatchReply, ControlRefusal>;
    /// Reports demand at an entry process.
    async fn report_entry(report: EntryReport) -> Result<EntryDirective, ControlRefusal>;
    /// Settles quota slices and requests new ones.
    async fn exchange_quota(exchange: QuotaExchange) -> Result<QuotaGrants, ControlRefusal>;
    /// Claims an idempotency key before a call is first sent.
    async fn claim(request: ClaimRequest) -> Result<ClaimOutcome, ControlRefusal>;
    /// Reports the state of an endpoint and returns its grants.
    async fn report_agent(report: AgentReport) -> Result<AgentDirective, ControlRefusal>;
    /// Requests membership; the response lists the members with which to exchange messages.
    async fn join(request: JoinRequest) -> Result<JoinReply, ControlRefusal>;
    /// Removes a member that is about to stop, unless the others would tolerate fewer failures
    /// without it.
    async fn leave(member: MemberId) -> Result<(), ControlRefusal>;
    /// Loads an adapter on one of the endpoints that have its model loaded.
    async fn load_adapter(request: AdapterRequest) -> Result<AdapterReply, ControlRefusal>;
    /// Settles quota slices, and divides tokens among the requests that wait for them.
    async fn request_quota(request: QuotaRequest) -> Result<QuotaReply, ControlRefusal>;
    /// Commits which software versions began streams, before their callers get an event.
    async fn record_streams(streams: Vec<StreamRecord>) -> Result<(), ControlRefusal>;
    /// Returns where a stream began that a caller resumes, as confirmed by a quorum.
    async fn find_stream(query: StreamQuery) -> Result<StreamOrigin, ControlRefusal>;
}

/// Messages between control members.
#[tarpc::service]
pub trait PeerRpc {
    /// Delivers consensus messages, which may be lost or delivered more than once.
    async fn deliver(batch: PeerBatch);
}

/// Connects to the control service of a member.
pub async fn connect_control(address: SocketAddr) -> io::Result<ControlRpcClient> {
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(MAX_RPC_FRAME_BYTES);
    let transport = connect.await?;
    Ok(ControlRpcClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Connects to the peer service of a member.
pub async fn connect_peer(address: SocketAddr) -> io::Result<PeerRpcClient> {
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(MAX_RPC_FRAME_BYTES);
    let transport = connect.await?;
    Ok(PeerRpcClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Listens for tarpc connections whose requests are `Req` and responses `Resp`.
pub async fn listen_rpc<Req, Resp>(
    address: SocketAddr,
) -> io::Result<tcp::Incoming<Req, Resp, Bincode<Req, Resp>, fn() -> Bincode<Req, Resp>>>
where
    Req: for<'de> serde::Deserialize<'de>,
    Resp: serde::Serialize,
{
    let mut incoming = tcp::listen(address, Bincode::default as fn() -> Bincode<Req, Resp>).await?;
    incoming.config_mut().max_frame_length(MAX_RPC_FRAME_BYTES);
    Ok(incoming)
}
