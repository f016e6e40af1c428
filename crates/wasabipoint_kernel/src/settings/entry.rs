//! Settings of `wasabipoint-entry`.

use super::{SettingForm, SettingSpec};

/// Keys of the section `[entry]`.
pub const ENTRY_SETTINGS: &[SettingSpec] = &[
    SettingSpec::new("entry", SettingForm::Name, "Name of this entry process, unique in the fleet."),
    SettingSpec::new("listen", SettingForm::Address, "Listen address for callers, health checks and metrics."),
    SettingSpec::new("control", SettingForm::Addresses, "RPC addresses of the control members."),
    SettingSpec::new("failure_domain", SettingForm::Name, "Failure domain of this VM."),
    SettingSpec::new("key_secret", SettingForm::Text, "Secret for the digests of API keys; must be the same in control and entry processes."),
    SettingSpec::new("operator_token", SettingForm::Text, "Bearer token of `explain request`."),
    SettingSpec::new("workers", SettingForm::Integer { min: 1, max: 64 }, "Number of HTTP worker threads.").with_default("2"),
    SettingSpec::new("body_bytes", SettingForm::Integer { min: 1_024, max: 67_108_864 }, "Maximum size of a request body in bytes.").with_default("4194304"),
    SettingSpec::new("freshness_bound_ms", SettingForm::Integer { min: 500, max: 60_000 }, "Maximum time in milliseconds since control last confirmed the configuration; beyond it, requests that need a key are refused.").with_default("5000"),
    SettingSpec::new("silence_bound_ms", SettingForm::Integer { min: 100, max: 60_000 }, "Time without a frame after which a connection to an agent is considered unresponsive, in milliseconds.").with_default("2000"),
    SettingSpec::new("drain_grace_ms", SettingForm::Integer { min: 0, max: 600_000 }, "Time after SIGTERM during which new requests are still accepted, in milliseconds.").with_default("5000"),
    SettingSpec::new("log_format", SettingForm::Choice(&["text", "json"]), "Format of log records.").with_default("text"),
    SettingSpec::new("log_level", SettingForm::Choice(&["error", "warning", "info", "debug"]), "Minimum severity of logged records.").with_default("info"),
];
