//! Tests of requests that a node has read when it is told to stop.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::process::{GRACE_PERIOD, Process, own_addresses, status};

/// Time after the signal at which a late request is complete, in the second half of the grace period.
const LATE: Duration = Duration::from_millis(2400);

/// A node with an upstream that counts its requests and never responds.
struct Node {
    process: Process,
    received: Arc<AtomicUsize>,
}

/// Starts an upstream that never responds, and returns the number of requests it has received.
async fn silent_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let received = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _client)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                    counter.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    (address, received)
}

impl Node {
    async fn start() -> Self {
        let (upstream, received) = silent_upstream().await;
        let process = Process::start(own_addresses(), upstream, &Arc::default()).await;
        Self { process, received }
    }

    /// Waits until the upstream has received `count` requests.
    async fn wait_for_received(&self, count: usize) {
        let received = async {
            while self.received.load(Ordering::SeqCst) < count {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let received = timeout(Duration::from_secs(5), received).await;
        received.expect("the upstream should receive the request");
    }
}

/// Sends a part of a request after the signal, and the rest later; returns its status.
async fn status_of_late(node: &Node, time_limit_ms: u32) -> (u16, Duration) {
    let listen = &node.process.listen;
    let mut stream = TcpStream::connect(listen.callers).await.expect("node");
    let head = "GET /x HTTP/1.1\r\nhost: yard.example\r\nattempt: late\r\n";
    stream.write_all(head.as_bytes()).await.expect("node");
    sleep(LATE).await;
    let sent_at = Instant::now();
    let rest = format!("deadline: {time_limit_ms}\r\n\r\n");
    stream.write_all(rest.as_bytes()).await.expect("node");
    (status(stream).await, sent_at.elapsed())
}

// A request that came late in the grace period was passed on, and broken off at its end although
// its upstream was at work.
#[tokio::test]
async fn run_stopped_with_late_request() {
    let mut node = Node::start().await;
    node.process.stop.cancel();
    let (status, elapsed) = status_of_late(&node, 20_000).await;
    assert_eq!(status, 503);
    assert!(elapsed < Duration::from_millis(300), "{elapsed:?}");
    node.process.ended().await;
    assert_eq!(node.received.load(Ordering::SeqCst), 0);
}

// A request whose time ends before the process does is not refused for being late.
#[tokio::test]
async fn run_stopped_with_late_request_of_short_time() {
    let mut node = Node::start().await;
    node.process.stop.cancel();
    let (status, elapsed) = status_of_late(&node, 500).await;
    assert_eq!(status, 504);
    assert!(elapsed >= Duration::from_millis(500), "{elapsed:?}");
    node.process.ended().await;
    assert_eq!(node.received.load(Ordering::SeqCst), 1);
}

// The process ended while requests waited or ran, and their callers got no response.
#[tokio::test]
async fn run_stopped_with_requests_beyond_grace_period() {
    let mut node = Node::start().await;
    let running = node.process.send("/x").await;
    node.wait_for_received(1).await;
    let waiting = node.process.send("/x").await;
    sleep(Duration::from_millis(100)).await;
    let stopped_at = Instant::now();
    node.process.stop.cancel();
    sleep(Duration::from_millis(500)).await;
    let late = node.process.send("/x").await;
    let statuses = tokio::join!(status(running), status(waiting), status(late));
    node.process.ended().await;
    let elapsed = stopped_at.elapsed();
    // The first may have run, the others have not.
    assert_eq!(statuses, (504, 503, 503), "after {elapsed:?}");
    assert!(elapsed < GRACE_PERIOD, "{elapsed:?}");
    assert_eq!(node.received.load(Ordering::SeqCst), 1);
}
