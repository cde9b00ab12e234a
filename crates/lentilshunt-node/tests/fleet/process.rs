//! A relaying node with a runtime of its own, whose end closes all connections as that of a process
//! does.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
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
    net::TcpStream,
    runtime::Runtime,
    sync::watch,
    task::{JoinHandle, spawn_blocking},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use super::{Store, TABLE, header_names};

const SERVICE: &str = "bales";
/// Time between the signal and the end of a node's process.
pub const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Timeout of the only route, which lasts longer than the process.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Phases by the last byte of a report.
const PHASES: [Phase; 3] = [Phase::Ready, Phase::Draining, Phase::Gone];
/// Bandwidth of the node's link, in Mbit/s.
const LINK_MBPS: u32 = 100;
/// First port of a node's listeners, below those that the kernel chooses.
const FIRST_PORT: u16 = 7600;

/// Rules with one route, and reports of an upstream with one slot.
///
/// A report has the start, the sequence number and the phase of the upstream, a byte each; the last
/// digit of its id may follow, which is otherwise 1.
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
        let (started_ms, sequence, phase, id) = match *body {
            [started_ms, sequence, phase] => (started_ms, sequence, phase, b'1'),
            [started_ms, sequence, phase, id] => (started_ms, sequence, phase, id),
            _ => {
                return Err(DecodeError {
                    field: "report".to_owned(),
                    problem: "needs three or four bytes".to_owned(),
                });
            }
        };
        Ok(Report {
            process: format!("p{}", char::from(id)),
            started_ms: started_ms.into(),
            sequence: sequence.into(),
            service: SERVICE.to_owned(),
            version: String::new(),
            warm_up_left: Duration::ZERO,
            phase: PHASES[usize::from(phase)],
            slots: 1,
        })
    }

    fn acknowledgement(&self) -> Bytes {
        Bytes::new()
    }
}

/// A node that can be stopped and started again.
pub struct Process {
    pub instance: String,
    pub listen: ListenAddresses,
    pub stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Drop for Process {
    /// Stops the node, which the runtime of the test otherwise waits for forever.
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns addresses of listeners that no other test uses.
///
/// Each node has a loopback address of its own. A port of a shared address that was found free may
/// be taken by another test before the node binds it.
pub fn own_addresses() -> ListenAddresses {
    static COUNT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = u16::try_from(std::process::id() % u32::from(u16::MAX))
        .unwrap_or_default()
        .to_be_bytes();
    let [_, host] = COUNT.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high >> 2), low, host);
    let address = |offset| SocketAddr::from((ip, FIRST_PORT + offset));
    ListenAddresses {
        callers: address(0),
        peers: address(1),
        advertise: address(1),
        reports: address(2),
        readiness: address(3),
        metrics: address(4),
    }
}

fn locality(instance: &str) -> Locality {
    Locality::new(instance.to_owned(), "yard".to_owned(), "coast".to_owned())
}

/// Returns the row of a node with an upstream in a phase.
pub fn registration(instance: &str, listen: &ListenAddresses, phase: Phase) -> Bytes {
    let mut record = LocalRecord::new(&locality(instance), listen.advertise.to_string(), 1)
        .record()
        .clone();
    SERVICE.clone_into(&mut record.service);
    record.phase = phase;
    record.slots = 1;
    record.room = 1;
    let row = rmp_serde::to_vec_named(&Registration {
        record,
        link_mbps: LINK_MBPS,
    });
    row.expect("an encodable row").into()
}

impl Process {
    /// Starts a node whose row the store has, and reports its upstream.
    pub async fn start(listen: ListenAddresses, upstream: SocketAddr, store: &Arc<Store>) -> Self {
        let rows = [
            ("rules".to_owned(), Bytes::from_static(b"1")),
            ("n0".to_owned(), registration("n0", &listen, Phase::Ready)),
        ];
        store.rows.lock().unwrap().extend(rows);
        let process = Self::start_again(listen, upstream, store);
        process.report_upstream().await;
        process
    }

    /// Starts a node with the rows that the store has.
    pub fn start_again(listen: ListenAddresses, upstream: SocketAddr, store: &Arc<Store>) -> Self {
        Self::start_instance("n0", listen, upstream, store)
    }

    /// Starts the node of an instance with the rows that the store has.
    pub fn start_instance(
        instance: &str,
        listen: ListenAddresses,
        upstream: SocketAddr,
        store: &Arc<Store>,
    ) -> Self {
        let settings = NodeSettings {
            locality: locality(instance),
            service: SERVICE.to_owned(),
            upstream,
            listen: listen.clone(),
            report_interval: Duration::from_secs(20),
            max_apply_time: Duration::from_secs(3),
            link_mbps: LINK_MBPS,
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
        let (updates, settings) = watch::channel(settings);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let store = Arc::clone(store);
        let task = spawn_blocking(move || {
            let _updates = updates;
            let log = Logger::root(Discard, o!());
            let running = run(settings, store, Arc::new(OneSlotCodec), log, stopped);
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(running).expect("free addresses");
        });
        Self {
            instance: instance.to_owned(),
            listen,
            stop,
            task,
        }
    }

    /// Reports the upstream until the node can send requests to it.
    async fn report_upstream(&self) {
        for sequence in 1..100 {
            if self.report([1, sequence, 0]).await {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the node does not accept reports");
    }

    /// Sends a report, and returns whether it was acknowledged.
    pub async fn report(&self, report: impl AsRef<[u8]>) -> bool {
        let report = report.as_ref();
        let Ok(mut stream) = TcpStream::connect(self.listen.reports).await else {
            return false;
        };
        let length = report.len();
        let head = format!("POST / HTTP/1.1\r\nhost: n0\r\ncontent-length: {length}\r\n\r\n");
        let request = [head.as_bytes(), report].concat();
        stream.write_all(&request).await.expect("a connection");
        let mut response = [0; 12];
        stream.read_exact(&mut response).await.expect("a response");
        &response == b"HTTP/1.1 200"
    }

    /// Waits until the node has ended.
    pub async fn ended(&mut self) {
        (&mut self.task).await.expect("the node should end");
    }

    /// Sends a request over a new connection, which stays open.
    pub async fn send(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.listen.callers).await.expect("node");
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: yard.example\r\nattempt: a\r\ndeadline: 20000\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.expect("node");
        stream
    }
}

/// Returns the status of the response, or 0 if the connection ends without one.
pub async fn status(mut stream: TcpStream) -> u16 {
    let mut response = Vec::new();
    let mut bytes = [0; 1024];
    // A reset leaves what was read before.
    while !response.ends_with(b"\r\n\r\n")
        && let Ok(count @ 1..) = stream.read(&mut bytes).await
    {
        response.extend_from_slice(&bytes[..count]);
    }
    let response = String::from_utf8_lossy(&response);
    let status = response.split(' ').nth(1).unwrap_or_default();
    status.parse().unwrap_or_default()
}
