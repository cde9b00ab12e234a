//! Adaptive delay between the claim transactions of a node.

use std::time::{Duration, Instant};

/// Delay between two transactions at level 1.
const INITIAL_DELAY: Duration = Duration::from_millis(8);
/// Highest level; level 0 has no delay, and each level above 1 doubles it.
const MAX_LEVEL: u32 = 6;
/// Consecutive successes after which the level falls by one.
const SUCCESSES_TO_LOWER: u32 = 4;

/// Delays a node's transactions while the platform is overloaded or unavailable.
///
/// Bids that arrive during the delay are batched into the next transactions.
#[derive(Clone, Debug)]
pub struct Backoff {
    level: u32,
    successes: u32,
    next_at: Instant,
    /// Instant before which a failure does not raise the level again.
    raisable_at: Instant,
}

impl Backoff {
    /// Creates a backoff without a delay before the next transaction.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            level: 0,
            successes: 0,
            next_at: now,
            raisable_at: now,
        }
    }

    /// Returns when the next transaction may start.
    #[must_use]
    pub fn next_at(&self) -> Instant {
        self.next_at
    }

    /// Records the start of a transaction.
    ///
    /// `random` adds a jitter of up to half the delay to the next start.
    pub fn record_start(&mut self, now: Instant, random: u32) {
        let delay = self.delay();
        let jitter = delay.mul_f64(f64::from(random) / f64::from(u32::MAX) / 2.0);
        self.next_at = now + delay + jitter;
    }

    /// Records a transaction that the platform responded to.
    pub fn record_success(&mut self) {
        self.successes += 1;
        if self.successes >= SUCCESSES_TO_LOWER {
            self.successes = 0;
            self.level = self.level.saturating_sub(1);
        }
    }

    /// Records a transaction that the platform refused or did not respond to.
    ///
    /// Failures of transactions that were in flight at the same time raise the
    /// level only once.
    pub fn record_failure(&mut self, now: Instant) {
        self.successes = 0;
        if now >= self.raisable_at {
            self.level = (self.level + 1).min(MAX_LEVEL);
            self.raisable_at = now + self.delay();
        }
        self.next_at = self.next_at.max(now + self.delay());
    }

    fn delay(&self) -> Duration {
        if self.level == 0 {
            return Duration::ZERO;
        }
        INITIAL_DELAY * (1 << (self.level - 1))
    }
}
