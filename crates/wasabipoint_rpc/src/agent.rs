//! Messages between agents and control members.

use std::net::SocketAddr;

use wasabipoint_kernel::{
    AdapterName, EndpointId, FailureDomain, FencingToken, Incarnation, ModelName, ServiceName,
    VmId, plain_data,
};

plain_data! {
    copy
    /// The kind of an endpoint.
    pub enum EndpointKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }
}

plain_data! {
    copy
    /// Whether an engine refuses commands with an outdated fencing token.
    pub enum FencingMode {
        /// The engine refuses outdated tokens.
        Checked,
        /// The engine executes every command.
        Ignored,
    }
}

plain_data! {
    copy
    /// Where a checkpoint is stored relative to an endpoint, from fastest to slowest to load.
    pub enum CheckpointTier {
        /// In the VM's memory.
        Memory,
        /// On the VM's disk.
        Disk,
        /// Only in the weight store.
        Remote,
    }
}

plain_data! {
    copy
    /// State of a replica in its engine.
    pub enum ReplicaState {
        /// The replica is being loaded.
        Loading,
        /// The replica serves requests.
        Loaded,
        /// The replica completes its requests and is then unloaded.
        Unloading,
        /// The last load failed and the replica uses no memory. The agent does not retry under the
        /// same fencing token, because control releases the grant and makes a new decision.
        Failed,
    }
}

plain_data! {
    data
    /// One replica of an endpoint, as its agent knows it.
    pub struct ReplicaReport {
        /// Name of the model.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// Fencing token of the grant; 0 if the engine held the model before a grant was known.
        pub fencing_token: FencingToken,
        /// State of the replica.
        pub state: ReplicaState,
    }
}

plain_data! {
    data
    /// State of an endpoint, sent every second and on change. At most one report is in flight.
    pub struct AgentReport {
        /// Name of the endpoint.
        pub endpoint: EndpointId,
        /// VM of the endpoint.
        pub vm: VmId,
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
        /// Sequence number of the report within the incarnation; older reports are ignored.
        pub sequence: u64,
        /// Address of the agent.
        pub address: SocketAddr,
        /// Failure domain of the VM.
        pub failure_domain: FailureDomain,
        /// Kind of the endpoint.
        pub kind: EndpointKind,
        /// Service that a plain endpoint provides.
        pub service: ServiceName,
        /// Whether the engine checks fencing tokens.
        pub fencing: FencingMode,
        /// Memory available to replicas and adapters, excluding the KV cache reserve.
        pub memory_mib: u64,
        /// Memory used by loaded, loading and unloading replicas and adapters.
        pub memory_used_mib: u64,
        /// Number of accelerators of the endpoint.
        pub accelerators: u32,
        /// Maximum number of concurrent requests at the endpoint.
        pub concurrency: u32,
        /// Whether the agent is shutting down.
        pub is_draining: bool,
        /// Whether `replicas` was read from the engine in this incarnation. Until then, the absence
        /// of a replica proves nothing.
        pub has_engine_state: bool,
        /// Replicas in the engine, and one for each grant of the last directive that is not revoked
        /// and has no replica yet: `Loading`, or `Failed` after a failed load. Control takes the
        /// absence of a replica as proof that the agent will not load it under a revoked grant.
        pub replicas: Vec<ReplicaReport>,
        /// Adapters loaded in the engine.
        pub adapters: Vec<AdapterName>,
        /// Checkpoints in the VM's memory or on its disk.
        pub checkpoints: Vec<(ModelName, CheckpointTier)>,
    }
}

plain_data! {
    data
    /// A decision that an endpoint holds a replica. Its memory stays reserved until the release is
    /// certain.
    pub struct Grant {
        /// Name of the model.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// Name of the endpoint.
        pub endpoint: EndpointId,
        /// Orders all grants.
        pub fencing_token: FencingToken,
        /// Accelerator memory of the replica.
        pub memory_mib: u64,
        /// Whether the replica must be unloaded.
        pub is_revoked: bool,
    }
}

plain_data! {
    data
    /// The response to an agent's report: everything that the endpoint must hold.
    pub struct AgentDirective {
        /// All grants of the endpoint. A replica without a valid grant is unloaded.
        pub grants: Vec<Grant>,
        /// Maximum number of adapters that the endpoint may load at the same time.
        pub adapters_in_transit: u32,
        /// Name, model and memory in MiB of each adapter of the granted models.
        pub adapters: Vec<(AdapterName, ModelName, u64)>,
        /// Time until the next report is due.
        pub next_report_ms: u64,
    }
}
