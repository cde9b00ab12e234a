//! Tests of requests that crash the upstreams that run them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::StatusCode;
use lentilshunt_node::relay::body::empty;
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    fixture::{Node, call, nodes_with_upstreams, restart},
    raw_upstream::{RawUpstream, read_request},
};

/// Time in which the crash of an upstream is found and reported to other nodes.
const REPORT_TIME: Duration = Duration::from_millis(300);

/// Upstreams that crash on requests with `crash` in their path, and start again soon after.
///
/// With `body` in the path as well, they do so while they respond.
struct Upstreams {
    addresses: Vec<SocketAddr>,
    crashes: Arc<AtomicUsize>,
}

impl Upstreams {
    async fn start(count: usize) -> Self {
        let crashes = Arc::<AtomicUsize>::default();
        let mut addresses = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addresses.push(listener.local_addr().unwrap());
            tokio::spawn(run(listener, Arc::clone(&crashes)));
        }
        Self { addresses, crashes }
    }

    fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

async fn run(mut listener: TcpListener, crashes: Arc<AtomicUsize>) {
    let address = listener.local_addr().unwrap();
    loop {
        let (mut stream, _client) = listener.accept().await.unwrap();
        if respond(&mut stream).await {
            continue;
        }
        // In this order, so that the node does not find the upstream alive after its connection.
        drop(listener);
        drop(stream);
        crashes.fetch_add(1, Ordering::SeqCst);
        sleep(REPORT_TIME / 2).await;
        listener = TcpListener::bind(address).await.unwrap();
    }
}

/// Responds to the requests of a connection, and returns whether the upstream survives them.
async fn respond(stream: &mut TcpStream) -> bool {
    while let Some(request) = read_request(stream).await {
        let body = RawUpstream::body(&request.id);
        let (length, survives) = match (
            request.path.contains("crash"),
            request.path.contains("body"),
        ) {
            (true, true) => (body.len() * 2, false),
            (true, false) => return false,
            (false, _) => (body.len(), true),
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nattempt: {}\r\nseal: sealed\r\ncontent-length: {length}\r\n\r\n{body}",
            request.id
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return true;
        }
        if !survives {
            return false;
        }
    }
    true
}

async fn send(node: &Node, path: &str) -> StatusCode {
    let response = call(node, path, &[], empty()).await;
    sleep(REPORT_TIME).await;
    response.status
}

// A request that crashed upstreams while they responded was taken for one that had run.
#[rstest]
#[tokio::test]
async fn call_that_crashes_upstreams(
    #[values("/once/crash", "/once/crash/body", "/crash", "/crash/body")] path: &str,
) {
    let upstreams = Upstreams::start(3).await;
    let nodes = nodes_with_upstreams(&upstreams.addresses).await;
    for node in nodes.iter().chain(&nodes) {
        assert_eq!(send(node, path).await, StatusCode::BAD_GATEWAY);
    }
    assert_eq!(upstreams.crashes(), 2);
    assert_eq!(send(&nodes[0], "/once/x").await, StatusCode::OK);
}

// A node that had restarted forgot the losses before, and had its upstream crash twice more.
#[tokio::test]
async fn call_to_restarted_nodes() {
    let upstreams = Upstreams::start(4).await;
    let mut nodes = nodes_with_upstreams(&upstreams.addresses).await;
    for node in &nodes[..2] {
        send(node, "/once/crash").await;
    }
    assert_eq!(upstreams.crashes(), 2);
    for index in 0..3 {
        restart(&mut nodes, index, upstreams.addresses[index]).await;
        // The upstream is lost once, and the reports of the other nodes tell of the losses before.
        for _ in 0..3 {
            send(&nodes[index], "/once/crash").await;
        }
        assert_eq!(upstreams.crashes(), 3 + index);
    }
}

// The caller has left when the loss is found.
#[tokio::test]
async fn call_of_caller_that_leaves() {
    let upstreams = Upstreams::start(3).await;
    let nodes = nodes_with_upstreams(&upstreams.addresses).await;
    for node in nodes.iter().chain(&nodes) {
        let called = call(node, "/once/crash", &[], empty());
        // Long enough for the request to reach the upstream.
        drop(timeout(Duration::from_millis(10), called).await);
        sleep(REPORT_TIME).await;
    }
    assert!(upstreams.crashes() <= 2, "{}", upstreams.crashes());
}
