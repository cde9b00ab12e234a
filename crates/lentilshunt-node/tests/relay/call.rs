//! Tests of the path of a request, from the caller to the upstream and back.

use std::{sync::atomic::Ordering, time::Duration, time::Instant};

use hyper::{Request, StatusCode, header::HeaderValue};
use lentilshunt_core::{membership::Phase, traffic::Rules};
use lentilshunt_node::relay::{
    Pool,
    body::{empty, full},
};
use rstest::rstest;

use crate::fixture::{HOST, Node, call, nodes, nodes_with_loss, pieces, report};

fn runs(nodes: &[Node]) -> usize {
    nodes
        .iter()
        .map(|node| node.upstream.got.lock().unwrap().len())
        .sum()
}

#[tokio::test]
async fn call_unchanged_with_own_headers() {
    let nodes = nodes(1).await;
    let headers = [
        ("caller", "forged"),
        ("expected", "forged"),
        ("deadline", "900"),
        ("x-note", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "dropped"),
    ];
    let answer = call(&nodes[0], "/a/b?page=3&sort=new", &headers, full("body")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["seal"], "sealed");
    assert_eq!(
        answer.body.as_deref(),
        Some(&b"answer to /a/b?page=3&sort=new"[..])
    );
    let got = nodes[0].upstream.got.lock().unwrap()[0].clone();
    assert_eq!(got.path, "/a/b?page=3&sort=new");
    assert_eq!(*got.body, *b"body");
    assert_eq!(got.headers["caller"], "bales");
    assert_eq!(got.headers["expected"], "p1");
    assert_eq!(got.headers["attempt"], "id-1");
    assert_eq!(got.headers["host"], HOST);
    assert_eq!(got.headers["x-note"], "kept");
    assert!(!got.headers.contains_key("x-hop"));
    let left: u64 = got.headers["deadline"].to_str().unwrap().parse().unwrap();
    assert!((700..=900).contains(&left), "{left} ms left");
}

#[rstest]
#[case("other.example", "/a/", StatusCode::NOT_FOUND)]
#[case(HOST, "/a/", StatusCode::OK)]
#[tokio::test]
async fn call_by_host(#[case] host: &str, #[case] path: &str, #[case] status: StatusCode) {
    let nodes = nodes(1).await;
    let answer = call(&nodes[0], path, &[("host", host)], empty()).await;
    assert_eq!(answer.status, status);
}

#[tokio::test]
async fn call_without_rules() {
    let nodes = nodes(1).await;
    nodes[0].shared.rules.store(Rules::default().into());
    let answer = call(&nodes[0], "/a/", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn call_with_long_body_without_length() {
    let nodes = nodes(1).await;
    let answer = call(&nodes[0], "/a/", &[], pieces(40, 32 * 1024)).await;
    assert_eq!(answer.status, StatusCode::OK);
    let got = nodes[0].upstream.got.lock().unwrap()[0].clone();
    assert_eq!(got.body.len(), 40 * 32 * 1024);
}

#[tokio::test]
async fn call_with_body_over_limit() {
    let nodes = nodes(1).await;
    let body = full(vec![0; 5 * 1024 * 1024]);
    let answer = call(&nodes[0], "/a/", &[], body).await;
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(runs(&nodes), 0);
}

#[tokio::test]
async fn call_through_another_node() {
    let nodes = nodes(2).await;
    // The own upstream leaves, so that the other node has to execute.
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let answer = call(&nodes[0], "/once/x", &[], full("ticket")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(nodes[0].upstream.got.lock().unwrap().len(), 0);
    let got = nodes[1].upstream.got.lock().unwrap()[0].clone();
    assert_eq!(*got.body, *b"ticket");
    assert!(
        !got.headers
            .keys()
            .any(|name| name.as_str().starts_with("lentilshunt-"))
    );
}

#[tokio::test]
async fn call_refused_by_all_upstreams() {
    let nodes = nodes(3).await;
    // Credit for a retry is earned by requests.
    call(&nodes[0], "/a/", &[], empty()).await;
    let answer = call(&nodes[0], "/shed/x", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!answer.headers.contains_key("seal"));
    // Two attempts of the route reach an upstream, besides the first call.
    assert_eq!(runs(&nodes), 3);
}

#[rstest]
#[case::may_run_twice("/broken/x", 2)]
#[case::may_run_once("/broken/once/x", 1)]
#[tokio::test]
async fn call_with_broken_answer(#[case] path: &str, #[case] attempts: usize) {
    let nodes = nodes(2).await;
    call(&nodes[0], "/a/", &[], empty()).await;
    let answer = call(&nodes[0], path, &[], empty()).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(runs(&nodes) - 1, attempts);
}

#[tokio::test]
async fn call_with_answer_to_another_request() {
    let nodes = nodes(1).await;
    let answer = call(&nodes[0], "/foreign/x", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(!answer.headers.contains_key("seal"));
}

#[tokio::test]
async fn call_failed_by_upstream() {
    let nodes = nodes(1).await;
    let answer = call(&nodes[0], "/failing/x", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.headers["seal"], "sealed");
}

/// Makes calls that earn the credit for retries.
async fn earn_retries(node: &Node) {
    for _ in 0..4 {
        let answer = call(node, "/x", &[], empty()).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn call_failed_and_then_refused() {
    let nodes = nodes(2).await;
    earn_retries(&nodes[0]).await;
    let before = runs(&nodes);
    let answer = call(&nodes[0], "/mixed/x", &[("fail-first", "1")], empty()).await;
    assert_eq!(runs(&nodes) - before, 2);
    // One upstream has run the request, so the answer does not say otherwise.
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn call_with_upstream_out_of_time() {
    let nodes = nodes(2).await;
    earn_retries(&nodes[0]).await;
    let before = runs(&nodes);
    let answer = call(&nodes[0], "/expired/x", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.headers["seal"], "sealed");
    assert_eq!(runs(&nodes) - before, 1);
}

#[tokio::test]
async fn call_at_timeout_of_route() {
    let nodes = nodes(1).await;
    let begun_at = Instant::now();
    let answer = call(&nodes[0], "/slow/x", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    let elapsed = begun_at.elapsed();
    let expected = Duration::from_millis(1500)..Duration::from_secs(2);
    assert!(expected.contains(&elapsed), "{elapsed:?}");
}

#[tokio::test]
async fn call_given_up_by_caller() {
    let nodes = nodes(2).await;
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let pool = Pool::new(Duration::from_secs(1), Duration::from_secs(1));
    let mut request = Request::new(empty());
    *request.uri_mut() = "/slow/x".parse().unwrap();
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_static(HOST));
    headers.insert("attempt", HeaderValue::from_static("id-1"));
    let sent = tokio::time::timeout(
        Duration::from_millis(300),
        pool.send(nodes[0].entry, request),
    );
    sent.await.expect_err("no answer");
    assert_eq!(nodes[1].upstream.got.lock().unwrap().len(), 1);
    // Within half a second the upstream has stopped.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(nodes[1].upstream.running.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn call_on_stopping_node() {
    let nodes = nodes(2).await;
    nodes[1].stop.cancel();
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    // Other nodes may use the upstream for as long as its node can answer.
    let answer = call(&nodes[0], "/once/x", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(nodes[1].upstream.got.lock().unwrap().len(), 1);
    nodes[1].closing.cancel();
    for _ in 0..6 {
        let answer = call(&nodes[0], "/once/x", &[], empty()).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    // The closing node still serves its own callers, but no other node.
    assert_eq!(nodes[1].upstream.got.lock().unwrap().len(), 1);
    let answer = call(&nodes[1], "/once/x", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["connection"], "close");
}

#[tokio::test]
async fn call_after_lost_answer() {
    let (nodes, accepted) = nodes_with_loss(2).await;
    for lost in 1..=2 {
        let answer = call(&nodes[0], "/once/x", &[], empty()).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        // One connection for the request, one to see whether the upstream lives.
        assert_eq!(accepted.load(Ordering::SeqCst), lost * 2);
    }
}

/// Makes all nodes but the first stand at an address, and its own upstream leave.
fn send_to(nodes: &[Node], address: std::net::SocketAddr) {
    let first = &nodes[0];
    let mut endpoints: Vec<_> = first.shared.directory.load().endpoints().cloned().collect();
    for endpoint in &mut endpoints {
        let endpoint = std::sync::Arc::make_mut(endpoint);
        if endpoint.instance != "n0" {
            endpoint.address = address;
        }
    }
    let directory = lentilshunt_node::relay::Directory::new(&endpoints, &first.shared.locality);
    first.shared.directory.store(directory.into());
    first
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
}

/// Calls a node whose peer takes connections and says nothing, and returns status and time.
async fn call_with_silent_peer(stops: bool) -> (StatusCode, Duration) {
    let nodes = nodes(2).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    send_to(&nodes, silent.local_addr().unwrap());
    if stops {
        nodes[0].stop.cancel();
    }
    let begun_at = Instant::now();
    let answer = call(&nodes[0], "/x", &[], empty()).await;
    (answer.status, begun_at.elapsed())
}

#[tokio::test]
async fn call_with_silent_node() {
    let (status, elapsed) = call_with_silent_peer(false).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert!(elapsed < Duration::from_millis(1300), "{elapsed:?}");
}

#[tokio::test]
async fn call_on_stopping_node_with_silent_node() {
    // The answer may still come, and a stopping node does not end it.
    let (status, elapsed) = call_with_silent_peer(true).await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert!(elapsed >= Duration::from_millis(1500), "{elapsed:?}");
}

#[tokio::test]
async fn call_with_dead_node() {
    let nodes = nodes(2).await;
    send_to(&nodes, "127.0.0.1:1".parse().unwrap());
    let answer = call(&nodes[0], "/once/x", &[], empty()).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(runs(&nodes), 0);
}
