//! Metrics of the agent.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram};
use wasabipoint_kernel::Metrics;

const BYTES_PER_MIB: u64 = 1_024 * 1_024;

/// Bucket bounds of load durations in seconds: a load from memory takes about a second, one from a
/// slow weight store several minutes.
const LOAD_DURATION_BUCKETS_S: &[f64] = &[
    0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0,
];

pub(crate) struct AgentMetrics {
    registry: Metrics,
    idle_seconds: Counter<f64>,
    load_duration: Histogram<f64>,
    memory_used: Gauge<u64>,
    memory_usable: Gauge<u64>,
    running: Gauge<u64>,
    queued: Gauge<u64>,
}

/// Values of the gauges and the number of idle accelerators at one moment.
pub(crate) struct GaugeSample {
    // Accelerators of loaded models without requests, by share of memory.
    pub(crate) idle_accelerators: f64,
    pub(crate) memory_used_mib: u64,
    pub(crate) memory_usable_mib: u64,
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

impl AgentMetrics {
    pub(crate) fn new(registry: Metrics) -> Self {
        let meter = registry.meter();
        let gauge = |name: &'static str, unit: &'static str, description: &'static str| {
            meter
                .u64_gauge(name)
                .with_unit(unit)
                .with_description(description)
                .build()
        };
        Self {
            idle_seconds: meter
                .f64_counter("wasabipoint_agent_accelerator_idle")
                .with_unit("s")
                .with_description(
                    "Accelerator seconds of loaded models without requests, by share of memory",
                )
                .build(),
            load_duration: meter
                .f64_histogram("wasabipoint_agent_load_duration")
                .with_unit("s")
                .with_description("Time from the load command until the model was loaded")
                .with_boundaries(LOAD_DURATION_BUCKETS_S.to_vec())
                .build(),
            memory_used: gauge(
                "wasabipoint_agent_memory_used",
                "By",
                "Memory that loaded, loading and unloading models and adapters take",
            ),
            memory_usable: gauge(
                "wasabipoint_agent_memory_usable",
                "By",
                "Memory that models and adapters may take",
            ),
            running: gauge(
                "wasabipoint_agent_requests_running",
                "",
                "Requests that run at the endpoint",
            ),
            queued: gauge(
                "wasabipoint_agent_requests_queued",
                "",
                "Requests that wait at the agent",
            ),
            registry,
        }
    }

    pub(crate) fn record_load(&self, duration: Duration) {
        self.load_duration.record(duration.as_secs_f64(), &[]);
    }

    pub(crate) fn record_sample(&self, sample: &GaugeSample, interval: Duration) {
        let idle = sample.idle_accelerators * interval.as_secs_f64();
        self.idle_seconds.add(idle, &[]);
        self.memory_used
            .record(sample.memory_used_mib * BYTES_PER_MIB, &[]);
        self.memory_usable
            .record(sample.memory_usable_mib * BYTES_PER_MIB, &[]);
        self.running.record(sample.running.into(), &[]);
        self.queued.record(sample.queued.into(), &[]);
    }

    pub(crate) fn render(&self) -> String {
        self.registry.render()
    }
}
