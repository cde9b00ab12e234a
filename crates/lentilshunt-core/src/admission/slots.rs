//! The slots of an upstream.

use std::sync::atomic::{AtomicU32, Ordering};

/// Count of free and taken slots, shared by threads without a lock.
///
/// The orderings are sequentially consistent, so that a releasing thread that
/// sees no waiter and a waiter that sees no free slot cannot miss each other.
#[derive(Debug, Default)]
pub struct Slots {
    limit: AtomicU32,
    acquired: AtomicU32,
}

impl Slots {
    /// Sets how many slots there are; slots taken above it are not taken back.
    pub fn resize(&self, limit: u32) {
        self.limit.store(limit, Ordering::SeqCst);
    }

    /// Returns how many slots there are.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::SeqCst)
    }

    /// Returns how many slots are free.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.limit()
            .saturating_sub(self.acquired.load(Ordering::SeqCst))
    }

    /// Takes a slot and returns whether one was free.
    pub fn try_acquire(&self) -> bool {
        let limit = self.limit();
        let more = |acquired: u32| (acquired < limit).then_some(acquired + 1);
        self.acquired
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, more)
            .is_ok()
    }

    /// Gives a slot back.
    pub fn release(&self) {
        self.acquired.fetch_sub(1, Ordering::SeqCst);
    }
}
