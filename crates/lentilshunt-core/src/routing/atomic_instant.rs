//! Atomic optional instant.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// An optional [`Instant`] stored in one atomic integer.
#[derive(Debug)]
pub(crate) struct AtomicInstant {
    origin: Instant,
    /// Microseconds since `origin`; 0 for none.
    micros: AtomicU64,
}

impl AtomicInstant {
    /// Creates a value that holds none; all stored instants must be after `origin`.
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

    /// Removes the instant.
    pub(crate) fn clear(&self) {
        self.micros.store(0, Ordering::Release);
    }

    /// Returns the instant, if one is stored.
    pub(crate) fn get(&self) -> Option<Instant> {
        let micros = self.micros.load(Ordering::Acquire);
        (micros != 0).then(|| self.origin + Duration::from_micros(micros))
    }

    /// Returns whether an instant is stored that is after `now`.
    pub(crate) fn is_after(&self, now: Instant) -> bool {
        self.get().is_some_and(|at| at > now)
    }
}
