//! Metrics rendered as text.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Installs the recorder of this process and returns the handle that renders it.
///
/// # Panics
///
/// Panics when a recorder is installed already.
#[must_use]
pub fn install() -> PrometheusHandle {
    PrometheusBuilder::new()
        .install_recorder()
        .expect("no recorder is installed yet")
}
