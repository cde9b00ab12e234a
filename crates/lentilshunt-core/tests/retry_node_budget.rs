//! Tests for the share of one node in the retry budget of the fleet.

use lentilshunt_core::retry::{FleetBudget, NodeBudget};
use rstest::rstest;

const FLEET: FleetBudget = FleetBudget {
    percent: 20,
    slack: 58,
};

fn withdraw_all(budget: &NodeBudget) -> u32 {
    (0..10_000).map(|_| u32::from(budget.withdraw())).sum()
}

#[test]
fn withdraw_without_deposit() {
    assert!(!NodeBudget::default().withdraw());
}

/// Retries stay within the percentage plus the slack, or plus one per node if that is more.
#[rstest]
#[case(1)]
#[case(18)]
#[case(90)]
fn withdraw_within_fleet_budget(#[case] nodes: u32) {
    const REQUESTS: u32 = 40;
    let budgets: Vec<NodeBudget> = (0..nodes).map(|_| NodeBudget::default()).collect();
    let mut retries = 0;
    // Each window withdraws the credit accumulated in the previous one together with its own.
    for _ in 0..10 {
        for budget in &budgets {
            for _ in 0..REQUESTS {
                budget.deposit(FLEET, nodes as usize);
            }
        }
        retries = 0;
        for budget in &budgets {
            retries += withdraw_all(budget);
            for _ in 0..REQUESTS {
                budget.deposit(FLEET, nodes as usize);
                retries += u32::from(budget.withdraw());
            }
        }
    }
    let allowed = FLEET.slack.max(nodes) + FLEET.percent * nodes * REQUESTS / 100;
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
    assert!(retries > 0);
}
