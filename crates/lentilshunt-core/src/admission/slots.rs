//! Concurrency limit of an upstream.

use std::sync::atomic::{AtomicU32, Ordering};

/// Lock-free counter of the slots in use and their limit.
///
/// The memory orderings are sequentially consistent. With weaker ones, a
/// releasing thread could see no waiter while the waiter sees no free slot, and
/// the waiter would miss the wakeup.
#[derive(Debug, Default)]
pub struct Slots {
    limit: AtomicU32,
    acquired: AtomicU32,
}

impl Slots {
    /// Sets the limit; slots in use above it stay in use until they are released.
    pub fn resize(&self, limit: u32) {
        self.limit.store(limit, Ordering::SeqCst);
    }

    /// Returns the limit.
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

    /// Acquires a slot and returns whether one was free.
    pub fn try_acquire(&self) -> bool {
        let limit = self.limit();
        let increment = |acquired: u32| (acquired < limit).then_some(acquired + 1);
        self.acquired
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment)
            .is_ok()
    }

    /// Releases an acquired slot.
    pub fn release(&self) {
        self.acquired.fetch_sub(1, Ordering::SeqCst);
    }
}
