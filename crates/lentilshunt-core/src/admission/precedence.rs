//! Order in which waiting requests are served.

use std::time::Instant;

/// Sort key of a request in the queue; lower values are served first.
///
/// Requests are ordered by rank, then calls of runs that have begun go before all others, then
/// those past their target latency after all others, then by deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Precedence {
    /// Rank of the request; 0 is served first.
    pub rank: u8,
    /// Whether the request is none that a run on another upstream waits for.
    pub is_first: bool,
    /// Whether the request is a repeat whose target latency has passed.
    pub is_past_target: bool,
    /// Instant by which the request must complete.
    pub deadline: Instant,
}

impl Precedence {
    /// Creates the key of a request of the highest rank that is within its target latency.
    #[must_use]
    pub fn with_deadline(deadline: Instant) -> Self {
        Self {
            rank: 0,
            is_first: true,
            is_past_target: false,
            deadline,
        }
    }
}
