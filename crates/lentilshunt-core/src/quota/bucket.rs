//! Token bucket that may be overdrawn.

use std::time::Instant;

use crate::organisation::Quota;

/// Token bucket that may be overdrawn; the debt is repaid by later refills.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    level: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a bucket with `level` tokens.
    pub(super) fn new(level: f64, now: Instant) -> Self {
        Self {
            level,
            refilled_at: now,
        }
    }

    /// Adds the tokens since the last refill, up to the burst, and returns the level.
    pub(super) fn refill(&mut self, quota: &Quota, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.level = (self.level + quota.rate * elapsed.as_secs_f64()).min(quota.burst);
        self.level
    }

    /// Removes tokens, whether there are enough or not; a negative number gives tokens back.
    pub(super) fn charge(&mut self, tokens: f64) {
        self.level -= tokens;
    }
}
