//! Where streams began: records for those that begin, and the origin of those that callers resume.

use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{
    CustomerId, ErrorKind, ForwardRoute, Refusal, RunPolicy, ServiceName, SoftwareVersion,
};
use wasabipoint_policy::{StreamStart, record_lifetime_ms};
use wasabipoint_rpc::{
    ControlError, EndpointView, MAX_STREAMS_PER_CALL, StreamOrigin, StreamQuery, StreamRecord,
};

use super::{Forwarder, RequestMetadata};
use crate::link::ControlLink;

/// Time for which streams that begin are collected into one call to control.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Longest wait for control to tell where a stream began. Callers wait at least 2 s for the next event.
const MAX_ORIGIN_WAIT: Duration = Duration::from_millis(1_500);

/// Retry delay announced to callers while control does not tell where their stream began, in
/// milliseconds. A new leader is elected within this time.
const ORIGIN_RETRY_AFTER_MS: u64 = 1_000;

/// A stream that waits to be recorded, and where its result goes.
type PendingRecord = (StreamRecord, oneshot::Sender<Result<(), ControlError>>);

/// Streams that wait to be recorded.
#[derive(Default)]
pub(super) struct StreamRecorder {
    pending: Mutex<Vec<PendingRecord>>,
    has_pending: Notify,
}

impl StreamRecorder {
    /// Records a stream durably. After a failure the record may be durable as well.
    async fn record(&self, stream: StreamRecord) -> Result<(), ControlError> {
        let (sender, recorded) = oneshot::channel();
        self.lock().push((stream, sender));
        self.has_pending.notify_one();
        recorded.await.unwrap_or(Err(ControlError::Unavailable))
    }

    /// Sends the streams that wait to control, until the task is aborted.
    pub(super) async fn run(&self, control: &Arc<dyn ControlLink>) {
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                () = self.has_pending.notified() => {}
                Some(_) = calls.join_next() => continue,
            }
            tokio::time::sleep(BATCH_INTERVAL).await;
            let mut pending = mem::take(&mut *self.lock());
            while !pending.is_empty() {
                let rest = pending.split_off(pending.len().min(MAX_STREAMS_PER_CALL));
                let batch = mem::replace(&mut pending, rest);
                let control = Arc::clone(control);
                // A call that hangs must not hold up the streams that begin after it.
                calls.spawn(async move {
                    let (streams, senders): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
                    let recorded = control.record_streams(streams).await;
                    for sender in senders {
                        // The caller of the stream may be gone.
                        let _ = sender.send(recorded.clone());
                    }
                });
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PendingRecord>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Service and software version that may continue a request's stream, if it has begun.
pub(super) struct StreamBinding {
    pub(super) service: ServiceName,
    pub(super) software_version: Option<SoftwareVersion>,
}

/// A stream whose caller is about to get its first event.
pub(super) struct BeginningStream<'a> {
    pub(super) route: &'a ForwardRoute,
    pub(super) customer: Option<&'a CustomerId>,
    pub(super) request_id: &'a str,
    pub(super) endpoint: &'a EndpointView,
    /// Time for which the caller still waits, in milliseconds, if it states one.
    pub(super) remaining_ms: Option<u64>,
    /// End of the wait for the record.
    pub(super) deadline: Instant,
}

impl Forwarder {
    /// Makes sure that every entry process can tell where a stream began, whatever restarts. Returns
    /// whether its first event may be sent to the caller.
    pub(super) async fn record_stream(&self, stream: BeginningStream<'_>) -> bool {
        if stream.route.run_policy != RunPolicy::ResumableStream || !self.needs_record(&stream) {
            return true;
        }
        let asked_at = Instant::now();
        let record = StreamRecord {
            digest: self.stream_digest(stream.customer, stream.request_id),
            service: stream.endpoint.service.clone(),
            software_version: stream.endpoint.software_version.clone(),
            lifetime_ms: record_lifetime_ms(stream.remaining_ms),
        };
        let recorded = timeout_at(stream.deadline, self.recorder.record(record)).await;
        // On timeout nothing is known.
        let recorded = recorded.unwrap_or(Err(ControlError::Unavailable));
        self.metrics
            .record_stream_record(asked_at.elapsed(), recorded.is_ok());
        if let Err(error) = &recorded {
            warn!(self.logger, "routing: the software version of a stream is not recorded";
                "request" => stream.request_id, "endpoint" => %stream.endpoint.id,
                "software_version" => %stream.endpoint.software_version, "error" => ?error,
                "waited_ms" => asked_at.elapsed().as_millis() as u64);
        }
        recorded.is_ok()
    }

    fn needs_record(&self, stream: &BeginningStream<'_>) -> bool {
        let state = self.lock();
        let confirmed_at = state.view_confirmed_at;
        let age = confirmed_at.map_or(Duration::MAX, |confirmed_at| confirmed_at.elapsed());
        let start = StreamStart {
            version: &stream.endpoint.software_version,
            base_version: state.view.base_versions.get(&stream.endpoint.service),
            base_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            services: stream.route.services.len(),
        };
        start.needs_record()
    }

    /// Returns the digest under which a stream is recorded. Requests of different customers never have
    /// the same one, so that a caller learns nothing about the streams of others.
    fn stream_digest(&self, customer: Option<&CustomerId>, request_id: &str) -> u64 {
        let customer = customer.map_or("", CustomerId::as_str);
        let fields: [&[u8]; 3] = [b"stream", customer.as_bytes(), request_id.as_bytes()];
        self.request_digester.digest(&fields)
    }

    /// Returns which service and software version may serve a request. A stream that the caller resumes
    /// goes on only at those that began it. `service` is the one that the route selected.
    pub(super) async fn bind_stream(
        &self,
        route: &ForwardRoute,
        service: ServiceName,
        customer: Option<&CustomerId>,
        metadata: &RequestMetadata,
        deadline: Instant,
    ) -> Result<StreamBinding, Refusal> {
        let is_resumption =
            metadata.last_event_id.is_some() || metadata.resumed_request_id.is_some();
        if !is_resumption || !route.run_policy.is_stream() {
            return Ok(StreamBinding {
                service,
                software_version: None,
            });
        }
        // Streams of other routes are not recorded, so that the id of one tells nothing.
        let is_recorded = route.run_policy == RunPolicy::ResumableStream;
        let resumed_id = metadata
            .resumed_request_id
            .as_deref()
            .filter(|_| is_recorded);
        let query = StreamQuery {
            digest: resumed_id.map(|id| self.stream_digest(customer, id)),
            service: service.clone(),
        };
        let limit = deadline.min(Instant::now() + MAX_ORIGIN_WAIT);
        let found = timeout_at(limit, self.control.find_stream(query)).await;
        let found = found.unwrap_or(Err(ControlError::Unavailable));
        self.log_origin(metadata, &service, found.as_ref());
        let Ok(origin) = found else {
            let detail = "control does not tell which software version began the stream";
            return Err(Refusal::new(ErrorKind::Unavailable, detail)
                .with_retry_after_ms(ORIGIN_RETRY_AFTER_MS));
        };
        let (service, software_version) = match origin {
            StreamOrigin::Recorded {
                service,
                software_version,
            } => (service, software_version),
            StreamOrigin::Base(version) => (service, version),
            StreamOrigin::Unknown => {
                let detail = "nothing tells which software version began the stream";
                return Err(Refusal::new(ErrorKind::NoEndpoint, detail));
            }
        };
        if !route.services.iter().any(|(name, _)| *name == service) {
            let detail = "the route no longer leads to the service that began the stream";
            return Err(Refusal::new(ErrorKind::NoEndpoint, detail));
        }
        Ok(StreamBinding {
            service,
            software_version: Some(software_version),
        })
    }

    /// Logs where a stream began that its caller resumes. `service` is the one that the route selected.
    fn log_origin(
        &self,
        metadata: &RequestMetadata,
        service: &ServiceName,
        origin: Result<&StreamOrigin, &ControlError>,
    ) {
        let (source, service, version) = match origin {
            Ok(StreamOrigin::Recorded {
                service,
                software_version,
            }) => ("recorded", service, Some(software_version)),
            Ok(StreamOrigin::Base(version)) => ("base", service, Some(version)),
            Ok(StreamOrigin::Unknown) => ("unknown", service, None),
            Err(_) => ("unavailable", service, None),
        };
        self.metrics.count_resumption(source);
        info!(self.logger, "routing: caller resumes a stream";
            "request" => &metadata.request_id, "resumed_request" => metadata.resumed_id_for_log(),
            "last_event_id" => metadata.last_event_id, "origin" => source,
            "service" => %service, "software_version" => version.map(SoftwareVersion::as_str),
            "error" => origin.err().map(|error| format!("{error:?}")));
    }
}
