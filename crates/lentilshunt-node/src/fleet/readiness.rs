//! Reports whether the node accepts requests.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::BoxFuture;

use crate::relay::{
    Handler, Shared,
    body::{Body, status_response},
};

/// Handler of the listener for readiness.
#[derive(Debug)]
pub struct Readiness {
    shared: Arc<Shared>,
}

impl Readiness {
    /// Creates the handler; a node without traffic rules or one that is stopping is not ready.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn is_ready(&self) -> bool {
        self.shared.version() > 0 && !self.shared.stop.is_cancelled()
    }
}

impl Handler for Readiness {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        let status = if self.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Box::pin(std::future::ready(status_response(status)))
    }
}
