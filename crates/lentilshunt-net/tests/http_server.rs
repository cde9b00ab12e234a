//! Tests that a server serves connected clients until its shutdown is complete.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, header::CONNECTION};
use lentilshunt_net::{
    BoxFuture,
    http::{Exchange, Handler, Pool, Server, Shutdown, full_response},
};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

const ANY_PORT: &str = "127.0.0.1:0";
const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Greeter;

impl Handler for Greeter {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(async { full_response(StatusCode::OK, "whole") })
    }
}

async fn start() -> (SocketAddr, Shutdown, JoinHandle<()>) {
    let address = ANY_PORT.parse().expect("a valid address");
    let server = Server::bind(address, Arc::new(Greeter))
        .await
        .expect("a port is free");
    let address = server.address().expect("the socket is bound");
    let shutdown = Shutdown::default();
    (
        address,
        shutdown.clone(),
        tokio::spawn(server.run(shutdown)),
    )
}

async fn call(pool: &Pool, address: SocketAddr) -> (Option<String>, Bytes) {
    let exchange = Exchange {
        address,
        deadline: Instant::now() + TIMEOUT,
        max_body_bytes: 1024,
    };
    let response = pool
        .exchange(exchange, Request::new(Bytes::new()))
        .await
        .expect("a response");
    let connection = response.headers().get(CONNECTION);
    let connection = connection.map(|value| value.to_str().expect("text").to_owned());
    (connection, response.into_body())
}

#[tokio::test]
async fn run_idle_connection_while_closed() {
    let (address, shutdown, running) = start().await;
    let pool = Pool::default();
    let body = Bytes::from_static(b"whole");
    assert_eq!(call(&pool, address).await, (None, body.clone()));
    shutdown.draining.cancel();
    shutdown.closed.cancel();
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let close = Some("close".to_owned());
    assert_eq!(call(&pool, address).await, (close, body));
    timeout(TIMEOUT, running)
        .await
        .expect("the server terminates")
        .expect("the server does not panic");
}

/// Connections in the listen backlog that the runtime has not been notified of yet are
/// served as well.
#[tokio::test]
async fn run_connections_in_backlog_while_closed() {
    const CLIENTS: usize = 20;
    let (address, shutdown, running) = start().await;
    tokio::task::yield_now().await;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| std::net::TcpStream::connect(address).expect("the server listens"))
        .collect();
    for mut client in &clients {
        let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        client.write_all(request).expect("the request is sent");
    }
    shutdown.draining.cancel();
    shutdown.closed.cancel();
    timeout(TIMEOUT, running)
        .await
        .expect("the server terminates")
        .expect("the server does not panic");
    for mut client in clients {
        let mut response = String::new();
        client.read_to_string(&mut response).expect("a response");
        assert!(response.ends_with("\r\n\r\nwhole"), "{response}");
    }
}

#[tokio::test]
async fn run_new_connection_while_draining() {
    let (address, shutdown, running) = start().await;
    shutdown.draining.cancel();
    let close = Some("close".to_owned());
    let body = Bytes::from_static(b"whole");
    assert_eq!(call(&Pool::default(), address).await, (close, body));
    shutdown.closed.cancel();
    timeout(TIMEOUT, running)
        .await
        .expect("the server terminates")
        .expect("the server does not panic");
}
