//! Resolved settings of an entry process.

use std::net::SocketAddr;

use wasabipoint_kernel::{EntryId, FailureDomain, Incarnation, Settings};

/// Configuration of an entry process: its settings, its address and its incarnation.
#[derive(Clone)]
pub struct EntryConfig {
    /// Name of the process.
    pub entry: EntryId,
    /// Incarnation of the process; increases with each restart.
    pub incarnation: Incarnation,
    /// Address that serves callers and `explain request`.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Secret for the keyed digests of caller keys.
    pub key_secret: String,
    /// Bearer token of `explain request`.
    pub operator_token: String,
    /// Largest accepted request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum age of the last confirmation by control; beyond it, keyed requests are refused.
    pub freshness_bound_ms: u64,
    /// Time without a frame after which an agent connection times out.
    pub silence_bound_ms: u64,
    /// Grace period at the start of a drain in which new requests are still accepted.
    pub drain_grace_ms: u64,
}

impl EntryConfig {
    /// Resolves the settings of a process that listens at `address`.
    pub fn from_settings(
        settings: &Settings,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            entry: EntryId::new(settings.text("entry")),
            incarnation,
            address,
            failure_domain: FailureDomain::new(settings.text("failure_domain")),
            key_secret: settings.text("key_secret").to_owned(),
            operator_token: settings.text("operator_token").to_owned(),
            max_body_bytes: settings.integer("body_bytes") as usize,
            freshness_bound_ms: settings.integer("freshness_bound_ms"),
            silence_bound_ms: settings.integer("silence_bound_ms"),
            drain_grace_ms: settings.integer("drain_grace_ms"),
        }
    }
}
