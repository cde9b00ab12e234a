//! Tests of the order of upstream reports and of the wait estimate.

use std::{
    sync::Barrier,
    time::{Duration, Instant},
};

use lentilshunt_core::membership::Phase;
use lentilshunt_node::relay::{
    WaitEstimator,
    upstream::{Change, Report, Upstream, apply_report},
};
use rstest::rstest;

use crate::fixture::{nodes, report};

const INTERVAL: Duration = Duration::from_secs(1);

/// Returns the state after a first report in a phase.
fn initial_upstream(now: Instant, phase: Phase) -> Upstream {
    let first = Report {
        started_ms: 50,
        ..report("p1", 5, phase)
    };
    let (change, updated) = apply_report(None, first, INTERVAL, now);
    assert_eq!(change, Change::Changed);
    updated.expect("no upstream")
}

#[rstest]
#[case::newer(Phase::Ready, "p1", 50, 6, Phase::Ready, Change::Unchanged)]
#[case::repeated(Phase::Ready, "p1", 50, 5, Phase::Ready, Change::Ignored)]
#[case::draining(Phase::Ready, "p1", 50, 6, Phase::Draining, Change::Changed)]
#[case::back_from_drain(Phase::Draining, "p1", 50, 7, Phase::Ready, Change::Ignored)]
#[case::back_from_gone(Phase::Gone, "p1", 50, 9, Phase::Draining, Change::Ignored)]
#[case::restarted_same_id(Phase::Draining, "p1", 60, 1, Phase::Ready, Change::Changed)]
#[case::replaced(Phase::Ready, "p2", 60, 1, Phase::Ready, Change::Changed)]
#[case::outdated_process(Phase::Ready, "p0", 40, 99, Phase::Ready, Change::Ignored)]
fn apply_report_order(
    #[case] phase: Phase,
    #[case] process: &str,
    #[case] started_ms: u64,
    #[case] sequence: u64,
    #[case] reported: Phase,
    #[case] expected_change: Change,
) {
    let now = Instant::now();
    let current = initial_upstream(now, phase);
    let next = Report {
        started_ms,
        ..report(process, sequence, reported)
    };
    let (change, updated) = apply_report(Some(&current), next.clone(), INTERVAL, now + INTERVAL);
    assert_eq!(change, expected_change);
    let expected = (expected_change != Change::Ignored).then_some(next);
    assert_eq!(updated.map(|updated| updated.report), expected);
}

// Found by hunt-e4f2-19 of kembara-fleet: a node that had restarted learned of its upstream by the
// deregistration, and a delayed report two seconds later brought the upstream back into use.
#[rstest]
#[case::delayed(14, 2, Change::Ignored)]
#[case::delayed_first(2, 0, Change::Ignored)]
#[case::restarted(1, 0, Change::Changed)]
#[case::restarted_before(14, 10, Change::Changed)]
fn apply_report_after_leaving_with_unknown_start(
    #[case] sequence: u64,
    #[case] seconds: u32,
    #[case] expected: Change,
) {
    let now = Instant::now();
    let gone = Report {
        started_ms: 0,
        ..report("p1", 0, Phase::Gone)
    };
    let (_change, gone) = apply_report(None, gone, INTERVAL, now);
    let next = Report {
        started_ms: 50,
        ..report("p1", sequence, Phase::Ready)
    };
    let at = now + INTERVAL * seconds;
    let (change, _updated) = apply_report(gone.as_ref(), next, INTERVAL, at);
    assert_eq!(change, expected);
}

#[test]
fn apply_report_after_clock_was_set_back() {
    let now = Instant::now();
    let current = initial_upstream(now, Phase::Ready);
    let next = Report {
        started_ms: 40,
        ..report("p2", 1, Phase::Ready)
    };
    let (change, _) = apply_report(Some(&current), next, INTERVAL, now + INTERVAL * 3);
    assert_eq!(change, Change::Changed);
}

/// An older report, applied concurrently, must not replace a newer one.
#[tokio::test]
async fn apply_report_concurrently() {
    for round in 0..200 {
        let nodes = nodes(1).await;
        let executor = &nodes[0].executor;
        let now = Instant::now();
        let barrier = Barrier::new(2);
        std::thread::scope(|scope| {
            for (sequence, phase) in [(2, Phase::Ready), (3, Phase::Draining)] {
                let barrier = &barrier;
                scope.spawn(move || {
                    barrier.wait();
                    executor.apply_report(&report("p1", sequence, phase), now);
                });
            }
        });
        let upstream = executor.upstream(now).expect("no upstream");
        assert_eq!(upstream.report.phase, Phase::Draining, "round {round}");
    }
}

#[test]
fn record_and_estimate_after_shorter_timeout() {
    let wait_estimator = WaitEstimator::default();
    let second = Duration::from_secs(1);
    assert_eq!(
        wait_estimator.record_and_estimate("r", second * 4),
        Duration::ZERO
    );
    // First tries set 80 to 100 % of the longest timeout, so 92 % is taken as the full one.
    assert_eq!(
        wait_estimator.record_and_estimate("r", second * 3),
        Duration::from_millis(680)
    );
    assert_eq!(
        wait_estimator.record_and_estimate("r", second * 5),
        Duration::ZERO
    );
    assert_eq!(
        wait_estimator.record_and_estimate("other", second),
        Duration::ZERO
    );
}
