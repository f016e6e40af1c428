//! Quarantine of requests and prompt parts that crash endpoints, decided by the leader from the reports
//! of all entry processes.

mod tracker;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::net::TcpStream;
use wasabipoint_kernel::{EndpointId, Incarnation, PromptPartId};
use wasabipoint_policy::{PromptVerdict, QuarantineStep, next_quarantine_step};
use wasabipoint_rpc::{
    EndpointKind, EndpointView, EntryReport, ProbeGrant, PromptDirective, PromptReport,
    QuarantineCause, QuarantinedPart,
};

use crate::context::ControlContext;
use crate::engines::EngineCommander;
use crate::state::{Command, CommandOutcome};

pub(crate) use tracker::PromptTracker;

/// Interval between rounds without new evidence.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Delay from a notification to the round that it triggers, which bounds the rate of rounds: every
/// report of an entry process may bring evidence.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a plain endpoint counts as unreachable. Endpoints are about a millisecond away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Confirms crashes, quarantines parts and schedules their probes while this member leads.
pub(crate) async fn run_quarantine(
    control: Arc<ControlContext>,
    commander: Arc<dyn EngineCommander>,
) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
            () = control.wake_quarantine.notified() => tokio::time::sleep(MIN_ROUND_INTERVAL).await,
        }
        let Some(term) = control.member.leading_term() else {
            continue;
        };
        confirm_crashes(&control, &commander, term);
        quarantine_blamed_parts(&control, term).await;
        advance_quarantines(&control, term).await;
    }
}

impl ControlContext {
    /// Records what an entry process observed of prompt parts, and returns the reply.
    pub(crate) fn record_prompt_report(&self, term: u64, report: &EntryReport) -> PromptDirective {
        let directive = self.with_leader_state(term, |leader| {
            self.member.read(|state| {
                let endpoints = &state.view.endpoints;
                let is_leaving = |endpoint: &EndpointId| {
                    endpoints.get(endpoint).is_some_and(|view| view.is_leaving)
                };
                let (entry, incarnation) = (&report.entry, report.incarnation);
                leader
                    .prompts
                    .record_report(entry, incarnation, &report.prompts, is_leaving)
            })
        });
        if report.prompts != PromptReport::default() {
            self.wake_quarantine.notify_one();
        }
        directive
    }
}

/// Confirms the crashes that the endpoint directory or entry processes show, and queries the other
/// engines. A report of one entry process may only mean that its connections broke.
fn confirm_crashes(control: &Arc<ControlContext>, commander: &Arc<dyn EngineCommander>, term: u64) {
    let unconfirmed =
        control.with_leader_state(term, |leader| leader.prompts.unconfirmed_crashes());
    for (endpoint, incarnation, is_query_due) in unconfirmed {
        let view = control
            .member
            .read(|state| state.view.endpoints.get(&endpoint).cloned());
        let Some(view) = view.filter(|view| view.incarnation == incarnation) else {
            confirm_crash(control, term, &endpoint, incarnation, "not listed");
            continue;
        };
        let is_unreachable = control.with_leader_state(term, |leader| {
            let unreachable = leader.unreachable_endpoints();
            unreachable.contains_key(&(endpoint.clone(), incarnation))
        });
        if is_unreachable {
            confirm_crash(control, term, &endpoint, incarnation, "unreachable");
            continue;
        }
        if is_query_due {
            tokio::spawn(query_engine(
                Arc::clone(control),
                Arc::clone(commander),
                term,
                view,
            ));
        }
    }
}

async fn query_engine(
    control: Arc<ControlContext>,
    commander: Arc<dyn EngineCommander>,
    term: u64,
    endpoint: EndpointView,
) {
    let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
    let queried = match endpoint.kind {
        EndpointKind::Engine => commander.state(&endpoint).await.map(drop),
        EndpointKind::Service => connect(endpoint.address).await,
    };
    match queried {
        Ok(()) => {
            info!(control.logger, "quarantine: an engine with broken requests responds";
                "endpoint" => %id, "incarnation" => incarnation.0, "term" => term);
        }
        Err(detail) => confirm_crash(&control, term, id, incarnation, &detail),
    }
}

/// Connects to a plain endpoint, which reports no state.
async fn connect(address: SocketAddr) -> Result<(), String> {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("connection timed out".to_owned()),
    }
}

fn confirm_crash(
    control: &ControlContext,
    term: u64,
    endpoint: &EndpointId,
    incarnation: Incarnation,
    detail: &str,
) {
    let (prompts, entries) = control.with_leader_state(term, |leader| {
        leader.prompts.confirm_crash(endpoint, incarnation)
    });
    info!(control.logger, "quarantine: an engine crashed"; "endpoint" => %endpoint,
        "incarnation" => incarnation.0, "detail" => detail, "prompts" => prompts,
        "entries" => entries, "term" => term);
    control.wake_quarantine.notify_one();
}

/// Quarantines the parts that the evidence suffices for.
async fn quarantine_blamed_parts(control: &ControlContext, term: u64) {
    let quarantined = quarantined_parts(control);
    let known: BTreeSet<PromptPartId> = quarantined.keys().copied().collect();
    let verdicts = control.with_leader_state(term, |leader| leader.prompts.verdicts(&known));
    for verdict in verdicts {
        let Ok(since_ms) = control.member.log_time_ms().await else {
            return;
        };
        let PromptVerdict {
            part,
            crashes,
            requests,
            entries,
        } = verdict;
        let cause = QuarantineCause::Crashes {
            crashes,
            requests,
            entries,
        };
        let record = QuarantinedPart::new(part, cause, since_ms);
        if put_quarantine(control, record).await {
            warn!(control.logger, "quarantine: prompt part quarantined"; "part" => %part,
                "crashes" => crashes, "requests" => requests, "entries" => entries,
                "term" => term);
        }
    }
}

/// Takes the next step of each quarantined part.
async fn advance_quarantines(control: &ControlContext, term: u64) {
    let quarantined = quarantined_parts(control);
    if quarantined.is_empty() {
        return;
    }
    let Ok(now_ms) = control.member.log_time_ms().await else {
        return;
    };
    for record in quarantined.into_values() {
        let (view, last_entry) = control.with_leader_state(term, |leader| {
            let view = leader.prompts.quarantine_view(&record, now_ms);
            (view, leader.prompts.last_refusing_entry(record.part))
        });
        let part = record.part;
        match (next_quarantine_step(&view), last_entry) {
            (QuarantineStep::Keep, _) | (QuarantineStep::GrantProbe, None) => {}
            (QuarantineStep::GrantProbe, Some(entry)) => {
                let number = record.probes + 1;
                control.with_leader_state(term, |leader| leader.prompts.begin_probe(part, number));
                info!(control.logger, "quarantine: probe granted"; "part" => %part,
                    "entry" => %entry, "number" => number, "term" => term);
                let probe = Some(ProbeGrant { entry, number });
                put_quarantine(
                    control,
                    QuarantinedPart {
                        probes: number,
                        probe,
                        ..record
                    },
                )
                .await;
            }
            (QuarantineStep::EndProbe, _) => {
                info!(control.logger, "quarantine: probe ended without a result";
                    "part" => %part, "number" => record.probes, "term" => term);
                put_quarantine(
                    control,
                    QuarantinedPart {
                        probe: None,
                        ..record
                    },
                )
                .await;
            }
            (QuarantineStep::FailProbe, _) => {
                let failed_probes = record.failed_probes + 1;
                warn!(control.logger, "quarantine: probe crashed an engine"; "part" => %part,
                    "failed_probes" => failed_probes, "term" => term);
                let record = QuarantinedPart {
                    failed_probes,
                    unprobed_since_ms: now_ms,
                    probe: None,
                    ..record
                };
                put_quarantine(control, record).await;
            }
            (step @ (QuarantineStep::LiftAnswered | QuarantineStep::LiftLapsed), _) => {
                warn!(control.logger, "quarantine: prompt part released"; "part" => %part,
                    "cause" => ?step, "probes" => record.probes, "term" => term);
                lift_quarantine(control, term, part).await;
            }
        }
    }
}

fn quarantined_parts(control: &ControlContext) -> BTreeMap<PromptPartId, QuarantinedPart> {
    control.member.read(|state| state.view.quarantine.clone())
}

/// Commits a record and returns whether it was accepted. A change that could not be committed is
/// found again in the next round.
async fn put_quarantine(control: &ControlContext, record: QuarantinedPart) -> bool {
    let part = record.part;
    let command = Command::PutQuarantine(Box::new(record));
    match control.member.propose(command).await {
        Ok(CommandOutcome::Refused { detail, .. }) => {
            warn!(control.logger, "quarantine: change refused"; "part" => %part,
                "detail" => detail);
            false
        }
        Ok(_) => true,
        Err(error) => {
            warn!(control.logger, "quarantine: change not committed"; "part" => %part,
                "error" => %error);
            false
        }
    }
}

async fn lift_quarantine(control: &ControlContext, term: u64, part: PromptPartId) {
    match control.member.propose(Command::LiftQuarantine(part)).await {
        Ok(_) => control.with_leader_state(term, |leader| leader.prompts.acquit(part)),
        Err(error) => {
            warn!(control.logger, "quarantine: change not committed"; "part" => %part,
                "error" => %error);
        }
    }
}
