//! Metrics of a forwarding entry process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, UpDownCounter};
use wasabipoint_kernel::Metrics;

/// Bucket boundaries of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0,
];

/// Bucket boundaries of the speed of endpoints, where 1.0 is usual.
const SPEED_BOUNDS: &[f64] = &[0.25, 0.4, 0.55, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 3.0, 4.0];

/// Counters and histograms of one process.
pub(crate) struct ForwardMetrics {
    registry: Metrics,
    requests: Counter<u64>,
    announcements: Counter<u64>,
    hedges: Counter<u64>,
    requests_out_of_service: Arc<AtomicU64>,
    cold_changes: Counter<u64>,
    duration: Histogram<f64>,
    first_byte: Histogram<f64>,
    longest_pause: Histogram<f64>,
    endpoint_speed: Histogram<f64>,
    late_streams: Counter<u64>,
    resumptions: Counter<u64>,
    stream_record: Histogram<f64>,
    token_wait: Histogram<f64>,
    waiting: UpDownCounter<i64>,
    token_refusals: Counter<u64>,
}

/// Counts a request as waiting for tokens until it is dropped.
pub(crate) struct WaitingCount<'m> {
    waiting: &'m UpDownCounter<i64>,
    attributes: [KeyValue; 1],
}

impl Drop for WaitingCount<'_> {
    fn drop(&mut self) {
        self.waiting.add(-1, &self.attributes);
    }
}

/// Returns the value of the attribute `class`.
fn class_attribute(can_wait: bool) -> KeyValue {
    KeyValue::new("class", if can_wait { "can_wait" } else { "short" })
}

impl ForwardMetrics {
    pub(crate) fn new() -> Self {
        let registry = Metrics::new("wasabipoint-entry");
        let meter = registry.meter().clone();
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build()
        };
        let requests_out_of_service = Arc::new(AtomicU64::new(0));
        let observed = Arc::clone(&requests_out_of_service);
        meter
            .u64_observable_gauge("wasabipoint_forward_requests_out_of_service")
            .with_description("Requests that run in failure domains out of service.")
            .with_callback(move |observer| observer.observe(observed.load(Ordering::Relaxed), &[]))
            .build();
        Self {
            requests_out_of_service,
            requests: meter
                .u64_counter("wasabipoint_forward_requests")
                .with_description("Requests by outcome.")
                .build(),
            announcements: meter
                .u64_counter("wasabipoint_forward_announcements")
                .with_description("Announcements of endpoints that they want no requests, by kind.")
                .build(),
            hedges: meter
                .u64_counter("wasabipoint_forward_hedges")
                .with_description("Second attempts that were sent, won, wasted or refused.")
                .build(),
            cold_changes: meter
                .u64_counter("wasabipoint_forward_cold_changes")
                .with_description("Begins and ends of the cold times of endpoints, by source.")
                .build(),
            duration: histogram(
                "wasabipoint_forward_duration",
                "Time from the request to the last byte of its response.",
            ),
            first_byte: histogram(
                "wasabipoint_forward_first_byte",
                "Time from the request to the first byte of its response.",
            ),
            longest_pause: histogram(
                "wasabipoint_forward_longest_pause",
                "Longest time between two events of a complete stream.",
            ),
            endpoint_speed: meter
                .f64_histogram("wasabipoint_forward_endpoint_speed")
                .with_description(
                    "Speed of the endpoint of an attempt in proportion to its service.",
                )
                .with_boundaries(SPEED_BOUNDS.to_vec())
                .build(),
            late_streams: meter
                .u64_counter("wasabipoint_forward_late_streams")
                .with_description("Complete streams beyond an objective of their route, by cause.")
                .build(),
            resumptions: meter
                .u64_counter("wasabipoint_forward_resumptions")
                .with_description("Streams that callers resumed, by how their origin was found.")
                .build(),
            stream_record: histogram(
                "wasabipoint_forward_stream_record",
                "Time for which the first event of a stream waited for the record of its version.",
            ),
            token_wait: histogram(
                "wasabipoint_forward_token_wait",
                "Time for which a served request waited for tokens of its customer, by class.",
            ),
            waiting: meter
                .i64_up_down_counter("wasabipoint_forward_token_waiting")
                .with_description("Requests that wait for tokens of their customer, by class.")
                .build(),
            token_refusals: meter
                .u64_counter("wasabipoint_forward_token_refusals")
                .with_description("Requests refused for lack of tokens, by reason and class.")
                .build(),
            registry,
        }
    }

    pub(crate) fn count_outcome(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn count_announcement(&self, kind: &'static str) {
        self.announcements.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a stream that its caller resumes. `origin` tells how its software version was found.
    pub(crate) fn count_resumption(&self, origin: &'static str) {
        self.resumptions.add(1, &[KeyValue::new("origin", origin)]);
    }

    pub(crate) fn record_stream_record(&self, wait: Duration, is_recorded: bool) {
        let attributes = [KeyValue::new("is_recorded", is_recorded)];
        self.stream_record.record(wait.as_secs_f64(), &attributes);
    }

    pub(crate) fn count_hedge(&self, event: &'static str) {
        self.hedges.add(1, &[KeyValue::new("event", event)]);
    }

    pub(crate) fn count_cold_change(&self, is_cold: bool, source: &'static str) {
        let kind = if is_cold { "begin" } else { "end" };
        let labels = [KeyValue::new("kind", kind), KeyValue::new("source", source)];
        self.cold_changes.add(1, &labels);
    }

    pub(crate) fn record_duration(&self, elapsed: Duration) {
        self.duration.record(elapsed.as_secs_f64(), &[]);
    }

    pub(crate) fn record_first_byte(&self, elapsed: Duration) {
        self.first_byte.record(elapsed.as_secs_f64(), &[]);
    }

    pub(crate) fn record_longest_pause(&self, longest: Duration) {
        self.longest_pause.record(longest.as_secs_f64(), &[]);
    }

    pub(crate) fn record_endpoint_speed(&self, speed: f64) {
        self.endpoint_speed.record(speed, &[]);
    }

    pub(crate) fn count_late_stream(&self, cause: &'static str) {
        self.late_streams.add(1, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn set_requests_out_of_service(&self, count: u64) {
        self.requests_out_of_service.store(count, Ordering::Relaxed);
    }

    pub(crate) fn record_token_wait(&self, can_wait: bool, wait: Duration) {
        self.token_wait
            .record(wait.as_secs_f64(), &[class_attribute(can_wait)]);
    }

    /// Counts a request as waiting for tokens until the result is dropped.
    pub(crate) fn count_waiting(&self, can_wait: bool) -> WaitingCount<'_> {
        let attributes = [class_attribute(can_wait)];
        self.waiting.add(1, &attributes);
        WaitingCount {
            waiting: &self.waiting,
            attributes,
        }
    }

    pub(crate) fn count_token_refusal(&self, reason: &'static str, can_wait: bool) {
        let attributes = [KeyValue::new("reason", reason), class_attribute(can_wait)];
        self.token_refusals.add(1, &attributes);
    }

    pub(crate) fn render(&self) -> String {
        self.registry.render()
    }
}
