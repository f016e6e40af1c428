//! RPC services for entry and agent processes and for the other members, on one port.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use slog::{debug, info, warn};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;
use wasabipoint_kernel::{ErrorKind, MemberId, ModelName};
use wasabipoint_rpc::{
    AdapterReply, AdapterRequest, AgentDirective, AgentReport, ClaimOutcome, ClaimRequest,
    ColdEstimate, ControlRefusal, ControlRpc, EntryDirective, EntryReport, FleetUpdate, JoinReply,
    JoinRequest, MAX_RPC_FRAME_BYTES, MAX_STREAMS_PER_CALL, PeerBatch, PeerRpc, QuotaExchange,
    QuotaGrants, QuotaReply, QuotaRequest, StreamOrigin, StreamQuery, StreamRecord, WatchReply,
    WatchRequest,
};

use crate::context::ControlContext;
use crate::directory::mark_endpoints_leaving;
use crate::peer::PEER_PREAMBLE;
use crate::placement::estimate_cold_start_ms;
use crate::state::{Command, CommandOutcome, ControlState, GrantPhase};
use crate::stream::CountingStream;

/// Limit on open connections. The design size has 350 entries and 600 agents.
const MAX_CONNECTIONS: usize = 4_096;

/// Time limit for the first byte of a new connection.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper limit on the wait time that a long poll may request.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Report interval of entries and of agents without pending changes.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Report interval of an agent with a load or unload in progress.
const BUSY_REPORT_INTERVAL_MS: u64 = 200;

/// Longest accepted idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Longest accepted name of an entry or endpoint, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Accepts and serves connections until the task is aborted.
pub(crate) async fn serve_rpc(
    control: Arc<ControlContext>,
    cluster: Arc<str>,
    listener: TcpListener,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // Dropping the set when the task is aborted closes all connections.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(control.logger, "control: cannot accept a connection"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            warn!(
                control.logger,
                "control: connection refused, the connection limit is reached"
            );
            continue;
        };
        let control = Arc::clone(&control);
        let cluster = Arc::clone(&cluster);
        connections.spawn(async move {
            let _permit = permit;
            serve_connection(control, cluster, stream).await;
        });
    }
}

async fn serve_connection(control: Arc<ControlContext>, cluster: Arc<str>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut first = [0_u8];
    let peeked = tokio::time::timeout(FIRST_BYTE_TIMEOUT, stream.peek(&mut first));
    if !matches!(peeked.await, Ok(Ok(1))) {
        return;
    }
    let is_peer = first[0] == PEER_PREAMBLE;
    if is_peer && stream.read_u8().await.is_err() {
        return;
    }
    let counted = CountingStream::new(stream, control.metrics.byte_counters());
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_RPC_FRAME_BYTES)
        .new_framed(counted);
    // The requests run in a set of tasks owned by the connection, so that closing it aborts them.
    let mut requests = tokio::task::JoinSet::new();
    macro_rules! serve_requests {
        ($server:expr) => {{
            let transport = tarpc::serde_transport::new(framed, Bincode::default());
            let mut incoming =
                std::pin::pin!(BaseChannel::with_defaults(transport).execute($server.serve()));
            loop {
                tokio::select! {
                    request = incoming.next() => match request {
                        Some(request) => drop(requests.spawn(request)),
                        None => break,
                    },
                    Some(_) = requests.join_next() => {}
                }
            }
        }};
    }
    if is_peer {
        serve_requests!(PeerService { control, cluster });
    } else {
        serve_requests!(ControlService { control });
    }
}

#[derive(Clone)]
struct PeerService {
    control: Arc<ControlContext>,
    cluster: Arc<str>,
}

impl PeerRpc for PeerService {
    async fn deliver(self, _: Context, batch: PeerBatch) {
        if *batch.cluster != *self.cluster || batch.to != self.control.member.id() {
            debug!(self.control.logger, "control: dropped messages for another cluster or member";
                "from" => batch.from.0, "to" => batch.to.0);
            return;
        }
        self.control.metrics.count_call("deliver");
        self.control
            .member
            .learn_address(batch.from, batch.from_rpc_address);
        for message in batch.messages {
            self.control.member.replica().deliver(batch.from, message);
        }
    }
}

#[derive(Clone)]
struct ControlService {
    control: Arc<ControlContext>,
}

impl ControlService {
    /// Returns the current term, or a refusal that names the leader if this member does not lead.
    fn require_leading_term(&self) -> Result<u64, ControlRefusal> {
        let member = &self.control.member;
        member.leading_term().ok_or_else(|| {
            let leader = member.replica().status().leader;
            let leader = leader.filter(|leader| *leader != member.id());
            ControlRefusal::NotLeader {
                leader: leader.and_then(|leader| member.rpc_address(leader)),
            }
        })
    }

    async fn confirm_current(&self) -> Result<(), ControlRefusal> {
        let confirmed = self.control.member.confirm_current().await;
        confirmed.map_err(|error| self.control.member.refusal_for(error))
    }

    async fn propose(&self, command: Command) -> Result<CommandOutcome, ControlRefusal> {
        let proposed = self.control.member.propose(command).await;
        match proposed.map_err(|error| self.control.member.refusal_for(error))? {
            CommandOutcome::Refused { kind, detail } => {
                Err(ControlRefusal::Refused { kind, detail })
            }
            outcome => Ok(outcome),
        }
    }

    async fn process_quota(&self, request: QuotaRequest) -> Result<QuotaReply, ControlRefusal> {
        let term = self.require_leading_term()?;
        validate_name(request.exchange.entry.as_str())?;
        self.control.exchange_quota(term, request).await
    }

    /// Commits a report and records the completed and failed loads.
    async fn commit_report(&self, term: u64, report: &AgentReport) -> Result<(), ControlRefusal> {
        let command = Command::RecordReport(Box::new(report.clone()));
        let CommandOutcome::Reported { loaded, released } = self.propose(command).await? else {
            return Ok(());
        };
        let control = &self.control;
        control.with_leader_state(term, |leader_state| {
            for (token, model, elapsed_ms) in loaded {
                info!(control.logger, "placement: loaded"; "model" => %model,
                    "endpoint" => %report.endpoint, "elapsed_ms" => elapsed_ms);
                control.metrics.record_load(elapsed_ms);
                let memory_mib = model_memory_mib(control, &model);
                if let Some(tier) = leader_state.load_tiers.remove(&token) {
                    leader_state
                        .load_times
                        .observe(tier, memory_mib, elapsed_ms);
                }
            }
            for (token, model, is_failed) in released {
                info!(control.logger, "placement: released"; "model" => %model,
                    "endpoint" => %report.endpoint, "has_failed" => is_failed);
                leader_state.load_tiers.remove(&token);
                if is_failed {
                    control.metrics.count_failed_load();
                    leader_state.record_failed_load(&model, &report.endpoint);
                }
            }
        });
        control.wake_placement.notify_one();
        Ok(())
    }
}

fn model_memory_mib(control: &ControlContext, model: &ModelName) -> u64 {
    control.member.read(|state| {
        let model = state.view.inventory.models.get(model);
        model.map_or(0, |model| model.memory_mib)
    })
}

fn malformed_request(detail: &str) -> ControlRefusal {
    ControlRefusal::Refused {
        kind: ErrorKind::MalformedRequest,
        detail: detail.to_owned(),
    }
}

fn validate_name(name: &str) -> Result<(), ControlRefusal> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        Ok(())
    } else {
        Err(malformed_request("a name has 1 to 256 bytes"))
    }
}

fn has_active_grant(state: &ControlState, model: &ModelName) -> bool {
    state
        .fleet
        .grants
        .values()
        .any(|grant| grant.model == *model && grant.phase != GrantPhase::Revoked)
}

fn build_directive(state: &ControlState, report: &AgentReport) -> AgentDirective {
    let grants = state.fleet.directive_grants(&report.endpoint);
    let is_busy = state
        .fleet
        .grants_of(&report.endpoint)
        .any(|(_, grant)| grant.phase != GrantPhase::Loaded);
    let adapters = state
        .view
        .inventory
        .adapters
        .values()
        .filter(|adapter| grants.iter().any(|grant| grant.model == adapter.model))
        .map(|adapter| {
            let (name, model) = (adapter.name.clone(), adapter.model.clone());
            (name, model, adapter.memory_mib)
        })
        .collect();
    // Only endpoints with grants load adapters, so the fleet-wide limit is divided among them.
    let mut granted_endpoints: Vec<_> = state
        .fleet
        .grants
        .values()
        .map(|grant| &grant.endpoint)
        .collect();
    granted_endpoints.sort_unstable();
    granted_endpoints.dedup();
    let in_transit =
        state.view.rules.store.adapters_in_transit / granted_endpoints.len().max(1) as u32;
    AgentDirective {
        grants,
        adapters_in_transit: in_transit.max(1),
        adapters,
        next_report_ms: if is_busy {
            BUSY_REPORT_INTERVAL_MS
        } else {
            REPORT_INTERVAL_MS
        },
    }
}

impl ControlRpc for ControlService {
    async fn watch(self, _: Context, request: WatchRequest) -> Result<WatchReply, ControlRefusal> {
        self.control.metrics.count_call("watch");
        let wait = Duration::from_millis(request.wait_ms.min(MAX_WATCH_WAIT_MS));
        let deadline = Instant::now() + wait;
        let member = &self.control.member;
        let mut revision = member.subscribe_revision();
        let mut leading_term = member.subscribe_leading_term();
        self.confirm_current().await?;
        loop {
            revision.mark_unchanged();
            let changed = member.read(|state| {
                let is_changed = state.view.revision != request.known_revision;
                is_changed.then(|| state.watch_reply(request.known_revision))
            });
            if let Some(reply) = changed {
                return Ok(reply);
            }
            tokio::select! {
                _ = revision.changed() => {}
                ended = leading_term.wait_for(Option::is_none) => {
                    ended.map_err(|_| ControlRefusal::Unavailable)?;
                    self.require_leading_term()?;
                }
                () = tokio::time::sleep_until(deadline) => {
                    return Ok(WatchReply {
                        revision: request.known_revision,
                        update: FleetUpdate::Delta(Vec::new()),
                    });
                }
            }
        }
    }

    async fn report_entry(
        self,
        _: Context,
        report: EntryReport,
    ) -> Result<EntryDirective, ControlRefusal> {
        self.control.metrics.count_call("report_entry");
        let term = self.require_leading_term()?;
        validate_name(report.entry.as_str())?;
        let control = &self.control;
        let log_time = control.member.log_time_ms().await;
        let now_ms = log_time.map_err(|error| control.member.refusal_for(error))?;
        let entry = report.entry.clone();
        let draining = report.draining_endpoints.clone();
        let prompts = control.record_prompt_report(term, &report);
        let limits = control.record_limit_report(term, &report);
        let speeds = control.record_speed_report(term, &report);
        let reported_models: Vec<_> = report
            .demand
            .iter()
            .map(|model_demand| model_demand.model.clone())
            .collect();
        let (cold_estimates, has_ungranted_model) =
            control.with_leader_state(term, |leader_state| {
                let queued_models = leader_state.record_entry_report(report);
                control.member.read(|state| {
                    let estimates: Vec<_> = reported_models
                        .iter()
                        .filter_map(|model| {
                            let ready_in_ms =
                                estimate_cold_start_ms(state, leader_state, model, now_ms)?;
                            let model = model.clone();
                            Some(ColdEstimate { model, ready_in_ms })
                        })
                        .collect();
                    let mut queued_models = queued_models.iter();
                    let has_ungranted_model =
                        queued_models.any(|model| !has_active_grant(state, model));
                    (estimates, has_ungranted_model)
                })
            });
        let mut cold_estimates = cold_estimates;
        if control.commander.is_some() {
            cold_estimates = control.estimate_loads(term, &reported_models);
        }
        if has_ungranted_model {
            control.wake_placement.notify_one();
            control.wake_engine_planner.notify_one();
        }
        mark_endpoints_leaving(control, &entry, &draining).await;
        for (endpoint, incarnation) in draining {
            let is_newly_draining = control.member.read(|state| {
                let registration = state.fleet.endpoints.get(&endpoint);
                registration.is_some_and(|registration| {
                    registration.incarnation == incarnation && !registration.is_leaving
                })
            });
            if is_newly_draining {
                let command = Command::MarkLeaving(endpoint, incarnation);
                self.propose(command).await?;
            }
        }
        Ok(EntryDirective {
            cold_estimates,
            next_report_ms: REPORT_INTERVAL_MS,
            prompts,
            limits,
            entry_processes: control
                .with_leader_state(term, |leader_state| leader_state.reporting_entries()),
            speeds,
        })
    }

    async fn exchange_quota(
        self,
        _: Context,
        exchange: QuotaExchange,
    ) -> Result<QuotaGrants, ControlRefusal> {
        self.control.metrics.count_call("exchange_quota");
        let request = QuotaRequest {
            exchange,
            demand: Vec::new(),
        };
        self.process_quota(request).await.map(|reply| reply.grants)
    }

    async fn request_quota(
        self,
        _: Context,
        request: QuotaRequest,
    ) -> Result<QuotaReply, ControlRefusal> {
        self.control.metrics.count_call("request_quota");
        self.process_quota(request).await
    }

    async fn claim(
        self,
        _: Context,
        request: ClaimRequest,
    ) -> Result<ClaimOutcome, ControlRefusal> {
        self.control.metrics.count_call("claim");
        self.require_leading_term()?;
        if !(1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&request.idempotency_key.len()) {
            return Err(malformed_request("an idempotency key has 1 to 256 bytes"));
        }
        match self.propose(Command::Claim(request)).await? {
            CommandOutcome::Claim(outcome) => Ok(outcome),
            _ => Err(ControlRefusal::Unavailable),
        }
    }

    async fn report_agent(
        self,
        _: Context,
        report: AgentReport,
    ) -> Result<AgentDirective, ControlRefusal> {
        self.control.metrics.count_call("report_agent");
        let term = self.require_leading_term()?;
        validate_name(report.endpoint.as_str())?;
        let control = &self.control;
        self.confirm_current().await?;
        let mut is_first_check = true;
        loop {
            // The check and the directive read the same state, so that the committed sequence
            // number covers every grant in the directive.
            let answer = control.member.read(|state| {
                if let Err(reason) = state.fleet.check_report(&report) {
                    return Some(Err(ControlRefusal::Refused {
                        kind: ErrorKind::FencingStale,
                        detail: reason.to_owned(),
                    }));
                }
                if state.fleet.needs_commit(&report) {
                    return None;
                }
                Some(Ok(build_directive(state, &report)))
            });
            if is_first_check && !matches!(answer, Some(Err(_))) {
                control.with_leader_state(term, |leader_state| {
                    leader_state.record_agent_report(&report);
                });
                is_first_check = false;
            }
            match answer {
                Some(answer) => return answer,
                None => self.commit_report(term, &report).await?,
            }
        }
    }

    async fn leave(self, _: Context, member: MemberId) -> Result<(), ControlRefusal> {
        self.control.metrics.count_call("leave");
        self.control.remove_stopping_member(member).await
    }

    async fn join(self, _: Context, request: JoinRequest) -> Result<JoinReply, ControlRefusal> {
        self.control.metrics.count_call("join");
        self.control.report_lost_disk(&request);
        self.require_leading_term()?;
        self.control.admit_learner(&request).await
    }

    async fn load_adapter(
        self,
        _: Context,
        request: AdapterRequest,
    ) -> Result<AdapterReply, ControlRefusal> {
        self.control.metrics.count_call("load_adapter");
        let term = self.require_leading_term()?;
        self.control.load_adapter(term, &request).await
    }

    async fn record_streams(
        self,
        _: Context,
        streams: Vec<StreamRecord>,
    ) -> Result<(), ControlRefusal> {
        self.control.metrics.count_call("record_streams");
        self.require_leading_term()?;
        if streams.len() > MAX_STREAMS_PER_CALL {
            return Err(malformed_request("a call records at most 1000 streams"));
        }
        for stream in &streams {
            validate_name(stream.service.as_str())?;
            if stream.software_version.as_str().len() > MAX_NAME_BYTES {
                return Err(malformed_request(
                    "a software version has at most 256 bytes",
                ));
            }
        }
        self.propose(Command::RecordStreams(streams)).await?;
        Ok(())
    }

    async fn find_stream(
        self,
        _: Context,
        query: StreamQuery,
    ) -> Result<StreamOrigin, ControlRefusal> {
        self.control.metrics.count_call("find_stream");
        self.confirm_current().await?;
        Ok(self.control.member.read(|state| state.find_stream(&query)))
    }
}
