//! Tests of calls, from the caller to the upstream and back.

use std::{sync::atomic::Ordering, time::Duration, time::Instant};

use hyper::{Request, StatusCode, header::HeaderValue};
use lentilshunt_core::{membership::Phase, traffic::Rules};
use lentilshunt_node::relay::{
    End, Pool,
    body::{empty, full},
};
use rstest::rstest;

use crate::fixture::{HOST, Node, call, chunked_body, nodes, nodes_with_lost_responses, report};

fn run_count(nodes: &[Node]) -> usize {
    nodes
        .iter()
        .map(|node| node.upstream.received.lock().unwrap().len())
        .sum()
}

#[tokio::test]
async fn call_forwards_request_and_sets_node_headers() {
    let nodes = nodes(1).await;
    let headers = [
        ("caller", "forged"),
        ("expected", "forged"),
        ("deadline", "900"),
        ("x-note", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "dropped"),
    ];
    let response = call(&nodes[0], "/a/b?page=3&sort=new", &headers, full("body")).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["seal"], "sealed");
    assert_eq!(
        response.body.as_deref(),
        Some(&b"response to /a/b?page=3&sort=new"[..])
    );
    let received = nodes[0].upstream.received.lock().unwrap()[0].clone();
    assert_eq!(received.path, "/a/b?page=3&sort=new");
    assert_eq!(*received.body, *b"body");
    assert_eq!(received.headers["caller"], "bales");
    assert_eq!(received.headers["expected"], "p1");
    assert_eq!(received.headers["attempt"], "id-1");
    assert_eq!(received.headers["host"], HOST);
    assert_eq!(received.headers["x-note"], "kept");
    assert!(!received.headers.contains_key("x-hop"));
    let remaining_ms: u64 = received.headers["deadline"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        (700..=900).contains(&remaining_ms),
        "{remaining_ms} ms remaining"
    );
}

#[rstest]
#[case("other.example", "/a/", StatusCode::NOT_FOUND)]
#[case(HOST, "/a/", StatusCode::OK)]
#[tokio::test]
async fn call_matches_host(#[case] host: &str, #[case] path: &str, #[case] status: StatusCode) {
    let nodes = nodes(1).await;
    let response = call(&nodes[0], path, &[("host", host)], empty()).await;
    assert_eq!(response.status, status);
}

#[tokio::test]
async fn call_without_rules() {
    let nodes = nodes(1).await;
    nodes[0].shared.rules.store(Rules::default().into());
    let response = call(&nodes[0], "/a/", &[], empty()).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn call_with_chunked_body() {
    let nodes = nodes(1).await;
    let response = call(&nodes[0], "/a/", &[], chunked_body(40, 32 * 1024)).await;
    assert_eq!(response.status, StatusCode::OK);
    let received = nodes[0].upstream.received.lock().unwrap()[0].clone();
    assert_eq!(received.body.len(), 40 * 32 * 1024);
}

#[tokio::test]
async fn call_with_body_over_limit() {
    let nodes = nodes(1).await;
    let body = full(vec![0; 5 * 1024 * 1024]);
    let response = call(&nodes[0], "/a/", &[], body).await;
    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(run_count(&nodes), 0);
}

#[tokio::test]
async fn call_through_another_node() {
    let nodes = nodes(2).await;
    // The local upstream drains, so that the other node executes the call.
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let response = call(&nodes[0], "/once/x", &[], full("ticket")).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(nodes[0].upstream.received.lock().unwrap().len(), 0);
    let received = nodes[1].upstream.received.lock().unwrap()[0].clone();
    assert_eq!(*received.body, *b"ticket");
    assert!(
        !received
            .headers
            .keys()
            .any(|name| name.as_str().starts_with("lentilshunt-"))
    );
}

#[tokio::test]
async fn call_refused_by_all_upstreams() {
    let nodes = nodes(3).await;
    // Each request adds to the retry budget.
    call(&nodes[0], "/a/", &[], empty()).await;
    let response = call(&nodes[0], "/full/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!response.headers.contains_key("seal"));
    // The first call, and the two attempts that the route allows.
    assert_eq!(run_count(&nodes), 3);
}

#[rstest]
#[case::idempotent("/broken/x", 2)]
#[case::not_idempotent("/broken/once/x", 1)]
#[tokio::test]
async fn call_with_interrupted_response(#[case] path: &str, #[case] attempts: usize) {
    let nodes = nodes(2).await;
    call(&nodes[0], "/a/", &[], empty()).await;
    let response = call(&nodes[0], path, &[], empty()).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(run_count(&nodes) - 1, attempts);
}

#[tokio::test]
async fn call_with_response_to_another_request() {
    let nodes = nodes(1).await;
    let response = call(&nodes[0], "/foreign/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(!response.headers.contains_key("seal"));
}

#[tokio::test]
async fn call_with_upstream_error() {
    let nodes = nodes(1).await;
    let response = call(&nodes[0], "/failing/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(response.headers["seal"], "sealed");
}

/// Makes calls that fill the retry budget.
async fn fill_retry_budget(node: &Node) {
    for _ in 0..4 {
        let response = call(node, "/x", &[], empty()).await;
        assert_eq!(response.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn call_with_upstream_error_then_refusal() {
    let nodes = nodes(2).await;
    fill_retry_budget(&nodes[0]).await;
    let before = run_count(&nodes);
    let response = call(&nodes[0], "/mixed/x", &[("fail-first", "1")], empty()).await;
    assert_eq!(run_count(&nodes) - before, 2);
    // One upstream has run the request, so the response must not claim that none did.
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
}

/// A 504 of the upstream is passed on without a retry.
#[tokio::test]
async fn call_with_upstream_timeout() {
    let nodes = nodes(2).await;
    fill_retry_budget(&nodes[0]).await;
    let before = run_count(&nodes);
    let response = call(&nodes[0], "/expired/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(response.headers["seal"], "sealed");
    assert_eq!(run_count(&nodes) - before, 1);
}

#[tokio::test]
async fn call_with_route_timeout() {
    let nodes = nodes(1).await;
    let started_at = Instant::now();
    let response = call(&nodes[0], "/slow/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    let elapsed = started_at.elapsed();
    let expected = Duration::from_millis(1500)..Duration::from_secs(2);
    assert!(expected.contains(&elapsed), "{elapsed:?}");
}

#[tokio::test]
async fn call_cancelled_by_caller() {
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
        pool.send(nodes[0].caller_address, request),
    );
    sent.await.expect_err("response of a slow upstream arrived");
    assert_eq!(nodes[1].upstream.received.lock().unwrap().len(), 1);
    // The nodes must cancel the request at the upstream within 500 ms.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(nodes[1].upstream.running.load(Ordering::SeqCst), 0);
}

// A call that waits at another node must not reach the upstream after its caller has left.
#[tokio::test]
async fn call_cancelled_by_caller_while_waiting() {
    let nodes = nodes(2).await;
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    // Two calls take both slots of the other node for 400 ms.
    let occupy = || call(&nodes[0], "/slow/x", &[("deadline", "400")], empty());
    let leave = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let waiting = call(&nodes[0], "/once/left", &[], full(vec![7; 60_000]));
        let left = tokio::time::timeout(Duration::from_millis(100), waiting).await;
        left.expect_err("the call waits");
    };
    tokio::join!(occupy(), occupy(), leave);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let received = nodes[1].upstream.received.lock().unwrap();
    let paths: Vec<_> = received.iter().map(|request| &request.path).collect();
    assert_eq!(paths, ["/slow/x", "/slow/x"]);
}

/// A stopping node accepts calls of other nodes until it is told to refuse them, and calls of
/// local callers after that.
#[tokio::test]
async fn call_on_stopping_node_from_other_node_and_local_caller() {
    let nodes = nodes(2).await;
    nodes[1].stop.cancel();
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    // Other nodes may use the upstream as long as its node accepts calls.
    let response = call(&nodes[0], "/once/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(nodes[1].upstream.received.lock().unwrap().len(), 1);
    nodes[1].shared.lifetime.refuse_calls();
    for _ in 0..6 {
        let response = call(&nodes[0], "/once/x", &[], empty()).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    // The refusing node still serves its local callers, but no other node.
    assert_eq!(nodes[1].upstream.received.lock().unwrap().len(), 1);
    let response = call(&nodes[1], "/once/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["connection"], "close");
}

/// Sends a call to the second node, whose slots are taken, and lets `change` happen 200 ms later.
///
/// Returns the status of the response and the elapsed time.
async fn call_waiting_during(nodes: &[Node], change: impl FnOnce(&Node)) -> (StatusCode, Duration) {
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let waiting = async {
        while nodes[1].upstream.running.load(Ordering::SeqCst) < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let sent_at = Instant::now();
        let response = call(&nodes[0], "/once/x", &[], empty()).await;
        (response.status, sent_at.elapsed())
    };
    let change = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        change(&nodes[1]);
    };
    let (_, _, waited, ()) = tokio::join!(
        call(&nodes[0], "/slow/1", &[], empty()),
        call(&nodes[0], "/slow/2", &[], empty()),
        waiting,
        change
    );
    waited
}

// A call kept waiting for a slot beside a process that was about to end.
#[tokio::test]
async fn call_waiting_at_node_that_begins_to_refuse() {
    let nodes = nodes(2).await;
    let change = |node: &Node| node.shared.lifetime.refuse_calls();
    let (status, elapsed) = call_waiting_during(&nodes, change).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
    assert_eq!(run_count(&nodes), 2);
}

// A call went on waiting for a slot of an upstream that had begun to drain.
#[tokio::test]
async fn call_waiting_at_upstream_that_begins_to_drain() {
    let nodes = nodes(2).await;
    let (status, elapsed) = call_waiting_during(&nodes, |node| {
        let report = report("p1", 2, Phase::Draining);
        node.executor.apply_report(&report, Instant::now());
    })
    .await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
}

// A call of another node waited beyond the end of the process.
#[tokio::test]
async fn call_waiting_at_node_beyond_its_end() {
    let nodes = nodes(2).await;
    nodes[1].stop.cancel();
    let end = Instant::now() + Duration::from_millis(350);
    nodes[1].shared.lifetime.end_at(End {
        accept_until: end,
        respond_by: end,
    });
    let (status, elapsed) = call_waiting_during(&nodes, |_node| {}).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
}

// A call of a local caller was refused although a slot became free long before the process ended.
#[tokio::test]
async fn call_of_local_caller_waiting_at_node_that_begins_to_refuse() {
    let nodes = nodes(1).await;
    let waiting = async {
        while nodes[0].upstream.running.load(Ordering::SeqCst) < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        call(&nodes[0], "/once/x", &[], empty()).await.status
    };
    let refusal = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        nodes[0].stop.cancel();
        nodes[0].shared.lifetime.refuse_calls();
    };
    let (_, _, status, ()) = tokio::join!(
        call(&nodes[0], "/lasting/350/1", &[], empty()),
        call(&nodes[0], "/lasting/350/2", &[], empty()),
        waiting,
        refusal
    );
    assert_eq!(status, StatusCode::OK);
}

// The probe of a node whose listener had closed gave up the run that the node still served.
#[tokio::test]
async fn call_at_node_that_closes_its_listener() {
    let nodes = nodes(2).await;
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let closing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        nodes[1].stop.cancel();
        nodes[1].shared.lifetime.refuse_calls();
        nodes[1].closed.cancel();
    };
    let (response, ()) = tokio::join!(call(&nodes[0], "/lasting/900", &[], empty()), closing);
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(run_count(&nodes), 1);
}

// The caller's connection was closed because the other node closed its own.
#[tokio::test]
async fn call_at_stopping_node_from_caller_of_another() {
    let nodes = nodes(2).await;
    nodes[1].stop.cancel();
    nodes[0]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    let response = call(&nodes[0], "/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers.get("connection"), None);
}

/// A response lost by a living upstream is not retried and does not make the request a suspect.
#[tokio::test]
async fn call_with_lost_response() {
    let (nodes, accepted) = nodes_with_lost_responses(2).await;
    for lost in 1..=2 {
        let response = call(&nodes[0], "/once/x", &[], empty()).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        // One connection for the request and one for the check whether the upstream is alive.
        assert_eq!(accepted.load(Ordering::SeqCst), lost * 2);
    }
}

/// Redirects calls from the first node to `address` and drains its local upstream.
fn redirect_peers(nodes: &[Node], address: std::net::SocketAddr) {
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

/// Calls a node whose peer accepts connections without responding.
///
/// Returns the status of the response and the elapsed time.
async fn call_with_unresponsive_peer(stops_after: Option<Duration>) -> (StatusCode, Duration) {
    let nodes = nodes(2).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    redirect_peers(&nodes, listener.local_addr().unwrap());
    if let Some(delay) = stops_after {
        let stop = nodes[0].stop.clone();
        if delay.is_zero() {
            stop.cancel();
        }
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            stop.cancel();
        });
    }
    let started_at = Instant::now();
    let response = call(&nodes[0], "/x", &[], empty()).await;
    (response.status, started_at.elapsed())
}

/// An idempotent call fails after the probe (350 + 600 ms), before the route timeout of 1.5 s.
#[tokio::test]
async fn call_with_unresponsive_node() {
    let (status, elapsed) = call_with_unresponsive_peer(None).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert!(elapsed < Duration::from_millis(1300), "{elapsed:?}");
}

// A stopping node waits for a response that may still arrive; it did not if the call had begun
// before the node was told to stop.
#[rstest]
#[case::stopped_before(Duration::ZERO)]
#[case::stopped_during_call(Duration::from_millis(200))]
#[case::stopped_during_probe(Duration::from_millis(500))]
#[tokio::test]
async fn call_on_stopping_node_with_unresponsive_node(#[case] stops_after: Duration) {
    let (status, elapsed) = call_with_unresponsive_peer(Some(stops_after)).await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert!(elapsed >= Duration::from_millis(1500), "{elapsed:?}");
}

// A run was given up because no second connection to its node could be opened in time, as on a
// link that is full.
#[tokio::test]
async fn call_at_node_that_accepts_no_further_connection() {
    let nodes = nodes(2).await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let peer_address = nodes[1].peer_address;
    redirect_peers(&nodes, address);
    let forwarding = tokio::spawn(async move {
        let (mut stream, _client) = listener.accept().await.unwrap();
        // Fills the queue of connections, so that further ones time out.
        let mut waiting = Vec::new();
        for _ in 0..3 {
            let connecting = tokio::net::TcpStream::connect(address);
            let limit = Duration::from_millis(50);
            waiting.push(tokio::time::timeout(limit, connecting).await);
        }
        let mut peer = tokio::net::TcpStream::connect(peer_address).await.unwrap();
        tokio::io::copy_bidirectional(&mut stream, &mut peer).await
    });
    let response = call(&nodes[0], "/lasting/1000", &[], empty()).await;
    forwarding.abort();
    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test]
async fn call_with_unreachable_node() {
    let nodes = nodes(2).await;
    redirect_peers(&nodes, "127.0.0.1:1".parse().unwrap());
    let response = call(&nodes[0], "/once/x", &[], empty()).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(run_count(&nodes), 0);
}
