//! Header names that callers and upstreams of a deployment use.

use hyper::header::HeaderName;

/// Names of the headers that a node exchanges with its callers and its upstream.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id that the caller assigned to this request; upstreams echo it.
    pub request_id: HeaderName,
    /// Signature of an upstream, in each of its successful responses.
    pub signature: HeaderName,
    /// Time until the deadline of the sender, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Service that sent the request: that of the upstream beside the sending node.
    pub caller: HeaderName,
    /// Id of the upstream process that the request is meant for; another process responds with
    /// status 421.
    pub expected_process: HeaderName,
    /// Id of the upstream process in the response to its health check.
    pub process: HeaderName,
    /// Load of the upstream in a response: running requests, waiting requests and slots,
    /// separated by commas.
    pub load: HeaderName,
    /// Present in a response when the upstream has not run the request.
    pub not_run: HeaderName,
    /// Requests per second that the upstream takes from all nodes together, as a decimal number;
    /// absent without a limit.
    pub rate_limit: HeaderName,
    /// Present in a response when the upstream leaves and wants no further requests.
    pub leaving: HeaderName,
    /// Name of the organisation that sends the request, for the upstream.
    pub organisation: HeaderName,
    /// Authentication scheme of the keys in the header `authorization`; its case does not matter.
    pub key_scheme: &'static str,
}
