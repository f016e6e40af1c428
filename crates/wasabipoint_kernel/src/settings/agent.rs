//! Settings of `wasabipoint-agent`.

use super::{SettingForm, SettingSpec};

/// Keys of the section `[agent]`.
pub const AGENT_SETTINGS: &[SettingSpec] = &[
    SettingSpec::new("endpoint", SettingForm::Name, "Name of the endpoint that this agent manages, unique in the fleet."),
    SettingSpec::new("vm", SettingForm::Name, "Name of the VM in the platform's list of VMs."),
    SettingSpec::new("failure_domain", SettingForm::Name, "Failure domain of this VM."),
    SettingSpec::new("kind", SettingForm::Choice(&["engine", "service"]), "Whether the endpoint is a model engine or a plain service."),
    SettingSpec::new("service", SettingForm::Name, "Service that a plain endpoint provides; ignored for engines.").with_default("none"),
    SettingSpec::new("endpoint_address", SettingForm::Address, "Address of the endpoint itself."),
    SettingSpec::new("listen", SettingForm::Address, "Listen address for entry processes, health checks and metrics."),
    SettingSpec::new("control", SettingForm::Addresses, "RPC addresses of the control members."),
    SettingSpec::new("fencing", SettingForm::Choice(&["checked", "ignored"]), "Whether the engine checks fencing tokens and refuses outdated ones (`checked`) or not (`ignored`).").with_default("checked"),
    SettingSpec::new("memory_mib", SettingForm::Integer { min: 0, max: 16_777_216 }, "Accelerator memory of the endpoint in MiB.").with_default("0"),
    SettingSpec::new("kv_reserve_mib", SettingForm::Integer { min: 0, max: 16_777_216 }, "Accelerator memory reserved for the KV cache in MiB.").with_default("0"),
    SettingSpec::new("accelerators", SettingForm::Integer { min: 0, max: 64 }, "Number of accelerators of the endpoint.").with_default("0"),
    SettingSpec::new("concurrency", SettingForm::Integer { min: 1, max: 4_096 }, "Maximum number of concurrent requests at the endpoint.").with_default("32"),
    SettingSpec::new("workers", SettingForm::Integer { min: 1, max: 64 }, "Number of HTTP worker threads.").with_default("1"),
    SettingSpec::new("predecessor_wait_ms", SettingForm::Integer { min: 0, max: 60_000 }, "Delay before the first engine command after startup, so that connections of a previous agent process close first, and after an engine command without a response, in milliseconds.").with_default("1000"),
    SettingSpec::new("log_format", SettingForm::Choice(&["text", "json"]), "Format of log records.").with_default("text"),
    SettingSpec::new("log_level", SettingForm::Choice(&["error", "warning", "info", "debug"]), "Minimum severity of logged records.").with_default("info"),
];
