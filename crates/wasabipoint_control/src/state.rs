//! The replicated state machine of control. Its state depends only on the committed commands, and
//! its code only on the kernel, the RPC messages and the pure rules of `wasabipoint_policy` on streams.

mod claims;
mod config;
mod deployment;
mod domains;
mod fleet;
mod quarantine;
mod quota;
mod streams;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use wasabipoint_kernel::{
    ChangeId, ConfigVersion, Deployment, EarlierDeployment, EndpointId, ErrorKind, FailureDomain,
    FencingToken, Incarnation, Inventory, KeyId, MemberId, ModelName, PromptPartId, Rules, VmId,
    plain_data,
};
use wasabipoint_rpc::{
    AgentReport, ClaimOutcome, ClaimRequest, FleetChange, FleetUpdate, FleetView, KeyRecord,
    QuarantinedPart, QuotaExchange, QuotaGrants, StreamRecord, WatchReply,
};

pub use claims::ClaimState;
pub use config::ConfigState;
pub use deployment::{DeploymentRecord, EarlierEndpointChanges, EndpointChanges, RateAllowance};
pub use fleet::{FleetState, GrantPhase, GrantRecord, GrantRequest, Registration};
pub use quota::{Bucket, LastExchange, QuotaState, SliceRecord};
pub use streams::{StreamState, VersionRecords};

/// Number of fleet changes kept for callers that are behind. Callers that are further behind get a
/// snapshot.
const MAX_RECENT_CHANGES: usize = 1_024;

plain_data! {
    copy
    /// State of a VM in the platform's list.
    pub enum VmState {
        /// The VM runs.
        Live,
        /// The VM will be terminated.
        Leaving,
        /// The VM no longer runs.
        Terminated,
    }
}

plain_data! {
    data
    /// New content of the inventory or of the rules, parsed by the proposing leader.
    pub enum ConfigBody {
        /// The whole inventory.
        Inventory(Box<Inventory>),
        /// All rules.
        Rules(Box<Rules>),
    }
}

plain_data! {
    data
    /// A compare-and-set of the configuration.
    pub struct ConfigChange {
        /// Version that the change was made from.
        pub expected: ConfigVersion,
        /// Identifier of the change. A resent change keeps it.
        pub change_id: ChangeId,
        /// Digest of the whole change.
        pub fingerprint: [u8; 32],
        /// The INI text as the operator sent it.
        pub text: String,
        /// Parsed content of `text`.
        pub body: ConfigBody,
    }
}

plain_data! {
    data
    /// A change of the replicated state.
    pub enum Command {
        /// Replaces the inventory or the rules.
        ApplyConfig(ConfigChange),
        /// Adds a key.
        AddKey {
            /// Identifier of the change.
            change_id: ChangeId,
            /// Digest of the whole change.
            fingerprint: [u8; 32],
            /// Digest and customer of the key.
            key: KeyRecord,
        },
        /// Revokes a key.
        RevokeKey {
            /// Identifier of the change.
            change_id: ChangeId,
            /// Digest of the whole change.
            fingerprint: [u8; 32],
            /// Id of the key.
            id: KeyId,
        },
        /// Records an agent's report that changes the state.
        RecordReport(Box<AgentReport>),
        /// Grants a replica to an endpoint.
        Grant(GrantRequest),
        /// Revokes a grant. Its memory stays reserved until the replica is certain to be gone.
        Revoke(FencingToken),
        /// Marks an incarnation of an endpoint as leaving.
        MarkLeaving(EndpointId, Incarnation),
        /// Records VM states that changed in the platform's list.
        UpdateVmStates(Vec<(VmId, VmState)>),
        /// Settles and grants quota slices of an entry process.
        ExchangeQuota {
            /// The exchange that the entry sent.
            exchange: QuotaExchange,
            /// Lifetime of new slices at the entry.
            lifetime_ms: u64,
        },
        /// Claims an idempotency key.
        Claim(ClaimRequest),
        /// Saves the demand profile of a placement policy.
        SaveProfile {
            /// Name of the policy.
            policy: String,
            /// The profile as the policy encodes it.
            bytes: Vec<u8>,
        },
        /// Records the addresses of a member.
        PutMemberAddresses {
            /// The member.
            member: MemberId,
            /// RPC address of the member.
            rpc_address: SocketAddr,
            /// HTTP address of the member, once known.
            http_address: Option<SocketAddr>,
        },
        /// Removes the addresses of a member that left the cluster.
        RemoveMemberAddresses(MemberId),
        /// Applies a complete configuration that an earlier release committed, if its version is
        /// newer.
        ApplyEarlierDeployment {
            /// The document as the operator sent it.
            document: Vec<u8>,
            /// Parsed content of the document.
            deployment: Box<EarlierDeployment>,
            /// What customers may use beyond their rate and burst.
            allowance: RateAllowance,
        },
        /// Adds, changes and removes endpoints of the fleet view, in the layout of earlier releases.
        ChangeEarlierEndpoints(EarlierEndpointChanges),
        /// Quarantines a prompt part, or changes its probe.
        PutQuarantine(Box<QuarantinedPart>),
        /// Ends the quarantine of a prompt part.
        LiftQuarantine(PromptPartId),
        /// Applies a complete configuration if its version is newer.
        ApplyDeployment {
            /// The document as the operator sent it.
            document: Vec<u8>,
            /// Parsed content of the document.
            deployment: Box<Deployment>,
            /// What customers may use beyond their rate and burst.
            allowance: RateAllowance,
        },
        /// Takes a failure domain out of service: its endpoints get no new requests.
        TakeOutOfService(FailureDomain),
        /// Returns a failure domain to service.
        ReturnToService(FailureDomain),
        /// Adds, changes and removes endpoints of the fleet view.
        ChangeEndpoints(EndpointChanges),
        /// Records which software versions began streams.
        RecordStreams(Vec<StreamRecord>),
    }
}

plain_data! {
    data
    /// A command and the log time at which the leader proposed it.
    pub struct StampedCommand {
        /// Log time of the proposal.
        pub time_ms: u64,
        /// The proposed command.
        pub command: Command,
    }
}

plain_data! {
    data
    /// Result of a command.
    pub enum CommandOutcome {
        /// The command took effect or had nothing to change.
        Done,
        /// The change was applied and led to this version.
        Applied(ConfigVersion),
        /// The configuration doesn't have the expected version.
        Conflict {
            /// Version that the change was made from.
            expected: ConfigVersion,
            /// Version at the time of the change.
            current: ConfigVersion,
        },
        /// The command was refused and had no effect.
        Refused {
            /// Kind of the error.
            kind: ErrorKind,
            /// Cause of the refusal.
            detail: String,
        },
        /// The replica is granted under this fencing token.
        Granted(FencingToken),
        /// The report was recorded.
        Reported {
            /// Replicas that now serve, with the milliseconds since their grant.
            loaded: Vec<(FencingToken, ModelName, u64)>,
            /// Released grants, and whether the load failed.
            released: Vec<(FencingToken, ModelName, bool)>,
        },
        /// Result of a quota exchange.
        Quota(QuotaGrants),
        /// Result of a claim.
        Claim(ClaimOutcome),
    }
}

impl CommandOutcome {
    pub(crate) fn refused(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self::Refused {
            kind,
            detail: detail.into(),
        }
    }
}

plain_data! {
    data
    /// Addresses of a control member.
    pub struct MemberAddresses {
        /// RPC address.
        pub rpc_address: SocketAddr,
        /// HTTP address, once known.
        pub http_address: Option<SocketAddr>,
    }
}

plain_data! {
    data
    /// The durable state of control.
    pub struct ControlState {
        /// Latest log time of any applied command.
        pub time_ms: u64,
        /// Configuration texts and the outcomes of recent changes.
        pub config: ConfigState,
        /// Endpoints and grants.
        pub fleet: FleetState,
        /// Token buckets and quota slices.
        pub quota: QuotaState,
        /// Idempotency claims.
        pub claims: ClaimState,
        /// Name of a placement policy and its saved demand profile.
        pub profile: Option<(String, Vec<u8>)>,
        /// Addresses of the control members.
        pub members: BTreeMap<MemberId, MemberAddresses>,
        /// Complete configuration of a forwarding deployment.
        pub deployment: DeploymentRecord,
        /// The view that entries replicate. Inventory, rules and keys are stored only here.
        pub view: FleetView,
        /// Recent changes of the view, each with the revision that it led to.
        pub changes: VecDeque<(u64, FleetChange)>,
        /// Software versions that began streams.
        pub streams: StreamState,
    }
}

impl ControlState {
    /// Creates the empty state.
    pub fn new() -> Self {
        Self {
            time_ms: 0,
            config: ConfigState::default(),
            fleet: FleetState::default(),
            quota: QuotaState::default(),
            claims: ClaimState::default(),
            profile: None,
            members: BTreeMap::new(),
            deployment: DeploymentRecord::default(),
            view: FleetView::new(),
            changes: VecDeque::new(),
            streams: StreamState::default(),
        }
    }

    /// Applies a committed command.
    pub fn apply(&mut self, stamped: StampedCommand) -> CommandOutcome {
        // Proposals of a leader may be committed in another order than they were stamped in.
        self.time_ms = self.time_ms.max(stamped.time_ms);
        match stamped.command {
            Command::ApplyConfig(change) => self.apply_config(change),
            Command::AddKey {
                change_id,
                fingerprint,
                key,
            } => self.add_key(&change_id, fingerprint, key),
            Command::RevokeKey {
                change_id,
                fingerprint,
                id,
            } => self.revoke_key(&change_id, fingerprint, &id),
            Command::RecordReport(report) => self.record_report(&report),
            Command::Grant(request) => self.grant(request),
            Command::Revoke(token) => self.revoke(token),
            Command::MarkLeaving(endpoint, incarnation) => {
                self.mark_leaving(&endpoint, incarnation)
            }
            Command::UpdateVmStates(vms) => self.update_vm_states(vms),
            Command::ExchangeQuota {
                exchange,
                lifetime_ms,
            } => self.quota.exchange(self.time_ms, exchange, lifetime_ms),
            Command::Claim(request) => {
                CommandOutcome::Claim(self.claims.claim(self.time_ms, request))
            }
            Command::SaveProfile { policy, bytes } => {
                self.profile = Some((policy, bytes));
                CommandOutcome::Done
            }
            Command::PutMemberAddresses {
                member,
                rpc_address,
                http_address,
            } => {
                let known = self
                    .members
                    .get(&member)
                    .and_then(|addresses| addresses.http_address);
                let http_address = http_address.or(known);
                self.members.insert(
                    member,
                    MemberAddresses {
                        rpc_address,
                        http_address,
                    },
                );
                CommandOutcome::Done
            }
            Command::RemoveMemberAddresses(member) => {
                self.members.remove(&member);
                CommandOutcome::Done
            }
            Command::ApplyEarlierDeployment {
                document,
                deployment,
                allowance,
            } => {
                let deployment = Box::new((*deployment).into());
                self.apply_deployment(document, deployment, allowance)
            }
            Command::ApplyDeployment {
                document,
                deployment,
                allowance,
            } => self.apply_deployment(document, deployment, allowance),
            Command::ChangeEarlierEndpoints(changes) => self.change_endpoints(changes.into()),
            Command::ChangeEndpoints(changes) => self.change_endpoints(changes),
            Command::RecordStreams(streams) => self.record_streams(streams),
            Command::PutQuarantine(quarantined) => self.put_quarantine(quarantined),
            Command::LiftQuarantine(part) => self.lift_quarantine(part),
            Command::TakeOutOfService(domain) => self.take_out_of_service(domain),
            Command::ReturnToService(domain) => self.return_to_service(domain),
        }
    }

    /// Answers a watch call of a caller whose view has `known_revision`, with the changes since then
    /// or, if not all of them are kept, with a snapshot.
    pub fn watch_reply(&self, known_revision: u64) -> WatchReply {
        let revision = self.view.revision;
        let oldest_revision = self
            .changes
            .front()
            .map_or(revision + 1, |(first, _)| *first);
        let has_all_changes = known_revision > 0
            && known_revision <= revision
            && known_revision + 1 >= oldest_revision;
        let update = if has_all_changes {
            let missing = (revision - known_revision) as usize;
            let skipped = self.changes.len() - missing;
            let delta = self.changes.iter().skip(skipped);
            FleetUpdate::Delta(delta.map(|(_, change)| change.clone()).collect())
        } else {
            FleetUpdate::Snapshot(Box::new(self.view.clone()))
        };
        WatchReply { revision, update }
    }

    /// Applies a change to the fleet view under a new revision and keeps it for watching callers.
    fn publish_change(&mut self, change: FleetChange) {
        self.view.apply(&change);
        self.view.revision += 1;
        self.changes.push_back((self.view.revision, change));
        if self.changes.len() > MAX_RECENT_CHANGES {
            self.changes.pop_front();
        }
    }
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new()
    }
}
