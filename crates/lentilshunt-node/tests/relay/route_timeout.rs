//! Tests of responses that are not complete when the timeout of their route has passed.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use lentilshunt_core::membership::Phase;
use lentilshunt_node::relay::body::empty;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    fixture::{HOST, Node, call, nodes_with_upstream, report},
    raw_upstream::RawUpstream,
};

/// Timeout of the routes of the fixture.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after the timeout by which a caller needs the end of its request.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Timeout of the callers in milliseconds, which is longer than that of the route.
const CALLER_TIMEOUT_MS: &str = "10000";

/// Starts two nodes that use only the given upstream, beside the first.
async fn start(upstream: &RawUpstream) -> Vec<Node> {
    let nodes = nodes_with_upstream(2, upstream.address).await;
    nodes[1]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    nodes
}

// A response without end was passed on until the deadline of its caller.
#[rstest]
#[case::until_close("body")]
#[case::until_close_slowly("body-slowly")]
#[case::chunked("chunks")]
#[case::chunked_slowly("chunks-slowly")]
#[case::with_length("length")]
#[case::with_length_slowly("length-slowly")]
#[case::stalled("stalled")]
#[tokio::test]
async fn call_with_response_beyond_route_timeout(
    #[case] part: &str,
    #[values("", "/once")] route: &str,
    #[values(0, 1)] caller: usize,
) {
    let upstream = RawUpstream::start().await;
    let nodes = start(&upstream).await;
    let headers = [("attempt", "endless"), ("deadline", CALLER_TIMEOUT_MS)];
    let path = format!("{route}/endless/{part}");
    let started_at = Instant::now();
    let called = call(&nodes[caller], &path, &headers, empty());
    let response = timeout(ROUTE_TIMEOUT + MAX_DELAY, called).await;
    let response = response.expect("the response should end");
    // A slow response may not have begun for the caller, which then gets a failure.
    assert!(
        response.body.is_none() || !response.status.is_success(),
        "{response:?}"
    );
    sleep((ROUTE_TIMEOUT + MAX_DELAY).saturating_sub(started_at.elapsed())).await;
    assert_eq!(upstream.closed.load(Ordering::SeqCst), 1);
    assert_eq!(nodes[0].executor.free_slots(), 2);
}

// The shorter one of both timeouts ends the response.
#[tokio::test]
async fn call_with_response_beyond_caller_timeout() {
    let upstream = RawUpstream::start().await;
    let nodes = start(&upstream).await;
    let headers = [("attempt", "endless"), ("deadline", "400")];
    let called = call(&nodes[0], "/endless/chunks", &headers, empty());
    let response = timeout(Duration::from_millis(400) + MAX_DELAY, called).await;
    let response = response.expect("the response should end");
    assert!(response.body.is_none(), "{response:?}");
}

// A response whose caller does not read kept its slot until the caller closed the connection.
#[rstest]
#[tokio::test]
async fn call_by_caller_that_does_not_read(#[values(0, 1)] caller: usize) {
    let upstream = RawUpstream::start().await;
    let nodes = start(&upstream).await;
    let mut stream = TcpStream::connect(nodes[caller].caller_address)
        .await
        .unwrap();
    let request = request("/endless/chunks", "endless");
    stream.write_all(request.as_bytes()).await.unwrap();
    sleep(ROUTE_TIMEOUT + MAX_DELAY).await;
    assert_eq!(upstream.closed.load(Ordering::SeqCst), 1);
    assert_eq!(nodes[0].executor.free_slots(), 2);
}

// The same for a request that has started early, and whose response waits for its turn.
#[tokio::test]
async fn call_sent_ahead_by_caller_that_does_not_read() {
    let upstream = RawUpstream::start().await;
    let nodes = start(&upstream).await;
    let mut stream = TcpStream::connect(nodes[0].caller_address).await.unwrap();
    for id in ["first", "second"] {
        let request = request("/endless/chunks", id);
        stream.write_all(request.as_bytes()).await.unwrap();
    }
    sleep(ROUTE_TIMEOUT + MAX_DELAY).await;
    assert_eq!(upstream.closed.load(Ordering::SeqCst), 2);
    assert_eq!(nodes[0].executor.free_slots(), 2);
}

// A complete response is delivered, also if it is long and its caller reads it late.
#[tokio::test]
async fn call_by_caller_that_reads_late() {
    let upstream = RawUpstream::start().await;
    let nodes = start(&upstream).await;
    let mut stream = TcpStream::connect(nodes[0].caller_address).await.unwrap();
    stream
        .write_all(request("/x", "late").as_bytes())
        .await
        .unwrap();
    sleep(ROUTE_TIMEOUT + MAX_DELAY).await;
    let body = RawUpstream::body("late");
    let mut received = String::new();
    while !received.ends_with(&body) {
        let mut bytes = [0; 1024];
        let count = stream.read(&mut bytes).await.unwrap();
        assert!(count > 0, "{received}");
        received.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
    }
    assert!(received.starts_with("HTTP/1.1 200 OK\r\n"), "{received}");
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt: {id}\r\n\
         deadline: {CALLER_TIMEOUT_MS}\r\n\r\n"
    )
}
