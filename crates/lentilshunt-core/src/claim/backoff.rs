//! How often a node writes claims.

use std::time::{Duration, Instant};

/// Time between two transactions at the first level above none.
const FIRST_INTERVAL: Duration = Duration::from_millis(8);
/// Highest level; each doubles the time between two transactions.
const MAX_LEVEL: u32 = 6;
/// Successes in a row after which the level falls.
const SUCCESSES_TO_LOWER: u32 = 4;

/// Spreads a node's transactions when the platform is overloaded or away.
///
/// Bids wait meanwhile and share the next transaction.
#[derive(Clone, Debug)]
pub struct Backoff {
    level: u32,
    successes: u32,
    next_at: Instant,
    /// Instant before which a failure does not raise the level again.
    raisable_at: Instant,
}

impl Backoff {
    /// Creates a pace that lets the next transaction start at once.
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

    /// Takes the start of a transaction; `random` spreads the next by up to a half.
    pub fn record_start(&mut self, now: Instant, random: u32) {
        let interval = self.delay();
        let spread = interval.mul_f64(f64::from(random) / f64::from(u32::MAX) / 2.0);
        self.next_at = now + interval + spread;
    }

    /// Takes a transaction that the platform answered.
    pub fn record_success(&mut self) {
        self.successes += 1;
        if self.successes >= SUCCESSES_TO_LOWER {
            self.successes = 0;
            self.level = self.level.saturating_sub(1);
        }
    }

    /// Takes a transaction that the platform refused or did not answer.
    ///
    /// Failures of transactions that were in flight together count as one.
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
        FIRST_INTERVAL * (1 << (self.level - 1))
    }
}
