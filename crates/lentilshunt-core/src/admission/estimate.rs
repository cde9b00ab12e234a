//! Estimates the run time of requests.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// A new observation has a weight of one over this number in the average.
const SMOOTHING_DIVISOR: u64 = 8;

/// Moving average of observed run times, shared by threads without a lock.
#[derive(Debug, Default)]
pub struct Estimate {
    mean_us: AtomicU64,
}

impl Estimate {
    /// Records the run time of a completed request.
    pub fn observe(&self, run: Duration) {
        let run = u64::try_from(run.as_micros()).unwrap_or(u64::MAX).max(1);
        // Losing an observation to a concurrent update is harmless.
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

    /// Returns when a request that arrives while no slot is free is expected to complete.
    ///
    /// `ahead` is the number of requests that are served before it.
    #[must_use]
    pub fn expected_completion(&self, now: Instant, ahead: u32, slots: u32) -> Instant {
        let run = self.run_time();
        let wait = run * (ahead + 1) / slots.max(1);
        now + wait + run
    }
}
