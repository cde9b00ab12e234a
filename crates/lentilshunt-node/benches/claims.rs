//! Measures the ways to claim idempotency keys, with one platform for all nodes.
//!
//! Nodes with an upstream each take calls in an open loop and claim their keys
//! in the platform stand-in over HTTP. Calls without a key are the unsafe
//! baseline. Run it by `cargo bench -p lentilshunt-node --bench claims`.

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
    routing::Place,
    verdict::Verdict,
};
use lentilshunt_load::report::Percentiles;
use lentilshunt_net::{
    Pending,
    call::{Call, Executor, Reply},
    history::Writer,
    http::{Exchange, Pool, Server, Stop},
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

/// Nodes of one user today.
const NODES: usize = 18;
/// Writes that the platform serves each second.
const WRITES: u64 = 400;
/// Time that a request runs.
const RUN: Duration = Duration::from_millis(2);
/// Time under load.
const LOAD: Duration = Duration::from_secs(5);
/// Part of the load during which the platform is down, in the outage.
const OUTAGE: Duration = Duration::from_secs(2);
/// Longest time for one call.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Seed of the arrivals.
const SEED: u64 = 1;

/// A way to claim keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Without claims, which is unsafe.
    None,
    /// One transaction for each claim.
    Alone,
    /// Claims of one node share transactions.
    Shared,
}

/// What happens to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    /// Nothing.
    None,
    /// It is down for a part of the time.
    Outage,
    /// A third of the nodes cannot reach it.
    Cut,
}

/// An upstream that answers after a fixed time.
#[derive(Debug)]
struct Upstream;

impl Transport for Upstream {
    fn send(&self, _upstream: SocketAddr, _call: Arc<Call>) -> Pending<'_, Reply> {
        Box::pin(async {
            sleep(RUN).await;
            Reply {
                verdict: Verdict::Ran,
                reason: None,
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body: Bytes::new(),
                room: None,
            }
        })
    }
}

/// No key is sent twice here, so no holder is asked.
#[derive(Debug)]
struct Nobody;

impl Resolver for Nobody {
    fn resolve(&self, _claim: Claim) -> Pending<'_, Option<Resolution<Reply>>> {
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
        place: Place::new(
            instance.to_owned(),
            "ambato".to_owned(),
            "sierra".to_owned(),
        ),
        incarnation: 1,
        routes: ArcSwap::default(),
        members: ArcSwap::default(),
        pool: Arc::new(Pool::default()),
        stop: CancellationToken::new(),
        history: Writer::open("", "", 0).unwrap(),
        log,
        settings,
    }
}

fn start(instance: &str, platform: SocketAddr, way: Way) -> Arc<LocalExecutor> {
    let batching = match way {
        Way::Alone => Batching {
            max_bids: 1,
            max_in_flight: 64,
        },
        Way::None | Way::Shared => Batching::default(),
    };
    let claimant = Claimant::start(
        instance.to_owned(),
        "127.60.9.1:2".to_owned(),
        1,
        Arc::new(Client::new(platform, Duration::from_secs(1))),
        Arc::new(Nobody),
        batching,
    );
    let local = LocalExecutor::with_transport(
        Arc::new(context(instance)),
        Some(claimant),
        Arc::new(Upstream),
    );
    let local = Arc::new(local);
    let announced = Arc::clone(&local);
    let instance = instance.to_owned();
    tokio::spawn(async move {
        let mut ticks = interval(Duration::from_millis(250));
        loop {
            ticks.tick().await;
            announced.announce(&Announcement {
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

fn call(request: String, way: Way) -> Call {
    Call {
        key: (way != Way::None).then(|| request.clone()),
        request,
        service: "boletas".to_owned(),
        caller: "garita".to_owned(),
        method: Method::POST,
        path: "/boletas".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"bale"),
        idempotent: false,
        deadline: Instant::now() + TIMEOUT,
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
        phase: Phase::Ready,
        slots: 9,
        room: 9,
    })
}

async fn admin(address: SocketAddr, method: Method, path: &str, body: Vec<u8>) -> Bytes {
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap();
    let exchange = Exchange {
        address,
        deadline: Instant::now() + TIMEOUT,
        limit: 4096,
    };
    let answer = Pool::default().exchange(exchange, request).await.unwrap();
    answer.into_body()
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
    admin(platform, Method::POST, "/admin/fault", body).await;
}

async fn measure(way: Way, rate: u32, trouble: Trouble) {
    let capacity = settings::Capacity {
        reads_per_second: NonZeroU64::new(2000).unwrap(),
        writes_per_second: NonZeroU64::new(WRITES).unwrap(),
    };
    let handler = Arc::new(Platform::new(&capacity, Instant::now()));
    let address = SocketAddr::from((Ipv4Addr::new(127, 60, 7, 1), 0));
    let server = Server::bind(address, handler).await.unwrap();
    let platform = server.address().unwrap();
    let closed = CancellationToken::new();
    let serving = tokio::spawn(server.run(Stop::at_once(closed.clone())));
    let nowhere = SocketAddr::from((Ipv4Addr::new(127, 60, 7, 2), 1));
    let instances: Vec<String> = (0..NODES).map(|node| node.to_string()).collect();
    let reached = |node: usize| match trouble {
        Trouble::Cut if node.is_multiple_of(3) => nowhere,
        _ => platform,
    };
    let nodes: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(node, instance)| (start(instance, reached(node), way), endpoint(instance)))
        .collect();
    sleep(Duration::from_millis(50)).await;
    if trouble == Trouble::Outage {
        tokio::spawn(async move {
            sleep(LOAD / 4).await;
            set_down(platform, true).await;
            sleep(OUTAGE).await;
            set_down(platform, false).await;
        });
    }

    let mut random = StdRng::seed_from_u64(SEED);
    let begun = tokio::time::Instant::now();
    let mut at = begun;
    let mut calls = Vec::new();
    while at < begun + LOAD {
        sleep_until(at).await;
        let (local, endpoint) = nodes[random.random_range(0..NODES)].clone();
        let call = Arc::new(call(calls.len().to_string(), way));
        calls.push(tokio::spawn(async move {
            let begun = Instant::now();
            let reply = local.execute(endpoint, call).await;
            (reply.verdict, begun.elapsed())
        }));
        let gap = -(1.0 - random.random::<f64>()).ln() / f64::from(rate);
        at += Duration::from_secs_f64(gap);
    }
    let sent = calls.len();
    let mut answered = Vec::new();
    for call in calls {
        let (verdict, elapsed) = call.await.unwrap();
        if verdict == Verdict::Ran {
            answered.push(u64::try_from(elapsed.as_micros()).unwrap());
        }
    }
    let usage = admin(platform, Method::GET, "/admin/usage", Vec::new()).await;
    let usage: Usage = rmp_serde::from_slice(&usage).unwrap();
    let elapsed = begun.elapsed().as_secs_f64();
    report(way, rate, trouble, sent, answered, &usage, elapsed);
    closed.cancel();
    serving.abort();
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the counts of one run are far below the limit"
)]
fn report(
    way: Way,
    rate: u32,
    trouble: Trouble,
    sent: usize,
    answered: Vec<u64>,
    usage: &Usage,
    elapsed: f64,
) {
    let refused = (sent - answered.len()) as f64 * 100.0 / sent as f64;
    let latency = Percentiles::of_us(answered);
    println!(
        "{way:8} {trouble:8} {rate:6} {sent:6} {refused:9.2} {:8.1} {:8.1} {:9.1} {:9.1}",
        latency.p50.unwrap_or_default(),
        latency.p99.unwrap_or_default(),
        usage.writes as f64 / elapsed,
        usage.refused as f64 / elapsed,
        way = format!("{way:?}"),
        trouble = format!("{trouble:?}"),
    );
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    println!("{NODES} nodes, {WRITES} writes/s, runs of {RUN:?}, seed {SEED}");
    println!("way      trouble    rate   sent refused_%   p50_ms   p99_ms  writes/s refused/s");
    for rate in [100, 300, 600, 1200, 2400] {
        for way in [Way::None, Way::Alone, Way::Shared] {
            runtime.block_on(measure(way, rate, Trouble::None));
        }
    }
    for trouble in [Trouble::Outage, Trouble::Cut] {
        for way in [Way::None, Way::Alone, Way::Shared] {
            runtime.block_on(measure(way, 300, trouble));
        }
    }
}
