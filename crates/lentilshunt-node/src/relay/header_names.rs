//! The header names that callers and upstreams of a deployment use.

use hyper::header::HeaderName;

/// Header names between a node, its callers and its upstream.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, echoed by upstreams.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// Service beside which a request began.
    pub caller: HeaderName,
    /// Upstream process that a request is meant for.
    pub expected_process: HeaderName,
    /// Present when an upstream says that it has not run the request.
    pub not_run: HeaderName,
}
