//! Handles the requests of callers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use lentilshunt_core::verdict::Verdict;
use lentilshunt_net::{
    BoxFuture,
    call::{Header, Reply, write_reply},
    http::Handler,
};

use super::{Dispatcher, parser::parse_call};
use crate::context::Context;

/// Request handler of the listener for callers.
#[derive(Debug)]
pub struct Outbound {
    context: Arc<Context>,
    dispatcher: Dispatcher,
}

impl Outbound {
    /// Creates the handler.
    #[must_use]
    pub fn new(context: Arc<Context>, dispatcher: Dispatcher) -> Self {
        Self {
            context,
            dispatcher,
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let is_repeat = request.headers().contains_key(Header::RESEND);
        let mut reply = match parse_call(&self.context, request).await {
            Ok(call) => self.dispatcher.dispatch(Arc::new(call)).await,
            Err(reason) => Reply::refused(reason),
        };
        if let Some(reason) = reply.reason {
            metrics::counter!("lentilshunt_refusals_total", "reason" => reason.to_string())
                .increment(1);
        }
        if is_repeat && reply.verdict == Verdict::NotRun {
            // An earlier request that the caller repeats, unknown to this node, may have run.
            reply.verdict = Verdict::MayHaveRun;
        }
        // The number of free slots is for other nodes only.
        reply.free_slots = None;
        write_reply(reply).map(Full::new)
    }
}

impl Handler for Outbound {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(self.respond(request))
    }
}
