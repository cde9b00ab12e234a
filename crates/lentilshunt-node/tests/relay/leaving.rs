//! Tests of calls to upstreams that say in a response that they leave.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use lentilshunt_core::{membership::Phase, overload::Notice};
use lentilshunt_node::relay::{
    body::empty,
    upstream::{Change, Report},
};
use tokio::time::sleep;

use crate::fixture::{Node, call, nodes, report};

fn received(node: &Node) -> usize {
    node.upstream.received.lock().unwrap().len()
}

fn phase(node: &Node) -> Phase {
    let upstream = node.executor.upstream(Instant::now());
    upstream.expect("an upstream").report.phase
}

// An upstream that had said in a response that it leaves got further requests.
#[tokio::test]
async fn call_after_leaving_response() {
    let nodes = nodes(2).await;
    let response = call(&nodes[0], "/leaving/", &[], empty()).await;
    assert_eq!(response.status, StatusCode::OK);
    let before = nodes.iter().map(received).collect::<Vec<_>>();
    assert_eq!(before, [1, 0]);
    for node in &nodes {
        for _ in 0..20 {
            let response = call(node, "/a/", &[], empty()).await;
            assert_eq!(response.status, StatusCode::OK);
        }
    }
    assert_eq!(nodes.iter().map(received).collect::<Vec<_>>(), [1, 40]);
}

// A response that said that the upstream leaves was ignored if the upstream had been found by a
// health check, and its first report had arrived since the request was sent.
#[tokio::test]
async fn call_leaving_after_first_report() {
    let nodes = nodes(1).await;
    let node = &nodes[0];
    let found = Report {
        started_ms: 0,
        ..report("p2", 0, Phase::Ready)
    };
    // The upstream of the fixture has been silent by then.
    let found_at = Instant::now() + Duration::from_secs(3);
    node.executor.apply_report(&found, found_at);
    let first = async {
        sleep(Duration::from_millis(100)).await;
        let first = report("p2", 1, Phase::Ready);
        let change = node.executor.apply_report(&first, found_at);
        assert_eq!(change, Change::Changed);
    };
    let called = call(node, "/lasting/300/leaving/", &[], empty());
    let (response, ()) = tokio::join!(called, first);
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(phase(node), Phase::Draining);
}

// A report that was sent before the response must not bring the upstream back.
#[tokio::test]
async fn apply_report_after_leaving_response() {
    let nodes = nodes(1).await;
    call(&nodes[0], "/leaving/", &[], empty()).await;
    let executor = &nodes[0].executor;
    executor.apply_report(&report("p1", 2, Phase::Ready), Instant::now());
    assert_eq!(phase(&nodes[0]), Phase::Draining);
    executor.apply_report(&report("p2", 1, Phase::Ready), Instant::now());
    assert_eq!(phase(&nodes[0]), Phase::Ready);
}

// A node that had restarted used an upstream that other nodes knew to be leaving.
#[tokio::test]
async fn apply_notice_of_leaving_process() {
    let nodes = nodes(1).await;
    let executor = &nodes[0].executor;
    let own = executor.notice().expect("an upstream");
    let leaving = Notice {
        is_leaving: true,
        ..own
    };
    let departures = executor.departures();
    executor.apply_notice(&Notice {
        process: own.process + 1,
        ..leaving
    });
    assert_eq!(executor.notice(), Some(own));
    executor.apply_notice(&leaving);
    assert_eq!(executor.notice(), Some(leaving));
    let expected = report("p1", 1, Phase::Draining);
    assert_eq!(*departures.borrow(), Some(expected));
}
