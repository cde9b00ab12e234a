//! Tests of the server of callers and other nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming};
use lentilshunt_net::{BoxFuture, http::Shutdown};
use lentilshunt_node::relay::{
    Handler, HeaderLimits, Server,
    body::{Body, full},
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Handler that responds after 50 ms.
#[derive(Debug, Default)]
struct Slow {
    starts_early: bool,
}

impl Handler for Slow {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            Response::new(full("served"))
        })
    }

    fn starts_early(&self) -> bool {
        self.starts_early
    }
}

#[derive(Debug)]
struct Panicking;

impl Handler for Panicking {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(10)).await;
            assert_eq!(request.uri().path(), "/sound", "the test wants a panic");
            Response::new(full("served"))
        })
    }
}

/// Starts a server on a free port.
async fn bind(handler: impl Handler + 'static) -> (Server, SocketAddr) {
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(address, Arc::new(handler), limits).await;
    let server = server.expect("a free port");
    let address = server.address().expect("an address");
    (server, address)
}

// A panic closed the connection without a response.
#[tokio::test]
async fn run_with_handler_that_panics() {
    let (server, address) = bind(Panicking).await;
    let shutdown = Shutdown::default();
    let running = tokio::spawn(server.run(shutdown.clone()));
    let mut client = TcpStream::connect(address).await.expect("a connection");
    let mut statuses = Vec::new();
    for path in ["/unsound", "/sound"] {
        let request = format!("GET {path} HTTP/1.1\r\nhost: yard.example\r\n\r\n");
        client.write_all(request.as_bytes()).await.expect("a node");
        let mut response = [0; 1024];
        let count = client.read(&mut response).await.expect("a node");
        let response = String::from_utf8_lossy(&response[..count]).into_owned();
        statuses.push(response.split(' ').nth(1).unwrap_or_default().to_owned());
    }
    assert_eq!(statuses, ["502", "200"]);
    shutdown.closed.cancel();
    running.await.expect("the server should end");
}

// Connections that wait to be accepted when the listener closes have sent requests already.
#[tokio::test]
async fn run_serves_connections_in_backlog() {
    let (server, address) = bind(Slow::default()).await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = TcpStream::connect(address).await.expect("a connection");
        let request = b"GET / HTTP/1.1\r\nhost: yard.example\r\n\r\n";
        client.write_all(request).await.expect("an open connection");
        clients.push(client);
    }
    let shutdown = Shutdown::default();
    shutdown.draining.cancel();
    shutdown.closed.cancel();
    let running = tokio::spawn(server.run(shutdown));
    for mut client in clients {
        let mut response = String::new();
        let read = client.read_to_string(&mut response).await;
        read.expect("a response that is not cut off");
        assert!(response.ends_with("served"), "{response:?}");
    }
    running.await.expect("the server should end");
}

// A request on an open connection that had arrived, but was not read yet, got no response if the
// server was closed in the same moment and reads ahead.
#[rstest]
#[case::in_turn(false)]
#[case::ahead(true)]
#[tokio::test]
async fn run_serves_request_that_has_arrived_on_open_connection(#[case] starts_early: bool) {
    let (server, address) = bind(Slow { starts_early }).await;
    let shutdown = Shutdown::default();
    let running = tokio::spawn(server.run(shutdown.clone()));
    let mut client = TcpStream::connect(address).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: yard.example\r\n\r\n";
    client.write_all(request).await.expect("an open connection");
    let mut response = [0; 4096];
    let count = client.read(&mut response).await.expect("a response");
    assert!(response[..count].ends_with(b"served"));
    shutdown.draining.cancel();
    // A task that closes the server when a socket is readable; the request arrives after that, and
    // the runtime learns of both at once.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let trigger = listener.local_addr().expect("an address");
    let trigger = TcpStream::connect(trigger).await.expect("a connection");
    let (mut triggered, _client) = listener.accept().await.expect("a connection");
    let closed = shutdown.closed.clone();
    let closing = tokio::spawn(async move {
        let mut byte = [0];
        triggered.read_exact(&mut byte).await.expect("a byte");
        closed.cancel();
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    trigger.try_write(b"x").expect("room to write");
    client.try_write(request).expect("room to write");
    closing.await.expect("a closed server");
    let mut response = String::new();
    let read = client.read_to_string(&mut response).await;
    assert!(response.ends_with("served"), "{read:?} {response:?}");
    running.await.expect("the server should end");
}

// A connection that the runtime had not noticed when the listener closed was cut off.
#[tokio::test]
async fn run_serves_unnoticed_connection_in_backlog() {
    let (server, address) = bind(Slow::default()).await;
    let shutdown = Shutdown::default();
    let running = tokio::spawn(server.run(shutdown.clone()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    // Blocking calls, so that the runtime does not look for events before the listener closes.
    let mut client = std::net::TcpStream::connect(address).expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: yard.example\r\n\r\n";
    std::io::Write::write_all(&mut client, request).expect("an open connection");
    shutdown.draining.cancel();
    shutdown.closed.cancel();
    client.set_nonblocking(true).expect("a socket");
    let mut client = TcpStream::from_std(client).expect("a socket");
    let mut response = String::new();
    let read = client.read_to_string(&mut response).await;
    assert!(response.ends_with("served"), "{read:?} {response:?}");
    running.await.expect("the server should end");
}
