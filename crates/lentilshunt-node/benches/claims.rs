//! Benchmark of claims of idempotency keys, with one platform for all nodes.
//!
//! Each node has an upstream, receives calls in an open loop and claims their keys
//! in the platform stand-in over HTTP. Calls without a key are the unsafe baseline.
//! Run with `cargo bench -p lentilshunt-node --bench claims`.

use std::{
    net::{Ipv4Addr, SocketAddr},
    num::NonZeroU64,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, StatusCode};
use lentilshunt_core::{
    claim::Claim,
    execution::Resolution,
    membership::{Endpoint, Phase},
    routing::Locality,
    verdict::Verdict,
};
use lentilshunt_load::report::Percentiles;
use lentilshunt_net::{
    BoxFuture,
    call::{Call, Executor, Reply},
    history::Writer,
    http::{Exchange, Pool, Server, Shutdown},
    log,
    platform::Client,
};
use lentilshunt_node::{
    context::Context,
    executor::{Batching, Claimant, LocalExecutor, Resolver, Transport},
};
use lentilshunt_schema::{
    ini,
    peer::Announcement,
    platform::{Fault, Usage},
    settings,
};
use lentilshunt_standin::platform::Platform;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{interval, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

/// Number of nodes of a production deployment.
const NODES: usize = 18;
/// Write capacity of the platform, in writes per second.
const WRITES_PER_SECOND: u64 = 400;
/// Run time of a request on an upstream.
const RUN_TIME: Duration = Duration::from_millis(2);
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// Time for which the platform is down in [`Scenario::Outage`].
const OUTAGE_DURATION: Duration = Duration::from_secs(2);
/// Timeout of one call or admin request.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Seed of the arrival times and of the choice of nodes.
const LOAD_SEED: u64 = 1;

/// How keys are claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// No claims, which is unsafe.
    None,
    /// One transaction per claim.
    Alone,
    /// Several claims of one node per transaction.
    Shared,
}

/// Disruption of the platform during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scenario {
    /// No disruption.
    None,
    /// The platform is down for [`OUTAGE_DURATION`].
    Outage,
    /// A third of the nodes cannot connect to the platform.
    Cut,
}

/// An upstream that responds after a fixed time.
#[derive(Debug)]
struct FixedTimeUpstream;

impl Transport for FixedTimeUpstream {
    fn send(&self, _upstream: SocketAddr, _call: Arc<Call>) -> BoxFuture<'_, Reply> {
        Box::pin(async {
            sleep(RUN_TIME).await;
            Reply {
                verdict: Verdict::Ran,
                reason: None,
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body: Bytes::new(),
                free_slots: None,
            }
        })
    }
}

/// Resolver that is never queried, because no key is sent twice.
#[derive(Debug)]
struct NoHolders;

impl Resolver for NoHolders {
    fn resolve(&self, _claim: Claim) -> BoxFuture<'_, Option<Resolution<Reply>>> {
        Box::pin(async { None })
    }
}

fn context(instance: &str) -> Context {
    let text = format!(
        "[instance]\nname = {instance}\nregion = sierra\ndomain = ambato\n\
         [listen]\ncallers = 127.60.9.1:1\npeers = 127.60.9.1:2\nadmin = 127.60.9.1:3\n\
         [platform]\naddress = 127.60.9.2:1\n"
    );
    let settings: settings::Node = ini::read("Node", "node.ini", text.as_bytes()).unwrap();
    let log = log::logger(&settings.log, instance);
    Context {
        locality: Locality::new(
            instance.to_owned(),
            "ambato".to_owned(),
            "sierra".to_owned(),
        ),
        incarnation: 1,
        route_table: ArcSwap::default(),
        view: ArcSwap::default(),
        pool: Arc::new(Pool::default()),
        stop: CancellationToken::new(),
        history: Writer::open("", "", 0).unwrap(),
        log,
        settings,
    }
}

fn start_node(instance: &str, platform: SocketAddr, mode: Mode) -> Arc<LocalExecutor> {
    let batching = match mode {
        Mode::Alone => Batching {
            max_bids: 1,
            max_in_flight: 64,
        },
        Mode::None | Mode::Shared => Batching::default(),
    };
    let claimant = Claimant::start(
        instance.to_owned(),
        "127.60.9.1:2".to_owned(),
        1,
        Arc::new(Client::new(platform, Duration::from_secs(1))),
        Arc::new(NoHolders),
        batching,
    );
    let local = LocalExecutor::with_transport(
        Arc::new(context(instance)),
        Some(claimant),
        Arc::new(FixedTimeUpstream),
    );
    let local = Arc::new(local);
    let announcing = Arc::clone(&local);
    let instance = instance.to_owned();
    tokio::spawn(async move {
        let mut ticks = interval(Duration::from_millis(250));
        loop {
            ticks.tick().await;
            announcing.apply_announcement(&Announcement {
                instance: instance.clone(),
                service: "boletas".to_owned(),
                address: "127.60.9.1:4".to_owned(),
                incarnation: 1,
                phase: Phase::Ready,
                slots: 9,
                connections: 110,
                load: 0,
                healthy: true,
            });
        }
    });
    local
}

fn call(request: String, mode: Mode) -> Call {
    Call {
        key: (mode != Mode::None).then(|| request.clone()),
        request,
        service: "boletas".to_owned(),
        caller: "garita".to_owned(),
        method: Method::POST,
        path: "/boletas".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"bale"),
        idempotent: false,
        deadline: Instant::now() + CALL_TIMEOUT,
    }
}

fn endpoint(instance: &str) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        instance: instance.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        region: "sierra".to_owned(),
        domain: "ambato".to_owned(),
        incarnation: 1,
        service: "boletas".to_owned(),
        version: String::new(),
        phase: Phase::Ready,
        slots: 9,
        free_slots: 9,
    })
}

async fn send_admin_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Bytes {
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap();
    let exchange = Exchange {
        address,
        deadline: Instant::now() + CALL_TIMEOUT,
        max_body_bytes: 4096,
    };
    let response = Pool::default().exchange(exchange, request).await.unwrap();
    response.into_body()
}

async fn set_down(platform: SocketAddr, down: bool) {
    let fault = Fault {
        down,
        objects_down: false,
        delay_ms: 0,
        lose_replies: 0,
        lose_requests: 0,
    };
    let body = rmp_serde::to_vec_named(&fault).unwrap();
    send_admin_request(platform, Method::POST, "/admin/fault", body).await;
}

async fn measure(mode: Mode, rate: u32, scenario: Scenario) {
    let capacity = settings::Capacity {
        reads_per_second: NonZeroU64::new(2000).unwrap(),
        writes_per_second: NonZeroU64::new(WRITES_PER_SECOND).unwrap(),
    };
    let handler = Arc::new(Platform::new(&capacity, Instant::now()));
    let address = SocketAddr::from((Ipv4Addr::new(127, 60, 7, 1), 0));
    let server = Server::bind(address, handler).await.unwrap();
    let platform = server.address().unwrap();
    let closed = CancellationToken::new();
    let server_task = tokio::spawn(server.run(Shutdown::at_once(closed.clone())));
    let unreachable = SocketAddr::from((Ipv4Addr::new(127, 60, 7, 2), 1));
    let instances: Vec<String> = (0..NODES).map(|node| node.to_string()).collect();
    let platform_of = |node: usize| match scenario {
        Scenario::Cut if node.is_multiple_of(3) => unreachable,
        _ => platform,
    };
    let nodes: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(node, instance)| {
            (
                start_node(instance, platform_of(node), mode),
                endpoint(instance),
            )
        })
        .collect();
    sleep(Duration::from_millis(50)).await;
    if scenario == Scenario::Outage {
        tokio::spawn(async move {
            sleep(LOAD_DURATION / 4).await;
            set_down(platform, true).await;
            sleep(OUTAGE_DURATION).await;
            set_down(platform, false).await;
        });
    }

    let mut random = StdRng::seed_from_u64(LOAD_SEED);
    let started_at = tokio::time::Instant::now();
    let mut send_at = started_at;
    let mut calls = Vec::new();
    while send_at < started_at + LOAD_DURATION {
        sleep_until(send_at).await;
        let (local, endpoint) = nodes[random.random_range(0..NODES)].clone();
        let call = Arc::new(call(calls.len().to_string(), mode));
        calls.push(tokio::spawn(async move {
            let started_at = Instant::now();
            let reply = local.execute(endpoint, call).await;
            (reply.verdict, started_at.elapsed())
        }));
        let gap = -(1.0 - random.random::<f64>()).ln() / f64::from(rate);
        send_at += Duration::from_secs_f64(gap);
    }
    let sent = calls.len();
    let mut latencies_us = Vec::new();
    for call in calls {
        let (verdict, elapsed) = call.await.unwrap();
        if verdict == Verdict::Ran {
            latencies_us.push(u64::try_from(elapsed.as_micros()).unwrap());
        }
    }
    let usage = send_admin_request(platform, Method::GET, "/admin/usage", Vec::new()).await;
    let usage: Usage = rmp_serde::from_slice(&usage).unwrap();
    let elapsed = started_at.elapsed().as_secs_f64();
    report(mode, rate, scenario, sent, latencies_us, &usage, elapsed);
    closed.cancel();
    server_task.abort();
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the counts of one run are far below the limit of exact integers"
)]
fn report(
    mode: Mode,
    rate: u32,
    scenario: Scenario,
    sent: usize,
    latencies_us: Vec<u64>,
    usage: &Usage,
    elapsed: f64,
) {
    let refused_percent = (sent - latencies_us.len()) as f64 * 100.0 / sent as f64;
    let latency_ms = Percentiles::from_us(latencies_us);
    println!(
        "{mode:8} {scenario:8} {rate:6} {sent:6} {refused_percent:9.2} {:8.1} {:8.1} {:9.1} {:9.1}",
        latency_ms.p50.unwrap_or_default(),
        latency_ms.p99.unwrap_or_default(),
        usage.writes as f64 / elapsed,
        usage.refused as f64 / elapsed,
        mode = format!("{mode:?}"),
        scenario = format!("{scenario:?}"),
    );
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    println!("{NODES} nodes, {WRITES_PER_SECOND} writes/s, runs of {RUN_TIME:?}, seed {LOAD_SEED}");
    println!("way      trouble    rate   sent refused_%   p50_ms   p99_ms  writes/s refused/s");
    for rate in [100, 300, 600, 1200, 2400] {
        for mode in [Mode::None, Mode::Alone, Mode::Shared] {
            runtime.block_on(measure(mode, rate, Scenario::None));
        }
    }
    for scenario in [Scenario::Outage, Scenario::Cut] {
        for mode in [Mode::None, Mode::Alone, Mode::Shared] {
            runtime.block_on(measure(mode, 300, scenario));
        }
    }
}
