//! Serves metrics in the Prometheus text format.

use std::fmt;

use hyper::{Request, Response, body::Incoming};
use lentilshunt_net::BoxFuture;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::relay::{
    Handler,
    body::{Body, full},
};

/// Handler of the listener for metrics.
pub(super) struct Metrics(pub(super) PrometheusHandle);

impl Handler for Metrics {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(std::future::ready(Response::new(full(self.0.render()))))
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
