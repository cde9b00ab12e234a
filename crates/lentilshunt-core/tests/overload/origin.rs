//! Tests of whether requests are calls of the local upstream.

use std::time::Instant;

use lentilshunt_core::overload::Origin;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;

use crate::MILLISECOND;

// Calls of 300 ms by runs that have up to 2 s left, and the same while the node has missed a parent.
#[test]
fn record_calls_of_upstream() {
    let now = Instant::now();
    let parent = now + MILLISECOND * 800;
    let mut origin = Origin::default();
    let calls = (0..100).map(|_| origin.record(now + MILLISECOND * 300, Some(parent)));
    assert!(calls.skip(16).all(|is_call| is_call));
    assert!(!origin.record(now + MILLISECOND * 900, Some(parent)));
    assert!(origin.record(now + MILLISECOND * 300, Some(parent)));
}

// Callers set 85 to 100 % of their longest timeout; the upstream runs other requests meanwhile.
#[rstest]
#[case(6000, 3000)]
#[case(1500, 1200)]
#[case(1000, 1000)]
fn record_requests_of_callers(#[case] timeout: u32, #[case] longest_running: u32) {
    let mut random = SmallRng::seed_from_u64(3);
    let now = Instant::now();
    let mut origin = Origin::default();
    let mut count = 0;
    for _ in 0..1000 {
        let deadline = now + MILLISECOND * random.random_range(timeout * 85 / 100..=timeout);
        // The youngest of some runs, each of which has used part of its time.
        let running = now + MILLISECOND * (longest_running - random.random_range(20..200));
        count += u32::from(origin.record(deadline, Some(running)));
    }
    assert!(count < 100, "{count} of 1000 taken for calls");
}

#[test]
fn record_while_nothing_runs() {
    let now = Instant::now();
    let mut origin = Origin::default();
    assert!((0..100).all(|_| !origin.record(now, None)));
}
