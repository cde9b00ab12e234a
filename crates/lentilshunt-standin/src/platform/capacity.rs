//! Requests that the platform serves each second.

use std::time::{Duration, Instant};

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A count of requests in the running second.
#[derive(Clone, Debug)]
pub struct Capacity {
    per_second: u64,
    used: u64,
    resets_at: Instant,
}

impl Capacity {
    /// Creates a capacity of `per_second` requests.
    #[must_use]
    pub fn new(per_second: u64, now: Instant) -> Self {
        Self {
            per_second,
            used: 0,
            resets_at: now + WINDOW,
        }
    }

    /// Counts one request and returns whether it is within the capacity.
    pub fn take(&mut self, now: Instant) -> bool {
        if now >= self.resets_at {
            self.used = 0;
            self.resets_at = now + WINDOW;
        }
        self.used += 1;
        self.used <= self.per_second
    }
}
