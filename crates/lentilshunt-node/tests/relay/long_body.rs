//! Tests of calls with bodies that are too long to be sent twice.

use std::{sync::atomic::Ordering, time::Duration, time::Instant};

use hyper::StatusCode;
use lentilshunt_core::membership::Phase;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

use crate::{
    fixture::{HOST, Node, call, chunked_body, nodes, nodes_with_upstream, report},
    raw_upstream::RawUpstream,
};

/// Number of chunks of a long body.
const CHUNKS: usize = 40;
/// Size of a chunk in bytes.
const CHUNK_BYTES: usize = 32 * 1024;

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
