//! Limits on the requests and connections of callers.

use std::time::Duration;

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of the request line and headers of a request, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply before the first configuration is received.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
