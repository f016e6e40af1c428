//! Messages between agents and control.

use std::net::SocketAddr;

use wasabipoint_kernel::{
    AdapterName, EndpointId, FailureDomain, FencingToken, Incarnation, ModelName, ServiceName,
    VmId, plain_data,
};

plain_data! {
    copy
    /// What an endpoint is.
    pub enum EndpointKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }
}

plain_data! {
    copy
    /// Whether an engine refuses commands with an old fencing token.
    pub enum FencingMode {
        /// The engine refuses old tokens.
        Checked,
        /// The engine obeys every command.
        Ignored,
    }
}

plain_data! {
    copy
    /// Where a checkpoint is, seen from an endpoint, from cheapest to dearest to load.
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
    /// State of a replica at its engine.
    pub enum ReplicaState {
        /// A load runs.
        Loading,
        /// The replica serves requests.
        Loaded,
        /// The replica finishes its requests and is then unloaded.
        Unloading,
        /// The last load failed; nothing is held. The agent does not try again under the same
        /// fencing token, because control releases the grant and decides anew.
        Failed,
    }
}

plain_data! {
    data
    /// One replica as the agent knows it from its engine.
    pub struct ReplicaReport {
        /// The model.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// Fencing token of the grant; 0 when the engine held the model before any grant was known.
        pub fencing_token: FencingToken,
        /// State at the engine.
        pub state: ReplicaState,
    }
}

plain_data! {
    data
    /// State of an endpoint, sent every second and on change. One report is in flight at a time.
    pub struct AgentReport {
        /// Name of the endpoint.
        pub endpoint: EndpointId,
        /// VM of the endpoint.
        pub vm: VmId,
        /// Run of the agent.
        pub incarnation: Incarnation,
        /// Number of this report within the run; an older one is ignored.
        pub sequence: u64,
        /// Address of the agent.
        pub address: SocketAddr,
        /// Failure domain of the VM.
        pub failure_domain: FailureDomain,
        /// Engine or service.
        pub kind: EndpointKind,
        /// Service that a plain endpoint provides.
        pub service: ServiceName,
        /// Whether the engine checks fencing tokens.
        pub fencing: FencingMode,
        /// Memory that replicas and adapters may use, without the KV reserve.
        pub memory_mib: u64,
        /// Memory used by loaded, loading and unloading replicas and adapters.
        pub memory_used_mib: u64,
        /// Accelerators of the endpoint.
        pub accelerators: u32,
        /// Requests that the endpoint runs at once.
        pub concurrency: u32,
        /// Whether the agent is shutting down.
        pub is_draining: bool,
        /// Whether `replicas` was read from the engine in this run. Absence proves nothing before.
        pub is_engine_known: bool,
        /// Replicas at the engine, and as `Loading` every grant that the last directive listed as live
        /// and that has no replica yet. Control takes absence as proof that the agent will not load
        /// under a revoked grant.
        pub replicas: Vec<ReplicaReport>,
        /// Adapters at the engine.
        pub adapters: Vec<AdapterName>,
        /// Checkpoints that are nearer than the weight store.
        pub checkpoints: Vec<(ModelName, CheckpointTier)>,
    }
}

plain_data! {
    data
    /// A decision that an endpoint holds a replica. Counted until its release is certain.
    pub struct Grant {
        /// The model.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Order among all grants.
        pub fencing_token: FencingToken,
        /// Accelerator memory of the replica.
        pub memory_mib: u64,
        /// Whether the replica must be unloaded.
        pub is_revoked: bool,
    }
}

plain_data! {
    data
    /// The answer to an agent's report: everything that the endpoint is to hold.
    pub struct AgentDirective {
        /// All grants of the endpoint. A replica without a valid grant is unloaded.
        pub grants: Vec<Grant>,
        /// Adapters that this endpoint may have in transit at once.
        pub adapters_in_transit: u32,
        /// Memory of adapters by name, for adapters of the granted models.
        pub adapters: Vec<(AdapterName, ModelName, u64)>,
        /// When the next report is due.
        pub next_report_ms: u64,
    }
}
