//! A server that stops keeps its promises to connected clients.

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
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Greeter;

impl Handler for Greeter {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(async { full_response(StatusCode::OK, "whole") })
    }
}

async fn start() -> (SocketAddr, Shutdown, JoinHandle<()>) {
    let address = ANY_PORT.parse().expect("an address");
    let server = Server::bind(address, Arc::new(Greeter))
        .await
        .expect("a free port");
    let address = server.address().expect("a bound socket");
    let stop = Shutdown::default();
    (address, stop.clone(), tokio::spawn(server.run(stop)))
}

async fn call(pool: &Pool, address: SocketAddr) -> (Option<String>, Bytes) {
    let exchange = Exchange {
        address,
        deadline: Instant::now() + PATIENCE,
        max_body_bytes: 1024,
    };
    let answer = pool
        .exchange(exchange, Request::new(Bytes::new()))
        .await
        .expect("an answer");
    let connection = answer.headers().get(CONNECTION);
    let connection = connection.map(|value| value.to_str().expect("text").to_owned());
    (connection, answer.into_body())
}

#[tokio::test]
async fn run_idle_connection_while_closed() {
    let (address, stop, running) = start().await;
    let pool = Pool::default();
    let body = Bytes::from_static(b"whole");
    assert_eq!(call(&pool, address).await, (None, body.clone()));
    stop.draining.cancel();
    stop.closed.cancel();
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let close = Some("close".to_owned());
    assert_eq!(call(&pool, address).await, (close, body));
    timeout(PATIENCE, running)
        .await
        .expect("the server ends")
        .expect("no panic");
}

/// Connections that the runtime has not heard of yet are served as well.
#[tokio::test]
async fn run_connections_unknown_to_runtime() {
    const CLIENTS: usize = 20;
    let (address, stop, running) = start().await;
    tokio::task::yield_now().await;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| std::net::TcpStream::connect(address).expect("a connection"))
        .collect();
    for mut client in &clients {
        let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        client.write_all(request).expect("a request");
    }
    stop.draining.cancel();
    stop.closed.cancel();
    timeout(PATIENCE, running)
        .await
        .expect("the server ends")
        .expect("no panic");
    for mut client in clients {
        let mut answer = String::new();
        client.read_to_string(&mut answer).expect("an answer");
        assert!(answer.ends_with("\r\n\r\nwhole"), "{answer}");
    }
}

#[tokio::test]
async fn run_new_connection_while_leaving() {
    let (address, stop, running) = start().await;
    stop.draining.cancel();
    let close = Some("close".to_owned());
    let body = Bytes::from_static(b"whole");
    assert_eq!(call(&Pool::default(), address).await, (close, body));
    stop.closed.cancel();
    timeout(PATIENCE, running)
        .await
        .expect("the server ends")
        .expect("no panic");
}
