//! Process metrics, exposed at `/metrics`.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The process's meter and its Prometheus exporter.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // Kept alive because instruments stop recording when the provider is dropped.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the meter of a program.
    pub fn new(program: &'static str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry has no conflicting collector");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(program);
        Self {
            registry,
            meter,
            _provider: provider,
        }
    }

    /// Returns the meter, from which instruments are built.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        // Encoding into memory fails only for metric families without a name, and the exporter
        // creates none.
        if TextEncoder::new()
            .encode(&self.registry.gather(), &mut buffer)
            .is_err()
        {
            return String::new();
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }
}
