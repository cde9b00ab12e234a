//! Fleet of the demo and the steps that it runs through.

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

/// Number of servers of each service.
const SERVERS_PER_SERVICE: usize = 6;
/// Time limit for the platform to respond after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit until every node routes to every server.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);
/// Time between checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the last version must be in force on every node.
const CONVERGENCE_TIME: Duration = Duration::from_secs(6);
/// Time between two queries of the routes of all nodes.
const SCRAPE_INTERVAL: Duration = Duration::from_millis(500);

/// Running fleet of the demo.
#[derive(Debug)]
pub(super) struct DemoFleet {
    fleet: Fleet,
    admin_client: Arc<AdminClient>,
    history: Writer,
    operator: Operator,
    snapshot: Snapshot,
    arguments: Arguments,
    route_recorder: Option<JoinHandle<()>>,
}

/// Calls in progress, through nodes and directly to upstreams.
#[derive(Debug)]
pub(super) struct Load {
    through_nodes: JoinHandle<Vec<CallOutcome>>,
    direct: JoinHandle<Vec<Duration>>,
}

impl DemoFleet {
    /// Starts every process of the fleet.
    pub(super) fn start(
        root: &Path,
        arguments: &Arguments,
        snapshot: Snapshot,
    ) -> Result<Self, Whatever> {
        let layout = Layout::new(&snapshot, SERVERS_PER_SERVICE, arguments.network);
        println!("starting {} nodes and upstreams", layout.servers.len());
        let profile = if arguments.release {
            "release"
        } else {
            "debug"
        };
        let programs = root.join("target").join(profile);
        let fleet = Fleet::start(layout, &programs, &root.join("target/demo"))
            .whatever_context("cannot start the fleet")?;
        let history = Writer::open(
            &fleet.history_file().display().to_string(),
            "demo",
            now_us(),
        )
        .whatever_context("cannot open the history")?;
        Ok(Self {
            operator: Operator::new(fleet.layout.platform_address(), history.clone()),
            admin_client: Arc::default(),
            fleet,
            history,
            snapshot,
            arguments: arguments.clone(),
            route_recorder: None,
        })
    }

    /// Accepts the example as the initial version.
    pub(super) async fn accept_initial_version(&self) -> Result<(), Whatever> {
        let deadline = Instant::now() + START_TIMEOUT;
        while self.operator.read_head().await.is_none() {
            ensure_whatever!(
                Instant::now() < deadline,
                "the platform did not start in time"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.accept(&self.snapshot.clone()).await
    }

    /// Waits until every node has the newest version and routes to every server.
    pub(super) async fn wait_ready(&self, when: &str) -> Result<(), Whatever> {
        let started_at = Instant::now();
        let head = self.operator.read_head().await;
        let version = head
            .whatever_context("the platform does not respond")?
            .version;
        let deadline = started_at + READY_TIMEOUT;
        let layout = &self.fleet.layout;
        let waiting = self
            .admin_client
            .wait_ready(layout, version, deadline)
            .await;
        ensure_whatever!(waiting.is_empty(), "after {when}, not ready: {waiting:?}");
        println!(
            "every node routes to every server {:.1} s after {when}",
            started_at.elapsed().as_secs_f64()
        );
        Ok(())
    }

    /// Starts calls to nodes and upstreams, and the recording of routes.
    pub(super) fn start_load(&mut self) -> Load {
        let seconds = self.arguments.duration;
        println!(
            "sending calls for {seconds} s, {} per second",
            self.arguments.rate
        );
        let ends_at = Instant::now() + Duration::from_secs(seconds);
        let plan = self.plan(ends_at);
        let direct = caller::run_direct(self.direct_plan(ends_at), self.upstreams());
        let admin_client = Arc::clone(&self.admin_client);
        let layout = self.fleet.layout.clone();
        let history = self.history.clone();
        self.route_recorder = Some(tokio::spawn(async move {
            loop {
                admin_client.record_routes(&layout, &history).await;
                tokio::time::sleep(SCRAPE_INTERVAL).await;
            }
        }));
        Load {
            through_nodes: tokio::spawn(caller::run(plan, self.history.clone())),
            direct: tokio::spawn(direct),
        }
    }

    /// Accepts a second version.
    pub(super) async fn change_under_load(&self) -> Result<(), Whatever> {
        tokio::time::sleep(Duration::from_secs(self.arguments.duration) / 5).await;
        self.accept(&with_additional_rule(&self.snapshot)).await
    }

    /// Stops one node and one upstream gracefully, and starts them again.
    pub(super) async fn restart_under_load(&mut self) -> Result<(), Whatever> {
        tokio::time::sleep(Duration::from_secs(self.arguments.duration) / 5).await;
        let servers = &self.fleet.layout.servers;
        let node = servers.first().whatever_context("no servers")?.clone();
        let upstream = servers.last().whatever_context("no servers")?.clone();
        println!("stopping node {} gracefully", node.instance);
        stop(self.fleet.nodes.get_mut(&node.instance)).await?;
        let started = self.fleet.start_node(&node);
        started.whatever_context("cannot start the node")?;
        println!("stopping upstream {} gracefully", upstream.instance);
        stop(self.fleet.upstreams.get_mut(&upstream.instance)).await?;
        let started = self.fleet.start_upstream(&upstream);
        started.whatever_context("cannot start the upstream")
    }

    /// Stops the fleet, checks its history and returns the report.
    pub(super) async fn finish(mut self, latency: Percentiles) -> Result<Report, Whatever> {
        self.wait_ready("the load").await?;
        self.accept(&self.snapshot.clone()).await?;
        tokio::time::sleep(CONVERGENCE_TIME).await;
        if let Some(route_recorder) = self.route_recorder.take() {
            route_recorder.abort();
        }
        let layout = self.fleet.layout.clone();
        self.admin_client
            .record_routes(&layout, &self.history)
            .await;
        let bytes = self.control_bytes().await;
        println!("stopping the fleet");
        let deadline = Instant::now() + STOP_TIMEOUT;
        let stopped = tokio::task::block_in_place(|| self.fleet.stop(deadline))
            .whatever_context("cannot stop the fleet")?;
        ensure_whatever!(stopped, "a process did not stop in time");
        let events = check::read_history(&self.fleet.history_file())
            .whatever_context("cannot read the history")?;
        Ok(Report::new(layout.servers.len(), &events)
            .with_control_bytes(bytes)
            .with_added_latency(latency))
    }

    async fn accept(&self, snapshot: &Snapshot) -> Result<(), Whatever> {
        let head = self.operator.read_head().await;
        let base = head
            .whatever_context("the platform does not respond")?
            .version;
        let operation = format!("demo-{base}");
        let head = self
            .operator
            .accept(snapshot, base, operation)
            .await
            .whatever_context("cannot accept the version")?;
        println!("accepted version {}", head.version);
        Ok(())
    }

    async fn control_bytes(&self) -> ControlBytes {
        let mut metrics = Vec::new();
        for server in &self.fleet.layout.servers {
            metrics.extend(self.admin_client.metrics(server).await);
        }
        ControlBytes::from_metrics(metrics.iter().map(String::as_str))
    }

    /// Plans idempotent and non-idempotent calls to every service.
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

    /// Plans direct calls at the rate of the idempotent calls to nodes, for comparison.
    fn direct_plan(&self, ends_at: Instant) -> Plan {
        let mut plan = self.plan(ends_at);
        let target_count = plan.targets.len();
        plan.targets.retain(|target| target.idempotent);
        plan.rate *= ratio(plan.targets.len(), target_count);
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
    /// Waits for all calls and returns the latency that the nodes add to an
    /// idempotent call.
    pub(super) async fn finish(self) -> Result<Percentiles, Whatever> {
        let through_nodes = self
            .through_nodes
            .await
            .whatever_context("the load task failed")?;
        let direct = self.direct.await.whatever_context("the load task failed")?;
        println!(
            "{} calls through nodes ended, {} without",
            through_nodes.len(),
            direct.len()
        );
        let node_latency = through_nodes
            .iter()
            .filter(|outcome| outcome.idempotent && outcome.is_expected_response);
        let node_latency =
            Percentiles::from_us(node_latency.map(|outcome| micros(outcome.latency)));
        let direct_latency = Percentiles::from_us(direct.into_iter().map(micros));
        Ok(node_latency.difference(&direct_latency))
    }
}

async fn stop(process: Option<&mut Process>) -> Result<(), Whatever> {
    let process = process.whatever_context("the process was not started")?;
    let signalled = process.signal(Signal::SIGTERM);
    signalled.whatever_context("cannot signal the process")?;
    let deadline = Instant::now() + STOP_TIMEOUT;
    while process.is_running() {
        ensure_whatever!(
            Instant::now() < deadline,
            "the process did not stop in time"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Returns the snapshot with an additional rule.
fn with_additional_rule(snapshot: &Snapshot) -> Snapshot {
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
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
