//! An instant that many threads read and write.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// An instant, or none, in one atomic word.
#[derive(Debug)]
pub(crate) struct AtomicInstant {
    origin: Instant,
    /// Microseconds from `origin`; 0 for none.
    micros: AtomicU64,
}

impl AtomicInstant {
    /// Creates a moment without an instant; `origin` is before all that will be stored.
    pub(crate) fn new(origin: Instant) -> Self {
        Self {
            origin,
            micros: AtomicU64::new(0),
        }
    }

    /// Stores an instant.
    pub(crate) fn set(&self, at: Instant) {
        let since = at.saturating_duration_since(self.origin).as_micros();
        let micros = u64::try_from(since).unwrap_or(u64::MAX).max(1);
        self.micros.store(micros, Ordering::Release);
    }

    /// Forgets the instant.
    pub(crate) fn clear(&self) {
        self.micros.store(0, Ordering::Release);
    }

    /// Returns the instant.
    pub(crate) fn get(&self) -> Option<Instant> {
        let micros = self.micros.load(Ordering::Acquire);
        (micros != 0).then(|| self.origin + Duration::from_micros(micros))
    }

    /// Returns whether the instant is after `now`.
    pub(crate) fn is_after(&self, now: Instant) -> bool {
        self.get().is_some_and(|at| at > now)
    }
}
