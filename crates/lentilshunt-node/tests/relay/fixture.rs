//! Nodes in one process with scripted upstreams.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{HeaderName, HeaderValue},
};
use lentilshunt_core::{
    membership::{Endpoint, Phase},
    quarantine::Suspects,
    retry::FleetBudget,
    routing::Locality,
    traffic::{Limits, Route, Rules, Split, WeightedService},
};
use lentilshunt_net::{BoxFuture, http::Shutdown};
use lentilshunt_node::fleet::{Codec, DecodeError, Feeds, Installer};
use lentilshunt_node::relay::{
    Directory, Dispatcher, Executor, Handler, HeaderLimits, HeaderNames, Inbound, Lifetime,
    Outbound, Pool, Server, Shared,
    body::{Body, full},
    header,
    upstream::Report,
};
use lentilshunt_node::{
    quota::Accountant,
    rollout::{Coordinator, Rollouts, Settings},
};
use slog::{Discard, Logger, o};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    sync::{Notify, watch},
};
use tokio_util::sync::CancellationToken;

const SERVICE: &str = "bales";
pub const HOST: &str = "yard.example";

/// A request as received by an upstream.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// An upstream whose behavior depends on the first path segment.
///
/// - `full`: refuses the request.
/// - `broken`: the body breaks off.
/// - `expired`: responds with status 504.
/// - `mixed`, with the header `fail-first`: one upstream fails, all others refuse.
/// - `failing`: responds with status 500.
/// - `paced`: responds after 100 ms.
/// - `lasting`: responds after the number of milliseconds that follows in the path.
/// - `slow`: responds after 20 s.
/// - `limited`: names a limit of ten requests per second.
/// - `leaving`, also as a later segment: says that it leaves.
/// - `foreign`: echoes the id of another request.
#[derive(Debug, Default)]
pub struct Upstream {
    pub received: Mutex<Vec<ReceivedRequest>>,
    pub running: Arc<AtomicUsize>,
}

/// A node with its upstream.
#[derive(Debug)]
pub struct Node {
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub upstream: Arc<Upstream>,
    pub executor: Arc<Executor>,
    pub shared: Arc<Shared>,
    pub stop: CancellationToken,
    /// Cancelled to close the listeners.
    pub closed: CancellationToken,
}

struct RunningGuard(Arc<AtomicUsize>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Whether an upstream has failed a `/mixed/` request; only one test may send such requests.
static HAS_FAILED_FIRST: AtomicBool = AtomicBool::new(false);

impl Upstream {
    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        self.running.fetch_add(1, Ordering::SeqCst);
        let _guard = RunningGuard(Arc::clone(&self.running));
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().unwrap().to_string();
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        self.received.lock().unwrap().push(ReceivedRequest {
            path: path.clone(),
            headers: parts.headers.clone(),
            body: body.unwrap_or_default(),
        });
        let id = parts.headers.get("attempt").cloned();
        let mut response = match path.split('/').nth(1).unwrap_or_default() {
            "full" => {
                let mut response = Response::new(full("full"));
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                response
                    .headers_mut()
                    .insert("not-run", HeaderValue::from_static("1"));
                response
            }
            "broken" => Response::new(interrupted_body()),
            "expired" => {
                let mut response = Response::new(full("no time left"));
                *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
                response
            }
            // The first upstream that receives the request fails it, all others refuse it.
            "mixed" if parts.headers.contains_key("fail-first") => {
                let is_first = !HAS_FAILED_FIRST.swap(true, Ordering::SeqCst);
                let mut response = Response::new(full("failed or full"));
                if is_first {
                    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                } else {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                    let headers = response.headers_mut();
                    headers.insert("not-run", HeaderValue::from_static("1"));
                }
                response
            }
            "failing" => {
                let mut response = Response::new(full("failed"));
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
            "paced" => {
                tokio::time::sleep(Duration::from_millis(100)).await;
                Response::new(full(format!("response to {path}")))
            }
            "lasting" => {
                let time = path.split('/').nth(2).unwrap().parse().unwrap();
                tokio::time::sleep(Duration::from_millis(time)).await;
                Response::new(full("lasting"))
            }
            "slow" => {
                tokio::time::sleep(Duration::from_secs(20)).await;
                Response::new(full("slow"))
            }
            _ => Response::new(full(format!("response to {path}"))),
        };
        let headers = response.headers_mut();
        // Marks responses of an upstream.
        headers.insert("seal", HeaderValue::from_static("sealed"));
        let foreign = path.starts_with("/foreign/");
        let echoed = if foreign {
            Some(HeaderValue::from_static("another"))
        } else {
            id
        };
        if path.starts_with("/limited/") {
            headers.insert("limit", HeaderValue::from_static("10.0"));
        }
        if path.contains("/leaving/") {
            headers.insert("leaving", HeaderValue::from_static("1"));
        }
        if let Some(echoed) = echoed {
            headers.insert("attempt", echoed);
        }
        response
    }
}

impl Handler for Upstream {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(self.respond(request))
    }
}

/// Returns a body that fails after its first frame.
fn interrupted_body() -> Body {
    let frames: Vec<Result<Frame<Bytes>, _>> = vec![
        Ok(Frame::data(Bytes::from_static(b"half"))),
        Err(std::io::Error::other("broken").into()),
    ];
    let mut frames = frames.into_iter();
    let frames = std::iter::from_fn(move || frames.next());
    StreamBody::new(IterStream(frames)).boxed_unsync()
}

/// A stream over an iterator.
struct IterStream<I>(I);

impl<I: Iterator + Unpin> futures_core::Stream for IterStream<I> {
    type Item = I::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<I::Item>> {
        std::task::Poll::Ready(self.0.next())
    }
}

pub fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("attempt"),
        signature: HeaderName::from_static("seal"),
        deadline_ms: HeaderName::from_static("deadline"),
        caller: HeaderName::from_static("caller"),
        expected_process: HeaderName::from_static("expected"),
        process: HeaderName::from_static("process"),
        load: HeaderName::from_static("load"),
        not_run: HeaderName::from_static("not-run"),
        rate_limit: HeaderName::from_static("limit"),
        leaving: HeaderName::from_static("leaving"),
        organisation: HeaderName::from_static("organisation"),
        key_scheme: "Key",
    }
}

async fn listen(
    handler: Arc<dyn Handler>,
    stop: &CancellationToken,
    closed: &CancellationToken,
) -> SocketAddr {
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let address = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(address, handler, limits).await.unwrap();
    let address = server.address().unwrap();
    let shutdown = Shutdown {
        draining: stop.clone(),
        closed: closed.clone(),
    };
    tokio::spawn(server.run(shutdown));
    address
}

fn rules() -> Rules {
    let limits = Limits {
        max_body_bytes: 4 * 1024 * 1024,
        ..Limits::default()
    };
    let mut rules = Rules::new(7, limits, BTreeSet::from([SERVICE.to_owned()]));
    for (prefix, idempotent) in [
        ("/", true),
        ("/once/", false),
        ("/broken/once/", false),
        ("/public/", true),
        ("/long/", false),
    ] {
        let weighted_service = WeightedService {
            service: SERVICE.into(),
            weight: 1,
        };
        let route = Route {
            name: format!("r{prefix}"),
            idempotent,
            timeout: Duration::from_millis(if prefix == "/long/" { 8000 } else { 1500 }),
            target_latency: Duration::from_secs(1),
            rank: 0,
            is_public: prefix == "/public/",
            max_upstream_attempts: 2,
            split: Split::new(vec![weighted_service], 0).unwrap(),
        };
        rules.insert(HOST, prefix, route).unwrap();
    }
    rules
}

pub fn report(process: &str, sequence: u64, phase: Phase) -> Report {
    Report {
        process: process.to_owned(),
        started_ms: 1,
        sequence,
        service: SERVICE.to_owned(),
        version: String::new(),
        warm_up_left: Duration::ZERO,
        phase,
        slots: 2,
    }
}

/// Starts nodes that list each other as endpoints, each with a ready upstream.
pub async fn nodes(count: usize) -> Vec<Node> {
    let mut nodes = Vec::new();
    for index in 0..count {
        nodes.push(node(index, None).await);
    }
    connect(&nodes);
    nodes
}

/// Starts nodes as [`nodes`] does; the first upstream closes connections without a response.
///
/// Also returns the number of connections that this upstream has accepted.
pub async fn nodes_with_lost_responses(count: usize) -> (Vec<Node>, Arc<AtomicUsize>) {
    let accepted = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counter = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::SeqCst);
            let mut request = [0; 1024];
            // Dropping the stream closes the connection after the request was read.
            let _read = stream.read(&mut request).await.unwrap();
        }
    });
    (nodes_with_upstream(count, address).await, accepted)
}

/// Starts nodes as [`nodes`] does; the upstream of the first has the given address.
pub async fn nodes_with_upstream(count: usize, address: SocketAddr) -> Vec<Node> {
    let mut nodes = vec![node(0, Some(address)).await];
    for index in 1..count {
        nodes.push(node(index, None).await);
    }
    connect(&nodes);
    nodes
}

/// Starts nodes as [`nodes`] does, with the given upstreams.
pub async fn nodes_with_upstreams(addresses: &[SocketAddr]) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (index, address) in addresses.iter().enumerate() {
        nodes.push(node(index, Some(*address)).await);
    }
    connect(&nodes);
    nodes
}

/// Replaces a node by one that knows nothing, as if its process had started again.
pub async fn restart(nodes: &mut [Node], index: usize, upstream: SocketAddr) {
    nodes[index] = node(index, Some(upstream)).await;
    connect(nodes);
}

fn connect(nodes: &[Node]) {
    let endpoints: Vec<_> = nodes.iter().map(endpoint).collect();
    for node in nodes {
        let directory = Directory::new(&endpoints, &node.shared.locality);
        node.shared.directory.store(Arc::new(directory));
    }
}

fn endpoint(node: &Node) -> Arc<Endpoint> {
    let locality = &node.shared.locality;
    Arc::new(Endpoint {
        instance: locality.instance.clone(),
        address: node.peer_address,
        region: locality.region.clone(),
        domain: locality.domain.clone(),
        incarnation: 1,
        service: SERVICE.to_owned(),
        version: String::new(),
        phase: Phase::Ready,
        slots: 2,
        free_slots: 2,
    })
}

/// Codec that is never called.
#[derive(Debug)]
struct UnusedCodec;

impl Codec for UnusedCodec {
    fn decode_rules(&self, _bytes: &[u8], _split_offset: u64) -> Result<Rules, DecodeError> {
        unreachable!("the rules are set by the fixture")
    }

    fn decode_report(&self, _path_and_query: &str, _body: &[u8]) -> Result<Report, DecodeError> {
        unreachable!("reports are passed to the executor")
    }

    fn acknowledgement(&self) -> Bytes {
        Bytes::new()
    }
}

async fn node(index: usize, upstream_address: Option<SocketAddr>) -> Node {
    let stop = CancellationToken::new();
    let closed = CancellationToken::new();
    let upstream = Arc::new(Upstream::default());
    let never = CancellationToken::new();
    let default_address = listen(Arc::clone(&upstream) as Arc<_>, &never, &never).await;
    let address = upstream_address.unwrap_or(default_address);
    let shared = Arc::new(Shared {
        locality: Locality::new(format!("n{index}"), "yard".to_owned(), "coast".to_owned()),
        service: SERVICE.to_owned(),
        header_names: header_names(),
        retry_allowance: ArcSwap::from_pointee(FleetBudget {
            percent: 100,
            slack: 100,
        }),
        rules: ArcSwap::from_pointee(rules()),
        has_organisations: AtomicBool::default(),
        directory: ArcSwap::from_pointee(Directory::default()),
        rollouts: Rollouts::default(),
        newest_version: watch::Sender::default(),
        suspicions_changed: Notify::new(),
        stop: stop.clone(),
        lifetime: Lifetime::default(),
        log: Logger::root(Discard, o!()),
    });
    let suspects = Arc::new(Suspects::new(Instant::now()));
    let pool = Arc::new(Pool::new(
        Duration::from_millis(400),
        Duration::from_secs(5),
    ));
    let executor = Arc::new(Executor::new(
        &shared,
        address,
        Duration::from_secs(1),
        Arc::clone(&suspects),
        Arc::clone(&pool),
    ));
    executor.apply_report(&report("p1", 1, Phase::Ready), Instant::now());
    let dispatcher = Dispatcher::new(
        Arc::clone(&shared),
        Arc::clone(&executor),
        Arc::clone(&suspects),
        pool,
    );
    let outbound = Outbound::new(Arc::clone(&shared), Arc::new(dispatcher), Arc::default());
    let installer = Installer::new(Arc::clone(&shared), Arc::new(UnusedCodec), String::new());
    let fallback = Arc::new(Feeds::new(Arc::default(), Arc::new(installer)));
    let inbound = Inbound::new(
        Arc::clone(&shared),
        Arc::clone(&executor),
        suspects,
        0,
        Arc::new(Accountant::new(Arc::clone(&shared))),
        Arc::new(Coordinator::new(
            Arc::clone(&shared),
            Arc::new(UnusedCodec),
            Settings::default(),
        )),
        fallback,
    );
    Node {
        caller_address: listen(Arc::new(outbound), &stop, &closed).await,
        peer_address: listen(Arc::new(inbound), &stop, &closed).await,
        upstream,
        executor,
        shared,
        stop,
        closed,
    }
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Complete body, or `None` if it ended early.
    pub body: Option<Bytes>,
}

/// Sends a request to a node as a caller and returns the response.
pub async fn call(
    node: &Node,
    path: &str,
    headers: &[(&'static str, &str)],
    body: Body,
) -> CallerResponse {
    let pool = Pool::new(Duration::from_secs(1), Duration::from_secs(1));
    let mut request = header::request_with_body(body);
    *request.uri_mut() = path.parse().unwrap();
    let header_map = request.headers_mut();
    header_map.insert("host", HeaderValue::from_static(HOST));
    header_map.insert("attempt", HeaderValue::from_static("id-1"));
    for (name, value) in headers {
        header_map.insert(*name, value.parse().unwrap());
    }
    let response = pool
        .send(node.caller_address, request)
        .await
        .expect("no response");
    let (parts, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .ok()
        .map(http_body_util::Collected::to_bytes);
    CallerResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

/// Returns a body of `count` frames without a content length.
pub fn chunked_body(count: usize, bytes: usize) -> Body {
    let chunk = Bytes::from(vec![7; bytes]);
    let frames = (0..count).map(move |_| Ok(Frame::data(chunk.clone())));
    StreamBody::new(IterStream(frames)).boxed_unsync()
}
