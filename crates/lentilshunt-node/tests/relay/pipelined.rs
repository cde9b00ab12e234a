//! Tests of requests that a caller sends before earlier ones are answered.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use hyper::Method;
use lentilshunt_node::relay::ahead::{Scanned, Scanner};
use proptest::prelude::*;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

use crate::fixture::{HOST, Node, nodes};

fn request(path: &str, id: usize) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt: id-{id}\r\ndeadline: 1400\r\n\r\n")
}

/// Sends requests without waiting for responses.
async fn send(node: &Node, paths: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(node.caller_address).await.unwrap();
    let requests: String = paths
        .iter()
        .enumerate()
        .map(|(id, path)| request(path, id))
        .collect();
    stream.write_all(requests.as_bytes()).await.unwrap();
    stream
}

/// Reads until the node has sent `text`, and returns all that it has sent.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let received = String::from_utf8_lossy(&read).into_owned();
        if received.contains(text) {
            return received;
        }
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "closed after {received:?}");
        read.extend_from_slice(&buffer[..count]);
    }
}

fn received_paths(nodes: &[Node]) -> Vec<String> {
    let received = |node: &Node| node.upstream.received.lock().unwrap().clone();
    let received = nodes.iter().flat_map(received);
    received.map(|request| request.path).collect()
}

// One after the other, they took the sum of their run times.
#[tokio::test]
async fn call_ahead_of_responses() {
    let nodes = nodes(4).await;
    let paths: Vec<_> = (0..6).map(|id| format!("/paced/{id}")).collect();
    let paths: Vec<_> = paths.iter().map(String::as_str).collect();
    let sent_at = Instant::now();
    let mut stream = send(&nodes[0], &paths).await;
    let responses = read_until(&mut stream, "response to /paced/5").await;
    let elapsed = sent_at.elapsed();
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
    let positions = paths.iter().map(|path| responses.find(path).unwrap());
    assert!(positions.is_sorted(), "{responses}");
    let ids: Vec<_> = responses
        .lines()
        .filter_map(|line| line.strip_prefix("attempt: "))
        .collect();
    assert_eq!(ids, ["id-0", "id-1", "id-2", "id-3", "id-4", "id-5"]);
}

// It may be sent again if the connection closes before its turn.
#[tokio::test]
async fn call_once_ahead_of_responses() {
    let nodes = nodes(2).await;
    let mut stream = send(&nodes[0], &["/paced/0", "/once/1", "/paced/2"]).await;
    sleep(Duration::from_millis(60)).await;
    let mut started = received_paths(&nodes);
    started.sort();
    assert_eq!(started, ["/paced/0", "/paced/2"]);
    read_until(&mut stream, "response to /paced/2").await;
    let runs = received_paths(&nodes);
    assert_eq!(runs.iter().filter(|path| *path == "/once/1").count(), 1);
}

#[tokio::test]
async fn call_ahead_of_caller_that_leaves() {
    let nodes = nodes(2).await;
    let stream = send(&nodes[0], &["/slow/0", "/slow/1", "/slow/2"]).await;
    sleep(Duration::from_millis(200)).await;
    let running = || {
        let running = nodes.iter().map(|node| &node.upstream.running);
        running
            .map(|running| running.load(Ordering::SeqCst))
            .sum::<usize>()
    };
    assert_eq!(running(), 3);
    drop(stream);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(running(), 0);
}

// What is behind a response that closes the connection counts as not read.
#[tokio::test]
async fn call_ahead_of_closing_response() {
    let nodes = nodes(2).await;
    nodes[0].stop.cancel();
    let mut stream = send(&nodes[0], &["/paced/0", "/paced/1"]).await;
    let mut responses = String::new();
    stream.read_to_string(&mut responses).await.unwrap();
    assert!(responses.contains("connection: close"), "{responses}");
    assert_eq!(received_paths(&nodes), ["/paced/0"]);
}

// A request that has started before its turn got no response if the node was told to stop.
#[tokio::test]
async fn call_ahead_before_stop() {
    let nodes = nodes(4).await;
    let mut stream = send(&nodes[0], &["/paced/0", "/paced/1", "/paced/2"]).await;
    sleep(Duration::from_millis(60)).await;
    assert_eq!(received_paths(&nodes).len(), 3);
    nodes[0].stop.cancel();
    let mut responses = String::new();
    stream.read_to_string(&mut responses).await.unwrap();
    let bodies: Vec<_> = responses
        .lines()
        .filter(|line| line.starts_with("response to"))
        .map(|line| line.split("HTTP").next().unwrap_or_default())
        .collect();
    let expected = [
        "response to /paced/0",
        "response to /paced/1",
        "response to /paced/2",
    ];
    assert_eq!(bodies, expected, "{responses}");
    assert_eq!(responses.matches("connection: close").count(), 1);
}

#[rstest]
#[case("transfer-encoding: chunked")]
#[case("connection: close")]
#[case("content-length: 3\r\ncontent-length: 3")]
#[case("upgrade: websocket")]
fn next_request_after_unclear_end(#[case] header: &str) {
    let mut scanner = Scanner::new(1000);
    let head = format!("POST / HTTP/1.1\r\n{header}\r\n\r\nabcGET / HTTP/1.1\r\n\r\n");
    scanner.push(head.as_bytes());
    assert!(matches!(scanner.next_request(), Some(Scanned::Other)));
    scanner.push(b"GET / HTTP/1.1\r\n\r\n");
    assert!(scanner.next_request().is_none());
}

#[test]
fn next_request_with_long_head() {
    let mut scanner = Scanner::new(100);
    scanner.push(&[b'a'; 100]);
    assert!(scanner.next_request().is_none());
    scanner.push(b" / HTTP/1.1\r\n\r\n");
    assert!(scanner.next_request().is_none());
}

proptest! {
    // The requests found do not depend on the pieces in which the bytes arrive.
    #[test]
    fn next_request_in_pieces(bodies in prop::collection::vec(0..40_usize, 1..6), piece in 1..50_usize) {
        let mut bytes = Vec::new();
        for body in &bodies {
            let body = "GET / HTTP/1.1\r\n\r\n".repeat(3)[..*body].to_owned();
            let length = body.len();
            bytes.extend(format!("PUT /{length} HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{body}").bytes());
        }
        let mut scanner = Scanner::new(1000);
        let mut found = Vec::new();
        for piece in bytes.chunks(piece) {
            scanner.push(piece);
            while let Some(scanned) = scanner.next_request() {
                found.push(match scanned {
                    Scanned::Bodiless(request) => {
                        assert_eq!((request.method(), request.uri().path()), (&Method::PUT, "/0"));
                        true
                    }
                    Scanned::Other => false,
                });
            }
        }
        let expected: Vec<_> = bodies.iter().map(|body| *body == 0).collect();
        prop_assert_eq!(found, expected);
    }

    // Whatever arrives, the scanner does not panic and holds no more than a head.
    #[test]
    fn next_request_of_any_bytes(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..20)) {
        let mut scanner = Scanner::new(500);
        for piece in pieces {
            scanner.push(&piece);
            while scanner.next_request().is_some() {}
        }
    }
}
