//! The share of one node in the retries that all nodes may make together.

use std::sync::atomic::{AtomicU64, Ordering};

/// Parts of one retry in which credit is counted.
const RETRY_COST: u64 = 1000;
/// Part of the fleet's allowance that is handed out, in percent.
///
/// The rest covers the calls that repeated requests make themselves.
const DISTRIBUTED_PERCENT: u64 = 50;

/// Retries that all nodes together may make in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Retries for each hundred requests.
    pub percent: u32,
    /// Retries in one window besides.
    pub slack: u32,
}

/// Credit of one node for the retries of one service, without a lock.
///
/// Requests earn credit and retries spend it. What is kept is bounded by the
/// node's part of the slack, so that in any window all nodes together stay
/// within the allowance, however many of them have saved up credit. A node that
/// has just started has none, since the one before it may have spent it.
#[derive(Debug, Default)]
pub struct NodeBudget {
    credit: AtomicU64,
}

impl NodeBudget {
    /// Counts a request, where the allowance is shared by `nodes` nodes.
    pub fn deposit(&self, fleet: FleetBudget, nodes: usize) {
        let deposit = u64::from(fleet.percent) * RETRY_COST / 100;
        let deposit = deposit * DISTRIBUTED_PERCENT / 100;
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX).max(1);
        let slack = u64::from(fleet.slack) * RETRY_COST * DISTRIBUTED_PERCENT / 100;
        let limit = (slack / nodes).max(RETRY_COST);
        let add = |credit: u64| Some(limit.min(credit + deposit));
        // The closure always returns a value.
        let _earlier = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Spends the credit of one retry and returns whether there was enough.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let take = |credit: u64| credit.checked_sub(RETRY_COST);
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
