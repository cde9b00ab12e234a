//! Serves metrics and status.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::{
    Pending,
    http::{Handler, empty, whole},
};
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;

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
        match path {
            "/metrics" => whole(StatusCode::OK, self.metrics.render()),
            "/status" => whole(StatusCode::OK, self.status()),
            "/routes" => whole(StatusCode::OK, self.routes()),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn status(&self) -> String {
        let place = &self.context.place;
        json!({
            "instance": place.instance,
            "domain": place.domain,
            "region": place.region,
            "incarnation": self.context.incarnation,
            "version": self.context.routes.load().version(),
        })
        .to_string()
    }

    fn routes(&self) -> String {
        let table = self.context.routes.load();
        let routes: serde_json::Map<_, _> = table
            .routes()
            .map(|(service, route)| {
                let instances: Vec<_> = route
                    .endpoints()
                    .map(|endpoint| endpoint.instance.as_str())
                    .collect();
                (service.clone(), json!(instances))
            })
            .collect();
        json!({ "version": table.version(), "routes": routes }).to_string()
    }
}

impl Handler for Admin {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Full<Bytes>>> {
        let response = self.answer(request.uri().path());
        Box::pin(std::future::ready(response))
    }
}
