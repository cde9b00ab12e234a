//! Retry budget of one service.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::routing::atomic_instant::AtomicInstant;

/// Credit that one retry costs; credit is counted in thousandths of a retry.
const RETRY_COST: u64 = 1000;
/// Credit that one first attempt deposits for each percent of retries.
const PERCENT_CREDIT: u64 = RETRY_COST / 100;
/// Maximum credit, worth 50 retries.
const MAX_CREDIT: u64 = 50 * RETRY_COST;
/// Credit that a service has at the start and after each refill, without any deposits.
const FLOOR_CREDIT: u64 = 10 * RETRY_COST;
/// Minimum time between two refills to the floor.
const FLOOR_INTERVAL: Duration = Duration::from_secs(1);

/// Lock-free credit for the retries of one service, shared by all calls.
///
/// First attempts deposit credit and retries withdraw it, so that the number of
/// retries stays below a fixed ratio of the first attempts plus a small floor,
/// regardless of how many calls fail. It limits the retries of this node alone;
/// [`NodeBudget`](super::NodeBudget) is the part of this node in a limit for the whole fleet.
#[derive(Debug)]
pub struct Budget {
    deposit_credit: u64,
    credit: AtomicU64,
    floor_refill_at: AtomicInstant,
}

impl Budget {
    /// Creates a budget of `percent` retries for every hundred first attempts.
    ///
    /// The initial credit is the floor.
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

    /// Deposits the credit of a first attempt.
    pub fn deposit(&self) {
        self.add(self.deposit_credit, MAX_CREDIT);
    }

    /// Withdraws the credit of one retry and returns whether there was enough.
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
        let withdraw = |credit: u64| credit.checked_sub(RETRY_COST);
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw)
            .is_ok()
    }

    fn add(&self, added: u64, limit: u64) {
        let deposit = |credit: u64| (credit < limit).then(|| limit.min(credit + added));
        // The update fails if the budget is at its limit, which then stays unchanged.
        let _unchanged = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposit);
    }
}
