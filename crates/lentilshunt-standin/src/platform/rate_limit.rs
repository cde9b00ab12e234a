//! Limit on requests per second.

use std::time::{Duration, Instant};

/// Length of a counting window.
const WINDOW: Duration = Duration::from_secs(1);

/// Limit on the requests of each one-second window.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: u64,
    used: u64,
    resets_at: Instant,
}

impl RateLimit {
    /// Creates a limit of `per_second` requests per second.
    #[must_use]
    pub fn new(per_second: u64, now: Instant) -> Self {
        Self {
            per_second,
            used: 0,
            resets_at: now + WINDOW,
        }
    }

    /// Counts one request and returns whether it is within the limit.
    pub fn count_request(&mut self, now: Instant) -> bool {
        if now >= self.resets_at {
            self.used = 0;
            self.resets_at = now + WINDOW;
        }
        self.used += 1;
        self.used <= self.per_second
    }
}
