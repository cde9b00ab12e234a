//! A dispatcher with scripted executing nodes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use lentilshunt_core::{
    config::{Service, Snapshot},
    membership::{Endpoint, Phase, Record, View},
    quarantine::Suspects,
    routing::{Locality, LocalityAware, Table},
    verdict::{Reason, Verdict},
};
use lentilshunt_net::{
    BoxFuture,
    call::{Call, Executor, Reply},
    history::Writer,
    http::Pool,
    log,
};
use lentilshunt_node::{context::Context, entry::Dispatcher};
use lentilshunt_schema::{call::Resolution, ini, settings};
use tokio_util::sync::CancellationToken;

/// Timeout of a call.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// What an executing node does with an attempt.
#[derive(Clone, Debug)]
pub enum Step {
    /// Replies after a delay: with a failure, or without a reason with the response of an
    /// upstream.
    Reply(Duration, Verdict, Option<Reason>),
    /// Never replies.
    NoResponse,
}

/// Response to a resolution request; `None` if the node does not respond.
pub type ResolutionResponse = Option<Resolution>;

/// Executor that follows a script for all executing nodes and records the requests to them.
#[derive(Debug, Default)]
pub struct ScriptedExecutor {
    pub steps: Mutex<VecDeque<Step>>,
    pub resolutions: Mutex<VecDeque<ResolutionResponse>>,
    /// Steps that replace the common script on single instances.
    pub by_instance: Mutex<BTreeMap<String, Step>>,
    /// Instances that attempts were sent to, in order.
    pub executed: Mutex<Vec<String>>,
    pub resolution_requests: Mutex<Vec<String>>,
}

/// Time after which a resolution request to an unresponsive node fails.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);

impl ScriptedExecutor {
    /// Sets the step that one instance takes for every attempt.
    pub fn set_step(&self, instance: &str, step: Step) {
        let mut by_instance = self.by_instance.lock().unwrap();
        by_instance.insert(instance.to_owned(), step);
    }
}

impl Executor for ScriptedExecutor {
    fn execute(&self, endpoint: Arc<Endpoint>, _call: Arc<Call>) -> BoxFuture<'_, Reply> {
        let instance = endpoint.instance.clone();
        let by_instance = self.by_instance.lock().unwrap().get(&instance).cloned();
        self.executed.lock().unwrap().push(instance);
        let step = by_instance.or_else(|| self.steps.lock().unwrap().pop_front());
        Box::pin(async move {
            match step.unwrap_or(RESPONSE) {
                Step::Reply(after, verdict, reason) => {
                    tokio::time::sleep(after).await;
                    reason.map_or_else(response, |reason| Reply::failed(verdict, reason))
                }
                Step::NoResponse => std::future::pending().await,
            }
        })
    }

    fn resolve(
        &self,
        endpoint: Arc<Endpoint>,
        _call: Arc<Call>,
    ) -> BoxFuture<'_, Option<(Resolution, Option<Reply>)>> {
        self.resolution_requests
            .lock()
            .unwrap()
            .push(endpoint.instance.clone());
        let resolution = self.resolutions.lock().unwrap().pop_front().flatten();
        Box::pin(async move {
            let Some(resolution) = resolution else {
                tokio::time::sleep(RESOLVE_TIMEOUT).await;
                return None;
            };
            let answered = resolution == Resolution::Answered;
            Some((resolution, answered.then(response)))
        })
    }
}

/// An immediate response.
pub const RESPONSE: Step = Step::Reply(Duration::ZERO, Verdict::Ran, None);

/// Returns an immediate failure.
pub const fn fail(verdict: Verdict, reason: Reason) -> Step {
    Step::Reply(Duration::ZERO, verdict, Some(reason))
}

/// Returns the response of an upstream.
pub fn response() -> Reply {
    Reply {
        verdict: Verdict::Ran,
        reason: None,
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"response"),
        free_slots: None,
    }
}

/// A dispatcher and the script of the nodes that it calls.
pub struct Fixture {
    pub dispatcher: Dispatcher,
    pub script: Arc<ScriptedExecutor>,
}

impl Fixture {
    /// Creates a fixture with `count` endpoints, none of them local.
    pub fn new(count: usize) -> Self {
        Self::with_suspects(count, Arc::new(Suspects::new(Instant::now())))
    }

    /// Creates a fixture on one of the instances with an endpoint.
    pub fn on_instance(count: usize, local: &str) -> Self {
        Self::build(count, local, Arc::new(Suspects::new(Instant::now())))
    }

    pub fn with_suspects(count: usize, suspects: Arc<Suspects>) -> Self {
        Self::build(count, "local", suspects)
    }

    fn build(count: usize, local: &str, suspects: Arc<Suspects>) -> Self {
        let script = Arc::new(ScriptedExecutor::default());
        let executor = || Arc::clone(&script) as Arc<dyn Executor>;
        let context = context(count, local);
        let policy = Arc::new(LocalityAware);
        Self {
            dispatcher: Dispatcher::new(context, executor(), executor(), policy, suspects),
            script,
        }
    }

    pub fn steps(self, steps: &[Step]) -> Self {
        self.script.steps.lock().unwrap().extend(steps.to_vec());
        self
    }

    pub fn resolutions(self, resolutions: &[ResolutionResponse]) -> Self {
        self.script
            .resolutions
            .lock()
            .unwrap()
            .extend(resolutions.to_vec());
        self
    }

    /// Dispatches a call and returns its verdict and reason.
    pub async fn call(&self, idempotent: bool) -> (Verdict, Option<Reason>) {
        self.call_path("/path", idempotent).await
    }

    pub async fn call_path(&self, path: &str, idempotent: bool) -> (Verdict, Option<Reason>) {
        self.call_within(path, idempotent, TIMEOUT).await
    }

    pub async fn call_within(
        &self,
        path: &str,
        idempotent: bool,
        timeout: Duration,
    ) -> (Verdict, Option<Reason>) {
        let call = Call {
            request: "id".to_owned(),
            service: "s".to_owned(),
            caller: "c".to_owned(),
            method: Method::GET,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            idempotent,
            key: None,
            deadline: tokio::time::Instant::now().into_std() + timeout,
        };
        let reply = self.dispatcher.dispatch(Arc::new(call)).await;
        if reply.verdict == Verdict::Ran {
            assert_eq!(reply.body, response().body);
        }
        (reply.verdict, reply.reason)
    }

    /// Returns the numbers of attempts and of resolution requests.
    pub fn request_counts(&self) -> (usize, usize) {
        let executed = self.script.executed.lock().unwrap().len();
        (
            executed,
            self.script.resolution_requests.lock().unwrap().len(),
        )
    }
}

/// Returns the context of the instance `local` with `count` endpoints of one service.
pub fn context(count: usize, local: &str) -> Arc<Context> {
    let text = "[instance]\nname = local\nregion = r\ndomain = d\n\
        [listen]\ncallers = 127.0.0.1:7000\npeers = 127.0.0.1:7001\nadmin = 127.0.0.1:7002\n\
        [platform]\naddress = 127.0.0.1:7100\n[log]\nlevel = error\n";
    let settings: settings::Node =
        ini::read("Node", "test", text.as_bytes()).expect("invalid settings");
    let locality = Locality::new(local.to_owned(), "d".to_owned(), "r".to_owned());
    let log = log::logger(&settings.log, "local");
    Arc::new(Context {
        route_table: ArcSwap::from_pointee(table(count, &locality)),
        view: ArcSwap::default(),
        locality,
        incarnation: 1,
        pool: Arc::new(Pool::default()),
        stop: CancellationToken::new(),
        history: Writer::open("", "test", 1).expect("failed to open the history"),
        log,
        settings,
    })
}

fn table(count: usize, locality: &Locality) -> Table {
    let mut snapshot = Snapshot::default();
    snapshot.topology.regions.insert("r".to_owned());
    let domains = &mut snapshot.topology.domains;
    domains.insert("d".to_owned(), "r".to_owned());
    snapshot.services.insert("s".to_owned(), Service::default());
    let records: Vec<Record> = (1..=count)
        .map(|index| Record {
            instance: format!("i{index}"),
            // No process listens on this port, to which suspicions are sent.
            address: "127.50.0.1:1".to_owned(),
            region: "r".to_owned(),
            domain: "d".to_owned(),
            incarnation: 1,
            sequence: 1,
            base: 1,
            reading: 0,
            service: "s".to_owned(),
            version: None,
            phase: Phase::Ready,
            slots: 8,
            room: 8,
        })
        .collect();
    Table::new(1, &snapshot, &View::new(&records), locality)
}
