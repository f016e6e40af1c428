//! Metrics of an entry process.

use std::sync::{Arc, Weak};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use wasabipoint_kernel::{CustomerId, ErrorKind, Metrics, Refusal, RetryAdvice};

use crate::scheduler::Scheduler;

/// Value of the customer label for requests without a verified key.
const NO_CUSTOMER: &str = "none";

/// Bucket boundaries of latency histograms. They include the targets of 46 ms between tokens and
/// 1.1 s to the first token.
const LATENCY_BOUNDS_S: [f64; 16] = [
    0.005, 0.01, 0.02, 0.03, 0.046, 0.07, 0.1, 0.2, 0.4, 0.7, 1.1, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// OpenTelemetry instruments of an entry process.
pub(crate) struct EntryMetrics {
    metrics: Metrics,
    time_to_first_token: Histogram<f64>,
    time_between_tokens: Histogram<f64>,
    request_duration: Histogram<f64>,
    tokens: Counter<u64>,
    refusals: Counter<u64>,
    refusals_inside_rate: Counter<u64>,
}

impl EntryMetrics {
    pub(crate) fn new(metrics: Metrics, scheduler: &Arc<Scheduler>) -> Self {
        let meter = metrics.meter();
        observe_queues(meter, Arc::downgrade(scheduler));
        Self {
            time_to_first_token: build_histogram(
                meter,
                "wasabipoint_entry_time_to_first_token",
                "Time from arrival to the first token.",
            ),
            time_between_tokens: build_histogram(
                meter,
                "wasabipoint_entry_time_between_tokens",
                "Time between the parts of a streamed answer.",
            ),
            request_duration: build_histogram(
                meter,
                "wasabipoint_entry_request_duration",
                "Time from arrival to the end of the answer.",
            ),
            tokens: meter
                .u64_counter("wasabipoint_entry_tokens")
                .with_description("Settled tokens.")
                .build(),
            refusals: meter
                .u64_counter("wasabipoint_entry_refusals")
                .with_description("Refused and failed requests.")
                .build(),
            refusals_inside_rate: meter
                .u64_counter("wasabipoint_entry_refusals_inside_rate")
                .with_description("Refused requests that were within the customer's rate.")
                .build(),
            metrics,
        }
    }

    pub(crate) fn render(&self) -> String {
        self.metrics.render()
    }

    pub(crate) fn record_first_token(&self, customer: &CustomerId, elapsed: Duration) {
        self.time_to_first_token
            .record(elapsed.as_secs_f64(), &[build_customer_label(customer)]);
    }

    pub(crate) fn record_token_gap(&self, elapsed: Duration) {
        self.time_between_tokens.record(elapsed.as_secs_f64(), &[]);
    }

    pub(crate) fn record_duration(&self, customer: &CustomerId, elapsed: Duration) {
        self.request_duration
            .record(elapsed.as_secs_f64(), &[build_customer_label(customer)]);
    }

    pub(crate) fn add_tokens(&self, customer: &CustomerId, tokens: u64) {
        self.tokens.add(tokens, &[build_customer_label(customer)]);
    }

    /// Counts a refusal. It counts as inside the rate if the customer is verified, the reason is
    /// not the customer's own rate, and the advice is to retry later.
    pub(crate) fn record_refusal(&self, customer: Option<&CustomerId>, refusal: &Refusal) {
        let name = customer.map_or(NO_CUSTOMER, CustomerId::as_str).to_owned();
        let customer_label = KeyValue::new("customer", name);
        let kind = KeyValue::new("kind", refusal.kind.properties().name);
        self.refusals.add(1, &[customer_label.clone(), kind]);
        let is_inside_rate = customer.is_some()
            && refusal.kind != ErrorKind::OverRate
            && refusal.kind.properties().retry == RetryAdvice::Later;
        if is_inside_rate {
            self.refusals_inside_rate.add(1, &[customer_label]);
        }
    }
}

fn observe_queues(meter: &Meter, scheduler: Weak<Scheduler>) {
    let _ = meter
        .u64_observable_gauge("wasabipoint_entry_queue_length")
        .with_description("Waiting requests by model or service.")
        .with_callback(move |observer| {
            if let Some(scheduler) = scheduler.upgrade() {
                for (target, length) in scheduler.queue_lengths() {
                    observer.observe(length, &[KeyValue::new("target", target)]);
                }
            }
        })
        .build();
}

fn build_histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS_S.to_vec())
        .build()
}

fn build_customer_label(customer: &CustomerId) -> KeyValue {
    KeyValue::new("customer", customer.as_str().to_owned())
}
