//! Transport to the local upstream over pooled HTTP connections.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use hyper::Response;
use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_net::{
    BoxFuture,
    call::{Call, Reply, end_to_end, write_call},
    http::{Error, Exchange, Pool},
};

use super::Transport;

/// Sends requests to the upstream over pooled connections.
#[derive(Debug)]
pub struct HttpTransport {
    pool: Arc<Pool>,
    max_body_bytes: usize,
}

impl HttpTransport {
    /// Creates a transport that accepts response bodies of up to `max_body_bytes`.
    #[must_use]
    pub fn new(pool: Arc<Pool>, max_body_bytes: usize) -> Self {
        Self {
            pool,
            max_body_bytes,
        }
    }

    async fn exchange(&self, upstream: SocketAddr, call: &Call) -> Reply {
        let Ok(request) = write_call("", call, Instant::now()) else {
            return Reply::refused(Reason::BadRequest);
        };
        let exchange = Exchange {
            address: upstream,
            deadline: call.deadline,
            max_body_bytes: self.max_body_bytes,
        };
        match self.pool.exchange(exchange, request).await {
            Ok(response) => into_reply(response),
            Err(error) => Reply::failed(error.verdict(), failure_reason(&error)),
        }
    }
}

impl Transport for HttpTransport {
    fn send(&self, upstream: SocketAddr, call: Arc<Call>) -> BoxFuture<'_, Reply> {
        Box::pin(async move { self.exchange(upstream, &call).await })
    }
}

/// Returns the reply to an attempt with a complete response of the upstream.
fn into_reply(response: Response<Bytes>) -> Reply {
    let (parts, body) = response.into_parts();
    Reply {
        verdict: Verdict::Ran,
        reason: None,
        status: parts.status,
        headers: end_to_end(&parts.headers),
        body,
        free_slots: None,
    }
}

/// Returns the reason for a failed exchange with the upstream.
fn failure_reason(error: &Error) -> Reason {
    match error {
        Error::ConnectionLost { source, .. } if source.is_parse() => Reason::BadAnswer,
        Error::ConnectionLost { .. } => Reason::UpstreamLost,
        other => other.reason(),
    }
}
