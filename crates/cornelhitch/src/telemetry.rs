//! Metrics of a process: exported over OTLP/HTTP, or written to the log.

use std::time::Duration;

use cornelhitch_node::metrics::Metrics;
use opentelemetry_otlp::{ExporterBuildError, MetricExporter, WithExportConfig};
use opentelemetry_sdk::metrics::SdkMeterProvider;

/// Time between two lines of metrics in the log.
const LINES: Duration = Duration::from_mins(1);

/// Exports all metrics to an OTLP/HTTP endpoint, such as `http://HOST:4318/v1/metrics`.
///
/// The provider has to be kept, and shut down at the end.
///
/// # Errors
/// The endpoint cannot be read.
pub fn export(endpoint: &str) -> Result<SdkMeterProvider, ExporterBuildError> {
    let exporter = MetricExporter::builder()
        .with_http()
        .with_endpoint(endpoint)
        .build()?;
    let provider = SdkMeterProvider::builder()
        .with_periodic_exporter(exporter)
        .build();
    opentelemetry::global::set_meter_provider(provider.clone());
    Ok(provider)
}

/// Writes the sums of all counters to the log, again and again.
pub async fn lines(metrics: Metrics) {
    loop {
        tokio::time::sleep(LINES).await;
        let sums = serde_json::to_string(&metrics.sums()).unwrap_or_default();
        tracing::info!(sums, "metrics");
    }
}
