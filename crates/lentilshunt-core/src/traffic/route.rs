//! One route of the traffic rules.

use std::time::Duration;

use super::Split;

/// How requests with one host and path prefix are answered.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time until a request is answered.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub target_latency: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Upstreams that one request may be sent to.
    pub max_attempts: usize,
    /// Services that answer, with their shares.
    pub split: Split,
}
