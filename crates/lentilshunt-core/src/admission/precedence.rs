//! When a waiting request is served.

use std::time::Instant;

/// Order of a request among those that wait for a slot.
///
/// Requests are served by rank, then those that can still be answered with full
/// worth, then by deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Precedence {
    /// Rank of the request; 0 is served first.
    pub rank: u8,
    /// Whether the time for an answer with full worth has passed.
    pub is_past_target: bool,
    /// Instant by which the request must be answered.
    pub deadline: Instant,
}

impl Precedence {
    /// Creates the turn of a request of the highest rank that is not late.
    #[must_use]
    pub fn with_deadline(deadline: Instant) -> Self {
        Self {
            rank: 0,
            is_past_target: false,
            deadline,
        }
    }
}
