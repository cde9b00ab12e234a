//! Tests of the graceful shutdown of a server.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::{
    BoxFuture,
    http::{Handler, Server, Shutdown, full_response},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Responds after a delay and counts the requests in progress.
#[derive(Debug, Default)]
struct SlowHandler {
    delay: Duration,
    in_progress: Arc<AtomicUsize>,
}

/// Counts a request until its future completes or is dropped.
struct InProgress(Arc<AtomicUsize>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for SlowHandler {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(async move {
            self.in_progress.fetch_add(1, Ordering::SeqCst);
            let _in_progress = InProgress(Arc::clone(&self.in_progress));
            tokio::time::sleep(self.delay).await;
            full_response(StatusCode::OK, "whole")
        })
    }
}

struct Fixture {
    shutdown: Shutdown,
    running: JoinHandle<()>,
    client: TcpStream,
    in_progress: Arc<AtomicUsize>,
}

impl Fixture {
    /// Starts a server with a connected client.
    async fn new(delay: Duration) -> Self {
        let shutdown = Shutdown {
            draining: CancellationToken::new(),
            closed: CancellationToken::new(),
        };
        let address = (Ipv4Addr::new(127, 50, 0, 2), 0).into();
        let count = Arc::<AtomicUsize>::default();
        let in_progress = Arc::clone(&count);
        let server = Server::bind(address, Arc::new(SlowHandler { delay, in_progress }))
            .await
            .expect("a port is free");
        let address = server.address().expect("the socket is bound");
        Self {
            client: TcpStream::connect(address)
                .await
                .expect("the server is reachable"),
            running: tokio::spawn(server.run(shutdown.clone())),
            shutdown,
            in_progress: count,
        }
    }

    /// Sends a request and returns whether its response closes the connection.
    async fn call(&mut self) -> bool {
        self.client
            .write_all(REQUEST)
            .await
            .expect("the server is reachable");
        let mut response = Vec::new();
        while !response.ends_with(b"\r\n\r\nwhole") {
            let read = self
                .client
                .read_buf(&mut response)
                .await
                .expect("a response");
            assert_ne!(
                read,
                0,
                "truncated after {}",
                String::from_utf8_lossy(&response)
            );
        }
        let head = String::from_utf8(response).expect("text");
        head.contains("connection: close")
    }

    /// Waits until the server has closed the connection, and asserts that it sends nothing more.
    async fn wait_until_closed(&mut self) {
        let mut rest = Vec::new();
        let read = self.client.read_to_end(&mut rest).await;
        assert_eq!((read.expect("no error"), rest), (0, Vec::new()));
    }
}

#[tokio::test]
async fn run_response_while_draining_closes_connection() {
    let mut fixture = Fixture::new(Duration::ZERO).await;
    assert!(!fixture.call().await);
    assert!(!fixture.call().await);
    fixture.shutdown.draining.cancel();
    assert!(fixture.call().await);
    fixture.wait_until_closed().await;
}

/// A request that is sent on an idle connection just after the shutdown is served.
#[tokio::test]
async fn run_request_on_idle_connection_after_shutdown() {
    let mut fixture = Fixture::new(Duration::ZERO).await;
    assert!(!fixture.call().await);
    fixture.shutdown.draining.cancel();
    fixture.shutdown.closed.cancel();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(fixture.call().await);
    fixture.wait_until_closed().await;
    fixture.running.await.expect("the server does not panic");
}

#[tokio::test(start_paused = true)]
async fn run_unused_connection_after_shutdown() {
    let mut fixture = Fixture::new(Duration::ZERO).await;
    fixture.shutdown.draining.cancel();
    fixture.shutdown.closed.cancel();
    fixture.wait_until_closed().await;
    fixture.running.await.expect("the server does not panic");
}

#[tokio::test]
async fn run_request_in_flight_during_shutdown() {
    let mut fixture = Fixture::new(Duration::from_millis(200)).await;
    fixture
        .client
        .write_all(REQUEST)
        .await
        .expect("the server is reachable");
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.shutdown.draining.cancel();
    fixture.shutdown.closed.cancel();
    let mut response = Vec::new();
    let read = fixture.client.read_to_end(&mut response).await;
    read.expect("a response");
    assert!(response.ends_with(b"\r\n\r\nwhole"));
    fixture.running.await.expect("the server does not panic");
}

/// A connection that the kernel accepted before the shutdown is served.
#[tokio::test]
async fn run_connection_in_backlog_during_shutdown() {
    let mut fixture = Fixture::new(Duration::ZERO).await;
    fixture.shutdown.draining.cancel();
    fixture.shutdown.closed.cancel();
    assert!(fixture.call().await);
}

/// A request is cancelled when its client closes the connection.
#[tokio::test]
async fn run_client_closes_connection() {
    let mut fixture = Fixture::new(Duration::from_mins(1)).await;
    fixture
        .client
        .write_all(REQUEST)
        .await
        .expect("the server is reachable");
    let wait_for_count = |count| {
        let in_progress = Arc::clone(&fixture.in_progress);
        async move {
            while in_progress.load(Ordering::SeqCst) != count {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    };
    let (begun, ended) = (wait_for_count(1), wait_for_count(0));
    let timeout = Duration::from_secs(10);
    tokio::time::timeout(timeout, begun)
        .await
        .expect("the request begins");
    drop(fixture.client);
    tokio::time::timeout(timeout, ended)
        .await
        .expect("the request is cancelled");
}
