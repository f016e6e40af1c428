//! Metrics exported by a control member.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use wasabipoint_kernel::Metrics;

/// Bucket bounds of the cold-start histogram in seconds. Loads take from a second to several
/// minutes.
const COLD_START_BOUNDS_S: &[f64] = &[
    0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0, 300.0, 600.0,
];

/// Metric instruments of a control member.
pub(crate) struct ControlMetrics {
    metrics: Metrics,
    calls: Counter<u64>,
    allowance: Counter<u64>,
    cold_start: Histogram<f64>,
    idle_accelerators: Counter<f64>,
    loads: Counter<u64>,
    revision: Arc<AtomicU64>,
    grants: Arc<AtomicU64>,
    domains_out_of_service: Arc<AtomicU64>,
    recorded_streams: Arc<AtomicU64>,
    cold_endpoints: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
}

impl ControlMetrics {
    pub(crate) fn new() -> Self {
        let metrics = Metrics::new("wasabipoint-control");
        let meter = metrics.meter().clone();
        let gauge = |name: &'static str, text: &'static str| {
            let value = Arc::new(AtomicU64::new(0));
            let read = Arc::clone(&value);
            meter
                .u64_observable_gauge(name)
                .with_description(text)
                .with_callback(move |observer| observer.observe(read.load(Ordering::Relaxed), &[]))
                .build();
            value
        };
        let byte_counter = |name: &'static str, text: &'static str| {
            let value = Arc::new(AtomicU64::new(0));
            let read = Arc::clone(&value);
            meter
                .u64_observable_counter(name)
                .with_description(text)
                .with_unit("By")
                .with_callback(move |observer| observer.observe(read.load(Ordering::Relaxed), &[]))
                .build();
            value
        };
        Self {
            calls: meter
                .u64_counter("wasabipoint_control_calls")
                .with_description("Calls of the rpc services by method.")
                .build(),
            allowance: meter
                .u64_counter("wasabipoint_allowance_requests")
                .with_description(
                    "Requests that were decided by the queue of their customer, by event.",
                )
                .build(),
            cold_start: meter
                .f64_histogram("wasabipoint_cold_start")
                .with_description("Time from the grant of a replica until it serves requests.")
                .with_unit("s")
                .with_boundaries(COLD_START_BOUNDS_S.to_vec())
                .build(),
            idle_accelerators: meter
                .f64_counter("wasabipoint_idle_accelerator")
                .with_description(
                    "Accelerator time held by loaded replicas without queued or running requests.",
                )
                .with_unit("s")
                .build(),
            loads: meter
                .u64_counter("wasabipoint_loads")
                .with_description("Finished loads by result.")
                .build(),
            revision: gauge(
                "wasabipoint_control_revision",
                "Revision of the fleet view that this member has applied.",
            ),
            grants: gauge("wasabipoint_grants", "Grants that count."),
            recorded_streams: gauge(
                "wasabipoint_recorded_streams",
                "Streams whose software version is recorded.",
            ),
            domains_out_of_service: gauge(
                "wasabipoint_domains_out_of_service",
                "Failure domains that an operator took out of service.",
            ),
            cold_endpoints: gauge(
                "wasabipoint_cold_endpoints",
                "Endpoints that are cold, as far as the leader knows.",
            ),
            received: byte_counter(
                "wasabipoint_control_received",
                "Bytes received on the rpc port.",
            ),
            sent: byte_counter("wasabipoint_control_sent", "Bytes sent on the rpc port."),
            metrics,
        }
    }

    pub(crate) fn render(&self) -> String {
        self.metrics.render()
    }

    pub(crate) fn count_call(&self, method: &'static str) {
        self.calls.add(1, &[KeyValue::new("method", method)]);
    }

    /// Counts requests of customers that wait for tokens.
    pub(crate) fn count_allowance(&self, event: &'static str, count: u64) {
        if count > 0 {
            self.allowance.add(count, &[KeyValue::new("event", event)]);
        }
    }

    pub(crate) fn record_load(&self, elapsed_ms: u64) {
        self.cold_start.record(elapsed_ms as f64 / 1_000.0, &[]);
        self.loads.add(1, &[KeyValue::new("result", "loaded")]);
    }

    pub(crate) fn count_failed_load(&self) {
        self.loads.add(1, &[KeyValue::new("result", "failed")]);
    }

    pub(crate) fn record_idle_seconds(&self, seconds: f64) {
        self.idle_accelerators.add(seconds, &[]);
    }

    pub(crate) fn set_state_gauges(&self, revision: u64, grants: u64, out_of_service: u64) {
        self.domains_out_of_service
            .store(out_of_service, Ordering::Relaxed);
        self.revision.store(revision, Ordering::Relaxed);
        self.grants.store(grants, Ordering::Relaxed);
    }

    pub(crate) fn set_recorded_streams(&self, count: u64) {
        self.recorded_streams.store(count, Ordering::Relaxed);
    }

    pub(crate) fn set_cold_endpoints(&self, count: u64) {
        self.cold_endpoints.store(count, Ordering::Relaxed);
    }

    /// Returns the counters of bytes received and sent on the RPC port.
    pub(crate) fn byte_counters(&self) -> (Arc<AtomicU64>, Arc<AtomicU64>) {
        (Arc::clone(&self.received), Arc::clone(&self.sent))
    }
}
