//! Tests of calls with bodies that are too long to be sent twice.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use lentilshunt_core::membership::Phase;
use lentilshunt_node::relay::body::full;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

use crate::{
    fixture::{HOST, Node, call, chunked_body, nodes, nodes_with_upstream, report},
    raw_upstream::{RawUpstream, read_request},
};

/// Number of chunks of a long body.
const CHUNKS: usize = 40;
/// Size of a chunk in bytes.
const CHUNK_BYTES: usize = 32 * 1024;
/// Size of a body that is read late, more than the buffers between two nodes take.
const LATE_BODY_BYTES: usize = 4 * 1024 * 1024;

fn drain(node: &Node) {
    node.executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
}

// The refusal of a node must leave the body for the next one.
#[tokio::test]
async fn call_refused_by_first_node() {
    for _ in 0..6 {
        let nodes = nodes(3).await;
        drain(&nodes[0]);
        nodes[1].shared.lifetime.refuse_calls();
        let body = chunked_body(CHUNKS, CHUNK_BYTES);
        let response = call(&nodes[0], "/once/x", &[], body).await;
        assert_eq!(response.status, StatusCode::OK);
        let received = nodes[2].upstream.received.lock().unwrap()[0].clone();
        assert_eq!(received.body.len(), CHUNKS * CHUNK_BYTES);
        assert!(!received.headers.contains_key("expect"));
        assert_eq!(nodes[1].upstream.received.lock().unwrap().len(), 0);
    }
}

// Also when the local upstream is the one that refuses.
#[tokio::test]
async fn call_refused_by_local_node() {
    let nodes = nodes(2).await;
    drain(&nodes[0]);
    let body = chunked_body(CHUNKS, CHUNK_BYTES);
    let response = call(&nodes[0], "/once/x", &[], body).await;
    assert_eq!(response.status, StatusCode::OK);
    let received = nodes[1].upstream.received.lock().unwrap()[0].clone();
    assert_eq!(received.body.len(), CHUNKS * CHUNK_BYTES);
}

// The upstream responds before it has read the body.
#[tokio::test]
async fn call_with_early_response() {
    let upstream = RawUpstream::start().await;
    let nodes = nodes_with_upstream(2, upstream.address).await;
    drain(&nodes[1]);
    for node in &nodes {
        for index in 0..3 {
            let id = format!("id-{index}");
            let body = chunked_body(CHUNKS, CHUNK_BYTES);
            let response = call(node, "/once/x", &[("attempt", &id)], body).await;
            assert_eq!(response.status, StatusCode::OK);
            let own = RawUpstream::body(&id);
            assert_eq!(response.body.as_deref(), Some(own.as_bytes()));
        }
    }
}

/// Starts an upstream with a small receive buffer that reads the bodies of requests late.
fn late_reader(delay: Duration) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(32 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let request = read_request(&mut stream).await?;
                sleep(delay).await;
                let mut read = 0;
                let mut bytes = vec![0; 64 * 1024];
                while read < LATE_BODY_BYTES {
                    match stream.read(&mut bytes).await {
                        Ok(count @ 1..) => read += count,
                        _ => return None,
                    }
                }
                let id = request.id;
                let response = format!(
                    "HTTP/1.1 200 OK\r\nattempt: {id}\r\nseal: sealed\r\ncontent-length: 0\r\n\r\n"
                );
                stream.write_all(response.as_bytes()).await.ok()
            });
        }
    });
    address
}

// A node closed its connection to an upstream that was at work before it read the rest of a long
// body, since its receive window was closed for two seconds.
#[rstest]
#[tokio::test]
async fn call_read_late(#[values(0, 1)] caller: usize) {
    let address = late_reader(Duration::from_secs(4));
    let nodes = nodes_with_upstream(2, address).await;
    drain(&nodes[1]);
    let body = full(vec![7; LATE_BODY_BYTES]);
    let headers = [("attempt", "late"), ("deadline", "8000")];
    let response = call(&nodes[caller], "/long/x", &headers, body).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["attempt"], "late");
}

// The upstream must stop within 0.5 s, and nothing is sent again.
#[tokio::test]
async fn call_cut_by_caller() {
    let nodes = nodes(2).await;
    drain(&nodes[0]);
    let mut stream = TcpStream::connect(nodes[0].caller_address).await.unwrap();
    let length = CHUNKS * CHUNK_BYTES;
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: {HOST}\r\nattempt: id\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![7; length / 2]).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(nodes[1].upstream.running.load(Ordering::SeqCst), 1);
    drop(stream);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(nodes[1].upstream.running.load(Ordering::SeqCst), 0);
    let received = nodes[1].upstream.received.lock().unwrap().len();
    assert!(received <= 1, "{received} requests");
}
