//! A caller's request.

use std::time::Instant;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use lentilshunt_core::id::{CallerId, IdempotencyKey, RequestId, ServiceId};

/// A caller's request with everything that its attempts need.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the first node gave to the call.
    pub request: RequestId,
    /// Service that is called.
    pub service: ServiceId,
    /// Caller as it named itself.
    pub caller: CallerId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// End-to-end headers of the caller.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Key by which the caller marks repeats.
    pub key: Option<IdempotencyKey>,
    /// Instant after which nobody waits for the answer.
    pub deadline: Instant,
}
