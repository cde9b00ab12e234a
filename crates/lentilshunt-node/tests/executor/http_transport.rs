//! Tests of verdicts over TCP connections to an upstream.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_net::{call::Reply, http::Pool};
use lentilshunt_node::executor::{HttpTransport, Transport};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::fixture::call;

/// Sends a call to an upstream that sends `response` and closes the connection.
async fn send(response: &'static [u8]) -> Reply {
    let address = SocketAddr::from((Ipv4Addr::new(127, 60, 8, 1), 0));
    let listener = TcpListener::bind(address).await.unwrap();
    let upstream = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = vec![0; 4096];
        let _read = stream.read(&mut buffer).await.unwrap();
        stream.write_all(response).await.unwrap();
    });
    let reply = exchange(upstream).await;
    serving.await.unwrap();
    reply
}

async fn exchange(upstream: SocketAddr) -> Reply {
    let transport = HttpTransport::new(Arc::new(Pool::default()), 1024);
    let mut call = call("r", None);
    call.deadline = Instant::now() + Duration::from_secs(5);
    transport.send(upstream, Arc::new(call)).await
}

#[tokio::test]
async fn send_classifies_response() {
    let summary = |reply: &Reply| (reply.verdict, reply.reason, reply.status.as_u16());
    let cases: [(&'static [u8], _); 7] = [
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            (Verdict::Ran, None, 200),
        ),
        (
            b"HTTP/1.1 500 Error\r\ncontent-length: 2\r\n\r\nno",
            (Verdict::Ran, None, 500),
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            (Verdict::Ran, None, 200),
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok",
            (Verdict::MayHaveRun, Some(Reason::UpstreamLost), 504),
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            (Verdict::MayHaveRun, Some(Reason::UpstreamLost), 504),
        ),
        (
            // Without a length, the end of the body cannot be told from a lost connection.
            b"HTTP/1.0 200 OK\r\n\r\nok",
            (Verdict::MayHaveRun, Some(Reason::BadAnswer), 504),
        ),
        (b"", (Verdict::MayHaveRun, Some(Reason::UpstreamLost), 504)),
    ];
    for (response, expected) in cases {
        let text = String::from_utf8_lossy(response);
        assert_eq!(summary(&send(response).await), expected, "{text}");
    }
}

#[tokio::test]
async fn send_refused_connection() {
    let reply = exchange(SocketAddr::from((Ipv4Addr::new(127, 60, 8, 2), 1))).await;
    let summary = (reply.verdict, reply.reason);
    assert_eq!(summary, (Verdict::NotRun, Some(Reason::Unreachable)));
}

#[tokio::test]
async fn send_over_idle_connection_after_deadline() {
    let address = SocketAddr::from((Ipv4Addr::new(127, 60, 8, 3), 0));
    let listener = TcpListener::bind(address).await.unwrap();
    let upstream = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = vec![0; 4096];
        let _read = stream.read(&mut buffer).await.unwrap();
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(response).await.unwrap();
        // Returns 0 if the connection is closed without another request.
        stream.read(&mut buffer).await.unwrap_or_default()
    });
    let transport = HttpTransport::new(Arc::new(Pool::default()), 1024);
    let mut in_time = call("r", None);
    in_time.deadline = Instant::now() + Duration::from_secs(5);
    let in_time_reply = transport.send(upstream, Arc::new(in_time)).await;
    assert_eq!(in_time_reply.verdict, Verdict::Ran);
    let mut past_deadline = call("s", None);
    past_deadline.deadline = Instant::now();
    let refused = transport.send(upstream, Arc::new(past_deadline)).await;
    assert_eq!(refused.verdict, Verdict::NotRun);
    drop(transport);
    assert_eq!(serving.await.unwrap(), 0);
}
