//! Share of one node in the retry budget of the fleet.

use std::sync::atomic::{AtomicU64, Ordering};

/// Credit that one retry costs; credit is counted in thousandths of a retry.
const RETRY_COST: u64 = 1000;
/// Part of the fleet's budget that is distributed to the nodes, in percent.
///
/// The rest is reserved for the calls that retried requests make in turn.
const DISTRIBUTED_PERCENT: u64 = 50;

/// Limit on the retries of all nodes together, in any period.
///
/// It is `percent` of the requests in the period plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Retries for every hundred requests.
    pub percent: u32,
    /// Additional retries in any period.
    pub slack: u32,
}

/// Lock-free credit of one node for the retries of one service.
///
/// Requests deposit credit and retries withdraw it. The credit is limited to the
/// node's part of the slack, but not below one retry. In any period all nodes
/// together stay within the fleet's budget, regardless of how many of them have
/// accumulated credit, as long as there are no more nodes than `slack`. A node
/// starts without credit, because the process that it replaces may have spent it
/// already.
#[derive(Debug, Default)]
pub struct NodeBudget {
    credit: AtomicU64,
}

impl NodeBudget {
    /// Deposits the credit of a request, in a fleet of `nodes` nodes that share the budget.
    pub fn deposit(&self, fleet: FleetBudget, nodes: usize) {
        let deposit = u64::from(fleet.percent) * RETRY_COST / 100;
        let deposit = deposit * DISTRIBUTED_PERCENT / 100;
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX).max(1);
        let slack = u64::from(fleet.slack) * RETRY_COST * DISTRIBUTED_PERCENT / 100;
        let limit = (slack / nodes).max(RETRY_COST);
        let add = |credit: u64| Some(limit.min(credit + deposit));
        // The update cannot fail, because the closure always returns a value.
        let _previous = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Withdraws the credit of one retry and returns whether there was enough.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let withdraw = |credit: u64| credit.checked_sub(RETRY_COST);
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw)
            .is_ok()
    }
}
