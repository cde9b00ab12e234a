//! Route of the traffic rules.

use std::time::Duration;

use super::Split;

/// Handling of the requests with one host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route, used in logs.
    pub name: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time within which a request must complete.
    pub timeout: Duration,
    /// Time after which a repeat of a request is queued behind all others of its rank.
    pub target_latency: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Whether requests need no key, although the version lists organisations.
    pub is_public: bool,
    /// Maximum number of attempts of a request that may have reached an upstream.
    ///
    /// Attempts that certainly did not reach one are not counted.
    pub max_upstream_attempts: usize,
    /// Services that receive the requests, with their weights.
    pub split: Split,
}
