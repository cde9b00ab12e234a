//! Handler of the listener for operators.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::{
    BoxFuture,
    http::{Handler, full_response},
};
use metrics_exporter_prometheus::PrometheusHandle;

use super::respond::{OPERATE_PATH, respond};
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

    fn respond(&self, path: &str) -> Response<Full<Bytes>> {
        if path == "/metrics" {
            return full_response(StatusCode::OK, self.metrics.render());
        }
        let path = path.strip_prefix(OPERATE_PATH).unwrap_or(path);
        respond(&self.context, path)
    }
}

impl Handler for Admin {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        let response = self.respond(request.uri().path());
        Box::pin(std::future::ready(response))
    }
}
