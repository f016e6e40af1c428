//! Constructors of commands and their content for the tests.

use std::collections::BTreeMap;

use wasabipoint_control::{
    Command, CommandOutcome, ConfigBody, ConfigChange, ControlState, StampedCommand,
};
use wasabipoint_kernel::{
    ChangeId, ConfigVersion, Customer, CustomerId, EndpointId, EntryId, FailureDomain, Incarnation,
    Inventory, KeyDigester, KeyId, Model, ModelName, RequestId, ServiceName, VmId,
};
use wasabipoint_rpc::{
    AgentReport, ClaimHolder, ClaimRequest, EndpointKind, FencingMode, KeyRecord, QuotaExchange,
    QuotaItem, ReplicaReport, SliceSettlement,
};

pub(crate) fn model_name(model: usize) -> ModelName {
    ModelName::new(format!("model-{model}"))
}

pub(crate) fn endpoint_id(endpoint: usize) -> EndpointId {
    EndpointId::new(format!("endpoint-{endpoint}"))
}

pub(crate) fn customer_id() -> CustomerId {
    CustomerId::new("harbour")
}

pub(crate) fn model(index: usize, memory_mib: u64, max_replicas: u32) -> Model {
    Model {
        name: model_name(index),
        version: 1,
        memory_mib,
        max_replicas,
        max_answer_tokens: 100,
    }
}

pub(crate) fn customer(rate_tokens_per_s: u64, burst_tokens: u64) -> Customer {
    Customer {
        id: customer_id(),
        rate_tokens_per_s,
        burst_tokens,
        models: Vec::new(),
        routes: Vec::new(),
        priority: 5,
    }
}

pub(crate) fn inventory(models: Vec<Model>, customers: Vec<Customer>) -> Inventory {
    Inventory {
        models: models.into_iter().map(|m| (m.name.clone(), m)).collect(),
        adapters: BTreeMap::new(),
        customers: customers.into_iter().map(|c| (c.id.clone(), c)).collect(),
    }
}

pub(crate) fn apply_inventory(expected: u64, change: u32, inventory: Inventory) -> Command {
    let text = format!("{inventory:?}");
    let mut fingerprint = [0_u8; 32];
    for (index, byte) in format!("{expected} {text}").bytes().enumerate() {
        fingerprint[index % 32] = byte.wrapping_add(fingerprint[index % 32].rotate_left(3));
    }
    Command::ApplyConfig(ConfigChange {
        expected: ConfigVersion(expected),
        change_id: ChangeId::new(format!("change-{change}")),
        fingerprint,
        text,
        body: ConfigBody::Inventory(Box::new(inventory)),
    })
}

pub(crate) fn add_key(change: u32) -> Command {
    let id = KeyId::new(format!("key-{change}"));
    Command::AddKey {
        change_id: ChangeId::new(format!("key-change-{change}")),
        fingerprint: [1; 32],
        key: KeyRecord {
            digest: KeyDigester::new("secret").digest(id.as_str()),
            id,
            customer: customer_id(),
        },
    }
}

pub(crate) fn revoke_key(change: u32, key: u32) -> Command {
    Command::RevokeKey {
        change_id: ChangeId::new(format!("revocation-{change}")),
        fingerprint: [2; 32],
        id: KeyId::new(format!("key-{key}")),
    }
}

pub(crate) fn report(
    endpoint: usize,
    incarnation: u64,
    sequence: u64,
    memory_mib: u64,
    has_engine_state: bool,
    replicas: Vec<ReplicaReport>,
) -> AgentReport {
    AgentReport {
        endpoint: endpoint_id(endpoint),
        vm: VmId::new(format!("vm-{endpoint}")),
        incarnation: Incarnation(incarnation),
        sequence,
        address: "127.0.0.1:9".parse().unwrap(),
        failure_domain: FailureDomain::new("Tanta"),
        kind: EndpointKind::Engine,
        service: ServiceName::new("assistant"),
        fencing: FencingMode::Checked,
        memory_mib,
        memory_used_mib: 0,
        accelerators: 8,
        concurrency: 8,
        is_draining: false,
        has_engine_state,
        replicas,
        adapters: Vec::new(),
        checkpoints: Vec::new(),
    }
}

pub(crate) fn exchange(
    entry: usize,
    incarnation: u64,
    sequence: u64,
    wanted_tokens: u64,
    settlements: Vec<SliceSettlement>,
) -> QuotaExchange {
    QuotaExchange {
        entry: EntryId::new(format!("entry-{entry}")),
        incarnation: Incarnation(incarnation),
        sequence,
        items: vec![QuotaItem {
            customer: customer_id(),
            settlements,
            wanted_tokens,
            accepts_partial: true,
        }],
    }
}

pub(crate) fn claim(key: u32, request_id: u128, replaces: Option<u128>) -> ClaimRequest {
    ClaimRequest {
        customer: customer_id(),
        idempotency_key: format!("call-{key}"),
        fingerprint: [3; 32],
        holder: ClaimHolder {
            request_id: RequestId(request_id),
            endpoint: endpoint_id(0),
            incarnation: Incarnation(1),
            address: "127.0.0.1:9".parse().unwrap(),
        },
        replaces: replaces.map(RequestId),
    }
}

pub(crate) fn apply(state: &mut ControlState, time_ms: u64, command: Command) -> CommandOutcome {
    state.apply(StampedCommand { time_ms, command })
}
