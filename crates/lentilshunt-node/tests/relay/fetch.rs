//! Tests of answers that are read whole.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::Request;
use lentilshunt_node::relay::{Pool, body::empty, fetch::Error};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};

/// Bytes of a piece of an answer.
const PIECE: usize = 10;

/// Starts a server that answers `pieces` pieces with a pause before each, of `told` in all.
async fn server(pieces: usize, told: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1024];
        let _read = stream.read(&mut request).await.expect("a request");
        let length = told * PIECE;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("a client");
        for _ in 0..pieces {
            sleep(pause).await;
            let written = stream.write_all(&[b'x'; PIECE]).await;
            if written.is_err() {
                return;
            }
        }
        sleep(Duration::from_secs(5)).await;
    });
    address
}

async fn fetch(address: SocketAddr, limit: usize) -> Result<usize, Error> {
    let pool = Pool::new(Duration::from_millis(400), Duration::from_secs(5));
    let begin_by = Instant::now() + Duration::from_millis(500);
    let request = Request::new(empty());
    let bytes = pool.fetch(address, request, begin_by, limit).await?;
    Ok(bytes.len())
}

#[tokio::test]
async fn fetch_slow_answer() {
    // All pieces take longer than the answer may take to begin.
    let address = server(5, 5, Duration::from_millis(300)).await;
    assert_eq!(fetch(address, 1000).await.expect("an answer"), 5 * PIECE);
}

#[tokio::test]
async fn fetch_answer_that_stops() {
    let address = server(2, 5, Duration::from_millis(10)).await;
    let stalled = fetch(address, 1000).await;
    assert!(matches!(stalled, Err(Error::Stalled { read }) if read == 2 * PIECE));
}

#[tokio::test]
async fn fetch_too_long_answer() {
    let address = server(5, 5, Duration::from_millis(10)).await;
    assert!(matches!(
        fetch(address, 20).await,
        Err(Error::TooLong { limit: 20 })
    ));
}

#[tokio::test]
async fn fetch_from_nobody() {
    let address = "127.0.0.1:1".parse().expect("an address");
    assert!(matches!(
        fetch(address, 20).await,
        Err(Error::Exchange { .. })
    ));
}
