//! Time measurement that includes system suspension.

use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};

/// A point in time, with the total time that the system had been suspended by then.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    at: Instant,
    suspended_before: Duration,
}

impl Moment {
    /// Returns the current time.
    #[must_use]
    pub fn now() -> Self {
        Self {
            at: Instant::now(),
            suspended_before: total_suspended(),
        }
    }

    /// Returns the time `age` ago.
    #[must_use]
    pub fn before_now(age: Duration) -> Self {
        let now = Self::now();
        Self {
            at: now.at.checked_sub(age).unwrap_or(now.at),
            ..now
        }
    }

    /// Returns the later of two moments.
    #[must_use]
    pub fn latest(self, other: Self) -> Self {
        if other.elapsed() < self.elapsed() {
            other
        } else {
            self
        }
    }

    /// Returns the instant of the monotonic clock.
    #[must_use]
    pub fn instant(&self) -> Instant {
        self.at
    }

    /// Returns the time since this moment, including suspension.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.at.elapsed() + total_suspended().saturating_sub(self.suspended_before)
    }

    /// Returns how long the system has been suspended since this moment.
    #[must_use]
    pub fn suspended_since(&self) -> Duration {
        total_suspended().saturating_sub(self.suspended_before)
    }
}

/// Returns how long the system has been suspended since boot.
///
/// `CLOCK_MONOTONIC` stops during suspension, `CLOCK_BOOTTIME` does not. Returns
/// zero on systems without `CLOCK_BOOTTIME`.
fn total_suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        _ => Duration::ZERO,
    }
}
