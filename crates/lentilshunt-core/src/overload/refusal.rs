//! When a refused caller may come back.

use std::time::Duration;

use crate::verdict::Reason;

/// Minimum wait of a caller that is refused for another reason than load.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Range of the random time that is added to [`MIN_WAIT`].
const WAIT_JITTER: Duration = Duration::from_millis(300);
/// Minimum wait of a caller of an overloaded service, as a fraction of the time that it has left.
///
/// With the jitter it stays below a third of that time, the longest that callers wait before
/// they repeat a request.
const MIN_WAIT_FRACTION: f64 = 0.14;
/// Range of the random time that is added to [`MIN_WAIT_FRACTION`], as a fraction of the time
/// left.
const WAIT_JITTER_FRACTION: f64 = 0.12;

/// A refusal of a request that has not run and will not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Time that the caller has left for the request.
    pub remaining: Duration,
}

impl Refusal {
    /// Returns the time after which the caller may repeat the request.
    ///
    /// `random` is a number from 0 to 1. Callers that are refused together return at different
    /// times. Under load the time grows with what the caller has left, since a burst outlasts a
    /// short wait; a node that is starting or has lost an endpoint is asked again soon.
    #[must_use]
    pub fn retry_after(&self, random: f64) -> Duration {
        if self.is_overload() {
            let fraction = MIN_WAIT_FRACTION + WAIT_JITTER_FRACTION * random;
            self.remaining.mul_f64(fraction)
        } else {
            MIN_WAIT + WAIT_JITTER.mul_f64(random)
        }
    }

    fn is_overload(&self) -> bool {
        matches!(
            self.reason,
            Reason::NoRoom
                | Reason::QueueFull
                | Reason::Deadline
                | Reason::RateLimited
                | Reason::OverQuota
        )
    }
}
