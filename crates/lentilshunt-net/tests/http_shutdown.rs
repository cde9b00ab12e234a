//! The graceful stop of a server.

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

/// Answers after a time, and counts the requests that it works on.
#[derive(Debug, Default)]
struct Slow {
    time: Duration,
    running: Arc<AtomicUsize>,
}

/// Counts a request until it is answered or dropped.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Slow {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(async move {
            self.running.fetch_add(1, Ordering::SeqCst);
            let _running = Running(Arc::clone(&self.running));
            tokio::time::sleep(self.time).await;
            full_response(StatusCode::OK, "whole")
        })
    }
}

struct Fixture {
    stop: Shutdown,
    running: JoinHandle<()>,
    client: TcpStream,
    requests: Arc<AtomicUsize>,
}

impl Fixture {
    /// Starts a server with a connected client.
    async fn new(time: Duration) -> Self {
        let stop = Shutdown {
            draining: CancellationToken::new(),
            closed: CancellationToken::new(),
        };
        let address = (Ipv4Addr::new(127, 50, 0, 2), 0).into();
        let requests = Arc::<AtomicUsize>::default();
        let running = Arc::clone(&requests);
        let server = Server::bind(address, Arc::new(Slow { time, running }))
            .await
            .expect("a free port");
        let address = server.address().expect("an address");
        Self {
            client: TcpStream::connect(address).await.expect("a server"),
            running: tokio::spawn(server.run(stop.clone())),
            stop,
            requests,
        }
    }

    /// Returns whether the answer to a request closes the connection.
    async fn call(&mut self) -> bool {
        self.client.write_all(REQUEST).await.expect("a server");
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n\r\nwhole") {
            let read = self.client.read_buf(&mut answer).await.expect("an answer");
            assert_ne!(
                read,
                0,
                "cut off after {}",
                String::from_utf8_lossy(&answer)
            );
        }
        let head = String::from_utf8(answer).expect("text");
        head.contains("connection: close")
    }

    /// Waits until the server has closed the connection.
    async fn closed(&mut self) {
        let mut rest = Vec::new();
        let read = self.client.read_to_end(&mut rest).await;
        assert_eq!((read.expect("no error"), rest), (0, Vec::new()));
    }
}

#[tokio::test]
async fn run_notice() {
    let mut fixture = Fixture::new(Duration::ZERO).await;
    assert!(!fixture.call().await);
    assert!(!fixture.call().await);
    fixture.stop.draining.cancel();
    assert!(fixture.call().await);
    fixture.closed().await;
}

/// A request that was sent on an idle connection just after the stop is answered.
#[tokio::test]
async fn run_stopped_idle_connection() {
    let mut fixture = Fixture::new(Duration::ZERO).await;
    assert!(!fixture.call().await);
    fixture.stop.draining.cancel();
    fixture.stop.closed.cancel();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(fixture.call().await);
    fixture.closed().await;
    fixture.running.await.expect("no panic");
}

#[tokio::test(start_paused = true)]
async fn run_stopped_unused_connection() {
    let mut fixture = Fixture::new(Duration::ZERO).await;
    fixture.stop.draining.cancel();
    fixture.stop.closed.cancel();
    fixture.closed().await;
    fixture.running.await.expect("no panic");
}

#[tokio::test]
async fn run_stopped_in_flight() {
    let mut fixture = Fixture::new(Duration::from_millis(200)).await;
    fixture.client.write_all(REQUEST).await.expect("a server");
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.stop.draining.cancel();
    fixture.stop.closed.cancel();
    let mut answer = Vec::new();
    let read = fixture.client.read_to_end(&mut answer).await;
    read.expect("an answer");
    assert!(answer.ends_with(b"\r\n\r\nwhole"));
    fixture.running.await.expect("no panic");
}

/// A connection that the system had accepted before the stop is served.
#[tokio::test]
async fn run_stopped_before_accept() {
    let mut fixture = Fixture::new(Duration::ZERO).await;
    fixture.stop.draining.cancel();
    fixture.stop.closed.cancel();
    assert!(fixture.call().await);
}

/// The work on a request ends when its client has gone.
#[tokio::test]
async fn run_client_gone() {
    let mut fixture = Fixture::new(Duration::from_mins(1)).await;
    fixture.client.write_all(REQUEST).await.expect("a server");
    let running = |count| {
        let requests = Arc::clone(&fixture.requests);
        async move {
            while requests.load(Ordering::SeqCst) != count {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    };
    let (begun, ended) = (running(1), running(0));
    let longest = Duration::from_secs(10);
    tokio::time::timeout(longest, begun)
        .await
        .expect("a request");
    drop(fixture.client);
    tokio::time::timeout(longest, ended).await.expect("the end");
}
