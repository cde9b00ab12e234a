//! How many retries a service may have.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::routing::atomic_instant::AtomicInstant;

/// Cost of one retry.
const RETRY_COST: u64 = 1000;
/// Credit of one first attempt for each percent of retries.
const PERCENT_CREDIT: u64 = RETRY_COST / 100;
/// Largest credit that is kept.
const MAX_CREDIT: u64 = 50 * RETRY_COST;
/// Retries that a service without other credit gets at once.
const FLOOR_CREDIT: u64 = 10 * RETRY_COST;
/// Time in which the floor comes back.
const FLOOR_INTERVAL: Duration = Duration::from_secs(1);

/// Credit for the retries of one service, shared by all calls without a lock.
///
/// First attempts earn credit and retries spend it, so that retries stay below
/// a fixed ratio of first attempts plus a small floor however many calls fail.
#[derive(Debug)]
pub struct Budget {
    deposit_credit: u64,
    credit: AtomicU64,
    floor_refill_at: AtomicInstant,
}

impl Budget {
    /// Creates a budget of `percent` retries for each hundred first attempts.
    ///
    /// It begins with the credit of the floor.
    #[must_use]
    pub fn new(origin: Instant, percent: u32) -> Self {
        let floor_refill_at = AtomicInstant::new(origin);
        floor_refill_at.set(origin + FLOOR_INTERVAL);
        Self {
            deposit_credit: u64::from(percent) * PERCENT_CREDIT,
            credit: AtomicU64::new(FLOOR_CREDIT),
            floor_refill_at,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&self) {
        self.add(self.deposit_credit, MAX_CREDIT);
    }

    /// Spends the credit of one retry and returns whether there was enough.
    #[must_use]
    pub fn withdraw(&self, now: Instant) -> bool {
        if self.try_withdraw() {
            return true;
        }
        if self.floor_refill_at.is_after(now) {
            return false;
        }
        self.floor_refill_at.set(now + FLOOR_INTERVAL);
        self.add(FLOOR_CREDIT, FLOOR_CREDIT);
        self.try_withdraw()
    }

    fn try_withdraw(&self) -> bool {
        let spend = |credit: u64| credit.checked_sub(RETRY_COST);
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }

    fn add(&self, added: u64, limit: u64) {
        let earn = |credit: u64| (credit < limit).then(|| limit.min(credit + added));
        // A budget at its limit stays as it is.
        let _unchanged = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }
}
