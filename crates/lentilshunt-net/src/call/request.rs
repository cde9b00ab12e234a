//! A call, as a caller requested it.

use std::time::Instant;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use lentilshunt_core::id::{CallerId, IdempotencyKey, RequestId, ServiceId};

/// A caller's request with all data that its attempts need.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id, assigned by the node that accepted the call.
    pub request: RequestId,
    /// Called service.
    pub service: ServiceId,
    /// Caller, by the name it gave in the request.
    pub caller: CallerId,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// End-to-end headers of the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key, which is the same for every repeat of the request.
    pub key: Option<IdempotencyKey>,
    /// Instant after which the caller no longer waits for the response.
    pub deadline: Instant,
}
