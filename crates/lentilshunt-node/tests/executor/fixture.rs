//! Nodes with scripted upstreams and a scripted platform.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use lentilshunt_core::{
    claim::Claim,
    execution::Resolution,
    membership::{Endpoint, Phase},
    routing::Locality,
    verdict::{Reason, Verdict},
};
use lentilshunt_net::{
    BoxFuture,
    call::{Call, Executor, Reply},
    history::Writer,
    http::{self, Pool},
    log,
    platform::{Error, Table},
};
use lentilshunt_node::{
    context::Context,
    executor::{Batching, Claimant, LocalExecutor, Resolver, Transport},
};
use lentilshunt_schema::{
    ini,
    peer::Announcement,
    platform::{Outcome, Row, Transaction},
    settings,
};
use lentilshunt_standin::platform::Rows;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time after which a request to the platform fails.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Fault of one transaction.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Commits the transaction, but its response is lost.
    LoseResponse,
    /// Loses the request.
    LoseRequest,
    /// Refuses the request.
    Refuse,
    /// Delays the transaction.
    Slow(Duration),
    /// Commits the transaction after a delay; the client sees a timeout.
    DelayedCommit(Duration),
}

/// A table with scripted faults for its next transactions.
#[derive(Debug, Default)]
pub struct Platform {
    pub rows: Arc<Mutex<Rows>>,
    pub faults: Mutex<VecDeque<Fault>>,
    /// Fault of each transaction without a scripted one.
    pub default_fault: Mutex<Option<Fault>>,
    pub transactions: Mutex<usize>,
}

impl Platform {
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.faults.lock().unwrap().extend(faults);
    }

    async fn apply(&self, transaction: Transaction) -> Result<Outcome, Error> {
        *self.transactions.lock().unwrap() += 1;
        let scripted = self.faults.lock().unwrap().pop_front();
        let fault = scripted.or(*self.default_fault.lock().unwrap());
        match fault {
            None => {}
            Some(Fault::Slow(delay)) => sleep(delay).await,
            Some(Fault::Refuse) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Err(Error::Refused { status });
            }
            Some(Fault::LoseRequest) => return time_out().await,
            Some(Fault::LoseResponse) => {
                self.rows.lock().unwrap().transact(transaction);
                return time_out().await;
            }
            Some(Fault::DelayedCommit(delay)) => {
                let rows = Arc::clone(&self.rows);
                tokio::spawn(async move {
                    sleep(delay).await;
                    rows.lock().unwrap().transact(transaction);
                });
                return time_out().await;
            }
        }
        Ok(self.rows.lock().unwrap().transact(transaction))
    }
}

async fn time_out<T>() -> Result<T, Error> {
    sleep(PLATFORM_TIMEOUT).await;
    let source = http::Error::Timeout { address: ADDRESS };
    Err(Error::Unavailable { source })
}

impl Table for Platform {
    fn read(&self, key: String) -> BoxFuture<'_, Result<Option<Row>, Error>> {
        Box::pin(async move { Ok(self.rows.lock().unwrap().read(&key).cloned()) })
    }

    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, Error>> {
        Box::pin(async move { Ok(self.rows.lock().unwrap().scan(&prefix)) })
    }

    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, Result<Outcome, Error>> {
        Box::pin(self.apply(transaction))
    }
}

/// Behavior of an upstream for one request.
#[derive(Clone, Copy, Debug)]
pub enum Behavior {
    /// Runs the request for a time and responds.
    Respond(Duration),
    /// Refuses the connection.
    Refuse,
    /// Runs the request and crashes before its response.
    Crash,
    /// Panics in the node after the request was sent.
    Panic,
}

/// An upstream that records the ids of the requests that it ran.
#[derive(Debug, Default)]
pub struct Upstream {
    pub runs: Mutex<Vec<String>>,
    pub script: Mutex<VecDeque<Behavior>>,
}

impl Transport for Upstream {
    fn send(&self, _upstream: SocketAddr, call: Arc<Call>) -> BoxFuture<'_, Reply> {
        let behavior = self.script.lock().unwrap().pop_front();
        Box::pin(async move {
            let record = || self.runs.lock().unwrap().push(call.request.clone());
            match behavior.unwrap_or(Behavior::Respond(Duration::from_millis(2))) {
                Behavior::Refuse => Reply::refused(Reason::Unreachable),
                Behavior::Panic => panic!("scripted"),
                Behavior::Crash => {
                    record();
                    Reply::unknown(Reason::UpstreamLost)
                }
                Behavior::Respond(time) => {
                    record();
                    sleep(time).await;
                    response(&call.request)
                }
            }
        })
    }
}

/// Returns the response of an upstream to a request.
pub fn response(request_id: &str) -> Reply {
    Reply {
        verdict: Verdict::Ran,
        reason: None,
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::copy_from_slice(request_id.as_bytes()),
        free_slots: None,
    }
}

/// The nodes that resolve requests, by instance.
#[derive(Debug, Default)]
pub struct Peers {
    nodes: Mutex<BTreeMap<String, Arc<LocalExecutor>>>,
}

impl Resolver for Peers {
    fn resolve(&self, claim: Claim) -> BoxFuture<'_, Option<Resolution<Reply>>> {
        let node = self.nodes.lock().unwrap().get(&claim.instance).cloned();
        Box::pin(async move {
            sleep(Duration::from_millis(1)).await;
            Some(node?.look_up(&claim.request, claim.incarnation))
        })
    }
}

/// One platform and the nodes that use it, each with one upstream.
#[derive(Debug, Default)]
pub struct TestFleet {
    pub platform: Arc<Platform>,
    pub peers: Arc<Peers>,
    pub batching: Batching,
}

/// One node with its upstream.
#[derive(Clone, Debug)]
pub struct Node {
    pub local: Arc<LocalExecutor>,
    pub upstream: Arc<Upstream>,
    pub endpoint: Arc<Endpoint>,
    pub stop: CancellationToken,
    /// Cancelled to stop the announcements of the upstream.
    pub stop_announcing: CancellationToken,
    announcements: Arc<AtomicU32>,
}

impl TestFleet {
    /// Starts a node, which replaces an earlier incarnation.
    pub fn start(&self, instance: &str, incarnation: u64) -> Node {
        let context = Arc::new(context(instance, incarnation));
        let claimant = Claimant::start(
            instance.to_owned(),
            ADDRESS.to_string(),
            incarnation,
            Arc::clone(&self.platform) as Arc<dyn Table>,
            Arc::clone(&self.peers) as Arc<dyn Resolver>,
            self.batching,
        );
        let upstream = Arc::new(Upstream::default());
        let transport = Arc::clone(&upstream) as Arc<dyn Transport>;
        let stop = context.stop.clone();
        let local = Arc::new(LocalExecutor::with_transport(
            context,
            Some(claimant),
            transport,
        ));
        let mut nodes = self.peers.nodes.lock().unwrap();
        nodes.insert(instance.to_owned(), Arc::clone(&local));
        let node = Node {
            local,
            upstream,
            endpoint: Arc::new(endpoint(instance, incarnation)),
            stop,
            stop_announcing: CancellationToken::new(),
            announcements: Arc::default(),
        };
        node.announce(Phase::Ready, 2);
        node
    }

    /// Makes a node unreachable for the others.
    pub fn disconnect(&self, instance: &str) {
        self.peers.nodes.lock().unwrap().remove(instance);
    }
}

impl Node {
    /// Makes the upstream announce a phase and slots periodically.
    pub fn announce(&self, phase: Phase, slots: u32) {
        let announcement = Announcement {
            instance: self.endpoint.instance.clone(),
            service: "boletas".to_owned(),
            address: ADDRESS.to_string(),
            incarnation: 1,
            phase,
            slots,
            connections: 110,
            load: 0,
            healthy: true,
        };
        self.local.apply_announcement(&announcement);
        let (local, stop_announcing) = (Arc::clone(&self.local), self.stop_announcing.clone());
        let number = self.announcements.fetch_add(1, Ordering::Relaxed) + 1;
        let latest = Arc::clone(&self.announcements);
        tokio::spawn(async move {
            while !stop_announcing.is_cancelled() && latest.load(Ordering::Relaxed) == number {
                local.apply_announcement(&announcement);
                sleep(ANNOUNCE_INTERVAL).await;
            }
        });
    }

    /// Executes a call on this node.
    pub async fn execute(&self, call: Call) -> Reply {
        let endpoint = Arc::clone(&self.endpoint);
        self.local.execute(endpoint, Arc::new(call)).await
    }

    /// Executes a call on this node in a separate task.
    pub fn spawn(&self, call: Call) -> tokio::task::JoinHandle<Reply> {
        let node = self.clone();
        tokio::spawn(async move {
            let endpoint = Arc::clone(&node.endpoint);
            node.local.execute(endpoint, Arc::new(call)).await
        })
    }

    /// Resolves the outcome of a request, and bars it if this node has not seen it.
    pub fn resolve(&self, request_id: &str) -> Resolution<Reply> {
        let incarnation = self.endpoint.incarnation;
        self.local.resolve(request_id, incarnation, now())
    }

    pub fn runs(&self) -> Vec<String> {
        self.upstream.runs.lock().unwrap().clone()
    }
}

/// Returns a call that is not idempotent, with a deadline in 10 s.
pub fn call(request_id: &str, key: Option<&str>) -> Call {
    Call {
        request: request_id.to_owned(),
        service: "boletas".to_owned(),
        caller: "garita".to_owned(),
        method: Method::POST,
        path: "/boletas".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"bale 7"),
        idempotent: false,
        key: key.map(ToOwned::to_owned),
        deadline: now() + Duration::from_secs(10),
    }
}

/// Returns the verdict, reason and body of a reply.
pub fn summary(reply: &Reply) -> (Verdict, Option<Reason>, &[u8]) {
    (reply.verdict, reply.reason, &reply.body)
}

pub fn not_run(reason: Reason) -> (Verdict, Option<Reason>, &'static [u8]) {
    (Verdict::NotRun, Some(reason), b"")
}

pub fn may_have_run(reason: Reason) -> (Verdict, Option<Reason>, &'static [u8]) {
    (Verdict::MayHaveRun, Some(reason), b"")
}

pub fn ran(request_id: &str) -> (Verdict, Option<Reason>, &[u8]) {
    (Verdict::Ran, None, request_id.as_bytes())
}

/// Returns the context of a node without routes.
pub fn context(instance: &str, incarnation: u64) -> Context {
    let text = format!(
        "[instance]\nname = {instance}\nregion = sierra\ndomain = ambato\n\
         [listen]\ncallers = 127.60.9.1:1\npeers = 127.60.9.1:2\nadmin = 127.60.9.1:3\n\
         [platform]\naddress = 127.60.9.2:1\n[calls]\nqueue = 3\n"
    );
    let settings: settings::Node = ini::read("Node", "node.ini", text.as_bytes()).unwrap();
    let log = log::logger(&settings.log, instance);
    Context {
        locality: Locality::new(
            instance.to_owned(),
            "ambato".to_owned(),
            "sierra".to_owned(),
        ),
        incarnation,
        route_table: ArcSwap::default(),
        view: ArcSwap::default(),
        pool: Arc::new(Pool::default()),
        stop: CancellationToken::new(),
        history: Writer::open("", "", 0).unwrap(),
        log,
        settings,
    }
}

fn endpoint(instance: &str, incarnation: u64) -> Endpoint {
    Endpoint {
        instance: instance.to_owned(),
        address: ADDRESS,
        region: "sierra".to_owned(),
        domain: "ambato".to_owned(),
        incarnation,
        service: "boletas".to_owned(),
        version: String::new(),
        phase: Phase::Ready,
        slots: 2,
        free_slots: 2,
    }
}
