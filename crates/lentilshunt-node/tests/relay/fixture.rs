//! Nodes in one process, with scripted upstreams beside them.

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
    retry::Allowance as RetryAllowance,
    routing::Place,
    traffic::{Limits, Part, Route, Rules, Split},
};
use lentilshunt_net::{Pending, http::Stop};
use lentilshunt_node::fleet::{Feeds, Installer, Translator, Unreadable};
use lentilshunt_node::relay::{
    Directory, Dispatcher, Executor, Handler, HeaderLimits, HeaderNames, Inbound, Outbound, Pool,
    Server, Shared,
    body::{Body, full},
    header,
    upstream::Report,
};
use slog::{Discard, Logger, o};
use tokio::{io::AsyncReadExt, net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;

const SERVICE: &str = "bales";
pub const HOST: &str = "yard.example";

/// A request as an upstream got it.
#[derive(Clone, Debug)]
pub struct Got {
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// An upstream that acts by the first part of the path.
#[derive(Debug, Default)]
pub struct Upstream {
    pub got: Mutex<Vec<Got>>,
    pub running: Arc<AtomicUsize>,
}

/// A node with its upstream.
#[derive(Debug)]
pub struct Node {
    pub entry: SocketAddr,
    pub peers: SocketAddr,
    pub upstream: Arc<Upstream>,
    pub executor: Arc<Executor>,
    pub shared: Arc<Shared>,
    pub stop: CancellationToken,
    /// Cancelled when the node refuses calls of other nodes.
    pub closing: CancellationToken,
}

struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Whether an upstream has failed a request that only the first one fails.
static MIXED: AtomicBool = AtomicBool::new(false);

impl Upstream {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        self.running.fetch_add(1, Ordering::SeqCst);
        let _running = Running(Arc::clone(&self.running));
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().unwrap().to_string();
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        self.got.lock().unwrap().push(Got {
            path: path.clone(),
            headers: parts.headers.clone(),
            body: body.unwrap_or_default(),
        });
        let id = parts.headers.get("attempt").cloned();
        let mut response = match path.split('/').nth(1).unwrap_or_default() {
            "shed" => {
                let mut response = Response::new(full("full"));
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                response
                    .headers_mut()
                    .insert("not-run", HeaderValue::from_static("1"));
                response
            }
            "broken" => Response::new(broken()),
            "expired" => {
                let mut response = Response::new(full("no time left"));
                *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
                response
            }
            // The first upstream fails, all others refuse.
            "mixed" if parts.headers.contains_key("fail-first") => {
                let is_first = !MIXED.swap(true, Ordering::SeqCst);
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
            "slow" => {
                tokio::time::sleep(Duration::from_secs(20)).await;
                Response::new(full("slow"))
            }
            _ => Response::new(full(format!("answer to {path}"))),
        };
        let headers = response.headers_mut();
        headers.insert("seal", HeaderValue::from_static("sealed"));
        let foreign = path.starts_with("/foreign/");
        let echoed = if foreign {
            Some(HeaderValue::from_static("another"))
        } else {
            id
        };
        if let Some(echoed) = echoed {
            headers.insert("attempt", echoed);
        }
        response
    }
}

impl Handler for Upstream {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Body>> {
        Box::pin(self.answer(request))
    }
}

/// Returns a body that breaks after its first piece.
fn broken() -> Body {
    let frames: Vec<Result<Frame<Bytes>, _>> = vec![
        Ok(Frame::data(Bytes::from_static(b"half"))),
        Err(std::io::Error::other("broken").into()),
    ];
    let mut frames = frames.into_iter();
    let stream = std::iter::from_fn(move || frames.next());
    StreamBody::new(Iter(stream)).boxed_unsync()
}

/// A stream over an iterator.
struct Iter<I>(I);

impl<I: Iterator + Unpin> futures_core::Stream for Iter<I> {
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
        deadline_ms: HeaderName::from_static("deadline"),
        caller: HeaderName::from_static("caller"),
        expected_process: HeaderName::from_static("expected"),
        not_run: HeaderName::from_static("not-run"),
    }
}

async fn listen(handler: Arc<dyn Handler>, stop: &CancellationToken) -> SocketAddr {
    let limits = HeaderLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(5),
    };
    let address = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(address, handler, limits).await.unwrap();
    let address = server.address().unwrap();
    let stop = Stop {
        leaving: stop.clone(),
        closed: CancellationToken::new(),
    };
    tokio::spawn(server.run(stop));
    address
}

fn rules() -> Rules {
    let limits = Limits {
        body_bytes: 4 * 1024 * 1024,
        ..Limits::default()
    };
    let mut rules = Rules::new(7, limits, BTreeSet::from([SERVICE.to_owned()]));
    for (prefix, idempotent) in [("/", true), ("/once/", false), ("/broken/once/", false)] {
        let part = Part {
            service: SERVICE.into(),
            weight: 1,
        };
        let route = Route {
            name: format!("r{prefix}"),
            idempotent,
            timeout: Duration::from_millis(1500),
            target: Duration::from_secs(1),
            rank: 0,
            max_attempts: 2,
            split: Split::new(vec![part], 0).unwrap(),
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
        phase,
        slots: 2,
    }
}

/// Starts nodes that know each other, each with a ready upstream.
pub async fn nodes(count: usize) -> Vec<Node> {
    let mut nodes = Vec::new();
    for index in 0..count {
        nodes.push(node(index, None).await);
    }
    introduce(&nodes);
    nodes
}

/// Starts nodes that know each other, the first beside an upstream that loses its answers.
///
/// Also returns how many connections that upstream has accepted.
pub async fn nodes_with_loss(count: usize) -> (Vec<Node>, Arc<AtomicUsize>) {
    let accepted = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counter = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::SeqCst);
            let mut request = [0; 1024];
            // The connection closes after the request has been read.
            let _read = stream.read(&mut request).await.unwrap();
        }
    });
    let mut nodes = vec![node(0, Some(address)).await];
    for index in 1..count {
        nodes.push(node(index, None).await);
    }
    introduce(&nodes);
    (nodes, accepted)
}

fn introduce(nodes: &[Node]) {
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
        address: node.peers,
        region: locality.region.clone(),
        domain: locality.domain.clone(),
        incarnation: 1,
        service: SERVICE.to_owned(),
        phase: Phase::Ready,
        slots: 2,
        room: 2,
    })
}

/// Translator of a deployment without a store.
#[derive(Debug)]
struct Unused;

impl Translator for Unused {
    fn rules(&self, _bytes: &[u8], _random: u64) -> Result<Rules, Unreadable> {
        unreachable!("the rules are set by the fixture")
    }

    fn report(&self, _path_and_query: &str, _body: &[u8]) -> Result<Report, Unreadable> {
        unreachable!("reports are passed to the executor")
    }

    fn acknowledgement(&self) -> Bytes {
        Bytes::new()
    }
}

async fn node(index: usize, beside: Option<SocketAddr>) -> Node {
    let stop = CancellationToken::new();
    let upstream = Arc::new(Upstream::default());
    let usual = listen(Arc::clone(&upstream) as Arc<_>, &CancellationToken::new()).await;
    let address = beside.unwrap_or(usual);
    let shared = Arc::new(Shared {
        locality: Place::new(format!("n{index}"), "yard".to_owned(), "coast".to_owned()),
        service: SERVICE.to_owned(),
        header_names: header_names(),
        retry_allowance: ArcSwap::from_pointee(RetryAllowance {
            percent: 100,
            slack: 100,
        }),
        rules: ArcSwap::from_pointee(rules()),
        directory: ArcSwap::from_pointee(Directory::default()),
        newest_version: watch::Sender::default(),
        stop: stop.clone(),
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
    let entry = Outbound::new(Arc::clone(&shared), Arc::new(dispatcher));
    let installer = Installer::new(Arc::clone(&shared), Arc::new(Unused), String::new());
    let closing = CancellationToken::new();
    let feeds = Arc::new(Feeds::new(Arc::default(), Arc::new(installer)));
    let inbound = Inbound::new(
        Arc::clone(&shared),
        Arc::clone(&executor),
        suspects,
        0,
        feeds,
        closing.clone(),
    );
    Node {
        entry: listen(Arc::new(entry), &stop).await,
        peers: listen(Arc::new(inbound), &stop).await,
        upstream,
        executor,
        shared,
        stop,
        closing,
    }
}

/// An answer as a caller gets it.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Whole body, or none if it broke.
    pub body: Option<Bytes>,
}

/// Sends a request to a node as a caller.
pub async fn call(node: &Node, path: &str, headers: &[(&'static str, &str)], body: Body) -> Answer {
    let pool = Pool::new(Duration::from_secs(1), Duration::from_secs(1));
    let mut request = header::request(body);
    *request.uri_mut() = path.parse().unwrap();
    let set = request.headers_mut();
    set.insert("host", HeaderValue::from_static(HOST));
    set.insert("attempt", HeaderValue::from_static("id-1"));
    for (name, value) in headers {
        set.insert(*name, value.parse().unwrap());
    }
    let response = pool.send(node.entry, request).await.expect("an answer");
    let (parts, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .ok()
        .map(http_body_util::Collected::to_bytes);
    Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

/// Returns a body of pieces without a length.
pub fn pieces(count: usize, bytes: usize) -> Body {
    let piece = Bytes::from(vec![7; bytes]);
    let frames = (0..count).map(move |_| Ok(Frame::data(piece.clone())));
    StreamBody::new(Iter(frames)).boxed_unsync()
}
