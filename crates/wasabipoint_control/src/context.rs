//! State shared by the services of one control member.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use slog::Logger;
use tokio::sync::Notify;
use wasabipoint_consensus::ProposeError;
use wasabipoint_kernel::KeyDigester;
use wasabipoint_policy::ColdMargins;

use crate::engines::EngineCommander;
use crate::first_start::FirstStart;
use crate::leader_state::{LeaderState, SilenceBounds};
use crate::member::Member;
use crate::metrics::ControlMetrics;
use crate::state::{Command, RateAllowance};

/// Replica, configuration and wake-up signals shared by the services of one member.
pub(crate) struct ControlContext {
    pub(crate) member: Member,
    pub(crate) metrics: ControlMetrics,
    pub(crate) logger: Logger,
    /// Wakes the placement task when requests wait for a model without a replica, or when an agent
    /// report changed the replicated state.
    pub(crate) wake_placement: Notify,
    /// Wakes the engine planner when requests wait for a model without a replica, or when an
    /// engine is free for its next change.
    pub(crate) wake_engine_planner: Notify,
    /// Wakes the quarantine task when an entry process reports evidence about prompt parts.
    pub(crate) wake_quarantine: Notify,
    /// Sends commands to engines that run without an agent.
    pub(crate) commander: Option<Arc<dyn EngineCommander>>,
    pub(crate) slice_lifetime_ms: u64,
    /// Tokens that customers of a forwarding deployment may use beyond rate and burst.
    pub(crate) rate_allowance: RateAllowance,
    /// Margins of the bound on arrivals at cold endpoints.
    pub(crate) cold_margins: ColdMargins,
    pub(crate) silence_bounds: SilenceBounds,
    pub(crate) key_digester: KeyDigester,
    pub(crate) key_secret: String,
    pub(crate) operator_token: String,
    pub(crate) rpc_address: SocketAddr,
    pub(crate) http_address: SocketAddr,
    pub(crate) failure_domain: String,
    pub(crate) leader_state: Mutex<Option<LeaderState>>,
    pub(crate) first_start: FirstStart,
}

impl ControlContext {
    /// Runs `work` on the leader's state, which is reset if it belongs to an earlier term.
    pub(crate) fn with_leader_state<T>(
        &self,
        term: u64,
        work: impl FnOnce(&mut LeaderState) -> T,
    ) -> T {
        let mut leader_state = self
            .leader_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if leader_state
            .as_ref()
            .is_none_or(|current| current.term < term)
        {
            *leader_state = None;
        }
        work(
            leader_state.get_or_insert_with(|| {
                LeaderState::new(term, self.silence_bounds, self.cold_margins)
            }),
        )
    }

    /// Commits this member's addresses unless they are already applied, so that other members can
    /// redirect callers to this leader.
    pub(crate) async fn announce_addresses(&self) -> Result<(), ProposeError> {
        let member = self.member.id();
        let is_announced = self.member.read(|state| {
            state.members.get(&member).is_some_and(|applied| {
                applied.rpc_address == self.rpc_address
                    && applied.http_address == Some(self.http_address)
            })
        });
        if is_announced {
            return Ok(());
        }
        let command = Command::PutMemberAddresses {
            member,
            rpc_address: self.rpc_address,
            http_address: Some(self.http_address),
        };
        self.member.propose(command).await.map(|_| ())
    }

    pub(crate) fn update_gauges(&self) {
        let (revision, grants, out_of_service, recorded_streams) = self.member.read(|state| {
            let out_of_service = state.view.out_of_service.len();
            (
                state.view.revision,
                state.fleet.grants.len(),
                out_of_service,
                state.streams.records(),
            )
        });
        self.metrics.set_recorded_streams(recorded_streams as u64);
        self.metrics
            .set_state_gauges(revision, grants as u64, out_of_service as u64);
    }
}
