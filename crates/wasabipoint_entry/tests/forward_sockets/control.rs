//! Control as an entry process sees it: a fleet view that does not change, and answers that tests choose.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::BoxFuture;
use wasabipoint_entry::ControlLink;
use wasabipoint_kernel::{EndpointId, SoftwareVersion};
use wasabipoint_rpc::{
    ClaimOutcome, ClaimRequest, ControlError, EntryDirective, EntryReport, FleetUpdate, FleetView,
    PromptDirective, QuotaExchange, QuotaGrants, QuotaReply, QuotaRequest, QuotaSlice, SpeedReport,
    StreamOrigin, StreamQuery, StreamRecord, WatchReply, WatchRequest,
};

use super::scarce_quota::ScarceQuota;

/// Control stub that serves a fixed fleet view, or none.
#[derive(Default)]
pub(crate) struct StaticControl {
    pub(crate) fleet_view: Option<FleetView>,
    pub(crate) quota: Option<Arc<GenerousQuota>>,
    pub(crate) leader: Option<Arc<PromptLeader>>,
    pub(crate) scarce: Option<Arc<ScarceQuota>>,
    pub(crate) origins: Arc<StreamOrigins>,
}

/// Where streams began, as control knows it.
#[derive(Default)]
pub(crate) struct StreamOrigins {
    pub(crate) records: Mutex<BTreeMap<u64, StreamRecord>>,
    /// Streams without a record began at this version; without one, nothing tells.
    pub(crate) base: Mutex<Option<SoftwareVersion>>,
    pub(crate) is_unavailable: AtomicBool,
    /// Digests that were asked for.
    pub(crate) queried_digests: Mutex<Vec<Option<u64>>>,
}

impl StreamOrigins {
    pub(crate) fn with_base(version: &str) -> Arc<Self> {
        let origins = Self::default();
        *origins.base.lock().unwrap() = Some(SoftwareVersion::new(version));
        Arc::new(origins)
    }

    fn check_available(&self) -> Result<(), ControlError> {
        if self.is_unavailable.load(Ordering::Relaxed) {
            return Err(ControlError::Unavailable);
        }
        Ok(())
    }

    fn record(&self, streams: Vec<StreamRecord>) -> Result<(), ControlError> {
        self.check_available()?;
        let streams = streams.into_iter().map(|stream| (stream.digest, stream));
        self.records.lock().unwrap().extend(streams);
        Ok(())
    }

    fn find(&self, query: &StreamQuery) -> Result<StreamOrigin, ControlError> {
        self.check_available()?;
        self.queried_digests.lock().unwrap().push(query.digest);
        let records = self.records.lock().unwrap();
        if let Some(stream) = query.digest.and_then(|digest| records.get(&digest)) {
            return Ok(StreamOrigin::Recorded {
                service: stream.service.clone(),
                software_version: stream.software_version.clone(),
            });
        }
        let base = self.base.lock().unwrap().clone();
        Ok(base.map_or(StreamOrigin::Unknown, StreamOrigin::Base))
    }
}

/// A leader that receives evidence about prompt parts.
#[derive(Default)]
pub(crate) struct PromptLeader {
    state: Mutex<PromptLeaderState>,
}

#[derive(Default)]
struct PromptLeaderState {
    term: u64,
    received_sequence: u64,
    /// Endpoints of the failures that the leader of this term received.
    endpoints: BTreeSet<EndpointId>,
    /// Speeds that were reported.
    speeds: Vec<SpeedReport>,
}

impl PromptLeader {
    /// Replaces the leader by one that has received nothing.
    pub(crate) fn change(&self) {
        let mut state = self.state.lock().unwrap();
        let term = state.term + 1;
        *state = PromptLeaderState {
            term,
            ..PromptLeaderState::default()
        };
    }

    /// Waits until the leader of this term has received failures of a number of endpoints.
    pub(crate) async fn wait_for_failures(&self, count: usize) {
        let received = async {
            while self.state.lock().unwrap().endpoints.len() < count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let limit = Duration::from_secs(5);
        tokio::time::timeout(limit, received).await.unwrap();
    }

    /// Waits until a speed is reported.
    pub(crate) async fn wait_for_speed(&self) -> SpeedReport {
        let received = async {
            loop {
                if let Some(speed) = self.state.lock().unwrap().speeds.first() {
                    return speed.clone();
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let limit = Duration::from_secs(5);
        tokio::time::timeout(limit, received).await.unwrap()
    }

    fn receive(&self, report: EntryReport) -> EntryDirective {
        let mut state = self.state.lock().unwrap();
        let received_sequence = state.received_sequence;
        let failures = report.prompts.failures.into_iter();
        for failure in failures.filter(|failure| failure.sequence > received_sequence) {
            state.received_sequence = state.received_sequence.max(failure.sequence);
            state.endpoints.insert(failure.endpoint);
        }
        state.speeds.extend(report.speeds);
        EntryDirective {
            cold_estimates: Vec::new(),
            next_report_ms: 500,
            prompts: PromptDirective {
                term: state.term,
                received_sequence: state.received_sequence,
                suspects_revision: 0,
                suspects: None,
            },
            limits: Vec::new(),
            entry_processes: 1,
            speeds: Vec::new(),
        }
    }
}

/// Grants all tokens that are requested, and adds up those that are reported as spent.
#[derive(Default)]
pub(crate) struct GenerousQuota {
    pub(crate) spent_tokens: AtomicU64,
    pub(crate) returned_tokens: AtomicU64,
    granted_slices: AtomicU64,
}

impl GenerousQuota {
    fn exchange(&self, exchange: QuotaExchange) -> QuotaGrants {
        let mut slices = Vec::new();
        for item in exchange.items {
            for settlement in item.settlements {
                let spent = settlement.spent_tokens;
                self.spent_tokens.fetch_add(spent, Ordering::Relaxed);
                let returned = settlement.returned_tokens;
                self.returned_tokens.fetch_add(returned, Ordering::Relaxed);
            }
            if item.wanted_tokens > 0 {
                slices.push(QuotaSlice {
                    slice_id: self.granted_slices.fetch_add(1, Ordering::Relaxed),
                    customer: item.customer,
                    tokens: item.wanted_tokens,
                    lifetime_ms: 60_000,
                });
            }
        }
        QuotaGrants {
            slices,
            waits: Vec::new(),
        }
    }
}

impl ControlLink for StaticControl {
    fn watch(&self, request: WatchRequest) -> BoxFuture<'_, Result<WatchReply, ControlError>> {
        Box::pin(async move {
            let Some(fleet_view) = &self.fleet_view else {
                return Err(ControlError::Unavailable);
            };
            if request.known_revision == fleet_view.revision {
                tokio::time::sleep(Duration::from_millis(request.wait_ms)).await;
                return Ok(WatchReply {
                    revision: fleet_view.revision,
                    update: FleetUpdate::Delta(Vec::new()),
                });
            }
            Ok(WatchReply {
                revision: fleet_view.revision,
                update: FleetUpdate::Snapshot(Box::new(fleet_view.clone())),
            })
        })
    }

    fn report(&self, report: EntryReport) -> BoxFuture<'_, Result<EntryDirective, ControlError>> {
        let leader = self.leader.as_ref();
        let directive = leader.map(|leader| leader.receive(report));
        Box::pin(async { directive.ok_or(ControlError::Unavailable) })
    }

    fn exchange_quota(
        &self,
        exchange: QuotaExchange,
    ) -> BoxFuture<'_, Result<QuotaGrants, ControlError>> {
        let quota = self.quota.as_ref();
        let grants = quota.map(|quota| quota.exchange(exchange));
        Box::pin(async { grants.ok_or(ControlError::Unavailable) })
    }

    fn request_quota(
        &self,
        request: QuotaRequest,
    ) -> BoxFuture<'_, Result<QuotaReply, ControlError>> {
        Box::pin(async move {
            match &self.scarce {
                Some(scarce) => Ok(scarce.reply(request)),
                None => Ok(QuotaReply {
                    grants: self.exchange_quota(request.exchange).await?,
                    verdicts: Vec::new(),
                }),
            }
        })
    }

    fn claim(&self, _: ClaimRequest) -> BoxFuture<'_, Result<ClaimOutcome, ControlError>> {
        Box::pin(async { Err(ControlError::Unavailable) })
    }

    fn record_streams(
        &self,
        streams: Vec<StreamRecord>,
    ) -> BoxFuture<'_, Result<(), ControlError>> {
        Box::pin(async move { self.origins.record(streams) })
    }

    fn find_stream(&self, query: StreamQuery) -> BoxFuture<'_, Result<StreamOrigin, ControlError>> {
        Box::pin(async move { self.origins.find(&query) })
    }
}
