//! The run time that requests are expected to have.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Part of the distance to a new run time by which the estimate moves.
const SMOOTHING_DIVISOR: u64 = 8;

/// Moving average of observed run times, shared by threads without a lock.
#[derive(Debug, Default)]
pub struct Estimate {
    mean_us: AtomicU64,
}

impl Estimate {
    /// Takes the run time of an answered request.
    pub fn observe(&self, run: Duration) {
        let run = u64::try_from(run.as_micros()).unwrap_or(u64::MAX).max(1);
        // A run time that is lost to a concurrent update does no harm.
        let mean = self.mean_us.load(Ordering::Relaxed);
        let updated = if mean == 0 {
            run
        } else {
            mean.saturating_mul(SMOOTHING_DIVISOR - 1)
                .saturating_add(run)
                / SMOOTHING_DIVISOR
        };
        self.mean_us.store(updated.max(1), Ordering::Relaxed);
    }

    /// Returns the expected run time; zero before the first observation.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }

    /// Returns when a request that finds all slots taken is expected to be answered.
    ///
    /// `ahead` is the number of requests that wait before it.
    #[must_use]
    pub fn expected_completion(&self, now: Instant, ahead: u32, slots: u32) -> Instant {
        let run = self.run_time();
        let wait = run * (ahead + 1) / slots.max(1);
        now + wait + run
    }
}
