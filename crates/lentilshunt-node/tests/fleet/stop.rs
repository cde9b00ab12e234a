//! Tests of requests that a node has read when it is told to stop.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use lentilshunt_core::{
    membership::{LocalRecord, Phase},
    retry::FleetBudget,
    routing::Locality,
    traffic::{Limits, Route, Rules, Split, WeightedService},
};
use lentilshunt_node::{
    fleet::{Codec, DecodeError, ListenAddresses, NodeSettings, Registration, run},
    relay::upstream::Report,
    rollout::Settings,
};
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    sync::watch,
    task::{JoinHandle, spawn_blocking},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{Store, TABLE, header_names};

const SERVICE: &str = "bales";
/// Time between the signal and the end of a node's process.
const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Timeout of the only route, which lasts longer than the process.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Rules with one route, and reports of an upstream with one slot.
#[derive(Debug)]
struct OneSlotCodec;

impl Codec for OneSlotCodec {
    fn decode_rules(&self, _bytes: &[u8], _split_offset: u64) -> Result<Rules, DecodeError> {
        let services = BTreeSet::from([SERVICE.to_owned()]);
        let mut rules = Rules::new(1, Limits::default(), services);
        let weighted_service = WeightedService {
            service: SERVICE.into(),
            weight: 1,
        };
        let route = Route {
            name: "only".to_owned(),
            idempotent: false,
            timeout: TIMEOUT,
            target_latency: TIMEOUT,
            rank: 0,
            is_public: true,
            max_upstream_attempts: 1,
            split: Split::new(vec![weighted_service], 0).expect("a weight"),
        };
        rules.insert("yard.example", "/", route).expect("a route");
        Ok(rules)
    }

    fn decode_report(&self, _path_and_query: &str, body: &[u8]) -> Result<Report, DecodeError> {
        Ok(Report {
            process: "p1".to_owned(),
            started_ms: 1,
            sequence: u64::from(body[0]),
            service: SERVICE.to_owned(),
            version: String::new(),
            warm_up_left: Duration::ZERO,
            phase: Phase::Ready,
            slots: 1,
        })
    }

    fn acknowledgement(&self) -> Bytes {
        Bytes::new()
    }
}

/// A node with an upstream that counts its requests and never responds.
struct Node {
    listen: ListenAddresses,
    received: Arc<AtomicUsize>,
    stop: CancellationToken,
    process: JoinHandle<()>,
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// Starts an upstream that never responds, and returns the number of requests it has received.
async fn silent_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let received = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _client)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                    counter.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    (address, received)
}

/// Returns the row of a node with a ready upstream.
fn registration(settings: &NodeSettings) -> Bytes {
    let address = settings.listen.advertise.to_string();
    let mut record = LocalRecord::new(&settings.locality, address, 1)
        .record()
        .clone();
    record.service.clone_from(&settings.service);
    record.phase = Phase::Ready;
    record.slots = 1;
    record.room = 1;
    let link_mbps = settings.link_mbps;
    let row = rmp_serde::to_vec_named(&Registration { record, link_mbps });
    row.expect("an encodable row").into()
}

impl Node {
    async fn start() -> Self {
        let (upstream, received) = silent_upstream().await;
        let peers = free_address().await;
        let listen = ListenAddresses {
            callers: free_address().await,
            peers,
            advertise: peers,
            reports: free_address().await,
            readiness: free_address().await,
            metrics: free_address().await,
        };
        let settings = NodeSettings {
            locality: Locality::new("n0".to_owned(), "yard".to_owned(), "coast".to_owned()),
            service: SERVICE.to_owned(),
            upstream,
            listen: listen.clone(),
            report_interval: Duration::from_secs(20),
            max_apply_time: Duration::from_secs(3),
            link_mbps: 100,
            grace_period: GRACE_PERIOD,
            retry_allowance: FleetBudget {
                percent: 20,
                slack: 10,
            },
            header_names: header_names(),
            rules_row: (TABLE.to_owned(), "rules".to_owned()),
            rollouts: Settings::default(),
            has_organisations: false,
            nodes_table: TABLE.to_owned(),
        };
        let store = Store::default();
        let rows = [
            ("rules".to_owned(), Bytes::from_static(b"1")),
            ("n0".to_owned(), registration(&settings)),
        ];
        store.rows.lock().unwrap().extend(rows);
        let (updates, settings) = watch::channel(settings);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        // A runtime of its own, whose end closes all connections as that of a process does.
        let process = spawn_blocking(move || {
            let _updates = updates;
            let log = Logger::root(Discard, o!());
            let codec = Arc::new(OneSlotCodec);
            let running = run(settings, Arc::new(store), codec, log, stopped);
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(running).expect("free addresses");
        });
        let node = Self {
            listen,
            received,
            stop,
            process,
        };
        node.report_upstream().await;
        node
    }

    /// Reports the upstream until the node can send requests to it.
    async fn report_upstream(&self) {
        for sequence in 1..100_u8 {
            if let Ok(mut stream) = TcpStream::connect(self.listen.reports).await {
                let head = "POST / HTTP/1.1\r\nhost: n0\r\ncontent-length: 1\r\n\r\n";
                let request = [head.as_bytes(), &[sequence]].concat();
                stream.write_all(&request).await.expect("a connection");
                let mut response = [0; 12];
                stream.read_exact(&mut response).await.expect("a response");
                if &response == b"HTTP/1.1 200" {
                    return;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the node does not accept reports");
    }

    /// Sends a request over a new connection, which stays open.
    async fn send(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.listen.callers).await.expect("node");
        let request =
            "GET /x HTTP/1.1\r\nhost: yard.example\r\nattempt: a\r\ndeadline: 20000\r\n\r\n";
        stream.write_all(request.as_bytes()).await.expect("node");
        stream
    }

    /// Waits until the upstream has received `count` requests.
    async fn wait_for_received(&self, count: usize) {
        let received = async {
            while self.received.load(Ordering::SeqCst) < count {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let received = timeout(Duration::from_secs(5), received).await;
        received.expect("the upstream should receive the request");
    }
}

/// Returns the status of the response, or 0 if the connection ends without one.
async fn status(mut stream: TcpStream) -> u16 {
    let mut response = Vec::new();
    // A reset leaves what was read before.
    let _reset = stream.read_to_end(&mut response).await;
    let response = String::from_utf8_lossy(&response);
    let status = response.split(' ').nth(1).unwrap_or_default();
    status.parse().unwrap_or_default()
}

// The process ended while requests waited or ran, and their callers got no response.
#[tokio::test]
async fn run_stopped_with_requests_beyond_grace_period() {
    let node = Node::start().await;
    let running = node.send().await;
    node.wait_for_received(1).await;
    let waiting = node.send().await;
    sleep(Duration::from_millis(100)).await;
    let stopped_at = Instant::now();
    node.stop.cancel();
    sleep(Duration::from_millis(500)).await;
    let late = node.send().await;
    let statuses = tokio::join!(status(running), status(waiting), status(late));
    node.process.await.expect("the node should end");
    let elapsed = stopped_at.elapsed();
    // The first may have run, the others have not.
    assert_eq!(statuses, (504, 503, 503), "after {elapsed:?}");
    assert!(elapsed < GRACE_PERIOD, "{elapsed:?}");
    assert_eq!(node.received.load(Ordering::SeqCst), 1);
}
