//! The replicated state. It depends only on the kernel, the messages and the committed commands.

mod claims;
mod config;
mod deployment;
mod fleet;
mod quota;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use wasabipoint_kernel::{
    ChangeId, ConfigVersion, Deployment, EndpointId, ErrorKind, FencingToken, Incarnation,
    Inventory, KeyId, MemberId, ModelName, Rules, VmId, plain_data,
};
use wasabipoint_rpc::{
    AgentReport, ClaimOutcome, ClaimRequest, FleetChange, FleetUpdate, FleetView, KeyRecord,
    QuotaExchange, QuotaGrants, WatchReply,
};

pub use claims::ClaimState;
pub use config::ConfigState;
pub use deployment::{DeploymentRecord, EndpointChanges, RateAllowance};
pub use fleet::{FleetState, GrantPhase, GrantRecord, GrantRequest, Registration};
pub use quota::{Bucket, LastExchange, QuotaState, SliceRecord};

/// Fleet changes kept for callers that are behind; older callers get a snapshot.
const KEPT_FLEET_CHANGES: usize = 1_024;

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
        /// Identifier of the change, the same when it is resent.
        pub change_id: ChangeId,
        /// Digest of the whole change.
        pub fingerprint: [u8; 32],
        /// The INI text as the operator sent it.
        pub text: String,
        /// The parsed content.
        pub body: ConfigBody,
    }
}

plain_data! {
    data
    /// A change of the replicated state.
    pub enum Command {
        /// Replaces inventory or rules.
        ApplyConfig(ConfigChange),
        /// Adds a key.
        AddKey {
            /// Identifier of the change.
            change_id: ChangeId,
            /// Digest of the whole change.
            fingerprint: [u8; 32],
            /// The key's digest and customer.
            key: KeyRecord,
        },
        /// Revokes a key.
        RevokeKey {
            /// Identifier of the change.
            change_id: ChangeId,
            /// Digest of the whole change.
            fingerprint: [u8; 32],
            /// The key.
            id: KeyId,
        },
        /// Takes in an agent's report that changes the state.
        RecordReport(Box<AgentReport>),
        /// Grants a replica.
        Grant(GrantRequest),
        /// Revokes a grant, which counts until its release is certain.
        Revoke(FencingToken),
        /// Marks a run of an endpoint as leaving.
        MarkLeaving(EndpointId, Incarnation),
        /// Takes in changed states of the platform's list.
        UpdateVmStates(Vec<(VmId, VmState)>),
        /// Exchanges quota.
        ExchangeQuota {
            /// The entry's exchange.
            exchange: QuotaExchange,
            /// Lifetime of new slices at the entry.
            lifetime_ms: u64,
        },
        /// Claims an idempotency key.
        Claim(ClaimRequest),
        /// Saves what a placement policy learnt.
        SaveProfile {
            /// Name of the policy.
            policy: String,
            /// Encoding of the policy.
            bytes: Vec<u8>,
        },
        /// Records the addresses of a member.
        PutMember {
            /// The member.
            member: MemberId,
            /// Its rpc address.
            rpc: SocketAddr,
            /// Its HTTP address, once known.
            http: Option<SocketAddr>,
        },
        /// Forgets the addresses of a removed member.
        RemoveMember(MemberId),
        /// Puts a complete configuration in force under the operator's version.
        ApplyDeployment {
            /// The document as the operator sent it.
            document: Vec<u8>,
            /// What it says.
            deployment: Box<Deployment>,
            /// What customers may use beyond rate and burst.
            allowance: RateAllowance,
        },
        /// Changes the listed endpoints.
        ChangeEndpoints(EndpointChanges),
    }
}

plain_data! {
    data
    /// A command with the leader's log time.
    pub struct StampedCommand {
        /// Log time at which the command was proposed.
        pub time_ms: u64,
        /// The command.
        pub command: Command,
    }
}

plain_data! {
    data
    /// Result of a command.
    pub enum Outcome {
        /// The command took effect or was not needed.
        Done,
        /// The configuration has this version now.
        Applied(ConfigVersion),
        /// The configuration has another version than expected.
        Conflict {
            /// Version that the change was made from.
            expected: ConfigVersion,
            /// The version when the change was considered.
            current: ConfigVersion,
        },
        /// The command is refused and had no effect.
        Refused {
            /// The kind of error.
            kind: ErrorKind,
            /// What is wrong.
            detail: String,
        },
        /// The replica is granted under this fencing token.
        Granted(FencingToken),
        /// The report was taken in.
        Reported {
            /// Replicas that now serve, with the time since their grant.
            loaded: Vec<(FencingToken, ModelName, u64)>,
            /// Grants that no longer count, and whether the load had failed.
            released: Vec<(FencingToken, ModelName, bool)>,
        },
        /// Answer to an exchange.
        Quota(QuotaGrants),
        /// Answer to a claim.
        Claim(ClaimOutcome),
    }
}

impl Outcome {
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
    pub struct MemberAddress {
        /// Its rpc address.
        pub rpc: SocketAddr,
        /// Its HTTP address, once known.
        pub http: Option<SocketAddr>,
    }
}

plain_data! {
    data
    /// Everything that control keeps durably.
    pub struct ControlState {
        /// Log time of the last command.
        pub time_ms: u64,
        /// Configuration texts and change ids.
        pub config: ConfigState,
        /// Endpoints and grants.
        pub fleet: FleetState,
        /// Quota buckets and slices.
        pub quota: QuotaState,
        /// Idempotency claims.
        pub claims: ClaimState,
        /// Saved demand profile with the name of its policy.
        pub profile: Option<(String, Vec<u8>)>,
        /// Addresses of members.
        pub members: BTreeMap<MemberId, MemberAddress>,
        /// Complete configuration of a forwarding deployment.
        pub deployment: DeploymentRecord,
        /// The view that entries hold; the only place of inventory, rules and keys.
        pub view: FleetView,
        /// Recent changes of the view with the revision that each led to.
        pub changes: VecDeque<(u64, FleetChange)>,
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
        }
    }

    /// Applies a command.
    pub fn apply(&mut self, stamped: StampedCommand) -> Outcome {
        // Proposals of one leader can reach the log in another order than they were stamped.
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
            Command::RecordReport(report) => self.take_report(&report),
            Command::Grant(request) => self.grant(request),
            Command::Revoke(token) => self.revoke(token),
            Command::MarkLeaving(endpoint, incarnation) => {
                self.mark_leaving(&endpoint, incarnation)
            }
            Command::UpdateVmStates(vms) => self.take_platform(vms),
            Command::ExchangeQuota {
                exchange,
                lifetime_ms,
            } => self.quota.exchange(self.time_ms, exchange, lifetime_ms),
            Command::Claim(request) => Outcome::Claim(self.claims.claim(self.time_ms, request)),
            Command::SaveProfile { policy, bytes } => {
                self.profile = Some((policy, bytes));
                Outcome::Done
            }
            Command::PutMember { member, rpc, http } => {
                let known = self.members.get(&member).and_then(|address| address.http);
                let http = http.or(known);
                self.members.insert(member, MemberAddress { rpc, http });
                Outcome::Done
            }
            Command::RemoveMember(member) => {
                self.members.remove(&member);
                Outcome::Done
            }
            Command::ApplyDeployment {
                document,
                deployment,
                allowance,
            } => self.apply_deployment(document, deployment, allowance),
            Command::ChangeEndpoints(changes) => self.change_endpoints(changes),
        }
    }

    /// Answers a watch call for a caller that holds `known_revision`.
    pub fn watch_reply(&self, known_revision: u64) -> WatchReply {
        let revision = self.view.revision;
        let first_kept = self
            .changes
            .front()
            .map_or(revision + 1, |(first, _)| *first);
        let is_covered =
            known_revision > 0 && known_revision <= revision && known_revision + 1 >= first_kept;
        let update = if is_covered {
            let missing = (revision - known_revision) as usize;
            let skipped = self.changes.len() - missing;
            let delta = self.changes.iter().skip(skipped);
            FleetUpdate::Delta(delta.map(|(_, change)| change.clone()).collect())
        } else {
            FleetUpdate::Snapshot(Box::new(self.view.clone()))
        };
        WatchReply { revision, update }
    }

    fn change_view(&mut self, change: FleetChange) {
        self.view.apply(&change);
        self.view.revision += 1;
        self.changes.push_back((self.view.revision, change));
        if self.changes.len() > KEPT_FLEET_CHANGES {
            self.changes.pop_front();
        }
    }
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new()
    }
}
