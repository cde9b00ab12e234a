//! Tests of what a restarted node believes of its upstream.

use std::time::{Duration, Instant};

use lentilshunt_core::membership::Phase;
use lentilshunt_node::relay::upstream::{Change, Report};
use rstest::rstest;

use crate::{
    fixture::{nodes, nodes_with_upstream, report},
    raw_upstream::RawUpstream,
};

// An upstream that leaves must not be used again because its node has restarted.
#[tokio::test]
async fn probe_upstream_in_each_state() {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(1, upstream.address).await;
    let executor = &nodes[0].executor;
    let expected = Report {
        process: "p7".to_owned(),
        started_ms: 0,
        sequence: 0,
        service: "bales".to_owned(),
        version: String::new(),
        warm_up_left: Duration::ZERO,
        phase: Phase::Ready,
        slots: 9,
    };
    assert_eq!(
        executor.probe_upstream("/healthz/ready").await,
        Some(expected)
    );
    assert_eq!(executor.probe_upstream("/healthz/leaving").await, None);
    // A response without the id of the process is no health check.
    assert_eq!(executor.probe_upstream("/x").await, None);
}

// What the upstream reports itself has precedence over an earlier or later health check.
#[tokio::test]
async fn adopt_after_report() {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(1, upstream.address).await;
    let executor = &nodes[0].executor;
    let now = Instant::now();
    executor.apply_report(&report("p1", 2, Phase::Draining), now);
    let probed = Report {
        started_ms: 0,
        sequence: 0,
        ..report("p1", 0, Phase::Ready)
    };
    executor.adopt(&probed, now);
    let current = executor.upstream(now).expect("an upstream");
    assert_eq!(current.report.phase, Phase::Draining);
}

// A process that had left was used again when a delayed report of it followed one of an earlier
// process, or of an earlier start under the same id.
#[rstest]
#[case::earlier_process(report("p1", 9, Phase::Ready))]
#[case::earlier_start(Report { started_ms: 3, ..report("p2", 9, Phase::Ready) })]
#[tokio::test]
async fn apply_delayed_reports_in_series(#[case] earlier: Report) {
    let nodes = nodes(1).await;
    let executor = &nodes[0].executor;
    let now = Instant::now();
    let second = Duration::from_secs(1);
    executor.apply_report(&report("p1", 2, Phase::Gone), now);
    let ready = Report {
        started_ms: 5,
        ..report("p2", 1, Phase::Ready)
    };
    assert_eq!(executor.apply_report(&ready, now + second), Change::Changed);
    let gone = Report {
        phase: Phase::Gone,
        ..ready.clone()
    };
    executor.apply_report(&gone, now + second);
    for delayed in [
        earlier,
        Report {
            sequence: 9,
            ..ready
        },
    ] {
        let change = executor.apply_report(&delayed, now + second * 5);
        assert_eq!(change, Change::Ignored, "{delayed:?}");
    }
    let current = executor.upstream(now + second * 5).expect("an upstream");
    assert_eq!(current.report, gone);
}
