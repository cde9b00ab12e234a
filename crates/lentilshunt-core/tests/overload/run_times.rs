//! Tests of the expected run times.

use std::time::Instant;

use lentilshunt_core::overload::RunTimes;

use crate::{LOOKUP, MILLISECOND, ORDER};

#[test]
fn expected_by_kind() {
    let now = Instant::now();
    let mut run_times = RunTimes::new(now);
    assert_eq!(run_times.expected(LOOKUP, now), None);
    run_times.observe(LOOKUP, MILLISECOND * 80);
    run_times.observe(LOOKUP, MILLISECOND * 160);
    assert_eq!(run_times.expected(LOOKUP, now), Some(MILLISECOND * 90));
    // A kind without observations is expected to run as long as the others.
    assert_eq!(run_times.expected(ORDER, now), Some(MILLISECOND * 90));
    run_times.observe(ORDER, MILLISECOND * 400);
    assert_eq!(run_times.expected(ORDER, now), Some(MILLISECOND * 400));
    // A much shorter run ends a slow phase sooner.
    run_times.observe(ORDER, MILLISECOND * 100);
    assert_eq!(run_times.expected(ORDER, now), Some(MILLISECOND * 250));
    assert_eq!(run_times.expected(LOOKUP, now), Some(MILLISECOND * 90));
}

// Pattern: the upstream becomes slow. No slow run has ended yet, but those that run are old.
#[test]
fn expected_of_upstream_that_becomes_slow() {
    let start = Instant::now();
    let mut run_times = RunTimes::new(start);
    run_times.observe(LOOKUP, MILLISECOND * 80);
    for _ in 0..3 {
        run_times.start(LOOKUP, start);
    }
    let expected = |run_times: &RunTimes, after| run_times.expected(LOOKUP, start + after);
    assert_eq!(
        expected(&run_times, MILLISECOND * 40),
        Some(MILLISECOND * 80)
    );
    assert_eq!(
        expected(&run_times, MILLISECOND * 900),
        Some(MILLISECOND * 900)
    );
    // Two running requests are too few to tell.
    run_times.end(LOOKUP, start);
    assert_eq!(
        expected(&run_times, MILLISECOND * 900),
        Some(MILLISECOND * 80)
    );
}

// Pattern: services that call each other. Short calls run beside long requests, whose age is no
// sign of a slow upstream; it was taken for the run time of the calls, which were refused.
#[test]
fn expected_beside_longer_kind() {
    let start = Instant::now();
    let mut run_times = RunTimes::new(start);
    run_times.observe(LOOKUP, MILLISECOND * 60);
    run_times.observe(ORDER, MILLISECOND * 400);
    for _ in 0..4 {
        run_times.start(ORDER, start);
    }
    let expected = |after| run_times.expected(LOOKUP, start + after);
    assert_eq!(expected(MILLISECOND * 300), Some(MILLISECOND * 60));
    // All are twice as old as they should become.
    assert_eq!(expected(MILLISECOND * 800), Some(MILLISECOND * 120));
}
