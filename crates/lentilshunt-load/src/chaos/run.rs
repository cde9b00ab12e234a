//! Runs a fleet under a schedule of disruptions.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::config::Snapshot;
use lentilshunt_net::history::{Writer, now_us};
use tokio::task::JoinHandle;

use super::{
    Disruption, Error, Step,
    error::{NotAcceptedSnafu, NotReadySnafu, ProcessSnafu, StandInSnafu},
    injector::{ActiveDisruption, Injector},
    load,
    schedule::generate_schedule,
};
use crate::{
    caller::{self, Plan},
    check::{self, Violation},
    fleet::{AdminClient, Fleet, Layout, Server},
    operator::Operator,
};

/// Maximum time from the start of the fleet until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time from the end of the disruptions until the fleet is ready.
const HEAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last acceptance until the final routes are recorded; the last
/// version must be in force by then.
const LAST_VERSION_WAIT: Duration = Duration::from_secs(6);
/// Maximum time of the graceful stop of the fleet.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval at which the schedule and the processes are polled.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Idempotent calls each second.
const IDEMPOTENT_CALLS_PER_SECOND: f64 = 60.0;
/// Non-idempotent calls each second.
const NON_IDEMPOTENT_CALLS_PER_SECOND: f64 = 30.0;
/// Time for which the load continues after the last disruption.
const LOAD_TAIL: Duration = Duration::from_secs(3);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Configuration that is accepted as the first version.
    pub snapshot: Snapshot,
    /// Number of servers of each service.
    pub servers: usize,
    /// Second octet of the loopback addresses.
    pub network: u8,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time window in which disruptions begin.
    pub duration: Duration,
    /// Whether the schedule contains planned stops only.
    pub planned_only: bool,
    /// Folder that contains the built programs.
    pub programs: PathBuf,
    /// Folder for settings, logs and history; its previous content is deleted.
    pub folder: PathBuf,
}

/// Results of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunSummary {
    /// Calls by outcome.
    pub calls: check::CallSummary,
    /// Installed versions.
    pub versions: check::VersionSummary,
    /// Descriptions of the disruptions that were injected.
    pub disruptions: Vec<String>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Runs a fleet under load and disruptions, ends them all and checks the history.
///
/// # Errors
///
/// Returns an error when a process or stand-in cannot be controlled, when a node
/// exits unexpectedly, when a graceful stop exceeds its timeout, or when the
/// fleet does not become ready at the start or after the disruptions.
pub async fn run(options: &Options) -> Result<RunSummary, Error> {
    let layout = Layout::new(&options.snapshot, options.servers, options.network).with_links();
    let steps = generate_schedule(
        &layout,
        options.seed,
        options.duration,
        options.planned_only,
    );
    let fleet = Fleet::start(layout, &options.programs, &options.folder)?;
    let file = fleet.history_file();
    let history = Writer::open(&file.display().to_string(), "chaos", now_us())?;
    let admin_client = Arc::new(AdminClient::default());
    let mut injector = Injector::new(fleet, Arc::clone(&admin_client), history.clone());
    wait_for_links(&injector).await?;
    let operator = Operator::new(injector.fleet.layout.platform_address(), history.clone());
    accept(&operator, &options.snapshot, "first").await?;
    wait_ready(&injector, START_TIMEOUT, "at the start").await?;

    let begun_at = Instant::now();
    let ends_at = begun_at + options.duration;
    let plan = |rate, idempotent| {
        let servers = injector.fleet.layout.servers.iter();
        let nodes = servers.map(Server::callers_address).collect();
        Plan {
            rate,
            ends_at: ends_at + LOAD_TAIL,
            // With the same seed, both plans would use the same idempotency keys.
            seed: options.seed * 2 + u64::from(idempotent),
            ..load::plan_calls(&options.snapshot, nodes, idempotent)
        }
    };
    let (reads, writes) = (
        plan(IDEMPOTENT_CALLS_PER_SECOND, true),
        plan(NON_IDEMPOTENT_CALLS_PER_SECOND, false),
    );
    let crashes = [writes.clone(), reads.clone()];
    let call_tasks = [reads, writes].map(|plan| tokio::spawn(caller::run(plan, history.clone())));
    let scrape_task = tokio::spawn(load::record_routes(
        Arc::clone(&admin_client),
        injector.fleet.layout.clone(),
        history.clone(),
    ));
    let operators_task = tokio::spawn(load::run_operators(
        injector.fleet.layout.platform_address(),
        history.clone(),
        options.snapshot.clone(),
        options.seed,
        ends_at,
    ));
    let disruptions = run_disruptions(&mut injector, steps, begun_at, &crashes, &history).await?;
    join(operators_task).await;
    for task in call_tasks {
        join(task).await;
    }
    injector.supervise()?;
    let last = load::changed_snapshot(&options.snapshot, "last", false);
    accept(&operator, &last, "last").await?;
    wait_ready(&injector, HEAL_TIMEOUT, "after the disruptions").await?;
    tokio::time::sleep(LAST_VERSION_WAIT).await;
    scrape_task.abort();
    admin_client
        .record_routes(&injector.fleet.layout, &history)
        .await;
    let events = check::read_history(&file)?;
    let recorded = operator.record_missing_acceptances(&events).await;
    snafu::ensure!(recorded, StandInSnafu { name: "platform" });
    stop(&mut injector)?;
    let events = check::read_history(&file)?;
    Ok(RunSummary {
        calls: check::CallSummary::from_history(&events),
        versions: check::VersionSummary::from_history(&events),
        disruptions,
        violations: check::check_history(&events),
    })
}

async fn wait_for_links(injector: &Injector) -> Result<(), Error> {
    let deadline = Instant::now() + START_TIMEOUT;
    while !injector
        .admin_client
        .configure_links(&injector.fleet.layout)
        .await
    {
        let in_time = Instant::now() < deadline;
        snafu::ensure!(in_time, StandInSnafu { name: "link" });
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    injector.apply_base_latencies().await
}

/// Accepts a version; retries until the platform is up.
async fn accept(operator: &Operator, snapshot: &Snapshot, name: &str) -> Result<(), Error> {
    let deadline = Instant::now() + START_TIMEOUT;
    let mut serial = 0;
    loop {
        serial += 1;
        if let Some(head) = operator.read_head().await {
            let operation = format!("{name}-{serial}");
            let accepted = operator.accept(snapshot, head.version, operation).await;
            if accepted.is_ok() {
                return Ok(());
            }
        }
        snafu::ensure!(Instant::now() < deadline, NotAcceptedSnafu);
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn wait_ready(injector: &Injector, time: Duration, when: &'static str) -> Result<(), Error> {
    let layout = &injector.fleet.layout;
    let deadline = Instant::now() + time;
    let unready = injector.admin_client.wait_ready(layout, 1, deadline).await;
    let nodes: Vec<_> = unready.into_iter().collect();
    snafu::ensure!(nodes.is_empty(), NotReadySnafu { when, nodes });
    Ok(())
}

/// Injects every disruption of the schedule at its time and ends it at its time.
async fn run_disruptions(
    injector: &mut Injector,
    steps: Vec<Step>,
    begun_at: Instant,
    crashes: &[Plan; 2],
    history: &Writer,
) -> Result<Vec<String>, Error> {
    let mut steps = steps.into_iter().enumerate().peekable();
    let mut active: Vec<ActiveDisruption> = Vec::new();
    let mut disruptions = Vec::new();
    while steps.peek().is_some() || !active.is_empty() {
        let elapsed = begun_at.elapsed();
        while let Some((number, step)) = steps.next_if(|(_, step)| step.begins_at <= elapsed) {
            let description = step.disruption.to_string();
            if let Disruption::CrashingRequest { idempotent } = step.disruption {
                let mut plan = crashes[usize::from(idempotent)].clone();
                plan.seed = plan.seed.wrapping_mul(1000) + number as u64;
                tokio::spawn(load::send_crashing_call(plan, history.clone()));
            }
            let begun = injector
                .begin(step.disruption, begun_at + step.ends_at)
                .await?;
            if let Some(begun) = begun {
                active.push(begun);
                disruptions.push(description);
            }
        }
        let now = Instant::now();
        let (due, later) = active
            .into_iter()
            .partition::<Vec<_>, _>(|active| active.ends_at <= now);
        active = later;
        for due in due {
            active.extend(injector.end(due).await?);
        }
        injector.supervise()?;
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    Ok(disruptions)
}

fn stop(injector: &mut Injector) -> Result<(), Error> {
    let deadline = Instant::now() + STOP_TIMEOUT;
    let stopped = tokio::task::block_in_place(|| injector.fleet.stop(deadline))?;
    let process = "the fleet".to_owned();
    let problem = "did not stop in time";
    snafu::ensure!(stopped, ProcessSnafu { process, problem });
    Ok(())
}

async fn join<T>(task: JoinHandle<T>) {
    // A panic of the task has already been written to standard error.
    drop(task.await);
}
