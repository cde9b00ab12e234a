//! Random jitter of intervals and retries.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Returns a random duration between 0.5 and 1.5 times `interval`.
pub(super) fn jitter(random: &mut impl Rng, interval: Duration) -> Duration {
    interval.mul_f64(random.random_range(0.5..1.5))
}

/// Capped exponential backoff with jitter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    base: Duration,
    cap: Duration,
    attempts: u32,
}

impl Backoff {
    /// Creates a backoff whose upper bound doubles from `base` up to `cap`.
    pub(super) fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            attempts: 0,
        }
    }

    /// Returns the number of attempts since the last reset.
    pub(super) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Counts an attempt and returns the pause before the next one.
    ///
    /// The pause is random between 0.1 and 1.0 times the bound.
    pub(super) fn next_pause(&mut self, random: &mut impl Rng) -> Duration {
        let bound = self.base.saturating_mul(1 << self.attempts.min(16));
        self.attempts = self.attempts.saturating_add(1);
        bound.min(self.cap).mul_f64(random.random_range(0.1..1.0))
    }

    /// Resets the number of attempts to 0.
    pub(super) fn reset(&mut self) {
        self.attempts = 0;
    }
}
