//! Header names that callers and upstreams of a deployment use.

use hyper::header::HeaderName;

/// Names of the headers that a node exchanges with its callers and its upstream.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; upstreams echo it.
    pub request_id: HeaderName,
    /// Time until the deadline of the sender, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Service of the caller that sent the request.
    pub caller: HeaderName,
    /// Id of the upstream process that must handle the request.
    pub expected_process: HeaderName,
    /// Present in a response when the upstream has not run the request.
    pub not_run: HeaderName,
}
