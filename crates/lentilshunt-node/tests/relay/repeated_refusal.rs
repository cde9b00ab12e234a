//! Tests of calls whose upstream sends an earlier refusal once more.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use lentilshunt_core::membership::Phase;
use lentilshunt_node::relay::body::empty;
use rstest::rstest;
use tokio::time::sleep;

use crate::{
    fixture::{CallerResponse, Node, call, nodes_with_upstream, report},
    raw_upstream::RawUpstream,
};

/// Statuses that promise that a request has not run and will not run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Time after which all runs of a test have ended.
const RUN_TIME: Duration = Duration::from_millis(150);

async fn call_as(node: &Node, path: &str, id: &str) -> CallerResponse {
    call(node, path, &[("attempt", id)], empty()).await
}

/// Starts two nodes of which only the first one, beside the faulty upstream, executes calls.
async fn nodes_with_one_upstream(upstream: &RawUpstream) -> Vec<Node> {
    let nodes = nodes_with_upstream(2, upstream.address).await;
    nodes[1]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    nodes
}

/// Returns how often a request has run on the faulty upstream and on the other one.
async fn run_count(upstream: &RawUpstream, nodes: &[Node], id: &str) -> usize {
    let ids = upstream.runs.ids.lock().await;
    let faulty = ids.iter().filter(|ran| *ran == id).count();
    let received = nodes[1].upstream.received.lock().unwrap();
    let other = received
        .iter()
        // A program that used the port before may still send requests to it.
        .filter(|request| request.headers.get("attempt").is_some_and(|ran| ran == id));
    faulty + other.count()
}

// A caller told "not run" sends the request again, and it would run twice.
#[rstest]
#[case::in_front_of_next("next", 1)]
#[case::while_idle("idle", 0)]
#[case::behind_itself("behind", 0)]
#[tokio::test]
async fn call_after_refusal_sent_twice(
    #[case] when: &str,
    #[case] expected_repeats: usize,
    #[values("503", "429", "421")] status: &str,
    #[values("own", "none")] echo: &str,
    #[values("empty", "body")] body: &str,
    #[values(0, 1)] caller: usize,
) {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_one_upstream(&upstream).await;
    let path = format!("/refuse/{status}/{echo}/{body}/{when}");
    let refused = call_as(&nodes[caller], &path, "refused").await;
    // The first response on a connection belongs to the first request, with an id or without.
    assert_eq!(
        refused.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{refused:?}"
    );
    if when == "idle" {
        sleep(Duration::from_millis(50)).await;
    }
    let next = call_as(&nodes[caller], "/once/x", "next").await;
    sleep(RUN_TIME).await;
    let runs = run_count(&upstream, &nodes, "next").await;
    assert_eq!(runs, 1, "{next:?}");
    assert!(!PROMISES.contains(&next.status), "{next:?}");
    // A connection is closed after a refusal with a body, so that none can follow on it.
    let expected_repeats = if body == "empty" { expected_repeats } else { 0 };
    let repeats = upstream.runs.after_refusals.load(Ordering::SeqCst);
    assert_eq!(repeats, expected_repeats);
    let expected_status = match expected_repeats {
        0 => StatusCode::OK,
        _ => StatusCode::BAD_GATEWAY,
    };
    assert_eq!(next.status, expected_status, "{next:?}");
}

// The refusal of a health check has no id, as the health check has none.
#[tokio::test]
async fn call_after_refused_health_check_sent_twice() {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_one_upstream(&upstream).await;
    let found = nodes[0].executor.probe_upstream("/healthz/refused").await;
    assert_eq!(found, None);
    let next = call_as(&nodes[0], "/once/x", "next").await;
    sleep(RUN_TIME).await;
    assert_eq!(run_count(&upstream, &nodes, "next").await, 1);
    assert_eq!(upstream.runs.after_refusals.load(Ordering::SeqCst), 1);
    assert_eq!(next.status, StatusCode::BAD_GATEWAY);
}

// A request that a faulty upstream runs must not run on another one as well.
#[rstest]
#[tokio::test]
async fn call_after_refusal_sent_twice_with_another_upstream(#[values("own", "none")] echo: &str) {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(2, upstream.address).await;
    for index in 0..12 {
        let path = format!("/refuse/503/{echo}/empty/next");
        call_as(&nodes[0], &path, &format!("refused-{index}")).await;
        let id = format!("next-{index}");
        let next = call_as(&nodes[0], "/once/x", &id).await;
        sleep(RUN_TIME).await;
        let is_promise = PROMISES.contains(&next.status);
        assert_eq!(
            run_count(&upstream, &nodes, &id).await,
            usize::from(!is_promise),
            "{next:?}"
        );
    }
    let repeats = upstream.runs.after_refusals.load(Ordering::SeqCst);
    assert!(repeats > 0, "no refusal was sent again");
}

// The response to a request must not be taken for that to the next one on the connection.
#[rstest]
#[tokio::test]
async fn call_after_call_with_refusal_of_another(#[values(0, 1)] caller: usize) {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_one_upstream(&upstream).await;
    let node = &nodes[caller];
    call_as(node, "/refuse/503/own/empty/next", "refused").await;
    let second = call_as(node, "/once/x", "second").await;
    assert_eq!(second.status, StatusCode::BAD_GATEWAY);
    let third = call_as(node, "/once/x", "third").await;
    assert_eq!(third.status, StatusCode::OK);
    assert_eq!(third.headers["attempt"], "third");
}

// An upstream that refuses a request never gets it again, so that no earlier refusal has its id.
#[tokio::test]
async fn call_refused_by_only_upstream() {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(1, upstream.address).await;
    // The retry budget pays for another attempt.
    for index in 0..4 {
        let response = call_as(&nodes[0], "/x", &format!("first-{index}")).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    let response = call_as(&nodes[0], "/refuse/503/own/empty/next", "refused").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(*upstream.runs.refused.lock().await, ["refused"]);
}

// New connections cost the upstream most while it refuses many requests.
#[tokio::test]
async fn call_refused_many_times_on_one_connection() {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(1, upstream.address).await;
    for index in 0..10 {
        let id = format!("refused-{index}");
        let response = call_as(&nodes[0], "/refuse/503/own/empty/next", &id).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(upstream.runs.refused.lock().await.len(), 10);
    assert_eq!(upstream.runs.connections.load(Ordering::SeqCst), 1);
}
