//! Tests of the estimate of how long a caller has waited.

use std::time::Duration;

use lentilshunt_core::overload::Timeouts;

use crate::MILLISECOND;

// Callers set timeouts of 85 to 100 % of the longest; none of these repeats a request.
#[test]
fn record_unequal_first_tries() {
    let mut timeouts = Timeouts::default();
    for timeout in [1500, 1275, 1400, 1290, 1499] {
        let waited = timeouts.record_and_estimate(MILLISECOND * timeout);
        assert_eq!(waited, Duration::ZERO, "timeout of {timeout} ms");
    }
}

#[test]
fn record_repeat() {
    let mut timeouts = Timeouts::default();
    timeouts.record_and_estimate(MILLISECOND * 1500);
    let waited = timeouts.record_and_estimate(MILLISECOND * 900);
    assert_eq!(waited, MILLISECOND * 480);
}

// A single caller with a very long timeout must not make all others look like repeats for good.
#[test]
fn record_forgets_outlier() {
    let mut timeouts = Timeouts::default();
    timeouts.record_and_estimate(Duration::from_mins(1));
    let mut estimates = (0..300).map(|_| timeouts.record_and_estimate(MILLISECOND * 1500));
    assert!(
        estimates
            .next()
            .is_some_and(|waited| waited > Duration::ZERO)
    );
    assert_eq!(estimates.last(), Some(Duration::ZERO));
}
