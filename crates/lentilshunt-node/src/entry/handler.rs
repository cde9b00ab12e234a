//! Answers the requests of callers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use lentilshunt_core::routing::Policy;
use lentilshunt_net::{
    Pending,
    call::{Executor, Reply, write_reply},
    http::Handler,
};

use super::{dispatch::dispatch, reader::read};
use crate::context::Context;

/// Handler of the listener for callers.
#[derive(Debug)]
pub struct Entry {
    /// What all parts of the node share.
    pub(super) context: Arc<Context>,
    /// Executes attempts on the own upstream.
    pub(super) local: Arc<dyn Executor>,
    /// Executes attempts on other nodes.
    pub(super) remote: Arc<dyn Executor>,
    /// Chooses endpoints.
    pub(super) policy: Arc<dyn Policy>,
}

impl Entry {
    /// Creates the handler.
    #[must_use]
    pub fn new(
        context: Arc<Context>,
        local: Arc<dyn Executor>,
        remote: Arc<dyn Executor>,
        policy: Arc<dyn Policy>,
    ) -> Self {
        Self {
            context,
            local,
            remote,
            policy,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let reply = match read(&self.context, request).await {
            Ok(call) => dispatch(self, Arc::new(call)).await,
            Err(reason) => Reply::refused(reason),
        };
        if let Some(reason) = reply.reason {
            metrics::counter!("lentilshunt_refusals_total", "reason" => reason.to_string())
                .increment(1);
        }
        write_reply(reply).map(Full::new)
    }
}

impl Handler for Entry {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Full<Bytes>>> {
        Box::pin(self.answer(request))
    }
}
