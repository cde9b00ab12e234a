//! Client connections to servers that fail in every way.

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

/// The answer of every test that expects one.
const BODY: Bytes = Bytes::from_static(b"whole");
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const EMPTY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nwhole";
const UNBOUNDED: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
const CUT_CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n";
const LONG: &str = "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nhello world";

/// Largest answer, in bytes.
const LIMIT: usize = 10;

/// How long a server keeps a connection.
#[derive(Clone, Copy)]
enum Keep {
    /// Until the client closes it.
    Open,
    /// For one answer.
    Once,
    /// For one answer; later requests are read but not answered.
    Silent,
}

/// A server that gives the same answer to every request.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Server {
    async fn start(answer: &'static str, keep: Keep) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::new(127, 50, 0, 1), 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
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
                tokio::spawn(serve(stream, answer, keep, Arc::clone(&requests)));
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

async fn serve(mut stream: TcpStream, answer: &str, keep: Keep, requests: Arc<AtomicUsize>) {
    let mut buffer = vec![0; 4096];
    let mut answered = 0;
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
        requests.fetch_add(1, Ordering::SeqCst);
        if answered > 0 && matches!(keep, Keep::Silent) {
            continue;
        }
        stream.write_all(answer.as_bytes()).await.expect("a client");
        answered += 1;
        if matches!(keep, Keep::Once) {
            return;
        }
    }
}

fn exchange(address: SocketAddr) -> (Exchange, Request<Bytes>) {
    let exchange = Exchange {
        address,
        deadline: Instant::now() + Duration::from_millis(400),
        max_body_bytes: LIMIT,
    };
    (exchange, Request::new(Bytes::new()))
}

async fn call(pool: &Pool, address: SocketAddr) -> Result<Bytes, (Verdict, Reason)> {
    let (exchange, request) = exchange(address);
    match pool.exchange(exchange, request).await {
        Ok(answer) => Ok(answer.into_body()),
        Err(error) => Err((error.verdict(), error.reason())),
    }
}

#[rstest]
#[case::whole(WHOLE, Keep::Open, Ok("whole"))]
#[case::empty(EMPTY, Keep::Open, Ok(""))]
#[case::chunked(CHUNKED, Keep::Open, Ok("whole"))]
#[case::cut(TRUNCATED, Keep::Once, Err((Verdict::MayHaveRun, Reason::ConnectionLost)))]
#[case::cut_chunked(CUT_CHUNKED, Keep::Once, Err((Verdict::MayHaveRun, Reason::ConnectionLost)))]
#[case::stalled(TRUNCATED, Keep::Open, Err((Verdict::MayHaveRun, Reason::Deadline)))]
#[case::unbounded(UNBOUNDED, Keep::Once, Err((Verdict::MayHaveRun, Reason::BadAnswer)))]
#[case::long(LONG, Keep::Open, Err((Verdict::MayHaveRun, Reason::TooLarge)))]
#[case::nothing("", Keep::Once, Err((Verdict::MayHaveRun, Reason::ConnectionLost)))]
#[case::silent("", Keep::Open, Err((Verdict::MayHaveRun, Reason::Deadline)))]
#[tokio::test]
async fn exchange_answer(
    #[case] answer: &'static str,
    #[case] keep: Keep,
    #[case] expected: Result<&'static str, (Verdict, Reason)>,
) {
    let server = Server::start(answer, keep).await;
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
async fn exchange_reused() {
    let server = Server::start(WHOLE, Keep::Open).await;
    let pool = Pool::default();
    for _ in 0..3 {
        assert_eq!(server.call(&pool).await, Ok(BODY));
    }
    assert_eq!(server.counts(), (1, 3));
}

/// A connection that was closed while it was idle does not fail a request.
#[tokio::test]
async fn exchange_closed_idle() {
    let server = Server::start(WHOLE, Keep::Once).await;
    let pool = Pool::default();
    for _ in 0..3 {
        assert_eq!(server.call(&pool).await, Ok(BODY));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(server.counts(), (3, 3));
}

#[tokio::test]
async fn exchange_fresh_connection() {
    let server = Server::start(WHOLE, Keep::Open).await;
    let pool = Pool::default();
    assert_eq!(server.call(&pool).await, Ok(BODY));
    let (exchange, request) = exchange(server.address);
    let answer = pool.exchange_fresh(exchange, request).await;
    assert_eq!(answer.expect("an answer").into_body(), BODY);
    assert_eq!(server.counts(), (2, 2));
}

/// One connection that went silent retires its idle neighbours, not the server.
#[tokio::test]
async fn exchange_silent_neighbours() {
    let server = Server::start(WHOLE, Keep::Silent).await;
    let pool = Pool::default();
    let (first, second) = tokio::join!(server.call(&pool), server.call(&pool));
    assert_eq!((first, second), (Ok(BODY), Ok(BODY)));
    let silent = Err((Verdict::MayHaveRun, Reason::Deadline));
    assert_eq!(server.call(&pool).await, silent);
    assert_eq!(server.call(&pool).await, Ok(BODY));
    assert_eq!(server.counts().0, 3);
}

/// A silent connection that is given up before its deadline retires its neighbours as well.
#[tokio::test]
async fn exchange_silent_abandoned() {
    let server = Server::start(WHOLE, Keep::Silent).await;
    let pool = Pool::default();
    let (first, second) = tokio::join!(server.call(&pool), server.call(&pool));
    assert_eq!((first, second), (Ok(BODY), Ok(BODY)));
    let patience = Duration::from_millis(300);
    let abandoned = tokio::time::timeout(patience, server.call(&pool)).await;
    abandoned.expect_err("silence");
    assert_eq!(server.call(&pool).await, Ok(BODY));
}

#[tokio::test]
async fn exchange_crowded() {
    let server = Server::start("", Keep::Open).await;
    let pool = Pool::default().with_max_connections(1);
    let (silent, crowded) = tokio::join!(server.call(&pool), server.call(&pool));
    assert_eq!(silent, Err((Verdict::MayHaveRun, Reason::Deadline)));
    assert_eq!(crowded, Err((Verdict::NotRun, Reason::NoRoom)));
    // The place of a connection is free again when it is closed.
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(server.call(&pool).await, silent);
}
