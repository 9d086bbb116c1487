//! Metrics recorded through `opentelemetry` and exported in the Prometheus text format.

use std::fmt;

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Meter provider and registry of one process.
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates a registry and an exporter into it.
    ///
    /// Errors: the exporter can't be registered.
    pub fn new() -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Metrics { registry, provider })
    }

    /// Returns the meter that creates instruments. It adds no prefix: callers start each
    /// instrument's name with `teasellever_`.
    pub fn meter(&self) -> Meter {
        self.provider.meter("teasellever")
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// Errors: a metric can't be encoded.
    pub fn text(&self) -> eyre::Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8(buffer)?)
    }
}
