//! The fleet of the demo and what happens to it.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::config::{Pattern, Snapshot};
use lentilshunt_load::{
    caller::{self, CallOutcome, Plan, Target, UpstreamAddress},
    chaos, check,
    fleet::{AdminClient, Fleet, Layout, Process, Server},
    operator::Operator,
    report::{ControlBytes, Percentiles, Report},
};
use lentilshunt_net::history::{Writer, now_us};
use nix::sys::signal::Signal;
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever};
use tokio::task::JoinHandle;

use super::Arguments;

/// Servers of each service.
const SERVERS: usize = 6;
/// Longest time until the platform answers.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time until every node routes to every server.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);
/// Pause between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which the last version has to be in force.
const LAST_VERSION_TIME: Duration = Duration::from_secs(6);
/// Time between two looks at the routes of all nodes.
const SCRAPE_INTERVAL: Duration = Duration::from_millis(500);

/// The running fleet.
#[derive(Debug)]
pub(super) struct Scene {
    fleet: Fleet,
    remote: Arc<AdminClient>,
    history: Writer,
    operator: Operator,
    snapshot: Snapshot,
    arguments: Arguments,
    observing: Option<JoinHandle<()>>,
}

/// Calls under way, through the nodes and straight to the upstreams.
#[derive(Debug)]
pub(super) struct Load {
    through: JoinHandle<Vec<CallOutcome>>,
    direct: JoinHandle<Vec<Duration>>,
}

impl Scene {
    /// Starts every process.
    pub(super) fn start(
        root: &Path,
        arguments: &Arguments,
        snapshot: Snapshot,
    ) -> Result<Self, Whatever> {
        let layout = Layout::new(&snapshot, SERVERS, arguments.network);
        println!("starting {} nodes and upstreams", layout.servers.len());
        let profile = if arguments.release {
            "release"
        } else {
            "debug"
        };
        let programs = root.join("target").join(profile);
        let fleet = Fleet::start(layout, &programs, &root.join("target/demo"))
            .whatever_context("the fleet cannot be started")?;
        let history = Writer::open(
            &fleet.history_file().display().to_string(),
            "demo",
            now_us(),
        )
        .whatever_context("the history cannot be opened")?;
        Ok(Self {
            operator: Operator::new(fleet.layout.platform_address(), history.clone()),
            remote: Arc::default(),
            fleet,
            history,
            snapshot,
            arguments: arguments.clone(),
            observing: None,
        })
    }

    /// Accepts the example as the first version.
    pub(super) async fn accept_first(&self) -> Result<(), Whatever> {
        let deadline = Instant::now() + START_TIMEOUT;
        while self.operator.read_head().await.is_none() {
            ensure_whatever!(Instant::now() < deadline, "the platform does not start");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.accept(&self.snapshot.clone()).await
    }

    /// Waits until every node has the newest version and routes to every server.
    pub(super) async fn wait_ready(&self, when: &str) -> Result<(), Whatever> {
        let begun_at = Instant::now();
        let head = self.operator.read_head().await;
        let version = head
            .whatever_context("the platform does not answer")?
            .version;
        let deadline = begun_at + READY_TIMEOUT;
        let layout = &self.fleet.layout;
        let waiting = self.remote.wait_ready(layout, version, deadline).await;
        ensure_whatever!(waiting.is_empty(), "after {when}, not ready: {waiting:?}");
        println!(
            "every node routes to every server {:.1} s after {when}",
            begun_at.elapsed().as_secs_f64()
        );
        Ok(())
    }

    /// Begins to call the nodes, to call the upstreams, and to look at the routes.
    pub(super) fn call(&mut self) -> Load {
        let seconds = self.arguments.duration;
        println!("calling for {seconds} s, {} a second", self.arguments.rate);
        let ends_at = Instant::now() + Duration::from_secs(seconds);
        let plan = self.plan(ends_at);
        let direct = caller::run_direct(self.direct_plan(ends_at), self.upstreams());
        let remote = Arc::clone(&self.remote);
        let layout = self.fleet.layout.clone();
        let history = self.history.clone();
        self.observing = Some(tokio::spawn(async move {
            loop {
                remote.record_routes(&layout, &history).await;
                tokio::time::sleep(SCRAPE_INTERVAL).await;
            }
        }));
        Load {
            through: tokio::spawn(caller::run(plan, self.history.clone())),
            direct: tokio::spawn(direct),
        }
    }

    /// Accepts a second version.
    pub(super) async fn change_under_load(&self) -> Result<(), Whatever> {
        tokio::time::sleep(Duration::from_secs(self.arguments.duration) / 5).await;
        self.accept(&changed(&self.snapshot)).await
    }

    /// Stops one node and one upstream gracefully, and starts them again.
    pub(super) async fn restart_under_load(&mut self) -> Result<(), Whatever> {
        tokio::time::sleep(Duration::from_secs(self.arguments.duration) / 5).await;
        let servers = &self.fleet.layout.servers;
        let node = servers.first().whatever_context("no servers")?.clone();
        let upstream = servers.last().whatever_context("no servers")?.clone();
        println!("stopping node {} by plan", node.instance);
        stop(self.fleet.nodes.get_mut(&node.instance)).await?;
        let started = self.fleet.start_node(&node);
        started.whatever_context("the node cannot be started")?;
        println!("stopping upstream {} by plan", upstream.instance);
        stop(self.fleet.upstreams.get_mut(&upstream.instance)).await?;
        let started = self.fleet.start_upstream(&upstream);
        started.whatever_context("the upstream cannot be started")
    }

    /// Stops the fleet and judges its history.
    pub(super) async fn report(mut self, latency: Percentiles) -> Result<Report, Whatever> {
        self.wait_ready("the load").await?;
        self.accept(&self.snapshot.clone()).await?;
        tokio::time::sleep(LAST_VERSION_TIME).await;
        if let Some(observing) = self.observing.take() {
            observing.abort();
        }
        let layout = self.fleet.layout.clone();
        self.remote.record_routes(&layout, &self.history).await;
        let bytes = self.control_bytes().await;
        println!("stopping the fleet");
        let deadline = Instant::now() + STOP_TIMEOUT;
        let stopped = tokio::task::block_in_place(|| self.fleet.stop(deadline))
            .whatever_context("the fleet cannot be stopped")?;
        ensure_whatever!(stopped, "not every process stopped in time");
        let events = check::read_history(&self.fleet.history_file())
            .whatever_context("the history cannot be read")?;
        Ok(Report::new(layout.servers.len(), &events)
            .with_control_bytes(bytes)
            .with_added_latency(latency))
    }

    async fn accept(&self, snapshot: &Snapshot) -> Result<(), Whatever> {
        let head = self.operator.read_head().await;
        let base = head
            .whatever_context("the platform does not answer")?
            .version;
        let operation = format!("demo-{base}");
        let head = self
            .operator
            .accept(snapshot, base, operation)
            .await
            .whatever_context("a version cannot be accepted")?;
        println!("accepted version {}", head.version);
        Ok(())
    }

    async fn control_bytes(&self) -> ControlBytes {
        let mut metrics = Vec::new();
        for server in &self.fleet.layout.servers {
            metrics.extend(self.remote.metrics(server).await);
        }
        ControlBytes::from_metrics(metrics.iter().map(String::as_str))
    }

    /// Plans consultations of every service, and each non-idempotent request.
    fn plan(&self, ends_at: Instant) -> Plan {
        let nodes = self
            .fleet
            .layout
            .servers
            .iter()
            .map(Server::callers_address);
        let nodes: Vec<_> = nodes.collect();
        let mut targets: Vec<Target> = Vec::new();
        for idempotent in [true, false] {
            targets.extend(chaos::plan_calls(&self.snapshot, nodes.clone(), idempotent).targets);
        }
        Plan {
            targets,
            nodes,
            rate: self.arguments.rate,
            ends_at,
            seed: self.arguments.seed,
        }
    }

    /// Plans as many consultations as the nodes get, for comparison.
    fn direct_plan(&self, ends_at: Instant) -> Plan {
        let mut plan = self.plan(ends_at);
        let all = plan.targets.len();
        plan.targets.retain(|target| target.idempotent);
        plan.rate *= share(plan.targets.len(), all);
        plan
    }

    fn upstreams(&self) -> Vec<UpstreamAddress> {
        let servers = self.fleet.layout.servers.iter();
        servers
            .map(|server| UpstreamAddress {
                service: server.service.clone(),
                address: server.upstream_address(),
            })
            .collect()
    }
}

impl Load {
    /// Waits for all calls, and returns the latency that the nodes add to an
    /// idempotent call.
    pub(super) async fn end(self) -> Result<Percentiles, Whatever> {
        let through = self.through.await.whatever_context("the load failed")?;
        let direct = self.direct.await.whatever_context("the load failed")?;
        println!(
            "{} calls through nodes ended, {} without",
            through.len(),
            direct.len()
        );
        let own = through
            .iter()
            .filter(|outcome| outcome.idempotent && outcome.is_expected_response);
        let own = Percentiles::from_us(own.map(|outcome| micros(outcome.latency)));
        let direct = Percentiles::from_us(direct.into_iter().map(micros));
        Ok(own.difference(&direct))
    }
}

async fn stop(process: Option<&mut Process>) -> Result<(), Whatever> {
    let process = process.whatever_context("the process was not started")?;
    let signalled = process.signal(Signal::SIGTERM);
    signalled.whatever_context("the process cannot be stopped")?;
    let deadline = Instant::now() + STOP_TIMEOUT;
    while process.is_running() {
        ensure_whatever!(Instant::now() < deadline, "a process does not stop");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Returns the snapshot with one more rule.
fn changed(snapshot: &Snapshot) -> Snapshot {
    let mut changed = snapshot.clone();
    if let Some(service) = changed.services.values_mut().next() {
        service.non_idempotent.push(Pattern {
            method: "DELETE".to_owned(),
            path: "/**".to_owned(),
        });
        service.non_idempotent.sort();
    }
    changed
}

fn micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss, reason = "the counts are small")]
fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
