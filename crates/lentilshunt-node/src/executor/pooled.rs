//! The own upstream over pooled HTTP connections.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use hyper::{
    Method, Response, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_net::{
    Pending,
    call::{Call, Reply, end_to_end, write_call},
    http::{Error, Exchange, Pool},
};

use super::Backend;

/// Sends requests over a pool of connections.
#[derive(Debug)]
pub struct Pooled {
    pool: Arc<Pool>,
    limit: usize,
}

impl Pooled {
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
            Ok(response) if is_whole(&call.method, &response) => ran(response),
            Ok(_truncated) => Reply::unknown(Reason::BadAnswer),
            Err(error) => Reply::failed(error.verdict(), reason(&error)),
        }
    }
}

impl Backend for Pooled {
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

/// Returns whether the end of an answer's body is known from its framing.
///
/// A body that ends with its connection cannot be told from a truncated one.
fn is_whole(method: &Method, response: &Response<Bytes>) -> bool {
    let status = response.status();
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if bodiless || method == Method::HEAD {
        return true;
    }
    let headers = response.headers();
    if headers.contains_key(TRANSFER_ENCODING) {
        return true;
    }
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok());
    length.and_then(|value| value.parse().ok()) == Some(response.body().len())
}

/// Returns the reason for a failed exchange with the upstream.
fn reason(error: &Error) -> Reason {
    match error {
        Error::Broken { source, .. } if source.is_parse() => Reason::BadAnswer,
        Error::Broken { .. } => Reason::UpstreamLost,
        other => other.reason(),
    }
}
