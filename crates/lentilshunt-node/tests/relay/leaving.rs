//! Tests of calls to upstreams that say in a response that they leave.

use std::time::Instant;

use hyper::StatusCode;
use lentilshunt_core::{membership::Phase, overload::Notice};
use lentilshunt_node::relay::body::empty;

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
