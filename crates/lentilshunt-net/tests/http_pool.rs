//! Tests of the connection pool against servers that fail at every stage.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_net::http::{Exchange, Pool};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Body of a successful response.
const BODY: Bytes = Bytes::from_static(b"whole");
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const EMPTY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nwhole";
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
const TRUNCATED_CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n";
const TOO_LARGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nhello world";

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 10;

/// How long a server keeps a connection.
#[derive(Clone, Copy)]
enum Keep {
    /// Until the client closes it.
    Open,
    /// For one response.
    Once,
    /// For one response; later requests are read without a response.
    Silent,
}

/// A server that sends the same response to every request.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Server {
    async fn start(response: &'static str, keep: Keep) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::new(127, 50, 0, 1), 0))
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let server = Self {
            address,
            connections: Arc::default(),
            requests: Arc::default(),
        };
        let connections = Arc::clone(&server.connections);
        let requests = Arc::clone(&server.requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, response, keep, Arc::clone(&requests)));
            }
        });
        server
    }

    fn counts(&self) -> (usize, usize) {
        let connections = self.connections.load(Ordering::SeqCst);
        (connections, self.requests.load(Ordering::SeqCst))
    }

    async fn call(&self, pool: &Pool) -> Result<Bytes, (Verdict, Reason)> {
        call(pool, self.address).await
    }
}

async fn serve(mut stream: TcpStream, response: &str, keep: Keep, requests: Arc<AtomicUsize>) {
    let mut buffer = vec![0; 4096];
    let mut response_count = 0;
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
        requests.fetch_add(1, Ordering::SeqCst);
        if response_count > 0 && matches!(keep, Keep::Silent) {
            continue;
        }
        stream
            .write_all(response.as_bytes())
            .await
            .expect("the client reads");
        response_count += 1;
        if matches!(keep, Keep::Once) {
            return;
        }
    }
}

fn exchange(address: SocketAddr) -> (Exchange, Request<Bytes>) {
    let exchange = Exchange {
        address,
        deadline: Instant::now() + Duration::from_millis(400),
        max_body_bytes: MAX_BODY_BYTES,
    };
    (exchange, Request::new(Bytes::new()))
}

async fn call(pool: &Pool, address: SocketAddr) -> Result<Bytes, (Verdict, Reason)> {
    let (exchange, request) = exchange(address);
    match pool.exchange(exchange, request).await {
        Ok(response) => Ok(response.into_body()),
        Err(error) => Err((error.verdict(), error.reason())),
    }
}

#[rstest]
#[case::whole(WHOLE, Keep::Open, Ok("whole"))]
#[case::empty(EMPTY, Keep::Open, Ok(""))]
#[case::chunked(CHUNKED, Keep::Open, Ok("whole"))]
#[case::truncated(TRUNCATED, Keep::Once, Err((Verdict::MayHaveRun, Reason::ConnectionLost)))]
#[case::truncated_chunked(
    TRUNCATED_CHUNKED,
    Keep::Once,
    Err((Verdict::MayHaveRun, Reason::ConnectionLost))
)]
#[case::stalled(TRUNCATED, Keep::Open, Err((Verdict::MayHaveRun, Reason::Deadline)))]
#[case::no_length(NO_LENGTH, Keep::Once, Err((Verdict::MayHaveRun, Reason::BadAnswer)))]
#[case::too_large(TOO_LARGE, Keep::Open, Err((Verdict::MayHaveRun, Reason::TooLarge)))]
#[case::closed_early("", Keep::Once, Err((Verdict::MayHaveRun, Reason::ConnectionLost)))]
#[case::no_response("", Keep::Open, Err((Verdict::MayHaveRun, Reason::Deadline)))]
#[tokio::test]
async fn exchange_response(
    #[case] response: &'static str,
    #[case] keep: Keep,
    #[case] expected: Result<&'static str, (Verdict, Reason)>,
) {
    let server = Server::start(response, keep).await;
    let expected = expected.map(|body| Bytes::from_static(body.as_bytes()));
    assert_eq!(server.call(&Pool::default()).await, expected);
}

#[tokio::test]
async fn exchange_unreachable() {
    let server = Server::start(WHOLE, Keep::Open).await;
    let unused = SocketAddr::new(server.address.ip(), 1);
    let expected = Err((Verdict::NotRun, Reason::Unreachable));
    assert_eq!(call(&Pool::default(), unused).await, expected);
}

#[tokio::test]
async fn exchange_reuses_connection() {
    let server = Server::start(WHOLE, Keep::Open).await;
    let pool = Pool::default();
    for _ in 0..3 {
        assert_eq!(server.call(&pool).await, Ok(BODY));
    }
    assert_eq!(server.counts(), (1, 3));
}

/// A request does not fail because the server closed its idle connection before.
#[tokio::test]
async fn exchange_idle_connection_closed() {
    let server = Server::start(WHOLE, Keep::Once).await;
    let pool = Pool::default();
    for _ in 0..3 {
        assert_eq!(server.call(&pool).await, Ok(BODY));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(server.counts(), (3, 3));
}

#[tokio::test]
async fn exchange_fresh_opens_connection() {
    let server = Server::start(WHOLE, Keep::Open).await;
    let pool = Pool::default();
    assert_eq!(server.call(&pool).await, Ok(BODY));
    let (exchange, request) = exchange(server.address);
    let response = pool.exchange_fresh(exchange, request).await;
    assert_eq!(response.expect("a response").into_body(), BODY);
    assert_eq!(server.counts(), (2, 2));
}

/// When one connection stops responding, its idle siblings are not reused, but the
/// server is still reached over a new connection.
#[tokio::test]
async fn exchange_silent_connection_invalidates_idle() {
    let server = Server::start(WHOLE, Keep::Silent).await;
    let pool = Pool::default();
    let (first, second) = tokio::join!(server.call(&pool), server.call(&pool));
    assert_eq!((first, second), (Ok(BODY), Ok(BODY)));
    let silent = Err((Verdict::MayHaveRun, Reason::Deadline));
    assert_eq!(server.call(&pool).await, silent);
    assert_eq!(server.call(&pool).await, Ok(BODY));
    assert_eq!(server.counts().0, 3);
}

/// A request that is abandoned before its deadline, after 300 ms without a response,
/// invalidates the idle connections as well.
#[tokio::test]
async fn exchange_abandoned_silent_connection_invalidates_idle() {
    let server = Server::start(WHOLE, Keep::Silent).await;
    let pool = Pool::default();
    let (first, second) = tokio::join!(server.call(&pool), server.call(&pool));
    assert_eq!((first, second), (Ok(BODY), Ok(BODY)));
    let wait = Duration::from_millis(300);
    let abandoned = tokio::time::timeout(wait, server.call(&pool)).await;
    abandoned.expect_err("no response");
    assert_eq!(server.call(&pool).await, Ok(BODY));
}

#[tokio::test]
async fn exchange_too_many_connections() {
    let server = Server::start("", Keep::Open).await;
    let pool = Pool::default().with_max_connections(1);
    let (silent, refused) = tokio::join!(server.call(&pool), server.call(&pool));
    assert_eq!(silent, Err((Verdict::MayHaveRun, Reason::Deadline)));
    assert_eq!(refused, Err((Verdict::NotRun, Reason::NoRoom)));
    // A closed connection releases its permit.
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(server.call(&pool).await, silent);
}
