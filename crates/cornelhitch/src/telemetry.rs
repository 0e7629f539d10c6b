//! Export of a process's metrics: over OTLP/HTTP, or to the log.

use std::time::Duration;

use cornelhitch_node::metrics::Metrics;
use opentelemetry_otlp::{ExporterBuildError, MetricExporter, WithExportConfig};
use opentelemetry_sdk::metrics::SdkMeterProvider;

/// Interval between log lines with metrics.
const LOG_INTERVAL: Duration = Duration::from_mins(1);

/// Starts to export all metrics to an OTLP/HTTP endpoint, such as `http://HOST:4318/v1/metrics`.
///
/// The caller must keep the returned provider and shut it down at exit.
///
/// # Errors
/// The endpoint is not valid.
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

/// Logs the sums of all counters periodically; never returns.
pub async fn log_metrics(metrics: Metrics) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let sums = serde_json::to_string(&metrics.totals()).unwrap_or_default();
        tracing::info!(sums, "metrics");
    }
}
