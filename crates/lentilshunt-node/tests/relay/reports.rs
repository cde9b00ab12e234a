//! Tests of reports of an upstream with numbers that hardly fit.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::StatusCode;
use lentilshunt_core::{
    membership::{LocalRecord, Phase, Record},
    traffic::Rules,
};
use lentilshunt_net::http::Shutdown;
use lentilshunt_node::{
    fleet::{Codec, DecodeError, Reports},
    relay::{
        HeaderLimits, Server,
        upstream::{Change, Report},
    },
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

use crate::fixture::{Node, nodes, report};

/// Decodes each report as the same one.
#[derive(Debug)]
struct FixedCodec(Report);

impl Codec for FixedCodec {
    fn decode_rules(&self, _bytes: &[u8], _split_offset: u64) -> Result<Rules, DecodeError> {
        unimplemented!("no rules in these tests")
    }

    fn decode_report(&self, _path_and_query: &str, _body: &[u8]) -> Result<Report, DecodeError> {
        Ok(self.0.clone())
    }

    fn acknowledgement(&self) -> Bytes {
        Bytes::from_static(b"{}")
    }
}

/// Sends a report to the node of an upstream and returns the published record.
async fn send(node: &Node, report: Report) -> Option<Record> {
    let (records, published) = watch::channel(None);
    let address = node.peer_address.to_string();
    let local_record = LocalRecord::new(&node.shared.locality, address, 1);
    let reports = Reports::new(
        Arc::clone(&node.shared),
        Arc::clone(&node.executor),
        Arc::new(FixedCodec(report)),
        local_record,
        records,
    );
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, Arc::new(reports), limits).await.unwrap();
    let address = server.address().unwrap();
    tokio::spawn(server.run(Shutdown::default()));
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    let status = StatusCode::OK.as_str();
    assert_eq!(response.split(' ').nth(1), Some(status), "{response:?}");
    published.borrow().clone()
}

// The report was not acknowledged, or a wrong number of free slots was published.
#[rstest]
#[case(4_294_968)]
#[case(u32::MAX)]
#[tokio::test]
async fn report_with_many_slots(#[case] slots: u32) {
    let nodes = nodes(1).await;
    let many = Report {
        slots,
        ..report("p9", 1, Phase::Ready)
    };
    let record = send(&nodes[0], many).await.expect("a record");
    let published = (record.phase, record.slots, record.room);
    // The free slots are rounded down to a multiple of a third of the slots.
    assert_eq!(published, (Phase::Ready, slots, slots / 3 * 3));
}

// A deregistration that arrived late marked the next start of its upstream as gone.
#[rstest]
#[case::earlier_start(3, Phase::Ready)]
#[case::current_start(5, Phase::Gone)]
#[case::later_start(7, Phase::Gone)]
#[case::unknown_start(0, Phase::Gone)]
#[tokio::test]
async fn deregister_start(#[case] started_ms: u64, #[case] expected: Phase) {
    let nodes = nodes(1).await;
    let node = &nodes[0];
    let current = Report {
        started_ms: 5,
        ..report("p9", 1, Phase::Ready)
    };
    assert!(send(node, current).await.is_some());
    let gone = Report {
        started_ms,
        service: String::new(),
        slots: 0,
        ..report("p9", 0, Phase::Gone)
    };
    let published = send(node, gone).await;
    assert_eq!(published.is_some(), expected == Phase::Gone);
    let upstream = node.executor.upstream(Instant::now());
    let phase = upstream.map(|upstream| upstream.report.phase);
    assert_eq!(phase, Some(expected));
}

// The start in the deregistration of an upstream that its node had found by a health check was
// dropped, and a delayed report brought the upstream back into use.
#[tokio::test]
async fn deregister_found_upstream() {
    let nodes = nodes(1).await;
    let node = &nodes[0];
    let found = Report {
        started_ms: 0,
        ..report("p9", 0, Phase::Ready)
    };
    // The upstream of the fixture has been silent by then.
    let found_at = Instant::now() + Duration::from_secs(3);
    let change = node.executor.apply_report(&found, found_at);
    assert_eq!(change, Change::Changed);
    let gone = Report {
        started_ms: 5,
        service: String::new(),
        slots: 0,
        ..report("p9", 0, Phase::Gone)
    };
    let record = send(node, gone).await.expect("a record");
    assert_eq!((record.phase, record.slots), (Phase::Gone, 2));
    let delayed = Report {
        started_ms: 5,
        ..report("p9", 3, Phase::Ready)
    };
    let delayed_at = found_at + Duration::from_mins(1);
    let change = node.executor.apply_report(&delayed, delayed_at);
    assert_eq!(change, Change::Ignored);
}

// The upstream stayed in use after it had left.
#[tokio::test]
async fn deregister_after_highest_sequence() {
    let nodes = nodes(1).await;
    let node = &nodes[0];
    let last = report("p9", u64::MAX, Phase::Ready);
    assert!(send(node, last).await.is_some());
    // A deregistration contains only the id.
    let gone = Report {
        started_ms: 0,
        service: String::new(),
        slots: 0,
        ..report("p9", 0, Phase::Gone)
    };
    let record = send(node, gone).await.expect("a record");
    assert_eq!((record.phase, record.slots), (Phase::Gone, 2));
    let upstream = node.executor.upstream(Instant::now());
    let phase = upstream.map(|upstream| upstream.report.phase);
    assert_eq!(phase, Some(Phase::Gone));
}
