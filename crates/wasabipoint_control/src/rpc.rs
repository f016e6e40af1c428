//! The rpc services: one port for entry and agent processes and for the other members.

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
    JoinRequest, MAX_RPC_FRAME_BYTES, PeerBatch, PeerRpc, QuotaExchange, QuotaGrants, WatchReply,
    WatchRequest,
};

use crate::control::Control;
use crate::peer::PEER_PREAMBLE;
use crate::placement::estimate_cold_start_ms;
use crate::state::{Command, ControlState, GrantPhase, Outcome};
use crate::stream::CountedStream;

/// Connections served at once; the design size has 350 entries and 600 agents.
const MAX_CONNECTIONS: usize = 4_096;

/// Time in which a new connection must send its first byte.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait of a long poll.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Regular time between reports.
const REPORT_MS: u64 = 1_000;

/// Time between reports of an agent with a load or unload under way.
const BUSY_REPORT_MS: u64 = 200;

/// Longest accepted idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Most bytes of an entry's or agent's name.
const MAX_NAME_BYTES: usize = 256;

/// Serves connections until the task is aborted.
pub(crate) async fn serve_rpc(control: Arc<Control>, cluster: Arc<str>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
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
                warn!(control.logger, "control: a connection was not accepted"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            warn!(
                control.logger,
                "control: a connection was refused, too many are open"
            );
            continue;
        };
        let control = Arc::clone(&control);
        let cluster = Arc::clone(&cluster);
        connections.spawn(async move {
            let _slot = slot;
            serve_connection(control, cluster, stream).await;
        });
    }
}

async fn serve_connection(control: Arc<Control>, cluster: Arc<str>, mut stream: TcpStream) {
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
    let counted = CountedStream::new(stream, control.metrics.byte_counters());
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_RPC_FRAME_BYTES)
        .new_framed(counted);
    // Requests of a connection run in tasks of its own set, which ends with the connection.
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
        serve_requests!(PeerServer { control, cluster });
    } else {
        serve_requests!(ControlService { control });
    }
}

#[derive(Clone)]
struct PeerServer {
    control: Arc<Control>,
    cluster: Arc<str>,
}

impl PeerRpc for PeerServer {
    async fn deliver(self, _: Context, batch: PeerBatch) {
        if *batch.cluster != *self.cluster || batch.to != self.control.member.id() {
            debug!(self.control.logger, "control: a message of another cluster was dropped";
                "from" => batch.from.0, "to" => batch.to.0);
            return;
        }
        self.control.metrics.count_call("deliver");
        self.control
            .member
            .learn_address(batch.from, batch.from_rpc);
        for message in batch.messages {
            self.control.member.replica().deliver(batch.from, message);
        }
    }
}

#[derive(Clone)]
struct ControlService {
    control: Arc<Control>,
}

impl ControlService {
    fn leading_term(&self) -> Result<u64, ControlRefusal> {
        let member = &self.control.member;
        member.leading_term().ok_or_else(|| {
            let leader = member.replica().status().leader;
            let leader = leader.filter(|leader| *leader != member.id());
            ControlRefusal::NotLeader {
                leader: leader.and_then(|leader| member.rpc_address(leader)),
            }
        })
    }

    async fn confirm(&self) -> Result<(), ControlRefusal> {
        let confirmed = self.control.member.confirm().await;
        confirmed.map_err(|error| self.control.member.refusal(error))
    }

    async fn propose(&self, command: Command) -> Result<Outcome, ControlRefusal> {
        let proposed = self.control.member.propose(command).await;
        match proposed.map_err(|error| self.control.member.refusal(error))? {
            Outcome::Refused { kind, detail } => Err(ControlRefusal::Refused { kind, detail }),
            outcome => Ok(outcome),
        }
    }

    /// Commits a report and records what it tells about loads.
    async fn commit_report(&self, term: u64, report: &AgentReport) -> Result<(), ControlRefusal> {
        let command = Command::RecordReport(Box::new(report.clone()));
        let Outcome::Reported { loaded, released } = self.propose(command).await? else {
            return Ok(());
        };
        let control = &self.control;
        control.with_leader_state(term, |leader_state| {
            for (token, model, elapsed_ms) in loaded {
                info!(control.logger, "placement: loaded"; "model" => %model,
                    "endpoint" => %report.endpoint, "elapsed_ms" => elapsed_ms);
                control.metrics.record_load(elapsed_ms);
                let memory_mib = memory_of(control, &model);
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

fn memory_of(control: &Control, model: &ModelName) -> u64 {
    control.member.read(|state| {
        let model = state.view.inventory.models.get(model);
        model.map_or(0, |model| model.memory_mib)
    })
}

fn malformed(detail: &str) -> ControlRefusal {
    ControlRefusal::Refused {
        kind: ErrorKind::MalformedRequest,
        detail: detail.to_owned(),
    }
}

fn check_name(name: &str) -> Result<(), ControlRefusal> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        Ok(())
    } else {
        Err(malformed("a name has 1 to 256 bytes"))
    }
}

fn has_serving_or_loading(state: &ControlState, model: &ModelName) -> bool {
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
    // Only endpoints that hold models load adapters, so the fleet's number is divided among them.
    let mut holders: Vec<_> = state
        .fleet
        .grants
        .values()
        .map(|grant| &grant.endpoint)
        .collect();
    holders.sort_unstable();
    holders.dedup();
    let in_transit = state.view.rules.store.adapters_in_transit / holders.len().max(1) as u32;
    AgentDirective {
        grants,
        adapters_in_transit: in_transit.max(1),
        adapters,
        next_report_ms: if is_busy { BUSY_REPORT_MS } else { REPORT_MS },
    }
}

impl ControlRpc for ControlService {
    async fn watch(self, _: Context, request: WatchRequest) -> Result<WatchReply, ControlRefusal> {
        self.control.metrics.count_call("watch");
        let wait = Duration::from_millis(request.wait_ms.min(MAX_WATCH_WAIT_MS));
        let deadline = Instant::now() + wait;
        let member = &self.control.member;
        let mut revision = member.watch_revision();
        let mut leading_term = member.watch_leading_term();
        self.confirm().await?;
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
                    self.leading_term()?;
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
        let term = self.leading_term()?;
        check_name(report.entry.as_str())?;
        let control = &self.control;
        let log_time = control.member.log_time_ms().await;
        let now_ms = log_time.map_err(|error| control.member.refusal(error))?;
        let draining = report.draining_endpoints.clone();
        let reported: Vec<_> = report.demand.iter().map(|one| one.model.clone()).collect();
        let (cold_estimates, is_urgent) = control.with_leader_state(term, |leader_state| {
            let waiting = leader_state.record_entry_report(report);
            control.member.read(|state| {
                let estimates: Vec<_> = reported
                    .iter()
                    .filter_map(|model| {
                        let ready_in_ms =
                            estimate_cold_start_ms(state, leader_state, model, now_ms)?;
                        let model = model.clone();
                        Some(ColdEstimate { model, ready_in_ms })
                    })
                    .collect();
                let mut waiting = waiting.iter();
                let is_urgent = waiting.any(|model| !has_serving_or_loading(state, model));
                (estimates, is_urgent)
            })
        });
        let mut cold_estimates = cold_estimates;
        if control.commander.is_some() {
            cold_estimates = control.estimate_loads(term, &reported);
        }
        if is_urgent {
            control.wake_placement.notify_one();
            control.wake_engines.notify_one();
        }
        for (endpoint, incarnation) in draining {
            let is_new = control.member.read(|state| {
                let known = state.fleet.endpoints.get(&endpoint);
                known.is_some_and(|known| known.incarnation == incarnation && !known.is_leaving)
            });
            if is_new {
                let command = Command::MarkLeaving(endpoint, incarnation);
                self.propose(command).await?;
            }
        }
        Ok(EntryDirective {
            cold_estimates,
            next_report_ms: REPORT_MS,
        })
    }

    async fn exchange_quota(
        self,
        _: Context,
        exchange: QuotaExchange,
    ) -> Result<QuotaGrants, ControlRefusal> {
        self.control.metrics.count_call("exchange_quota");
        self.leading_term()?;
        check_name(exchange.entry.as_str())?;
        let command = Command::ExchangeQuota {
            exchange,
            lifetime_ms: self.control.slice_lifetime_ms,
        };
        match self.propose(command).await? {
            Outcome::Quota(grants) => Ok(grants),
            _ => Err(ControlRefusal::Unavailable),
        }
    }

    async fn claim(
        self,
        _: Context,
        request: ClaimRequest,
    ) -> Result<ClaimOutcome, ControlRefusal> {
        self.control.metrics.count_call("claim");
        self.leading_term()?;
        if !(1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&request.idempotency_key.len()) {
            return Err(malformed("an idempotency key has 1 to 256 bytes"));
        }
        match self.propose(Command::Claim(request)).await? {
            Outcome::Claim(outcome) => Ok(outcome),
            _ => Err(ControlRefusal::Unavailable),
        }
    }

    async fn report_agent(
        self,
        _: Context,
        report: AgentReport,
    ) -> Result<AgentDirective, ControlRefusal> {
        self.control.metrics.count_call("report_agent");
        let term = self.leading_term()?;
        check_name(report.endpoint.as_str())?;
        let control = &self.control;
        self.confirm().await?;
        let mut is_first_look = true;
        loop {
            // The check and the directive see the same state, so every grant in the directive is
            // one that the committed sequence number covers.
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
            if is_first_look && !matches!(answer, Some(Err(_))) {
                control.with_leader_state(term, |leader_state| {
                    leader_state.record_agent_report(&report);
                });
                is_first_look = false;
            }
            match answer {
                Some(answer) => return answer,
                None => self.commit_report(term, &report).await?,
            }
        }
    }

    async fn leave(self, _: Context, member: MemberId) -> Result<(), ControlRefusal> {
        self.control.metrics.count_call("leave");
        self.control.release_member(member).await
    }

    async fn join(self, _: Context, request: JoinRequest) -> Result<JoinReply, ControlRefusal> {
        self.control.metrics.count_call("join");
        self.control.note_lost_disk(&request);
        self.leading_term()?;
        self.control.accept_join(&request).await
    }

    async fn load_adapter(
        self,
        _: Context,
        request: AdapterRequest,
    ) -> Result<AdapterReply, ControlRefusal> {
        self.control.metrics.count_call("load_adapter");
        let term = self.leading_term()?;
        self.control.load_adapter(term, &request).await
    }
}
