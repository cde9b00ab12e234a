//! Random spread of intervals and retries.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Returns a time between a half and one and a half of `interval`.
pub(super) fn jitter(random: &mut impl Rng, interval: Duration) -> Duration {
    interval.mul_f64(random.random_range(0.5..1.5))
}

/// Capped exponential back-off with full jitter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    first: Duration,
    cap: Duration,
    attempts: u32,
}

impl Backoff {
    /// Creates a back-off whose bound doubles from `first` up to `cap`.
    pub(super) fn new(first: Duration, cap: Duration) -> Self {
        Self {
            first,
            cap,
            attempts: 0,
        }
    }

    /// Returns the failures since the last success.
    pub(super) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Counts a failure and returns the pause before the next attempt.
    pub(super) fn fail(&mut self, random: &mut impl Rng) -> Duration {
        let bound = self.first.saturating_mul(1 << self.attempts.min(16));
        self.attempts = self.attempts.saturating_add(1);
        bound.min(self.cap).mul_f64(random.random_range(0.1..1.0))
    }

    /// Starts over after a success.
    pub(super) fn succeed(&mut self) {
        self.attempts = 0;
    }
}
