//! The tarpc services of a control member.

use std::io;
use std::net::SocketAddr;

use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use wasabipoint_kernel::{EndpointId, ErrorKind, MemberId, ModelName, plain_data};

use crate::agent::{AgentDirective, AgentReport};
use crate::config::{WatchReply, WatchRequest};
use crate::entry::{
    ClaimOutcome, ClaimRequest, EntryDirective, EntryReport, QuotaExchange, QuotaGrants,
};

/// Largest tarpc frame. A whole fleet view at the design size is about 1 MB.
pub const MAX_RPC_FRAME_BYTES: usize = 8 * 1_024 * 1_024;

plain_data! {
    data
    /// A process with an empty disk asks to become a member.
    pub struct JoinRequest {
        /// New id, never used before.
        pub member: MemberId,
        /// Its rpc address.
        pub rpc: SocketAddr,
        /// Its address for operators.
        pub http: SocketAddr,
    }
}

plain_data! {
    data
    /// The members that a joining process exchanges messages with.
    pub struct JoinReply {
        /// Ids and rpc addresses.
        pub members: Vec<(MemberId, SocketAddr)>,
    }
}

plain_data! {
    data
    /// An entry process needs an adapter on one of the endpoints.
    pub struct AdapterRequest {
        /// Model and adapter, joined by a slash.
        pub adapter: ModelName,
        /// Endpoints that hold the model, best first.
        pub candidates: Vec<EndpointId>,
    }
}

plain_data! {
    data
    /// The answer to a request for an adapter.
    pub enum AdapterReply {
        /// An endpoint has it.
        Loaded(EndpointId),
        /// Every endpoint with the model is changing what it holds.
        Changing {
            /// Expected time until the first of them has changed.
            ready_in_ms: u64,
        },
    }
}

plain_data! {
    data
    /// Why a control member does not answer a call.
    pub enum ControlRefusal {
        /// Another member leads.
        NotLeader {
            /// Rpc address of the leader, when it is known.
            leader: Option<SocketAddr>,
        },
        /// There is no quorum, or leadership was lost while the call ran. The call may be repeated.
        Unavailable,
        /// The call is refused for good.
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
    /// Consensus messages from one member to another, each encoded by the sender.
    pub struct PeerBatch {
        /// Name of the control cluster; a batch of another cluster is dropped.
        pub cluster: String,
        /// The sending member.
        pub from: MemberId,
        /// Its rpc address, to which answers go.
        pub from_rpc: SocketAddr,
        /// The receiving member.
        pub to: MemberId,
        /// Encoded messages in sending order.
        pub messages: Vec<Vec<u8>>,
    }
}

/// Calls from entry and agent processes, answered by the leader. Every call may be repeated.
#[tarpc::service]
pub trait ControlRpc {
    /// Waits for changes of the fleet view and confirms that the view is current.
    async fn watch(request: WatchRequest) -> Result<WatchReply, ControlRefusal>;
    /// Reports demand at an entry process.
    async fn report_entry(report: EntryReport) -> Result<EntryDirective, ControlRefusal>;
    /// Settles and asks for quota slices.
    async fn exchange_quota(exchange: QuotaExchange) -> Result<QuotaGrants, ControlRefusal>;
    /// Claims an idempotency key before the first send.
    async fn claim(request: ClaimRequest) -> Result<ClaimOutcome, ControlRefusal>;
    /// Reports the state of an endpoint and asks for its grants.
    async fn report_agent(report: AgentReport) -> Result<AgentDirective, ControlRefusal>;
    /// Asks to become a member; the answer lists the members to talk to.
    async fn join(request: JoinRequest) -> Result<JoinReply, ControlRefusal>;
    /// Removes a member that is about to stop, unless the others need it.
    async fn leave(member: MemberId) -> Result<(), ControlRefusal>;
    /// Loads an adapter on one of the endpoints that hold its model.
    async fn load_adapter(request: AdapterRequest) -> Result<AdapterReply, ControlRefusal>;
}

/// Messages between control members.
#[tarpc::service]
pub trait PeerRpc {
    /// Delivers consensus messages. Loss and repetition are allowed.
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
