//! Tests of when a refused caller may come back.

use std::time::Duration;

use lentilshunt_core::{overload::Refusal, verdict::Reason};
use rstest::rstest;

use crate::MILLISECOND;

// Callers wait no longer than a third of the time that they have left.
#[rstest]
#[case(Reason::Deadline, 0.0, 210)]
#[case(Reason::NoRoom, 1.0, 390)]
#[case(Reason::NoConfiguration, 0.0, 100)]
#[case(Reason::NoEndpoint, 1.0, 400)]
fn retry_after(#[case] reason: Reason, #[case] random: f64, #[case] expected_ms: u32) {
    let remaining = MILLISECOND * 1500;
    let refusal = Refusal { reason, remaining };
    assert_eq!(refusal.retry_after(random), MILLISECOND * expected_ms);
    assert!(refusal.retry_after(random) < remaining / 3);
}

#[test]
fn retry_after_without_time_left() {
    let refusal = Refusal {
        reason: Reason::Deadline,
        remaining: Duration::ZERO,
    };
    assert_eq!(refusal.retry_after(1.0), Duration::ZERO);
}
