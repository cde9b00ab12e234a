//! What a caller may send, and how long it may take.

use std::time::Duration;

/// Limits of requests and connections of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for which a caller's connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns limits that hold before the first configuration is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
