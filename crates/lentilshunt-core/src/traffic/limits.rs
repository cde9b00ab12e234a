//! What a caller may send, and how long it may take.

use std::time::Duration;

/// Limits of requests and connections of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time for which a caller's connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// Returns limits that hold before the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}
