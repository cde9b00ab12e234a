//! Time that passes while the machine is suspended.

use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};

/// An instant together with the time that the machine had been suspended by then.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    at: Instant,
    suspended_before: Duration,
}

impl Moment {
    /// Returns the present moment.
    #[must_use]
    pub fn now() -> Self {
        Self {
            at: Instant::now(),
            suspended_before: total_suspended(),
        }
    }

    /// Returns the instant of the steady clock.
    #[must_use]
    pub fn instant(&self) -> Instant {
        self.at
    }

    /// Returns the time since this moment, with the time in suspension.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.at.elapsed() + total_suspended().saturating_sub(self.suspended_before)
    }

    /// Returns the time in suspension since this moment.
    #[must_use]
    pub fn suspended_since(&self) -> Duration {
        total_suspended().saturating_sub(self.suspended_before)
    }
}

/// Returns how long the machine has been suspended since it started.
///
/// The steady clock stands still in suspension, the boot clock does not. Where
/// the system has no boot clock, no suspension is noticed.
fn total_suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
        _ => Duration::ZERO,
    }
}
