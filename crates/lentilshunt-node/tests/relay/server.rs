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
