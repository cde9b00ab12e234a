//! The own upstream over pooled HTTP connections.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use hyper::Response;
use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_net::{
    Pending,
    call::{Call, Reply, end_to_end, write_call},
    http::{Error, Exchange, Pool},
};

use super::Transport;

/// Sends requests over a pool of connections.
#[derive(Debug)]
pub struct HttpTransport {
    pool: Arc<Pool>,
    limit: usize,
}

impl HttpTransport {
    /// Creates a backend that takes answers of up to `limit` bytes.
    #[must_use]
    pub fn new(pool: Arc<Pool>, limit: usize) -> Self {
        Self { pool, limit }
    }

    async fn exchange(&self, upstream: SocketAddr, call: &Call) -> Reply {
        let Ok(request) = write_call("", call, Instant::now()) else {
            return Reply::refused(Reason::BadRequest);
        };
        let exchange = Exchange {
            address: upstream,
            deadline: call.deadline,
            limit: self.limit,
        };
        match self.pool.exchange(exchange, request).await {
            Ok(response) => ran(response),
            Err(error) => Reply::failed(error.verdict(), reason(&error)),
        }
    }
}

impl Transport for HttpTransport {
    fn send(&self, upstream: SocketAddr, call: Arc<Call>) -> Pending<'_, Reply> {
        Box::pin(async move { self.exchange(upstream, &call).await })
    }
}

/// Returns the reply to an attempt that the upstream answered whole.
fn ran(response: Response<Bytes>) -> Reply {
    let (parts, body) = response.into_parts();
    Reply {
        verdict: Verdict::Ran,
        reason: None,
        status: parts.status,
        headers: end_to_end(&parts.headers),
        body,
        room: None,
    }
}

/// Returns the reason for a failed exchange with the upstream.
fn reason(error: &Error) -> Reason {
    match error {
        Error::Broken { source, .. } if source.is_parse() => Reason::BadAnswer,
        Error::Broken { .. } => Reason::UpstreamLost,
        other => other.reason(),
    }
}
