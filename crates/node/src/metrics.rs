//! Metrics by `opentelemetry`, shown in the Prometheus text format.

use std::fmt;

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The instruments of one process and where they are collected.
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
    /// Starts collecting.
    ///
    /// Errors: the exporter can't register.
    pub fn new() -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Metrics { registry, provider })
    }

    /// Where instruments are made; all names start with `teasellever_`.
    pub fn meter(&self) -> Meter {
        self.provider.meter("teasellever")
    }

    /// All metrics in the text format.
    ///
    /// Errors: a metric can't be encoded.
    pub fn text(&self) -> eyre::Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8(buffer)?)
    }
}
