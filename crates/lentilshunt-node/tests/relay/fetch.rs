//! Tests of requests whose response is read completely.

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

/// Size of a chunk of a response, in bytes.
const CHUNK_BYTES: usize = 10;

/// Starts a server whose content-length covers `announced_chunks` chunks, and which sends the
/// first `chunks` of them with a pause before each.
async fn server(chunks: usize, announced_chunks: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("failed to bind to a free port");
    let address = listener.local_addr().expect("no local address");
    tokio::spawn(async move {
        let (mut stream, _) = listener
            .accept()
            .await
            .expect("failed to accept a connection");
        let mut request = [0; 1024];
        let _read = stream
            .read(&mut request)
            .await
            .expect("failed to read the request");
        let length = announced_chunks * CHUNK_BYTES;
        let status_and_headers = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream
            .write_all(status_and_headers.as_bytes())
            .await
            .expect("failed to write the response");
        for _ in 0..chunks {
            sleep(pause).await;
            let written = stream.write_all(&[b'x'; CHUNK_BYTES]).await;
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
    let response = pool.fetch(address, request, begin_by, limit).await?;
    Ok(response.body().len())
}

#[tokio::test]
async fn fetch_slow_response() {
    // The complete response takes longer than its beginning may take.
    let address = server(5, 5, Duration::from_millis(300)).await;
    assert_eq!(
        fetch(address, 1000).await.expect("no response"),
        5 * CHUNK_BYTES
    );
}

#[tokio::test]
async fn fetch_stalled_response() {
    let address = server(2, 5, Duration::from_millis(10)).await;
    let stalled = fetch(address, 1000).await;
    assert!(matches!(stalled, Err(Error::Stalled { read }) if read == 2 * CHUNK_BYTES));
}

#[tokio::test]
async fn fetch_response_over_limit() {
    let address = server(5, 5, Duration::from_millis(10)).await;
    assert!(matches!(
        fetch(address, 20).await,
        Err(Error::TooLong { limit: 20 })
    ));
}

#[tokio::test]
async fn fetch_from_unreachable_server() {
    let address = "127.0.0.1:1".parse().expect("invalid address");
    assert!(matches!(
        fetch(address, 20).await,
        Err(Error::Exchange { .. })
    ));
}
