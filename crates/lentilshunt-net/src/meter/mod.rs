//! Metrics, rendered as text.

use std::{sync::OnceLock, time::Duration};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::time::interval;

/// Latency metric, which is recorded as a histogram.
const LATENCY_METRIC: &str = "lentilshunt_request_seconds";
/// Upper bounds of its buckets in seconds, from the latency added by the nodes alone
/// to the longest deadline.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0,
];

/// Interval at which recorded values are summed up.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the metrics recorder of this process, unless it has been, and returns the handle to
/// render it.
///
/// Nodes that run in one process share it.
///
/// # Panics
///
/// Panics when another recorder is already installed.
#[must_use]
pub fn install() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(install_first).clone()
}

/// Sums up the recorded values at intervals until the returned future is dropped.
///
/// A histogram keeps each value until then, or until the metrics are rendered, which nobody may ask
/// for.
pub async fn maintain(handle: PrometheusHandle) {
    let mut interval = interval(MAINTENANCE_INTERVAL);
    loop {
        interval.tick().await;
        handle.run_upkeep();
    }
}

fn install_first() -> PrometheusHandle {
    PrometheusBuilder::new()
        .set_buckets_for_metric(
            Matcher::Full(LATENCY_METRIC.to_owned()),
            &LATENCY_BUCKETS_SECONDS,
        )
        .expect("the buckets are not empty")
        .install_recorder()
        .expect("no recorder is installed yet")
}
