//! Tests of calls whose upstream sends bytes that are no response, or too many.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use lentilshunt_core::membership::Phase;
use lentilshunt_node::relay::body::empty;
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::{
    fixture::{CallerResponse, Node, call, nodes_with_upstream, report},
    raw_upstream::RawUpstream,
};

/// Memory that a response without end may take in a node, and on the way to it.
const MAX_ENDLESS_BYTES: usize = 16 * 1024 * 1024;

async fn call_as(node: &Node, path: &str, id: &str) -> CallerResponse {
    call(node, path, &[("attempt", id)], empty()).await
}

/// Asserts that a response is the one to a request, or none of an upstream at all.
fn assert_own_or_none(response: &CallerResponse, id: &str) {
    let own = RawUpstream::body(id);
    match response.body.as_deref() {
        Some(body) if response.headers.contains_key("seal") => {
            assert_eq!(body, own.as_bytes(), "response to {id}");
            assert_eq!(response.headers["attempt"], id);
        }
        Some(body) => assert!(body.is_empty(), "response of no upstream to {id}"),
        None => {}
    }
}

// A second copy of a response must not reach the next caller on the same connection.
#[rstest]
#[case(0, "whole")]
#[case(0, "cut")]
#[case(0, "chunked")]
#[case(1, "whole")]
#[case(50, "whole")]
#[case(50, "cut")]
#[case(50, "chunked")]
#[case(2000, "whole")]
#[tokio::test]
async fn call_after_response_sent_twice(
    #[case] delay_ms: u64,
    #[case] form: &str,
    #[values(0, 1)] caller: usize,
) {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(2, upstream.address).await;
    // Only the hostile upstream is used, also for the calls of the second node.
    nodes[1]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let node = &nodes[caller];
    let first = call_as(node, &format!("/twice/{delay_ms}/{form}"), "twice").await;
    assert_eq!(first.status, StatusCode::OK);
    assert_own_or_none(&first, "twice");
    let mut served = 0;
    for index in 0..8 {
        let id = format!("next-{index}");
        let response = call_as(node, "/x", &id).await;
        assert_own_or_none(&response, &id);
        served += usize::from(response.status == StatusCode::OK);
        // The second copy arrives before, between and during these calls.
        sleep(Duration::from_millis(delay_ms / 6)).await;
    }
    assert!(served >= 6, "{served} of 8 calls served");
}

// The node must end such a response in bounded time and memory, and serve others meanwhile.
#[rstest]
#[case("status")]
#[case("headers")]
#[case("headers-slowly")]
#[case("value")]
#[case("value-slowly")]
#[case("informational")]
#[case("informational-slowly")]
#[case("chunk-size")]
#[case("chunk-size-slowly")]
#[case("extension")]
#[case("extension-slowly")]
#[case("trailers")]
#[case("garbage")]
#[tokio::test]
async fn call_with_endless_response(#[case] part: &str, #[values(0, 1)] caller: usize) {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(2, upstream.address).await;
    nodes[1]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let node = &nodes[caller];
    let started_at = Instant::now();
    let path = format!("/endless/{part}");
    let others = async {
        for index in 0..3 {
            sleep(Duration::from_millis(30)).await;
            let id = format!("other-{index}");
            let sent_at = Instant::now();
            let response = call_as(&nodes[0], "/x", &id).await;
            assert_eq!(response.status, StatusCode::OK, "call beside {part}");
            assert_own_or_none(&response, &id);
            assert!(sent_at.elapsed() < Duration::from_millis(500));
        }
    };
    let (response, ()) = tokio::join!(call_as(node, &path, "endless"), others);
    // The timeout of the route is 1.5 s.
    assert!(started_at.elapsed() < Duration::from_secs(2));
    let is_failure = matches!(
        response.status,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
    );
    assert!(is_failure || response.body.is_none(), "{response:?}");
    sleep(Duration::from_millis(500)).await;
    assert!(upstream.closed.load(Ordering::SeqCst) > 0, "not closed");
    let endless_bytes = upstream.endless_bytes.load(Ordering::SeqCst);
    if !matches!(part, "chunk-size" | "informational") {
        assert!(endless_bytes < MAX_ENDLESS_BYTES, "{endless_bytes} bytes");
    }
}

// A response with a status that HTTP does not have, such as 000, was passed on as that of the upstream.
#[rstest]
#[tokio::test]
async fn call_with_invalid_status(
    #[values("000", "099", "20", "600", "999", "2000")] status: &str,
    #[values("signed", "unsigned", "refused")] form: &str,
    #[values("", "/once")] route: &str,
    #[values(0, 1)] caller: usize,
) {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(2, upstream.address).await;
    // Only the hostile upstream is used, also for the calls of the second node.
    nodes[1]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let node = &nodes[caller];
    let path = format!("{route}/status/{status}/{form}");
    let response = call_as(node, &path, "invalid").await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(!response.headers.contains_key("seal"), "{response:?}");
    assert_eq!(response.body.as_deref(), Some(&b""[..]));
    let next = call_as(node, "/x", "next").await;
    assert_eq!(next.status, StatusCode::OK);
    assert_own_or_none(&next, "next");
}

#[tokio::test]
async fn call_with_bytes_beyond_length() {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(1, upstream.address).await;
    let response = call_as(&nodes[0], "/endless/beyond-length", "long").await;
    assert_eq!(response.status, StatusCode::OK);
    assert_own_or_none(&response, "long");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(upstream.closed.load(Ordering::SeqCst), 1);
    assert!(upstream.endless_bytes.load(Ordering::SeqCst) < MAX_ENDLESS_BYTES);
}

// The caller sees a response without length that does not end as broken, soon after its timeout.
#[rstest]
#[case("body")]
#[case("body-slowly")]
#[tokio::test]
async fn call_with_endless_body(#[case] part: &str) {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(1, upstream.address).await;
    let started_at = Instant::now();
    let headers = [("attempt", "endless"), ("deadline", "400")];
    let path = format!("/endless/{part}");
    let called = call(&nodes[0], &path, &headers, empty());
    let response = timeout(Duration::from_secs(5), called).await;
    let response = response.expect("the response should end");
    assert!(response.status != StatusCode::OK || response.body.is_none());
    assert!(started_at.elapsed() < Duration::from_secs(2));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(upstream.closed.load(Ordering::SeqCst), 1);
}
