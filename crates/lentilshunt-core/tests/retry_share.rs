//! Tests of the share of one node in the retries of the fleet.

use lentilshunt_core::retry::{Allowance, Share};
use rstest::rstest;

const ALLOWANCE: Allowance = Allowance {
    percent: 20,
    slack: 58,
};

fn spent(share: &Share) -> u32 {
    (0..10_000).map(|_| u32::from(share.spend())).sum()
}

#[test]
fn spend_at_start() {
    assert!(!Share::default().spend());
}

#[rstest]
#[case(1)]
#[case(18)]
#[case(90)]
fn spend_within_fleet_allowance(#[case] nodes: u32) {
    const REQUESTS: u32 = 40;
    let shares: Vec<Share> = (0..nodes).map(|_| Share::default()).collect();
    let mut retries = 0;
    // Credit saved in an earlier window is spent together with that of this one.
    for _ in 0..10 {
        for share in &shares {
            for _ in 0..REQUESTS {
                share.earn(ALLOWANCE, nodes as usize);
            }
        }
        retries = 0;
        for share in &shares {
            retries += spent(share);
            for _ in 0..REQUESTS {
                share.earn(ALLOWANCE, nodes as usize);
                retries += u32::from(share.spend());
            }
        }
    }
    let allowed = ALLOWANCE.slack.max(nodes) + ALLOWANCE.percent * nodes * REQUESTS / 100;
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
    assert!(retries > 0);
}
