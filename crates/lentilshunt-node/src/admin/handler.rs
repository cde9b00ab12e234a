//! The listener for operators.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::{
    Pending,
    http::{Handler, whole},
};
use metrics_exporter_prometheus::PrometheusHandle;

use super::respond::{OPERATE, answer};
use crate::context::Context;

/// Handler of the listener for operators.
#[derive(Debug)]
pub struct Admin {
    context: Arc<Context>,
    metrics: PrometheusHandle,
}

impl Admin {
    /// Creates the handler.
    #[must_use]
    pub fn new(context: Arc<Context>, metrics: PrometheusHandle) -> Self {
        Self { context, metrics }
    }

    fn answer(&self, path: &str) -> Response<Full<Bytes>> {
        if path == "/metrics" {
            return whole(StatusCode::OK, self.metrics.render());
        }
        let question = path.strip_prefix(OPERATE).unwrap_or(path);
        answer(&self.context, question)
    }
}

impl Handler for Admin {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Full<Bytes>>> {
        let response = self.answer(request.uri().path());
        Box::pin(std::future::ready(response))
    }
}
