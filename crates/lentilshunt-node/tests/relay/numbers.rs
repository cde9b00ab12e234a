//! Tests of numbers in headers and reports that hardly fit, or do not.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use lentilshunt_core::membership::Phase;
use lentilshunt_node::relay::{
    Pool,
    body::empty,
    upstream::{Change, Report, apply_report},
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::fixture::{call, nodes, report};

// A deadline beyond all clocks must not end the handling of the request.
#[rstest]
#[case::highest("18446744073709551615")]
#[case::too_large("99999999999999999999999")]
#[case::infinite("1e400")]
#[case::negative("-1")]
#[case::fraction("900.5")]
#[case::empty("")]
#[tokio::test]
async fn call_with_odd_deadline(#[case] deadline: &str) {
    let nodes = nodes(2).await;
    for path in ["/a/", "/once/"] {
        let odd = call(&nodes[0], path, &[("deadline", deadline)], empty()).await;
        assert!(!odd.status.is_server_error(), "{path}: {}", odd.status);
        let next = call(&nodes[0], path, &[("deadline", "900")], empty()).await;
        assert_eq!(next.status, StatusCode::OK, "{path}");
    }
}

// The time for which a connection is kept must not overflow the clock.
#[rstest]
#[case::highest("18446744073709551615")]
#[case::too_large("99999999999999999999999")]
#[case::negative("-1")]
#[case::fraction("0.5")]
#[tokio::test]
async fn send_after_odd_keep_alive(#[case] seconds: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let response =
        format!("HTTP/1.1 200 OK\r\nKeep-Alive: timeout={seconds}\r\nContent-Length: 0\r\n\r\n");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    });
    let pool = Pool::new(Duration::from_secs(1), Duration::from_secs(1));
    for _ in 0..2 {
        let deadline = Instant::now() + Duration::from_secs(1);
        let request = hyper::Request::new(empty());
        let fetched = pool.fetch(address, request, deadline, 10).await.unwrap();
        assert_eq!(fetched.status(), StatusCode::OK);
    }
}

// The longest time that a report can name must not overflow the clock.
#[test]
fn apply_report_with_long_warm_up() {
    let now = Instant::now();
    let longest = Duration::from_secs(1_000_000_000);
    let long = Report {
        warm_up_left: longest,
        slots: u32::MAX,
        started_ms: u64::MAX,
        ..report("p1", u64::MAX, Phase::Ready)
    };
    let (change, upstream) = apply_report(None, long, Duration::from_secs(1), now);
    assert_eq!(change, Change::Changed);
    assert_eq!(
        upstream.map(|upstream| upstream.warm_at),
        Some(now + longest)
    );
}
