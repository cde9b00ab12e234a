//! Tests of the server of callers and other nodes.

use std::{sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming};
use lentilshunt_net::{BoxFuture, http::Shutdown};
use lentilshunt_node::relay::{
    Handler, HeaderLimits, Server,
    body::{Body, full},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

#[derive(Debug)]
struct Slow;

impl Handler for Slow {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            Response::new(full("served"))
        })
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

// A panic closed the connection without a response.
#[tokio::test]
async fn run_with_handler_that_panics() {
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(address, Arc::new(Panicking), limits).await;
    let server = server.expect("a free port");
    let address = server.address().expect("an address");
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
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(address, Arc::new(Slow), limits).await;
    let server = server.expect("a free port");
    let address = server.address().expect("an address");
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
