//! Configuration of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use wasabipoint_kernel::{EndpointId, FailureDomain, ServiceName, Settings, VmId};
use wasabipoint_rpc::{EndpointKind, FencingMode};

/// Resolved settings of the agent.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// VM of the endpoint.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Whether the endpoint is a model engine or a plain service.
    pub kind: EndpointKind,
    /// Service that an endpoint of kind [`EndpointKind::Service`] provides.
    pub service: ServiceName,
    /// Address of the endpoint itself.
    pub endpoint_address: SocketAddr,
    /// Address that the agent listens on.
    pub listen: SocketAddr,
    /// RPC addresses of the control members.
    pub control: Vec<SocketAddr>,
    /// Whether the engine checks fencing tokens.
    pub fencing: FencingMode,
    /// Total memory of the endpoint.
    pub memory_mib: u64,
    /// Memory reserved for the KV cache.
    pub kv_reserve_mib: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Number of HTTP worker threads.
    pub workers: usize,
    /// Delay before the first command, in which commands of an earlier agent reach the engine.
    pub predecessor_wait: Duration,
}

impl AgentConfig {
    /// Reads the section `[agent]`.
    pub fn new(settings: &Settings) -> Self {
        Self {
            endpoint: EndpointId::new(settings.text("endpoint")),
            vm: VmId::new(settings.text("vm")),
            failure_domain: FailureDomain::new(settings.text("failure_domain")),
            kind: if settings.text("kind") == "engine" {
                EndpointKind::Engine
            } else {
                EndpointKind::Service
            },
            service: ServiceName::new(settings.text("service")),
            endpoint_address: settings.address("endpoint_address"),
            listen: settings.address("listen"),
            control: settings.addresses("control"),
            fencing: if settings.text("fencing") == "ignored" {
                FencingMode::Ignored
            } else {
                FencingMode::Checked
            },
            memory_mib: settings.integer("memory_mib"),
            kv_reserve_mib: settings.integer("kv_reserve_mib"),
            accelerators: settings.integer("accelerators") as u32,
            concurrency: settings.integer("concurrency") as u32,
            workers: settings.integer("workers") as usize,
            predecessor_wait: settings.duration_ms("predecessor_wait_ms"),
        }
    }
}
